"""Ends of request bodies in the bytes of a connection."""

import enum

import aiohttp.http

__all__ = ["BodyFraming", "framing_of"]

# Of a line with the size of a chunk, only its begin is kept, because its extension may
# be long.
MAX_KEPT_BYTES = 32
LINE_END = b"\n"
CHUNK_END_BYTES = len(b"\r\n")


class _Part(enum.Enum):
    """Part of a chunked body that the next byte belongs to."""

    SIZE = "size"
    CONTENT = "content"
    TRAILER = "trailer"


class BodyFraming:
    """Finds the end of one request body.

    Parameters
    ----------
    length
        Length of the body in bytes; None for a chunked body.

    Attributes
    ----------
    is_complete : bool
        Whether the last byte of the body was found.

    Notes
    -----
    The HTTP library parses the body and refuses a malformed one. The framing only
    tells which bytes can be handed to it together, in time O(bytes) for a body of
    known length and O(lines) for a chunked one.

    References
    ----------
    RFC 9112, section 7.1.
    """

    def __init__(self, length: int | None):
        self._part = _Part.SIZE if length is None else _Part.CONTENT
        self._is_chunked = length is None
        self._remaining = length or 0
        self._line = b""
        self.is_complete = length == 0

    def find_end(self, data: bytes, start: int) -> int:
        """Return the position in `data` up to which bytes belong to the body.

        Parameters
        ----------
        data
            Received bytes.
        start
            Position of the first byte that was not passed before.
        """
        while start < len(data) and not self.is_complete:
            if self._part is _Part.CONTENT:
                start = self._skip_content(data, start)
            elif self._part is _Part.SIZE and not self._line:
                start = self._skip_chunks(data, start)
            else:
                start = self._skip_line(data, start)
        return start

    def _skip_chunks(self, data: bytes, start: int) -> int:
        """Skip whole chunks; in one loop, because chunks may have a single byte."""
        while (position := data.find(LINE_END, start)) >= 0:
            try:
                size = int(data[start:position].partition(b";")[0], 16)
            except ValueError:
                break
            end = position + 1 + size + CHUNK_END_BYTES
            if not size or end > len(data):
                break
            start = end
        return self._skip_line(data, start) if start < len(data) else start

    def _skip_content(self, data: bytes, start: int) -> int:
        skipped = min(self._remaining, len(data) - start)
        self._remaining -= skipped
        if not self._remaining:
            self._part = _Part.SIZE
            self.is_complete = not self._is_chunked
        return start + skipped

    def _skip_line(self, data: bytes, start: int) -> int:
        position = data.find(LINE_END, start)
        end = len(data) if position < 0 else position + 1
        kept = min(end, start + MAX_KEPT_BYTES - len(self._line))
        self._line += data[start:kept]
        if position >= 0:
            line, self._line = self._line.strip(), b""
            self._end_line(line)
        return end

    def _end_line(self, line: bytes) -> None:
        if self._part is _Part.TRAILER:
            self.is_complete = not line
            return
        try:
            size = int(line.partition(b";")[0], 16)
        except ValueError:
            # The library refuses the request.
            self.is_complete = True
            return
        self._part = _Part.CONTENT if size else _Part.TRAILER
        self._remaining = size + CHUNK_END_BYTES


def framing_of(message: aiohttp.http.RawRequestMessage) -> BodyFraming | None:
    """Return the framing of the body of a request, or None if it has no body."""
    if message.chunked:
        return BodyFraming(None)
    length = message.headers.get("Content-Length", "")
    return BodyFraming(int(length)) if length.isdecimal() and int(length) else None
