"""Limits on the heads of callers' requests, which the state in force sets."""

import collections.abc
import typing

import aiohttp.http
import aiohttp.streams
import aiohttp.web
import aiohttp.web_protocol

from coltsfootchute import declarations, logs

__all__ = ["Limit", "LimitedHeads"]

# Limits of the HTTP library, which apply to connections from their start on. They are
# above every head that the limit in force allows.
MAX_LINE_BYTES = 1 << 20
MAX_FIELDS = 1 << 15
# Limit on the request line, in addition to that on the header fields.
MAX_REQUEST_LINE_BYTES = 8190
# Maximum bytes of a body outside of its content: chunk sizes, extensions and trailers.
MAX_OVERHEAD_BYTES = 1 << 16
# Further such bytes for each byte of content; a chunk of one byte has five of them.
MAX_OVERHEAD_RATIO = 8
# Bytes of a field besides its name and value.
SEPARATOR_BYTES = len(": \r\n")
TOO_LARGE_STATUS = 431

Limit = collections.abc.Callable[[], int]


def _default_limit() -> int:
    return declarations.Limits().max_header_bytes


class LimitedHeads(aiohttp.web.RequestHandler):
    """A caller's connection on which the limit in force applies to each head.

    Parameters
    ----------
    manager
        The server.
    max_head_bytes
        Returns the limit on the header fields of a request; None for the default of
        declarations.
    options
        Options of the base class.

    Notes
    -----
    A head that does not end is refused at the limit too, so a connection holds at most
    this many bytes and a request line of a head that arrives slowly.
    """

    def __init__(
        self,
        manager: aiohttp.web.Server,
        max_head_bytes: Limit | None,
        **options: typing.Any,
    ):
        super().__init__(
            manager,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_FIELDS,
            **options,
        )
        self._max_head_bytes = max_head_bytes or _default_limit
        # Bytes received since the last complete head, while no body is arriving.
        self._head_bytes = 0
        self._overhead_bytes = 0
        self._body: aiohttp.streams.StreamReader | None = None
        self._is_refused = False

    def data_received(self, data: bytes) -> None:
        """Parse received data, and refuse a head that is too large."""
        if self._is_refused:
            return
        body, count = self._body, self._request_count
        received = body.total_bytes if body is not None else 0
        is_body = body is not None and not body.is_eof()
        super().data_received(data)
        if self._request_count > count:
            self._head_bytes = self._overhead_bytes = 0
            self._check_last()
        elif is_body:
            self._count_overhead(len(data) - (body.total_bytes - received))
        else:
            self._head_bytes += len(data)
            if self._head_bytes > self._max_head_bytes() + MAX_REQUEST_LINE_BYTES:
                self._refuse_head()

    def _check_last(self) -> None:
        """Check the head that has just become complete."""
        message, self._body = self._messages[-1]
        if not isinstance(message, aiohttp.http.RawRequestMessage):
            return
        size = sum(
            len(name) + len(value) + SEPARATOR_BYTES
            for name, value in message.raw_headers
        )
        if size > self._max_head_bytes():
            self._messages.pop()
            self._request_count -= 1
            self._refuse_head()

    def _refuse_head(self) -> None:
        self._is_refused = True
        limit = self._max_head_bytes()
        detail = f"the header fields are larger than {limit} bytes"
        logs.log_event("entry", "refused a head", detail=detail)
        error = aiohttp.web_protocol._ErrInfo(
            status=TOO_LARGE_STATUS,
            exc=aiohttp.http.HttpProcessingError(code=TOO_LARGE_STATUS, message=detail),
            message=detail,
        )
        self._request_count += 1
        self._messages.append((error, aiohttp.streams.EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _count_overhead(self, size: int) -> None:
        self._overhead_bytes += size
        content = MAX_OVERHEAD_RATIO * self._body.total_bytes
        if self._overhead_bytes > MAX_OVERHEAD_BYTES + content:
            self._is_refused = True
            self.force_close()

    def handle_error(
        self,
        request: aiohttp.web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> aiohttp.web.StreamResponse:
        """Return the answer to a request that could not be parsed.

        The message of the parser quotes the head, which may contain a key, so neither
        the answer nor the log contains it.
        """
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        if status != TOO_LARGE_STATUS:
            message = "the request could not be parsed"
            kind = type(exc).__name__
            logs.log_event("entry", "unreadable head", status=status, kind=kind)
        response = aiohttp.web.Response(status=status, text=message)
        response.headers["Connection"] = "close"
        response.force_close()
        return response
