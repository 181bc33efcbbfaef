"""HTTP servers that a planned stop can close without cutting off requests."""

import asyncio
import collections.abc
import contextlib
import typing

import aiohttp.web

from coltsfootchute.entry import answers, heads, pipelines

__all__ = [
    "AppServer",
    "Server",
    "bound_address",
    "listen",
    "read_arrived",
    "split_address",
]

LISTEN_BACKLOG = 1024
# Iterations of the event loop, each with one poll: one accepts connections, the next
# one reads from them, and the last one starts their handlers.
POLLS = 4

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
    may_run_early
        Whether a request may be handled while earlier ones of its connection are
        unanswered; None if none may.
    max_head_bytes
        Returns the limit on the header fields of a request; None for the default of
        declarations.
    options
        Options of the base class that replace the defaults.

    Notes
    -----
    `pre_shutdown` of the base class is not suited to a graceful stop: a connection
    that it marks stays open, but data that arrives on it is dropped, even the rest of
    a request body.
    """

    def __init__(
        self,
        handler: Handler,
        may_run_early: pipelines.Predicate | None = None,
        max_head_bytes: heads.Limit | None = None,
        **options: typing.Any,
    ):
        defaults = {"handler_cancellation": True, "auto_decompress": False}
        super().__init__(self._handle, access_log=None, **{**defaults, **options})
        self._handler = handler
        self._may_run_early = may_run_early
        self._max_head_bytes = max_head_bytes
        self._open: set[pipelines.CallerConnection] = set()
        # Connections with a request in progress, or with an answer that closes them.
        self._occupied: set[pipelines.CallerConnection] = set()
        # Number of requests that were started before their turn and have not ended.
        self.early_requests = 0
        self._all_closed = asyncio.Event()
        self._is_closing = False

    def end_early_request(self, _: asyncio.Task[typing.Any]) -> None:
        """Count the end of a request that was started before its turn."""
        self.early_requests -= 1

    async def _handle(
        self, request: aiohttp.web.BaseRequest
    ) -> answers.WrittenAnswer | aiohttp.web.StreamResponse:
        conn = request.protocol
        if conn in self._open:
            self._occupied.add(conn)
        answer = await conn.handle(request)
        if not answer.keep_alive:
            return answer
        if self._is_closing and conn.may_close():
            return answers.CLOSE_CONNECTION
        self._occupied.discard(conn)
        return answer

    def __call__(self) -> pipelines.CallerConnection:
        """Return the protocol of a new connection."""
        return pipelines.CallerConnection(
            self,
            self._handler,
            self._may_run_early,
            self._max_head_bytes,
            loop=self._loop,
            **self._kwargs,
        )

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
        """Close the connections without a request; return their number.

        Each other connection is closed after its current answer, even if the head of
        that answer has already announced that the connection stays open.
        """
        self._is_closing = True
        idle = {conn for conn in self._open - self._occupied if conn.is_idle}
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


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


async def listen(server: aiohttp.web.Server, address: str) -> asyncio.Server:
    """Accept connections for a server at an address.

    Raises
    ------
    OSError
        If the address is in use.
    """
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    return await loop.create_server(server, host, port, backlog=LISTEN_BACKLOG)


def bound_address(server: typing.Any, address: str) -> str:
    """Return an address with the port to which a listener is bound."""
    host = address.rpartition(":")[0]
    return f"{host}:{server.sockets[0].getsockname()[1]}"


async def read_arrived() -> None:
    """Let the event loop accept connections and read data that have arrived.

    Timers of uvloop run before it polls its sockets. If the process was delayed, a step
    of a stop could otherwise close a connection whose request it has not read yet.
    """
    for _ in range(POLLS):
        await asyncio.sleep(0)
