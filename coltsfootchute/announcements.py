"""Checks of what targets announce about themselves."""

import collections.abc
import ipaddress

from coltsfootchute import errors
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = [
    "MAX_SERVICES",
    "MAX_SLOTS",
    "MAX_WARM_UP_S",
    "changes_warm_up",
    "check",
    "check_address",
]

MAX_TEXT_CHARS = 256
MAX_SERVICES = 64
MAX_SLOTS = 100_000
MAX_PORT = 65_535
# A longer time is a mistake; the field of the message could not hold every number.
MAX_WARM_UP_S = 86_400.0
# Reports are delayed by up to a second, and the clocks of instances differ.
WARM_UP_TOLERANCE_MS = 1000
_STATES = frozenset(
    {
        pb.TARGET_STATE_SERVING,
        pb.TARGET_STATE_DRAINING,
        pb.TARGET_STATE_SUSPECT,
    }
)


def check(target: pb.Target) -> None:
    """Check a target that was announced, or that was read from a log or a feed.

    Parameters
    ----------
    target
        The target.

    Raises
    ------
    coltsfootchute.errors.DocumentError
        With the field and the reason of each mistake.
    """
    problems = list(_problems(target))
    if problems:
        raise errors.DocumentError(problems)


def check_address(address: str) -> None:
    """Check that an address is an IP address with a port that can be connected to.

    Parameters
    ----------
    address
        Such as ``10.0.0.1:80`` or ``[::1]:80``.

    Raises
    ------
    ValueError
        With the reason.

    Examples
    --------
    >>> check_address("10.0.0.1:80")
    >>> check_address("10.0.0.1:65536")
    Traceback (most recent call last):
    ValueError: port '65536' is not a number from 1 to 65535
    """
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    if not (is_number and 1 <= int(port) <= MAX_PORT):
        detail = f"port {port[:MAX_TEXT_CHARS]!r} is not a number from 1 to {MAX_PORT}"
        raise ValueError(detail)
    if len(host) > MAX_TEXT_CHARS:
        raise ValueError(f"the host is longer than {MAX_TEXT_CHARS} characters")
    if host.startswith("[") and host.endswith("]"):
        ipaddress.IPv6Address(host[1:-1])
    else:
        ipaddress.IPv4Address(host)


def _problems(target: pb.Target) -> collections.abc.Iterator[tuple[str, str]]:
    texts = {"target_id": [target.target_id], "services": target.services}
    for field, values in texts.items():
        if not all(1 <= len(value) <= MAX_TEXT_CHARS for value in values):
            yield field, f"empty or longer than {MAX_TEXT_CHARS} characters"
    if len(target.failure_domain) > MAX_TEXT_CHARS:
        yield "failure_domain", f"longer than {MAX_TEXT_CHARS} characters"
    if not 1 <= len(target.services) <= MAX_SERVICES:
        yield "services", f"{len(target.services)} services; 1 to {MAX_SERVICES}"
    if target.slots > MAX_SLOTS:
        yield "slots", f"more than {MAX_SLOTS}"
    if target.state not in _STATES:
        yield "state", f"unknown state {target.state}"
    if target.warm_up_ms > MAX_WARM_UP_S * 1000:
        yield "warm_up_ms", f"longer than {MAX_WARM_UP_S:g} s"
    try:
        check_address(target.address)
    except ValueError as exc:
        yield "address", str(exc)


def changes_warm_up(registered: pb.Target, warm_up_ms: int, time_ms: int) -> bool:
    """Tell whether a report contradicts the registered time for which a target is cold.

    Parameters
    ----------
    registered
        The target as it is registered.
    warm_up_ms
        Time in ms for which it is still cold according to the report.
    time_ms
        Unix time of the report in ms.
    """
    known_ms = max(0, registered.announced_ms + registered.warm_up_ms - time_ms)
    return abs(known_ms - warm_up_ms) > WARM_UP_TOLERANCE_MS
