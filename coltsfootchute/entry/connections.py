"""Connections to targets, with limits on data outside of response bodies."""

import asyncio

import aiohttp.client_proto
import aiohttp.http
import aiohttp.streams

__all__ = ["TargetConnection"]

# Maximum bytes outside of bodies: heads, chunk sizes and extensions, trailers and blank
# lines. Allows a head with one header field of the maximum size.
MAX_OVERHEAD_BYTES = 1 << 16
# Further bytes outside of bodies that are allowed for each byte of the body; a chunk of
# one byte has five of them.
MAX_OVERHEAD_RATIO = 8
# Maximum number of responses that wait to be read: interim responses, late responses
# to earlier requests, and the response to the current request.
MAX_QUEUED_RESPONSES = 32
# Data from the socket is passed to the parser in parts, so that the limits also apply
# within one read. In a body, a part may be as large as the data already received of it.
MIN_PART_BYTES = 1 << 12
MAX_PART_BYTES = 1 << 17
HEAD_START = b"HTTP/"
HEAD_END = b"\r\n\r\n"


class TargetConnection(aiohttp.client_proto.ResponseHandler):
    """A connection that is closed if the target exceeds the limits on its data.

    Notes
    -----
    The parser of aiohttp limits the length and number of the lines of a head. It does
    not limit interim and unsolicited responses, blank lines, leading zeros of a chunk
    size, chunk extensions and trailer lines, and it accepts responses without a
    request. Bodies need no limit here, since reading pauses until they are consumed.
    """

    def __init__(self, loop):
        super().__init__(loop)
        self._unparsed = b""
        self._resume_handle: asyncio.Handle | None = None
        self._overhead_bytes = 0
        # Whether a request was sent on this connection before the current one.
        self.is_reused = False
        # Whether the target has ended the connection. Data that the entry itself cuts
        # off, or that a reset does, ends without it.
        self.is_ended_by_target = False
        self._has_request = False
        # Body of the response to the last request; None while that is awaited.
        self._response_payload: aiohttp.streams.StreamReader | None = (
            aiohttp.streams.EMPTY_PAYLOAD
        )

    def set_response_params(self, **params) -> None:
        """Prepare for the response to the next request."""
        self._response_payload = None
        self._overhead_bytes = 0
        self.is_reused = self._has_request
        self._has_request = True
        super().set_response_params(**params)

    def accept_response(self, payload: aiohttp.streams.StreamReader) -> None:
        """Mark a body as that of the current request; no data may follow it."""
        self._response_payload = payload

    @property
    def is_idle(self) -> bool:
        """Whether no response is expected."""
        return self._response_payload is not None and self._response_payload.is_eof()

    def data_received(self, data: bytes) -> None:
        """Parse received data while a response is expected."""
        if not data:
            # aiohttp passes no data when reading resumes; parse what the parser has
            # buffered first.
            self._parse(data)
        data, self._unparsed = self._unparsed + data, b""
        start = 0
        while start < len(data) and self.is_connected() and not self._reading_paused:
            if self.is_idle:
                self._close_with_error(
                    "received data although no request is outstanding"
                )
                return
            part = data[start : self._part_end(data, start)]
            start += len(part)
            self._parse(part)
        if self.is_connected():
            self._unparsed = data[start:]

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume in the next iteration of the loop, or at once after a body.

        Otherwise a reader that consumes all available data would run for as long as
        the target sends, and would block other callers.
        """
        if not resume_parser:
            super().resume_reading(resume_parser)
        elif self._resume_handle is None:
            self._resume_handle = self._loop.call_soon(self._resume)

    def _resume(self) -> None:
        self._resume_handle = None
        if self._reading_paused and self.is_connected():
            super().resume_reading()

    def eof_received(self) -> None:
        """Record that the target has sent all its data."""
        self.is_ended_by_target = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the response, with an error if received data was not parsed."""
        if self._unparsed:
            self._unparsed = b""
            detail = "the connection was lost while reading was paused"
            self._fail_payload(aiohttp.http.HttpProcessingError(message=detail))
        super().connection_lost(exc)

    def _part_end(self, data: bytes, start: int) -> int:
        if self._payload is not None and not self._payload.is_eof():
            size = min(max(MIN_PART_BYTES, self._body_bytes), MAX_PART_BYTES)
            return start + size
        end = start + MIN_PART_BYTES
        if data.startswith(HEAD_START, start):
            # End the part with the head: the parser drops a response if an error
            # follows in the same part.
            found = data.find(HEAD_END, start, end)
            if found >= 0:
                return found + len(HEAD_END)
        return end

    def _parse(self, part: bytes) -> None:
        payload_before, bytes_before = self._payload, self._body_bytes
        super().data_received(part)
        if self._exception is not None:
            self._fail_payload(self._exception)
            return
        counted_bytes = bytes_before if self._payload is payload_before else 0
        self._overhead_bytes += len(part) - (self._body_bytes - counted_bytes)
        allowed = MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * self._body_bytes
        if self._overhead_bytes > allowed:
            self._close_with_error(
                f"received more than {allowed} bytes outside of response bodies"
            )
        elif len(self._buffer) > MAX_QUEUED_RESPONSES:
            self._close_with_error(
                f"more than {MAX_QUEUED_RESPONSES} responses wait to be read"
            )

    @property
    def _body_bytes(self) -> int:
        """Bytes received so far of the body that was parsed last."""
        return 0 if self._payload is None else self._payload.total_bytes

    def _close_with_error(self, detail: str) -> None:
        exc = aiohttp.http.HttpProcessingError(message=detail)
        self._fail_payload(exc)
        self.set_exception(exc)
        if self.transport is not None:
            self.transport.abort()

    def _fail_payload(self, exc: BaseException) -> None:
        # After an error the parser does not wake the reader of a body, which would wait
        # for more data.
        payload = self._payload
        if payload is None or payload.is_eof() or payload.exception() is not None:
            return
        payload.set_exception(exc)
