"""Connections of callers that send requests before earlier ones are answered."""

import asyncio
import collections
import collections.abc
import typing

import aiohttp.http
import aiohttp.streams
import aiohttp.web

from coltsfootchute.entry import answers, framings, heads

__all__ = ["CallerConnection"]

# Maximum number of requests of one connection that are handled before their turn. Each
# of them may hold a response of up to `requests.BUFFERED_RESPONSE_BYTES`.
MAX_EARLY_REQUESTS = 8
# The same for all connections of a server.
MAX_ALL_EARLY_REQUESTS = 128
HEAD_END = b"\r\n\r\n"

Handler = collections.abc.Callable[
    [aiohttp.web.BaseRequest], collections.abc.Awaitable[typing.Any]
]
Predicate = collections.abc.Callable[[aiohttp.web.BaseRequest], bool]
_EarlyRequest = tuple[aiohttp.web.BaseRequest, asyncio.Task[typing.Any]]


class CallerConnection(heads.LimitedHeads):
    """A connection that handles some of its requests side by side.

    Parameters
    ----------
    manager
        The server.
    handler
        Handles one request and writes its answer.
    may_run_early
        Whether a request may be handled while earlier ones are unanswered; None if
        none may.
    max_head_bytes
        Returns the limit on the header fields of a request.

    Notes
    -----
    aiohttp handles the requests of a connection one after the other. This class starts
    the handlers of queued requests early; each of them waits for its turn before it
    writes, so answers have the order of the requests (RFC 9112, 9.3.2).

    Once a request was started early, the answers before it do not close the
    connection: a caller assumes that the requests behind such an answer were not read.
    """

    def __init__(
        self,
        manager: aiohttp.web.Server,
        handler: Handler,
        may_run_early: Predicate | None,
        max_head_bytes: heads.Limit | None = None,
        **options: typing.Any,
    ):
        super().__init__(manager, max_head_bytes, **options)
        self._handler = handler
        self._may_run_early = may_run_early
        self._early: collections.deque[_EarlyRequest] = collections.deque()
        # Whether the answer to the last request that was started closes the connection.
        self._will_close = False
        # Framing of the body that is arriving, and the last bytes outside of bodies.
        self._framing: framings.BodyFraming | None = None
        self._last_bytes = b""
        if may_run_early is not None:
            self._request_factory = self._take_request

    @property
    def is_idle(self) -> bool:
        """Whether every request that was read has been answered."""
        return not (self._messages or self._early or self._request_in_progress)

    def may_close(self) -> bool:
        """Return whether the current answer may close the connection.

        Notes
        -----
        If it may, no further request is started early.
        """
        if self._early:
            return False
        self._will_close = True
        return True

    async def handle(self, request: aiohttp.web.BaseRequest) -> typing.Any:
        """Return the answer to a request whose turn has come."""
        if not self._early or self._early[0][0] is not request:
            self._start_early()
            return await self._handler(request)
        _, task = self._early.popleft()
        answers.begin_turn(request)
        self._start_early()
        return await task

    def data_received(self, data: bytes) -> None:
        """Parse received data, at most one head or one part of a body at a time.

        The parser drops the requests of a part in which an error follows them. Blank
        lines of a body end no head: cut at each of them, a body of blank lines took
        1,000 times as long as another one and blocked the event loop.
        """
        if not data:
            # The reader of a body has taken what the parser had held back.
            super().data_received(data)
        start = 0
        while start < len(data):
            end = self._part_end(data, start)
            part = data[start:end] if end - start < len(data) else data
            count = self._request_count
            super().data_received(part)
            if self._framing is not None:
                self._framing = None if self._framing.is_complete else self._framing
            elif self._request_count > count:
                self._begin_body()
            self._last_bytes = part[1 - len(HEAD_END) :]
            start = end
        self._start_early()

    def _part_end(self, data: bytes, start: int) -> int:
        """Return the end of the part of received data that begins at `start`."""
        if self._framing is not None:
            return self._framing.find_end(data, start)
        # The end of a head may arrive in two parts.
        tail = self._last_bytes if start == 0 else b""
        joined = tail + data[start : start + len(HEAD_END)] if tail else b""
        position = joined.find(HEAD_END)
        if position >= 0:
            return position + len(HEAD_END) - len(tail)
        position = data.find(HEAD_END, start)
        return len(data) if position < 0 else position + len(HEAD_END)

    def _begin_body(self) -> None:
        message = self._messages[-1][0] if self._messages else None
        if isinstance(message, aiohttp.http.RawRequestMessage):
            self._framing = framings.framing_of(message)

    def force_close(self) -> None:
        """Close the connection, with a reset in the middle of an answer.

        An orderly close would mark the end of an answer of unknown length.
        """
        if self._request_in_progress and self.transport is not None:
            answers.reset(self.transport)
        super().force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the requests that were started early, as nobody reads the answers."""
        for _, task in self._early:
            task.cancel()
        super().connection_lost(exc)

    def _take_request(
        self,
        message: aiohttp.http.RawRequestMessage,
        payload: aiohttp.streams.StreamReader,
        *context: typing.Any,
    ) -> aiohttp.web.BaseRequest:
        """Return the request of a message, which may have been started early."""
        if self._early and self._early[0][0]._message is message:
            return self._early[0][0]
        self._will_close = _closes_connection(message)
        return self._manager.request_factory(message, payload, *context)

    def _start_early(self) -> None:
        """Start queued requests as long as no answer before them closes."""
        if self._may_run_early is None or self._force_close or self._close:
            return
        if not self._request_in_progress:
            # The base class starts a request that has none before it.
            return
        while len(self._early) < min(len(self._messages), MAX_EARLY_REQUESTS):
            message, payload = self._messages[len(self._early)]
            if self._will_close or not self._try_early(message, payload):
                return

    def _try_early(
        self, message: typing.Any, payload: aiohttp.streams.StreamReader
    ) -> bool:
        server = self._manager
        if server.early_requests >= MAX_ALL_EARLY_REQUESTS:
            return False
        if not isinstance(message, aiohttp.http.RawRequestMessage):
            return False
        writer = aiohttp.http.StreamWriter(self, self._loop)
        request = server.request_factory(
            message, payload, self, writer, self._task_handler
        )
        if not self._may_run_early(request):
            return False
        self._will_close = _closes_connection(message)
        answers.defer_turn(request)
        task = self._loop.create_task(self._handler(request))
        server.early_requests += 1
        task.add_done_callback(server.end_early_request)
        self._early.append((request, task))
        return True


def _closes_connection(message: typing.Any) -> bool:
    return not isinstance(message, aiohttp.http.RawRequestMessage) or (
        message.should_close or message.upgrade or message.version < (1, 1)
    )
