"""Reads what targets state about themselves in the heads of their responses."""

import enum
import random
import time

from coltsfootchute import balancing, logs, settings
from coltsfootchute.entry import attempts, metrics, pools

__all__ = ["Kind", "Recorder"]

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
LEAVING_VALUE = "1"
RETRY_AFTER_HEADER = "Retry-After"
# Entries add a random part of a rest to it, so that they do not all return at once.
REST_FACTORS = (1.0, 1.2)


class Kind(enum.Enum):
    """Kind of a statement, as counted in the metrics."""

    LEAVING = "leaving"
    REST = "rest"
    UNREADABLE = "unreadable"


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

    def record(self, target: balancing.Target, attempt: attempts.Attempt) -> None:
        """Record the statements in the head of a response, whatever its status.

        Parameters
        ----------
        target
            The target to which the request was sent.
        attempt
            The attempt, with the head of the response.
        """
        if not self._is_from(target, attempt):
            return
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
