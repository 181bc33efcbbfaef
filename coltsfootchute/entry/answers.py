"""Answers that the entry writes itself: refusals and replayed answers."""

import asyncio
import socket
import struct
import typing

import aiohttp.abc
import aiohttp.web
import msgspec
import multidict

from coltsfootchute import verdicts
from coltsfootchute.proto import coltsfootchute_pb2

__all__ = [
    "STATUSES",
    "WrittenAnswer",
    "abort",
    "begin_turn",
    "defer_turn",
    "has_turn",
    "keeps_open",
    "may_close",
    "refuse",
    "replay",
    "reset",
    "start_answer",
    "wait_turn",
    "write_answer",
]

_R = verdicts.Reason

STATUSES: dict[verdicts.Reason, int] = {
    _R.BAD_REQUEST: 400,
    _R.KEY_REQUIRED: 400,
    _R.KEY_MALFORMED: 400,
    _R.TOO_DEEP: 400,
    _R.UNKNOWN_KEY: 401,
    _R.NO_SERVICE: 404,
    _R.NO_RULE: 404,
    _R.KEY_REUSED: 409,
    _R.KEY_EXPIRED: 409,
    _R.CLAIMED_ELSEWHERE: 409,
    _R.ANSWER_NOT_KEPT: 409,
    _R.BODY_TOO_LARGE: 413,
    _R.QUARANTINED: 422,
    _R.OVER_ALLOTMENT: 429,
    _R.CONNECTION_FAILED: 502,
    _R.CONNECTION_LOST: 502,
    _R.NO_TARGET: 503,
    _R.QUEUE_FULL: 503,
    _R.STALE: 503,
    _R.CLAIM_UNAVAILABLE: 503,
    _R.TARGET_SHED: 503,
    _R.STOPPING: 503,
    _R.TARGETS_AT_REST: 503,
    _R.TARGETS_HANG: 503,
    _R.MISDIRECTED: 503,
    _R.TARGET_FAILED: 502,
    _R.DEADLINE: 504,
    _R.TARGET_TIMEOUT: 504,
}
RETRY_AFTER_S = 1
_RETRY_AFTER_STATUSES = frozenset({429, 503})
# `struct linger`: enabled, with a linger time of 0 s.
_NO_LINGER = struct.pack("ii", 1, 0)

_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class WrittenAnswer:
    """Result of a handler that has already written its answer.

    Parameters
    ----------
    keep_alive
        Whether the caller's connection stays open for another request.
    """

    __slots__ = ("keep_alive",)

    def __init__(self, keep_alive: bool):
        self.keep_alive = keep_alive

    async def prepare(self, request: aiohttp.web.BaseRequest) -> None:
        """Do nothing, as the head has already been written."""

    async def write_eof(self) -> None:
        """Do nothing, as the body has already been written."""


KEEP_CONNECTION = WrittenAnswer(keep_alive=True)
CLOSE_CONNECTION = WrittenAnswer(keep_alive=False)


_TURN_KEY = aiohttp.web.RequestKey("turn", asyncio.Event)


def defer_turn(request: aiohttp.web.BaseRequest) -> None:
    """Hold back the answer to a request until `begin_turn`."""
    request[_TURN_KEY] = asyncio.Event()


def begin_turn(request: aiohttp.web.BaseRequest) -> None:
    """Let the answer to a request be written."""
    request[_TURN_KEY].set()


def has_turn(request: aiohttp.web.BaseRequest) -> bool:
    """Return whether all earlier requests of the connection are answered."""
    turn = request.get(_TURN_KEY)
    return turn is None or turn.is_set()


async def wait_turn(request: aiohttp.web.BaseRequest) -> None:
    """Wait until all earlier requests of the connection are answered."""
    if not has_turn(request):
        await request[_TURN_KEY].wait()


def may_close(request: aiohttp.web.BaseRequest) -> bool:
    """Return whether the answer, whose turn has come, may close the connection."""
    return request.protocol.may_close()


def keeps_open(request: aiohttp.web.BaseRequest, wants_close: bool) -> bool:
    """Return whether the connection stays open after the answer to a request.

    Parameters
    ----------
    request
        The request, whose turn has come.
    wants_close
        Whether the entry closes the connection if no later request was started.
    """
    return request.keep_alive and not (wants_close and may_close(request))


