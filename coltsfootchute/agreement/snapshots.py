"""Transfer of snapshots in chunks."""

from coltsfootchute.agreement import records
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["SnapshotAssembler", "make_chunk", "make_empty_chunk"]


def make_chunk(
    snapshot: records.Snapshot, offset: int, size: int, round_: int
) -> pb.SnapshotChunk:
    """Return one chunk of a snapshot.

    Parameters
    ----------
    snapshot
        The snapshot to send.
    offset
        Position in its data, in bytes.
    size
        Size of a chunk, in bytes.
    round_
        The `round` of the message, which is its time of sending.
    """
    data = bytes(snapshot.data[offset : offset + size])
    return pb.SnapshotChunk(
        meta=snapshot.meta,
        offset=offset,
        data=data,
        last=offset + len(data) >= len(snapshot.data),
        round=round_,
    )


def make_empty_chunk(
    snapshot: records.Snapshot, offset: int, round_: int
) -> pb.SnapshotChunk:
    """Return a chunk without data, whose reply tells which offset is needed next.

    Parameters
    ----------
    snapshot
        The snapshot in transfer.
    offset
        Position in its data of the chunk in flight, in bytes.
    round_
        The `round` of the message, which is its time of sending.
    """
    return pb.SnapshotChunk(meta=snapshot.meta, offset=offset, round=round_)


class SnapshotAssembler:
    """Collects the chunks of one snapshot."""

    def __init__(self):
        self._meta: pb.SnapshotMeta | None = None
        self._data = bytearray()

    def add(self, chunk: pb.SnapshotChunk) -> records.Snapshot | None:
        """Add a chunk and return the snapshot if it is complete.

        A chunk of another snapshot discards the chunks collected so far. A chunk out
        of order is dropped.

        Parameters
        ----------
        chunk
            The chunk.
        """
        if self._meta is None or self._key(self._meta) != self._key(chunk.meta):
            self._meta = chunk.meta
            self._data = bytearray()
        if chunk.offset != len(self._data):
            return None
        self._data += chunk.data
        if not chunk.last:
            return None
        snapshot = records.Snapshot(self._meta, bytes(self._data))
        self.clear()
        return snapshot

    @staticmethod
    def _key(meta: pb.SnapshotMeta) -> tuple[int, int]:
        return meta.index, meta.term

    @property
    def next_offset(self) -> int:
        """Offset of the next chunk, in bytes."""
        return len(self._data)

    def clear(self) -> None:
        """Discard an incomplete snapshot."""
        self._meta = None
        self._data = bytearray()
