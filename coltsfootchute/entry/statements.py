"""Reads what targets state about themselves in the heads of their responses."""

import enum
import random
import time

from coltsfootchute import announcements, balancing, logs, settings
from coltsfootchute.entry import attempts, metrics, pools

__all__ = ["Kind", "Recorder", "parse_cold_s"]

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
LEAVING_VALUE = "1"
RETRY_AFTER_HEADER = "Retry-After"
# Entries add a random part of a rest to it, so that they do not all return at once.
REST_FACTORS = (1.0, 1.2)
MAX_COLD_CHARS = 16


class Kind(enum.Enum):
    """Kind of a statement, as counted in the metrics."""

    LEAVING = "leaving"
    REST = "rest"
    UNREADABLE = "unreadable"
    COLD = "cold"


class Recorder:
    """Records the statements in responses to requests and probes.

    Parameters
    ----------
    services
        The services whose targets are concerned.
    names
        Names of headers.
    max_rest_s
        Longest time in seconds for which a target gets no requests.
    meters
        Metrics.
    """

    def __init__(
        self,
        services: pools.Services,
        names: settings.HeaderSettings,
        max_rest_s: float,
        meters: metrics.Metrics,
    ):
        self._services = services
        self._names = names
        self._max_rest_s = max_rest_s
        self._meters = meters

    def record(
        self,
        target: balancing.Target,
        attempt: attempts.Attempt,
        *,
        is_probe: bool = False,
    ) -> None:
        """Record the statements in the head of a response, whatever its status.

        Parameters
        ----------
        target
            The target to which the request was sent.
        attempt
            The attempt, with the head of the response.
        is_probe
            Whether the request was a probe.
        """
        if not self._is_from(target, attempt):
            return
        if self._names.cold is not None:
            self._record_cold(target, attempt, is_probe)
        if attempt.headers.get(self._names.leaving, "").strip() == LEAVING_VALUE:
            self._record_leaving(target)
        if attempt.message.code == UNAVAILABLE_STATUS:
            values = attempt.headers.getall(RETRY_AFTER_HEADER, [])
            if values:
                self._record_rest(target, values)

    def _is_from(self, target: balancing.Target, attempt: attempts.Attempt) -> bool:
        """Return whether the response is not from another target at the address."""
        if attempt.message.code == MISDIRECTED_STATUS:
            return False
        name = self._names.target_id
        stated_id = attempt.headers.get(name) if name is not None else None
        return stated_id is None or stated_id == target.target_id

    def _record_leaving(self, target: balancing.Target) -> None:
        if not self._services.statements.record_leaving(target):
            return
        for service in self._services.all_services():
            service.pool.mark_draining(target)
            service.start_queued()
        self._meters.statements.labels(Kind.LEAVING.value).inc()
        logs.log_event(
            "entry",
            "a target is leaving",
            target=target.target_id,
            incarnation=target.incarnation,
        )

    def _record_cold(
        self, target: balancing.Target, attempt: attempts.Attempt, is_probe: bool
    ) -> None:
        text = attempt.headers.get(self._names.cold)
        remaining_s = None if text is None else parse_cold_s(text)
        if remaining_s is None and not (is_probe and text is None):
            return
        now = time.monotonic()
        starts = self._services.slow_starts
        if not starts.record_stated(target, remaining_s, now):
            return
        self._meters.statements.labels(Kind.COLD.value).inc()
        logs.log_event(
            "entry",
            "a target is cold",
            target=target.target_id,
            incarnation=target.incarnation,
            remaining_s=remaining_s,
        )

    def _record_rest(self, target: balancing.Target, values: list[str]) -> None:
        rest_s = balancing.statements.parse_rest_s(
            values, time.time(), self._max_rest_s
        )
        kind = Kind.UNREADABLE if rest_s is None else Kind.REST
        self._meters.statements.labels(kind.value).inc()
        logs.log_event(
            "entry",
            "a target wants no requests",
            target=target.target_id,
            incarnation=target.incarnation,
            rest_s=rest_s,
            ignored=[value[:32] for value in values] if rest_s is None else [],
        )
        if not rest_s:
            return
        now = time.monotonic()
        until_s = now + rest_s * random.uniform(*REST_FACTORS)
        self._services.statements.record_rest(target, until_s)
        for service in self._services.all_services():
            service.pool.rest(target, until_s)


def parse_cold_s(text: str) -> float | None:
    """Return the time in seconds for which a target states that it is still cold.

    Returns
    -------
    float or None
        At most `announcements.MAX_WARM_UP_S`; None if the text is no number of ms.

    Examples
    --------
    >>> parse_cold_s("1500"), parse_cold_s("0"), parse_cold_s("1e3")
    (1.5, 0.0, None)
    """
    text = text.strip()
    if not (text.isascii() and text.isdecimal() and len(text) <= MAX_COLD_CHARS):
        return None
    return min(int(text) / 1000, announcements.MAX_WARM_UP_S)
