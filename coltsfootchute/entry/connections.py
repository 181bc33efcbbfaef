"""Connections to targets, with bounds on bytes that no response accounts for."""

import asyncio

import aiohttp.client_proto
import aiohttp.http
import aiohttp.streams

__all__ = ["TargetConnection"]

# Most bytes that are not part of a body: heads, chunk sizes and extensions, trailers,
# blank lines. A head may hold one field of the largest size.
MAX_OVERHEAD_BYTES = 1 << 16
# More of them for each byte of the body; a chunk of one byte has five others.
MAX_OVERHEAD_RATIO = 8
# Most responses that wait to be read: interim ones, late ones and the own one.
MAX_QUEUED_RESPONSES = 32
# The parser gets a read of the socket in parts, so that bounds hold within a read; in
# a body a part may be as large as what has come of it.
PART_BYTES = 1 << 12
MAX_PART_BYTES = 1 << 17
HEAD_START = b"HTTP/"
HEAD_END = b"\r\n\r\n"


class TargetConnection(aiohttp.client_proto.ResponseHandler):
    """A connection that is closed once its target sends more than it may.

    Notes
    -----
    The parser of aiohttp bounds the lines of a head and their number. It takes any
    number of interim and unasked responses, blank lines, leading zeros of a chunk
    size, chunk extensions and lines of a trailer, and responses without a request.
    A body needs no bound here: reading is paused until it is consumed.
    """

    def __init__(self, loop):
        super().__init__(loop)
        self._unparsed = b""
        self._resumption: asyncio.Handle | None = None
        self._overhead_bytes = 0
        # Body of the response to the last request; None while that is awaited.
        self._own: aiohttp.streams.StreamReader | None = aiohttp.streams.EMPTY_PAYLOAD

    def set_response_params(self, **params) -> None:
        """Prepare for the response to the next request."""
        self._own = None
        self._overhead_bytes = 0
        super().set_response_params(**params)

    def accept(self, payload: aiohttp.streams.StreamReader) -> None:
        """Take a body for that of the request; no bytes may follow its end."""
        self._own = payload

    @property
    def is_idle(self) -> bool:
        """Whether no response is due."""
        return self._own is not None and self._own.is_eof()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes as far as they may belong to a response."""
        if not data:
            # Reading goes on; what the parser has kept comes first.
            self._parse(data)
        data, self._unparsed = self._unparsed + data, b""
        start = 0
        while start < len(data) and self.is_connected() and not self._reading_paused:
            if self.is_idle:
                self._refuse("bytes without a request")
                return
            part = data[start : self._end_of_part(data, start)]
            start += len(part)
            self._parse(part)
        if self.is_connected():
            self._unparsed = data[start:]

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on in the next turn of the loop, or at once after the end of a body.

        A reader that takes all there is would otherwise go on as long as the target
        sends, and other callers would wait.
        """
        if not resume_parser:
            super().resume_reading(resume_parser)
        elif self._resumption is None:
            self._resumption = self._loop.call_soon(self._resume)

    def _resume(self) -> None:
        self._resumption = None
        if self._reading_paused and self.is_connected():
            super().resume_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the response; its body isn't complete if bytes were not parsed."""
        if self._unparsed:
            self._unparsed = b""
            lost = "the connection was lost while reading was paused"
            self._fail_payload(aiohttp.http.HttpProcessingError(message=lost))
        super().connection_lost(exc)

    def _end_of_part(self, data: bytes, start: int) -> int:
        if self._payload is not None and not self._payload.is_eof():
            size = min(max(PART_BYTES, self._body_bytes), MAX_PART_BYTES)
            return start + size
        end = start + PART_BYTES
        if data.startswith(HEAD_START, start):
            # The parser drops a response if it meets an error in the same part.
            found = data.find(HEAD_END, start, end)
            if found >= 0:
                return found + len(HEAD_END)
        return end

    def _parse(self, part: bytes) -> None:
        body, before = self._payload, self._body_bytes
        super().data_received(part)
        if self._exception is not None:
            self._fail_payload(self._exception)
            return
        known = before if self._payload is body else 0
        self._overhead_bytes += len(part) - (self._body_bytes - known)
        allowed = MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * self._body_bytes
        if self._overhead_bytes > allowed:
            self._refuse("bytes without end that are no part of a body")
        elif len(self._buffer) > MAX_QUEUED_RESPONSES:
            self._refuse("responses without end")

    @property
    def _body_bytes(self) -> int:
        """Size of the body that was parsed last, as far as it has come."""
        return 0 if self._payload is None else self._payload.total_bytes

    def _refuse(self, detail: str) -> None:
        exc = aiohttp.http.HttpProcessingError(message=detail)
        self._fail_payload(exc)
        self.set_exception(exc)
        if self.transport is not None:
            self.transport.abort()

    def _fail_payload(self, exc: BaseException) -> None:
        # The parser leaves the reader of a body that it can't go on with waiting.
        payload = self._payload
        if payload is None or payload.is_eof() or payload.exception() is not None:
            return
        payload.set_exception(exc)
