"""One attempt: a request sent to one target, and the response of the target."""

import asyncio
import collections.abc
import contextlib
import typing

import aiohttp
import aiohttp.connector
import aiohttp.http
import aiohttp.streams
import multidict

from coltsfootchute import verdicts
from coltsfootchute.entry import connections

__all__ = [
    "Attempt",
    "AttemptError",
    "Body",
    "TruncatedError",
    "strip_hop_by_hop",
]

# Limit on the bodies of responses to earlier requests that are skipped while the
# response to the current request is awaited.
MAX_SKIPPED_BYTES = 1 << 18
# Maximum size of the body of a response to a probe.
MAX_PROBE_RESPONSE_BYTES = 1 << 16
READ_BUFFER_BYTES = 1 << 16
MAX_HEAD_FIELD_BYTES = 1 << 15
# Error messages of the parser quote the input that it could not parse.
MAX_DETAIL_CHARS = 200
VALID_STATUSES = range(100, 600)  # RFC 9110, section 15.

HOP_BY_HOP = (
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
)


class AttemptError(Exception):
    """An attempt failed.

    Parameters
    ----------
    verdict
        Whether the request may have run.
    reason
        Why it failed.
    detail
        Description for people.
    is_possible_crash
        Whether the connection was lost while the request may have been running,
        which counts as a possible crash of the target.
    """

    def __init__(
        self,
        verdict: verdicts.Verdict,
        reason: verdicts.Reason,
        detail: str,
        is_possible_crash: bool = False,
    ):
        super().__init__(detail)
        self.verdict = verdict
        self.reason = reason
        self.detail = detail
        self.is_possible_crash = is_possible_crash


class TruncatedError(Exception):
    """The target's response ended before it was complete."""


class Body(typing.NamedTuple):
    """The body of a request.

    Parameters
    ----------
    head
        The bytes that are in memory; the whole body if `rest` is None.
    rest
        Iterator over the remaining parts, which can be consumed only once.
    """

    head: bytes
    rest: collections.abc.AsyncIterator[bytes] | None


