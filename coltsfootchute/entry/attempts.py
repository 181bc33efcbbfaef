"""One attempt: a request written to one target, and its response."""

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

# Most bytes of bodies that belong to earlier requests; more are not skipped.
MAX_SKIPPED_BYTES = 1 << 18
# Largest body of a response to a probe.
MAX_PROBE_RESPONSE_BYTES = 1 << 16
READ_BUFFER_BYTES = 1 << 16
MAX_HEAD_FIELD_BYTES = 1 << 15
# The parser quotes what it could not read in the message of its error.
MAX_DETAIL_CHARS = 200

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
        One sentence for people.
    is_possible_crash
        Whether the connection broke while the request may have run, which
        counts as a possible crash of the target.
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
        The bytes that are in memory; all of them if `rest` is None.
    rest
        The remaining parts, which can be read once.
    """

    head: bytes
    rest: collections.abc.AsyncIterator[bytes] | None


class Attempt:
    """One attempt and, once it has a response head, its response.

    Notes
    -----
    `written` is set before the first byte is given to the transport, so it
    holds also when the attempt is cancelled.
    """

    __slots__ = (
        "_conn",
        "_protocol",
        "_pump",
        "body_error",
        "headers",
        "message",
        "parts",
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
        self._pump: asyncio.Task[None] | None = None
        self.body_error: AttemptError | None = None
        self.started_s = 0.0
        # In force at the entry when the attempt started.
        self.revision = 0
        self.written = False
        # The target answered that it did not run the request.
        self.was_shed = False
        self.message: typing.Any = None
        self.payload: aiohttp.StreamReader | None = None
        self.headers: multidict.CIMultiDict[str] | None = None
        # Name and value of the header that the target echoes.
        self.request_id: tuple[str, str] | None = None
        # Parts of the response body that were read ahead.
        self.parts: list[bytes] = []

    @property
    def close_delimited(self) -> bool:
        """Whether only the end of the connection ends the response."""
        return not (
            self.message.chunked
            or "Content-Length" in self.message.headers
            or self.payload is aiohttp.streams.EMPTY_PAYLOAD
        )

    async def read(self) -> bytes:
        """Return the next part of the response body; empty at its end.

        Raises
        ------
        TruncatedError
            If the response is incomplete.
        """
        if self.parts:
            return self.parts.pop(0)
        try:
            return await self.payload.readany()
        except (aiohttp.ClientError, aiohttp.http.HttpProcessingError, OSError) as exc:
            raise TruncatedError(_detail(exc)) from exc

    async def discard_body(self, limit: int) -> None:
        """Read the response body to its end and keep nothing of it.

        Parameters
        ----------
        limit
            Most bytes to read.

        Raises
        ------
        TruncatedError
            If the response is incomplete, or its body is larger.
        """
        size = 0
        while part := await self.read():
            size += len(part)
            if size > limit:
                raise TruncatedError(f"a body of more than {limit} bytes")

    async def read_ahead(self, limit: int) -> None:
        """Read the response body to its end, or up to a bound.

        Parameters
        ----------
        limit
            Most bytes to hold in memory.

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
            raise _lost(exc) from exc
        self.parts = parts

    @property
    def has_ended(self) -> bool:
        """Whether nothing of the response body is left to be read."""
        return not self.parts and self.payload.at_eof()

    def check_end(self) -> None:
        """Check the end of a response that the connection ends.

        Raises
        ------
        TruncatedError
            If the connection was reset; the parser takes that for the end.
        """
        exc = self._protocol.exception()
        if isinstance(exc, OSError):
            raise TruncatedError(str(exc))

    def finish(self) -> None:
        """Return the connection to the pool if its response was read whole."""
        pump, self._pump = self._pump, None
        conn, self._conn = self._conn, None
        if conn is None:
            return
        if pump is not None and not pump.done():
            pump.cancel()
            conn.close()
        elif self.payload is None or not self.payload.is_eof():
            conn.close()
        else:
            conn.release()

    def abort(self) -> None:
        """Close the connection, whatever was sent or received."""
        pump, self._pump = self._pump, None
        conn, self._conn = self._conn, None
        if pump is not None:
            pump.cancel()
        if conn is not None:
            conn.close()

    async def send(
        self,
        conn: aiohttp.connector.Connection,
        line: str,
        headers: multidict.CIMultiDict[str],
        body: Body,
        head_only: bool,
    ) -> None:
        """Write the request and wait for the head of the response.

        Raises
        ------
        AttemptError
            With the verdict.
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
        await writer.write_headers(line, headers)
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
            raise self.body_error or _lost(exc) from exc

    async def _write(self, writer: aiohttp.http.StreamWriter, body: Body) -> None:
        if body.rest is None:
            await writer.write_eof(body.head)
            return
        await writer.write(body.head)
        self._pump = asyncio.ensure_future(self._send_rest(writer, body.rest))

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
            # The target's response, if there is one, says more.
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
        message, payload = await self._protocol.read()
        while 100 <= message.code < 200 or self._is_foreign(message):
            if message.code == 101:
                raise aiohttp.ClientPayloadError("the target switched protocols")
            if message.code >= 200:
                skipped = await self._skip(payload, skipped)
            message, payload = await self._protocol.read()
        self._protocol.accept(payload)
        self.message = message
        self.payload = payload
        self.headers = multidict.CIMultiDict(message.headers)
        strip_hop_by_hop(self.headers)

    def _is_foreign(self, message: typing.Any) -> bool:
        """Tell whether a response names another request than this one."""
        if self.request_id is None:
            return False
        name, value = self.request_id
        return message.headers.get(name, value) != value

    async def _skip(self, payload: aiohttp.StreamReader, size: int) -> int:
        # The target wrote it before it read this request; the own one follows.
        self._protocol.force_close()
        while part := await payload.readany():
            size += len(part)
            if size > MAX_SKIPPED_BYTES:
                raise aiohttp.http.HttpProcessingError(
                    message="responses to other requests without end"
                )
        return size


def strip_hop_by_hop(headers: multidict.CIMultiDict[str]) -> None:
    """Remove the headers that concern one connection only (RFC 9110, 7.6.1)."""
    if "Connection" in headers:
        for value in headers.getall("Connection"):
            for name in value.split(","):
                with contextlib.suppress(KeyError):
                    headers.popall(name.strip())
    for name in HOP_BY_HOP:
        if name in headers:
            headers.popall(name, None)


def _lost(exc: Exception) -> AttemptError:
    return AttemptError(
        verdicts.Verdict.MAY_HAVE_RUN,
        verdicts.Reason.CONNECTION_LOST,
        _detail(exc),
        is_possible_crash=not isinstance(exc, aiohttp.http.HttpProcessingError),
    )


def _detail(exc: Exception) -> str:
    """Return the message of an error on one short line."""
    return " ".join((str(exc) or type(exc).__name__)[:MAX_DETAIL_CHARS].split())