async def start_answer(
    request: aiohttp.web.BaseRequest,
    status: int,
    phrase: str,
    headers: multidict.CIMultiDict[str],
    *,
    keep_alive: bool,
    is_close_delimited: bool = False,
) -> aiohttp.abc.AbstractStreamWriter:
    """Write the head of an answer; it is sent with the first bytes of the body.

    Parameters
    ----------
    request
        The caller's request.
    status, phrase, headers
        Status line and headers, with `Content-Length` if the length is known.
    keep_alive
        Whether the connection stays open.
    is_close_delimited
        Whether the close of the connection marks the end of the body.
    """
    writer = request._payload_writer
    empty = request.method == "HEAD" or status in {204, 304}
    if not (empty or is_close_delimited or "Content-Length" in headers):
        writer.enable_chunking()
        headers["Transfer-Encoding"] = "chunked"
    if not keep_alive:
        headers["Connection"] = "close"
    elif request.version == (1, 0):
        headers["Connection"] = "keep-alive"
    await writer.write_headers(f"HTTP/1.1 {status} {phrase}", headers)
    return writer


async def write_answer(
    request: aiohttp.web.BaseRequest,
    status: int,
    headers: multidict.CIMultiDict[str],
    body: bytes,
    keep_alive: bool,
) -> WrittenAnswer:
    """Write an answer whose whole body is in memory.

    Raises
    ------
    ConnectionError
        If the caller has closed the connection.
    """
    if status not in {204, 304}:
        headers["Content-Length"] = str(len(body))
    phrase = _REASON_PHRASES.get(status, "")
    writer = await start_answer(request, status, phrase, headers, keep_alive=keep_alive)
    await writer.write_eof(b"" if request.method == "HEAD" else body)
    return KEEP_CONNECTION if keep_alive else CLOSE_CONNECTION


def abort(request: aiohttp.web.BaseRequest) -> WrittenAnswer:
    """Reset the caller's connection, so that a truncated answer looks incomplete.

    Notes
    -----
    Closing a transport, even by its `abort`, ends the connection in the same way as
    a complete answer of unknown length does. With a linger time of 0 the kernel
    sends a reset instead.
    """
    if request.transport is not None:
        reset(request.transport)
    return CLOSE_CONNECTION


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection; data that was not sent is dropped."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()


class _RefusalBody(msgspec.Struct):
    verdict: str
    reason: str
    detail: str


async def refuse(
    request: aiohttp.web.BaseRequest,
    refusal: verdicts.Refusal,
    keep_alive: bool,
    extra: typing.Mapping[str, str] | None = None,
    *,
    retry_after_s: float = RETRY_AFTER_S,
    status: int | None = None,
) -> WrittenAnswer:
    """Write a refusal as JSON with its verdict, reason and detail.

    Parameters
    ----------
    request
        The caller's request.
    refusal
        Verdict, reason and detail.
    keep_alive
        Whether the connection stays open.
    extra
        Additional headers.
    retry_after_s
        Value of `Retry-After` for status 503, in seconds.
    status
        HTTP status; by default the one of the reason in `STATUSES`.
    """
    status = status or STATUSES[refusal.reason]
    headers = multidict.CIMultiDict(extra or {})
    headers["Content-Type"] = "application/json"
    headers[verdicts.VERDICT_HEADER] = refusal.verdict.value
    headers[verdicts.REASON_HEADER] = refusal.reason.value
    if status in _RETRY_AFTER_STATUSES:
        headers["Retry-After"] = f"{retry_after_s:g}"
    body = _RefusalBody(refusal.verdict.value, refusal.reason.value, refusal.detail)
    encoded = msgspec.json.encode(body)
    return await write_answer(request, status, headers, encoded, keep_alive)


async def replay(
    request: aiohttp.web.BaseRequest,
    stored: coltsfootchute_pb2.StoredAnswer,
    keep_alive: bool,
) -> WrittenAnswer:
    """Write the stored answer of the first request with the same key."""
    pairs = zip(stored.header_names, stored.header_values, strict=True)
    headers = multidict.CIMultiDict(pairs)
    headers[verdicts.REPLAYED_HEADER] = "1"
    headers[verdicts.VERDICT_HEADER] = verdicts.Verdict.RAN.value
    return await write_answer(request, stored.status, headers, stored.body, keep_alive)
