"""HTTP servers that a planned stop can close without cutting off requests."""

import asyncio
import collections.abc
import contextlib
import typing

import aiohttp.web

from coltsfootchute.entry import answers

__all__ = ["AppServer", "Server"]

Handler = collections.abc.Callable[
    [aiohttp.web.BaseRequest],
    collections.abc.Awaitable[answers.WrittenAnswer | aiohttp.web.StreamResponse],
]


class Server(aiohttp.web.Server):
    """Server of the `calls` listener.

    Parameters
    ----------
    handler
        Handles one request and writes its answer.
    options
        Options of the base class that replace the defaults.

    Notes
    -----
    `pre_shutdown` of the base class is not suited to a graceful stop: a connection
    that it marks stays open, but data that arrives on it is dropped, even the rest of
    a request body.
    """

    def __init__(self, handler: Handler, **options: typing.Any):
        defaults = {"handler_cancellation": True, "auto_decompress": False}
        super().__init__(self._handle, access_log=None, **{**defaults, **options})
        self._handler = handler
        self._open: set[aiohttp.web.RequestHandler] = set()
        # Connections with a request in progress, or with an answer that closes them.
        self._occupied: set[aiohttp.web.RequestHandler] = set()
        self._all_closed = asyncio.Event()
        self._is_closing = False

    async def _handle(
        self, request: aiohttp.web.BaseRequest
    ) -> answers.WrittenAnswer | aiohttp.web.StreamResponse:
        conn = request.protocol
        if conn in self._open:
            self._occupied.add(conn)
        answer = await self._handler(request)
        if not answer.keep_alive:
            return answer
        if self._is_closing:
            return answers.CLOSE_CONNECTION
        self._occupied.discard(conn)
        return answer

    def connection_made(
        self, handler: aiohttp.web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Register a connection."""
        super().connection_made(handler, transport)
        self._open.add(handler)

    def connection_lost(
        self, handler: aiohttp.web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Remove a connection that was closed after its last bytes were sent."""
        super().connection_lost(handler, exc)
        self._open.discard(handler)
        self._occupied.discard(handler)
        if not self._open:
            self._all_closed.set()

    def close_idle(self) -> int:
        """Close the connections without a request in progress; return their number.

        Each other connection is closed after its current answer, even if the head of
        that answer has already announced that the connection stays open.
        """
        self._is_closing = True
        idle = self._open - self._occupied
        for conn in idle:
            conn.force_close()
        return len(idle)

    async def wait_closed(self) -> None:
        """Wait until every answer has been sent and no connection is open."""
        while self._open:
            self._all_closed.clear()
            await self._all_closed.wait()


class AppServer(Server):
    """Server of the `api` listener.

    Parameters
    ----------
    app
        Routes with their handlers.

    Notes
    -----
    A handler is not cancelled when its connection is lost, because it may already
    have changed something.
    """

    def __init__(self, app: aiohttp.web.Application):
        app.freeze()
        self._app = app
        self._end_s: float | None = None
        self._timeouts: set[asyncio.Timeout] = set()
        super().__init__(
            self._answer,
            handler_cancellation=False,
            auto_decompress=True,
            request_factory=app._make_request,
        )

    def set_deadline(self, end_s: float) -> None:
        """Answer all requests by a time of the loop, and close their connections."""
        self._end_s = end_s
        for timeout in self._timeouts:
            timeout.reschedule(end_s)

    async def _answer(
        self, request: aiohttp.web.Request
    ) -> answers.WrittenAnswer | aiohttp.web.StreamResponse:
        timeout = asyncio.timeout_at(self._end_s)
        try:
            async with timeout:
                self._timeouts.add(timeout)
                response = await self._app._handle(request)
        except TimeoutError:
            response = _unfinished_answer(request)
        except aiohttp.web.HTTPException as exc:
            response = exc
        finally:
            self._timeouts.discard(timeout)
        if self._end_s is not None:
            response.force_close()
        # The answer is written here, so that the connection counts as occupied until
        # the answer is complete.
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)
            await response.write_eof()
            return response
        return answers.CLOSE_CONNECTION


def _unfinished_answer(request: aiohttp.web.Request) -> aiohttp.web.Response:
    """Return the answer to a request that is unfinished at the end of a stop."""
    if not request.content.is_eof():
        body = {
            "error": "stopping",
            "detail": "the request body did not arrive in time",
        }
        headers = {"Retry-After": "1"}
        return aiohttp.web.json_response(body, status=503, headers=headers)
    body = {"error": "unknown", "detail": "the outcome is unknown; send it again"}
    return aiohttp.web.json_response(body, status=504)
