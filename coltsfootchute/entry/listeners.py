"""Connections that a stop ends without cutting a request."""

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
        Answers one request, and writes the answer.
    options
        Changes options of the base class.

    Notes
    -----
    `pre_shutdown` of the base class does not fit a graceful stop: a connection that
    it marks stays open, and what arrives on it is dropped, the rest of a body
    included.
    """

    def __init__(self, handler: Handler, **options: typing.Any):
        defaults = {"handler_cancellation": True, "auto_decompress": False}
        super().__init__(self._handle, access_log=None, **{**defaults, **options})
        self._handler = handler
        self._open: set[aiohttp.web.RequestHandler] = set()
        # Connections with a request in progress, or whose last answer ends them.
        self._occupied: set[aiohttp.web.RequestHandler] = set()
        self._none_open = asyncio.Event()
        self._is_closing = False

    async def _handle(
        self, request: aiohttp.web.BaseRequest
    ) -> answers.WrittenAnswer | aiohttp.web.StreamResponse:
        conn = request.protocol
        if conn in self._open:
            self._occupied.add(conn)
        written = await self._handler(request)
        if not written.keep_alive:
            return written
        if self._is_closing:
            return answers.CLOSE_CONNECTION
        self._occupied.discard(conn)
        return written

    def connection_made(
        self, handler: aiohttp.web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Register a connection."""
        super().connection_made(handler, transport)
        self._open.add(handler)

    def connection_lost(
        self, handler: aiohttp.web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Forget a connection whose last bytes have left."""
        super().connection_lost(handler, exc)
        self._open.discard(handler)
        self._occupied.discard(handler)
        if not self._open:
            self._none_open.set()

    def close_idle(self) -> int:
        """Close the connections without a request; return how many there were.

        The others are closed after the answer that is under way, also if its head
        has announced that the connection stays open.
        """
        self._is_closing = True
        idle = self._open - self._occupied
        for conn in idle:
            conn.force_close()
        return len(idle)

    async def wait_closed(self) -> None:
        """Wait until no connection is open and every answer has left."""
        while self._open:
            self._none_open.clear()
            await self._none_open.wait()


class AppServer(Server):
    """Server of the `api` listener.

    Parameters
    ----------
    app
        Routes with their handlers.

    Notes
    -----
    A handler runs to its end also if the client leaves, as it may have changed
    something already.
    """

    def __init__(self, app: aiohttp.web.Application):
        app.freeze()
        self._app = app
        self._end_s: float | None = None
        self._limits: set[asyncio.Timeout] = set()
        super().__init__(
            self._answer,
            handler_cancellation=False,
            auto_decompress=True,
            request_factory=app._make_request,
        )

    def end_by(self, end_s: float) -> None:
        """Answer all requests by a time of the loop, and close their connections."""
        self._end_s = end_s
        for limit in self._limits:
            limit.reschedule(end_s)

    async def _answer(
        self, request: aiohttp.web.Request
    ) -> answers.WrittenAnswer | aiohttp.web.StreamResponse:
        limit = asyncio.timeout_at(self._end_s)
        try:
            async with limit:
                self._limits.add(limit)
                response = await self._app._handle(request)
        except TimeoutError:
            response = _end(request)
        except aiohttp.web.HTTPException as exc:
            response = exc
        finally:
            self._limits.discard(limit)
        if self._end_s is not None:
            response.force_close()
        # Written here, so that the connection counts as occupied until then.
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)
            await response.write_eof()
            return response
        return answers.CLOSE_CONNECTION


def _end(request: aiohttp.web.Request) -> aiohttp.web.Response:
    """Return the answer to a request that is not done when the stop ends."""
    if not request.content.is_eof():
        body = {"error": "stopping", "detail": "the body was not whole in time"}
        headers = {"Retry-After": "1"}
        return aiohttp.web.json_response(body, status=503, headers=headers)
    body = {"error": "unknown", "detail": "the outcome is not known; send it again"}
    return aiohttp.web.json_response(body, status=504)
