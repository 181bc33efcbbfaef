"""Logs and counters of a planned stop and of the requests that end during it."""

import collections.abc
import enum
import time
import typing

import aiohttp.web

from coltsfootchute import logs
from coltsfootchute.entry import metrics, phases, requests

__all__ = ["CALL_KEY", "Outcome", "Stop", "transports_of", "unsent_bytes"]

# Key under which the state of a caller's request holds its call.
CALL_KEY = aiohttp.web.RequestKey("call", requests.Call)
_IS_CUT = aiohttp.web.RequestKey("is_cut", bool)


class Outcome(enum.Enum):
    """Outcome of a request that was in progress while the entry stopped."""

    ANSWERED = "answered"
    CUT = "cut"
    LEFT = "left"


class Stop:
    """Log lines and counters of the stop of one entry.

    Parameters
    ----------
    meters
        Metrics.

    Attributes
    ----------
    cut_count
        Number of requests that the entry has cut off.
    """

    def __init__(self, meters: metrics.Metrics):
        self._meters = meters
        self._began_s: float | None = None
        self._is_cutting = False
        self.cut_count = 0

    def begin(self, **fields: typing.Any) -> None:
        """Log the start of a planned stop."""
        self._began_s = time.monotonic()
        self.log_step("stopping", **fields)

    def log_step(self, message: str, **fields: typing.Any) -> None:
        """Log a step of a planned stop; do nothing if no stop has begun."""
        if self._began_s is not None:
            logs.log_event("entry", message, since_stop_s=self._elapsed_s(), **fields)

    def begin_cut(self) -> None:
        """Count requests that are cancelled from now on as cut off by the entry."""
        self._is_cutting = True

    def record_answered(self, request: aiohttp.web.BaseRequest) -> None:
        """Count an answered request, unless it was counted as cut off."""
        if not request.get(_IS_CUT, False):
            self._count_outcome(Outcome.ANSWERED)

    def record_cut_off(
        self, request: aiohttp.web.BaseRequest, request_id: tuple[str, str] | None
    ) -> None:
        """Log and count a request that the entry ends before its deadline."""
        phase, fields = self._describe(request)
        request[_IS_CUT] = True
        self.cut_count += 1
        self._meters.cut_requests.labels(phase.value).inc()
        self._count_outcome(Outcome.CUT)
        logs.log_event("entry", "cut off", request=request_id, **fields)

    def record_unanswered(
        self,
        request: aiohttp.web.BaseRequest,
        request_id: tuple[str, str] | None,
    ) -> None:
        """Log and count a request whose connection was lost before its answer.

        Parameters
        ----------
        request
            The caller's request, whose state holds the call if a rule matched.
        request_id
            Name and value of the header that identifies the request.

        Notes
        -----
        aiohttp cancels a handler both when the caller's connection is lost and when
        the server shuts down. In both cases the request has no transport, so
        `begin_cut` tells them apart.
        """
        if self._is_cutting:
            self.record_cut_off(request, request_id)
            return
        phase, fields = self._describe(request)
        self._meters.left_requests.labels(phase.value).inc()
        self._count_outcome(Outcome.LEFT)
        logs.log_event("entry", "the caller left", request=request_id, **fields)

    def _describe(
        self, request: aiohttp.web.BaseRequest
    ) -> tuple[phases.Phase, dict[str, typing.Any]]:
        call = request.get(CALL_KEY)
        phase = phases.Phase.WAITING if call is None else call.phase
        fields = {"phase": phase.value, **_call_fields(request, call)}
        if self._began_s is not None:
            fields["since_stop_s"] = self._elapsed_s()
        return phase, fields

    def _count_outcome(self, outcome: Outcome) -> None:
        if self._began_s is not None:
            self._meters.stop_ends.labels(outcome.value).inc()

    def _elapsed_s(self) -> float:
        return round(time.monotonic() - self._began_s, 3)


def _call_fields(
    request: aiohttp.web.BaseRequest, call: requests.Call | None
) -> dict[str, typing.Any]:
    if call is None:
        return {}
    now = time.monotonic()
    return {
        "service": call.service.name,
        "age_s": round(now - call.started_s, 3),
        "left_s": round(call.requested_deadline - now, 3),
        "body_bytes": request.content.total_bytes,
        "body_length": request.content_length,
        "body_complete": request.content.is_eof(),
        "tried": list(call.tried_target_ids),
    }


def transports_of(server: aiohttp.web.Server | None) -> list[typing.Any]:
    """Return the transports of a server's open connections."""
    conns = [] if server is None else server.connections
    return [conn.transport for conn in conns if conn.transport is not None]


def unsent_bytes(transports: collections.abc.Iterable[typing.Any]) -> int:
    """Return how many written bytes are still buffered outside the kernel."""
    return sum(transport.get_write_buffer_size() for transport in transports)
