"""What targets state about themselves in their responses."""

import collections.abc
import datetime
import email.utils
import math

from coltsfootchute.balancing import views

__all__ = ["Statements", "parse_rest_s"]

# Number of incarnations whose statements are kept.
MAX_STATEMENTS = 4096
MAX_VALUE_CHARS = 64
_Key = tuple[str, int]


class Statements:
    """Statements of targets by id and incarnation, for all services of an entry.

    Notes
    -----
    A statement outlives the registration of its target: a late report may register
    the same incarnation again, and the feed may be older than the statement. It ends
    with the incarnation. All operations are O(1).
    """

    def __init__(self):
        self._leaving: dict[_Key, None] = {}
        self._rest_until_s: dict[_Key, float] = {}

    def record_leaving(self, target: views.Target) -> bool:
        """Record that a target is leaving; return whether this is news."""
        is_new = not self.is_leaving(target)
        _store(self._leaving, _key(target), None)
        return is_new

    def is_leaving(self, target: views.Target) -> bool:
        """Return whether a target has stated that it is leaving."""
        return _key(target) in self._leaving

    def record_rest(self, target: views.Target, until_s: float) -> None:
        """Record until when a target wants no requests, in seconds."""
        latest_s = max(until_s, self.rest_until_s(target))
        _store(self._rest_until_s, _key(target), latest_s)

    def rest_until_s(self, target: views.Target) -> float:
        """Return until when a target wants no requests; in the past if it does."""
        return self._rest_until_s.get(_key(target), -math.inf)


def _key(target: views.Target) -> _Key:
    return target.target_id, target.incarnation


def _store(statements: dict[_Key, float | None], key: _Key, value) -> None:
    statements.pop(key, None)
    statements[key] = value
    if len(statements) > MAX_STATEMENTS:
        del statements[next(iter(statements))]


def parse_rest_s(
    values: collections.abc.Iterable[str], now: float, max_rest_s: float
) -> float | None:
    """Return the time for which a target wants no requests.

    Parameters
    ----------
    values
        Values of the ``Retry-After`` headers of one response; the longest one counts.
    now
        Unix time in seconds, with which a date is compared.
    max_rest_s
        Bound on the result in seconds.

    Returns
    -------
    float or None
        Seconds; None if no value is valid.

    References
    ----------
    RFC 9110, section 10.2.3. A fraction of seconds is accepted too.

    Examples
    --------
    >>> parse_rest_s(["2.5"], 0.0, 300.0)
    2.5
    >>> parse_rest_s(["Thu, 01 Jan 1970 00:00:07 GMT"], 3.0, 300.0)
    4.0
    >>> parse_rest_s(["-1", "soon"], 0.0, 300.0) is None
    True
    """
    parsed = [_parse_value(value, now) for value in values]
    valid = [rest_s for rest_s in parsed if rest_s is not None]
    return min(max(valid), max_rest_s) if valid else None


def _parse_value(value: str, now: float) -> float | None:
    text = value.strip()
    if len(text) > MAX_VALUE_CHARS or not text.isascii():
        return None
    if text.replace(".", "", 1).isdigit():
        return float(text)
    try:
        date = email.utils.parsedate_to_datetime(text)
    except ValueError:
        return None
    if date.tzinfo is None:
        date = date.replace(tzinfo=datetime.UTC)
    return max(0.0, date.timestamp() - now)
