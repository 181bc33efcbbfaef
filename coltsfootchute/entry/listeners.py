"""Connections of callers, which a stop ends without cutting a request."""

import asyncio
import collections.abc

import aiohttp.web

from coltsfootchute.entry import answers

__all__ = ["Server"]

Handler = collections.abc.Callable[
    [aiohttp.web.BaseRequest], collections.abc.Awaitable[answers.Written]
]


class Server(aiohttp.web.Server):
    """Server of the `calls` listener.

    Parameters
    ----------
    handler
        Answers one request.

    Notes
    -----
    `pre_shutdown` of the base class does not fit a graceful stop: a connection that
    it marks stays open, and what arrives on it is dropped, the rest of a body
    included.
    """

    def __init__(self, handler: Handler):
        super().__init__(
            self._handle,
            handler_cancellation=True,
            auto_decompress=False,
            access_log=None,
        )
        self._handler = handler
        self._open: set[aiohttp.web.RequestHandler] = set()
        # Connections with a request in progress, or whose last answer ends them.
        self._occupied: set[aiohttp.web.RequestHandler] = set()
        self._none_open = asyncio.Event()
        self._is_closing = False

    async def _handle(self, request: aiohttp.web.BaseRequest) -> answers.Written:
        conn = request.protocol
        self._occupied.add(conn)
        written = await self._handler(request)
        if not written.keep_alive:
            return written
        if self._is_closing:
            return answers.CLOSED
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