class Attempt:
    """One attempt and, once the head of the response has arrived, its response.

    Notes
    -----
    `written` is set before the first byte is passed to the transport, so that it is
    correct also if the attempt is cancelled.
    """

    __slots__ = (
        "_body_task",
        "_conn",
        "_protocol",
        "body_error",
        "buffered_parts",
        "headers",
        "message",
        "must_close",
        "payload",
        "request_id",
        "revision",
        "started_s",
        "was_shed",
        "written",
    )

    def __init__(self):
        self._conn: aiohttp.connector.Connection | None = None
        self._protocol: connections.TargetConnection | None = None
        self._body_task: asyncio.Task[None] | None = None
        self.body_error: AttemptError | None = None
        self.started_s = 0.0
        # Revision in force at the entry when the attempt started.
        self.revision = 0
        self.written = False
        # Whether the target responded that it did not run the request.
        self.was_shed = False
        # Whether the response was overdue, so that the connection is not used again.
        self.must_close = False
        self.message: typing.Any = None
        self.payload: aiohttp.StreamReader | None = None
        self.headers: multidict.CIMultiDict[str] | None = None
        # Name and value of the request id header, which the target echoes. The value
        # is None if the request has no id; then its response has none either.
        self.request_id: tuple[str, str | None] | None = None
        # Parts of the response body that `read_ahead` buffered.
        self.buffered_parts: list[bytes] = []

    @property
    def close_delimited(self) -> bool:
        """Whether the response body ends only when the connection closes."""
        return not (
            self.message.chunked
            or "Content-Length" in self.message.headers
            or self.payload is aiohttp.streams.EMPTY_PAYLOAD
        )

    async def read(self) -> bytes:
        """Return the next part of the response body, or empty bytes at its end.

        Raises
        ------
        TruncatedError
            If the response is incomplete.
        """
        if self.buffered_parts:
            return self.buffered_parts.pop(0)
        try:
            return await self.payload.readany()
        except (aiohttp.ClientError, aiohttp.http.HttpProcessingError, OSError) as exc:
            raise TruncatedError(_short_message(exc)) from exc

    async def discard_body(self, limit: int) -> None:
        """Read the response body to its end and discard it.

        Parameters
        ----------
        limit
            Maximum size of the body in bytes.

        Raises
        ------
        TruncatedError
            If the response is incomplete, or its body is larger.
        """
        size = 0
        while part := await self.read():
            size += len(part)
            if size > limit:
                raise TruncatedError(f"the response body is larger than {limit} bytes")
        if self.close_delimited:
            self.check_end()

    async def read_ahead(self, limit: int) -> None:
        """Buffer the response body up to its end or to a limit.

        Parameters
        ----------
        limit
            Number of bytes after which no further part is read.

        Raises
        ------
        AttemptError
            If the response is incomplete.
        """
        parts, size = [], 0
        try:
            while size < limit:
                part = await self.read()
                if not part:
                    break
                parts.append(part)
                size += len(part)
            if self.close_delimited and self.payload.is_eof():
                self.check_end()
        except TruncatedError as exc:
            raise self.body_error or _connection_lost(exc) from exc
        self.buffered_parts = parts

    @property
    def is_fully_read(self) -> bool:
        """Whether the whole response body has been read."""
        return not self.buffered_parts and self.payload.at_eof()

    def check_end(self) -> None:
        """Check that the target ended the connection of a close-delimited response.

        Raises
        ------
        TruncatedError
            If it was reset, or closed by the entry because the upload failed. The
            parser treats both as the end of the response.
        """
        exc = self._protocol.exception()
        if isinstance(exc, OSError):
            raise TruncatedError(str(exc))
        if not self._protocol.is_ended_by_target:
            raise TruncatedError("the target has not ended its response")

    def finish(self) -> None:
        """Return the connection to the pool, or close it if data is outstanding."""
        task, self._body_task = self._body_task, None
        conn, self._conn = self._conn, None
        if conn is None:
            return
        if task is not None and not task.done():
            task.cancel()
            conn.close()
        elif self.must_close or self.payload is None or not self.payload.is_eof():
            conn.close()
        else:
            conn.release()

    def abort(self) -> None:
        """Close the connection, regardless of what was sent or received."""
        task, self._body_task = self._body_task, None
        conn, self._conn = self._conn, None
        if task is not None:
            task.cancel()
        if conn is not None:
            conn.close()

    async def send(
        self,
        conn: aiohttp.connector.Connection,
        request_line: str,
        headers: multidict.CIMultiDict[str],
        body: Body,
        head_only: bool,
    ) -> None:
        """Write the request and wait for the head of the response.

        Raises
        ------
        AttemptError
            If the attempt failed; the error holds the verdict.
        """
        self._conn = conn
        protocol = self._protocol = conn.protocol
        protocol.set_response_params(
            skip_payload=head_only,
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEAD_FIELD_BYTES,
            max_field_size=MAX_HEAD_FIELD_BYTES,
        )
        writer = aiohttp.http.StreamWriter(protocol, protocol._loop)
        if body.rest is not None and "Content-Length" not in headers:
            writer.enable_chunking()
            headers["Transfer-Encoding"] = "chunked"
        await writer.write_headers(request_line, headers)
        if not protocol.is_connected():
            raise AttemptError(
                verdicts.Verdict.NOT_RUN,
                verdicts.Reason.CONNECTION_FAILED,
                "the connection was closed before the request was written",
            )
        self.written = True
        try:
            await self._write(writer, body)
            await self._read_head()
        except (aiohttp.ClientError, aiohttp.http.HttpProcessingError, OSError) as exc:
            raise self.body_error or _connection_lost(exc) from exc

    async def _write(self, writer: aiohttp.http.StreamWriter, body: Body) -> None:
        if body.rest is None:
            await writer.write_eof(body.head)
            return
        await writer.write(body.head)
        self._body_task = asyncio.ensure_future(self._send_rest(writer, body.rest))

    async def _send_rest(
        self,
        writer: aiohttp.http.StreamWriter,
        rest: collections.abc.AsyncIterator[bytes],
    ) -> None:
        try:
            async for part in rest:
                await writer.write(part)
            await writer.write_eof()
        except AttemptError as exc:
            self._fail_body(exc)
        except (aiohttp.ClientError, OSError):
            # The response of the target, if one arrives, is more informative.
            return
        except Exception as exc:
            error = AttemptError(
                verdicts.Verdict.MAY_HAVE_RUN, verdicts.Reason.BAD_REQUEST, str(exc)
            )
            self._fail_body(error)

    def _fail_body(self, error: AttemptError) -> None:
        self.body_error = error
        if self._protocol.transport is not None:
            self._protocol.transport.abort()

    async def _read_head(self) -> None:
        skipped = 0
        message, payload = await self._read_message()
        while 100 <= message.code < 200 or self._is_for_other_request(message):
            if message.code == 101:
                raise aiohttp.ClientPayloadError("the target switched protocols")
            if message.code >= 200:
                skipped = await self._skip(payload, skipped)
            message, payload = await self._read_message()
        self._check_owner(message)
        self._protocol.accept_response(payload)
        self.message = message
        self.payload = payload
        self.headers = multidict.CIMultiDict(message.headers)
        strip_hop_by_hop(self.headers)

    async def _read_message(self) -> tuple[typing.Any, aiohttp.StreamReader]:
        """Return the next head with its body; the parser accepts any three digits."""
        message, payload = await self._protocol.read()
        if message.code not in VALID_STATUSES:
            raise aiohttp.http.HttpProcessingError(
                message=f"invalid status {message.code:03d} of a response"
            )
        return message, payload

    def _is_for_other_request(self, message: typing.Any) -> bool:
        """Return whether a response carries the id of another request."""
        if self.request_id is None:
            return False
        name, value = self.request_id
        return message.headers.get(name, value) != value

    def _check_owner(self, message: typing.Any) -> None:
        """Check that a response on a reused connection states its request.

        A target may send a response twice, and the second one may arrive only after
        the next request was written. Without an id it is not known which request
        such a response, or a statement in it that the request did not run, is for.
        """
        name, value = self.request_id or ("", None)
        if value is None or not self._protocol.is_reused:
            return
        if name not in message.headers:
            raise aiohttp.http.HttpProcessingError(
                message=f"a response on a kept-alive connection lacks the header {name}"
            )

    async def _skip(self, payload: aiohttp.StreamReader, skipped: int) -> int:
        # The target sent this response before it read the current request, so the
        # response to the current request is still to come.
        self._protocol.force_close()
        while part := await payload.readany():
            skipped += len(part)
            if skipped > MAX_SKIPPED_BYTES:
                raise aiohttp.http.HttpProcessingError(
                    message=f"skipped {skipped} bytes of responses to earlier requests"
                )
        return skipped


def strip_hop_by_hop(headers: multidict.CIMultiDict[str]) -> None:
    """Remove the headers that apply to one connection only (RFC 9110, 7.6.1)."""
    if "Connection" in headers:
        for value in headers.getall("Connection"):
            for name in value.split(","):
                with contextlib.suppress(KeyError):
                    headers.popall(name.strip())
    for name in HOP_BY_HOP:
        if name in headers:
            headers.popall(name, None)


def _connection_lost(exc: Exception) -> AttemptError:
    return AttemptError(
        verdicts.Verdict.MAY_HAVE_RUN,
        verdicts.Reason.CONNECTION_LOST,
        _short_message(exc),
        is_possible_crash=not isinstance(exc, aiohttp.http.HttpProcessingError),
    )


def _short_message(exc: Exception) -> str:
    """Return the message of an error on one short line."""
    return " ".join((str(exc) or type(exc).__name__)[:MAX_DETAIL_CHARS].split())
