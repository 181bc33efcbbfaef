"""File format of the store: records with checksums, each made of frames.

A record is a header (magic, length, CRC32 of the content, CRC32 of the header)
followed by its content, a sequence of frames (kind, length, protobuf message).
Everything that one sync makes durable is one record, so a crash can tear only the
last record of a file. The checksum of the header distinguishes a torn record from
a damaged length field.
"""

import collections.abc
import enum
import struct
import zlib

from coltsfootchute import errors

__all__ = ["Kind", "pack_record", "parse_frames", "parse_records"]

MAGIC = b"\xc5\x17AG"
HEADER = struct.Struct("<4sII")
CHECKSUM = struct.Struct("<I")
FRAME = struct.Struct("<BI")
HEADER_BYTES = HEADER.size + CHECKSUM.size

FrameT = tuple[int, bytes]


class Kind(enum.IntEnum):
    """Type of the data in a frame."""

    HARD_STATE = 1
    ENTRY = 2
    SNAPSHOT_META = 3
    SNAPSHOT_DATA = 4
    IDENTITY = 5
    RESET = 6  # A received snapshot or a rewrite replaces all entries before it.


def pack_record(frames: collections.abc.Iterable[FrameT]) -> bytes:
    """Serialize frames as one record.

    Parameters
    ----------
    frames
        Kind and content of each frame.
    """
    content = b"".join(
        part for kind, data in frames for part in (FRAME.pack(kind, len(data)), data)
    )
    header = HEADER.pack(MAGIC, len(content), zlib.crc32(content))
    return header + CHECKSUM.pack(zlib.crc32(header)) + content


def _parse_record_at(data: memoryview, offset: int) -> tuple[int, memoryview | None]:
    """Return the end offset and the content of the record at an offset.

    The content is `None` if the record is torn or damaged; the end offset is 0 if
    the header is.
    """
    header = data[offset : offset + HEADER.size]
    start = offset + HEADER_BYTES
    if start > len(data) or header[:4] != MAGIC:
        return 0, None
    (checksum,) = CHECKSUM.unpack_from(data, offset + HEADER.size)
    if zlib.crc32(header) != checksum:
        return 0, None
    _, length, checksum = HEADER.unpack(header)
    content = data[start : start + length]
    intact = len(content) == length and zlib.crc32(content) == checksum
    return start + length, content if intact else None


def _has_record_after(data: bytes, offset: int) -> bool:
    """Return whether an intact record starts after an offset."""
    view = memoryview(data)
    while (offset := data.find(MAGIC, offset + 1)) >= 0:
        if _parse_record_at(view, offset)[1] is not None:
            return True
    return False


def parse_records(data: bytes, may_be_torn: bool) -> tuple[list[memoryview], int]:
    """Return the contents of the records in a file and their total size in bytes.

    Parameters
    ----------
    data
        Content of the file.
    may_be_torn
        Whether a torn last record is tolerated; it is then left out.

    Raises
    ------
    coltsfootchute.errors.DamagedStoreError
        If a record is damaged that had been synced.

    Notes
    -----
    Takes O(size) time. A record that is not intact counts as the torn last record
    only if no intact record follows it and, where its header is intact, the length
    in the header reaches the end of the file.
    """
    view = memoryview(data)
    contents, offset = [], 0
    while offset < len(data):
        end, content = _parse_record_at(view, offset)
        if content is None:
            torn = end >= len(data) or not end
            if torn and may_be_torn and not _has_record_after(data, offset):
                break
            raise errors.DamagedStoreError(
                f"damaged record at byte {offset} of {len(data)}"
            )
        contents.append(content)
        offset = end
    return contents, offset


def parse_frames(content: memoryview) -> collections.abc.Iterator[FrameT]:
    """Yield the kind and the content of each frame in a record.

    Parameters
    ----------
    content
        The content of an intact record.
    """
    offset = 0
    while offset < len(content):
        kind, length = FRAME.unpack_from(content, offset)
        offset += FRAME.size
        yield kind, bytes(content[offset : offset + length])
        offset += length
