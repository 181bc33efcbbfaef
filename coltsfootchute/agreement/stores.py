"""Durable storage of a replica's state in files."""

import collections.abc
import contextlib
import dataclasses
import os
import random

from coltsfootchute import errors, ids
from coltsfootchute.agreement import disks, frames, records
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["FileStore"]

IDENTITY = "identity"
LOCK = "lock"
LOG_PREFIX = "log-"
SNAPSHOT_PREFIX = "snapshot-"
TEMPORARY_SUFFIX = ".tmp"
MEMBER_ID_BITS = 128


@dataclasses.dataclass(slots=True)
class Segment:
    """A file of the log.

    Parameters
    ----------
    name
        ``log-<first index>-<sequence>``. The files are ordered by the sequence,
        because after a change of the leader a later file may start at a lower index.
    max_index
        Greatest index of any entry in the file.
    """

    name: str
    max_index: int = 0

    @property
    def sequence(self) -> int:
        """Position of the file in the order of the files."""
        return int(self.name.rpartition("-")[2])


class FileStore:
    """The data folder of one instance.

    Parameters
    ----------
    folder
        The data folder; created if absent.
    name
        Name of the instance. Data written under another name is moved to a
        folder ``foreign-<member id>``, and the instance gets a new member id.
    disk
        The file operations; those of the local file system if absent.
    rng
        Source of randomness for a new member id; `random.SystemRandom` if absent.

    Attributes
    ----------
    member_id
        Random id, created when the folder was first opened.
    saved
        The state read when the folder was opened, for `Replica`. The caller sets it
        to `None` to free the memory.

    Raises
    ------
    coltsfootchute.errors.FolderInUseError
        If another process uses the folder.
    coltsfootchute.errors.DamagedStoreError
        If stored data is damaged, except for a torn last record.

    Notes
    -----
    An append costs one write and one sync. Opening reads the snapshot and the entries
    since the snapshot before it, and syncs what it reads: the previous process may
    have been killed before its sync, and a replica acknowledges the entries from which
    it starts without writing them again.
    """

    def __init__(
        self,
        folder: str,
        name: str,
        disk: disks.Disk | None = None,
        rng: random.Random | None = None,
    ):
        self._folder = folder
        self._rng = rng or random.SystemRandom()
        self._disk = disk or disks.LocalDisk()
        self._is_usable = True
        self._segments: list[Segment] = []
        self._hard_state = pb.HardState()
        self._disk.make_folder(folder)
        self._release_lock = self._disk.lock(self._path(LOCK))
        try:
            self._sync_folder()
            self.member_id = self._open_identity(name)
            self.saved: records.SavedState | None = self._read_state()
        except OSError as exc:
            self.close()
            raise errors.StoreError(f"can't open data folder {folder}: {exc}") from exc
        except BaseException:
            self.close()
            raise

    def _path(self, name: str) -> str:
        """Return the path of a file in the folder."""
        return os.path.join(self._folder, name)

    def _names(self, prefix: str) -> list[str]:
        """Return the sorted names of the files that start with a prefix."""
        return sorted(n for n in self._disk.names(self._folder) if n.startswith(prefix))

    # Opening.

    def _open_identity(self, name: str) -> ids.MemberId:
        """Return the member id stored in the folder, or create and store a new one."""
        for leftover in self._disk.names(self._folder):
            if leftover.endswith(TEMPORARY_SUFFIX):
                self._disk.remove(self._path(leftover))
        stored = self._read_identity()
        if stored and stored.name == name:
            return ids.MemberId(stored.member_id)
        if stored:
            self._move_foreign_data(stored.member_id)
        member_id = f"{self._rng.getrandbits(MEMBER_ID_BITS):032x}"
        member = pb.Member(member_id=member_id, name=name)
        frame = (frames.Kind.IDENTITY, member.SerializeToString())
        self._write_file(IDENTITY, frames.pack_record([frame]))
        return ids.MemberId(member.member_id)

    def _read_identity(self) -> pb.Member | None:
        """Return the stored identity, or `None` in an empty folder."""
        if IDENTITY in self._disk.names(self._folder):
            ((_, data),) = self._read_frames(IDENTITY)
            return pb.Member.FromString(data)
        if self._names(LOG_PREFIX) or self._names(SNAPSHOT_PREFIX):
            raise errors.DamagedStoreError(f"{self._folder} has data but no identity")
        return None

    def _move_foreign_data(self, member_id: str) -> None:
        """Move the data of another instance to a subfolder, its identity last."""
        foreign = self._path(f"foreign-{member_id}")
        self._disk.make_folder(foreign)
        for name in [*self._names(LOG_PREFIX), *self._names(SNAPSHOT_PREFIX), IDENTITY]:
            self._disk.rename(self._path(name), os.path.join(foreign, name))
        self._disk.sync_folder(foreign)
        self._disk.sync_folder(self._folder)

    def _read_frames(
        self, name: str, may_be_torn: bool = False
    ) -> list[tuple[int, bytes]]:
        """Return the frames in a file; truncate a torn last record."""
        data = self._disk.read(self._path(name))
        try:
            contents, size = frames.parse_records(data, may_be_torn)
        except errors.DamagedStoreError as exc:
            raise errors.DamagedStoreError(f"{self._path(name)}: {exc}") from exc
        if not contents:
            raise errors.DamagedStoreError(f"{self._path(name)} holds no intact record")
        if size < len(data):
            self._disk.truncate(self._path(name), size)
            self._sync(name)
        return [frame for content in contents for frame in frames.parse_frames(content)]

    def _read_state(self) -> records.SavedState:
        """Read the snapshot and the log."""
        snapshot = self._read_snapshot()
        covered = snapshot.meta.index if snapshot else 0
        names = self._names(LOG_PREFIX)
        self._segments = sorted(map(Segment, names), key=lambda s: s.sequence)
        if self._segments:
            self._sync(self._segments[-1].name)
        entries: list[pb.LogEntry] = []
        for segment, contents in self._read_segments():
            for kind, data in contents:
                if kind == frames.Kind.HARD_STATE:
                    self._hard_state = pb.HardState.FromString(data)
                    continue
                if kind == frames.Kind.RESET:
                    entries.clear()
                    continue
                entry = pb.LogEntry.FromString(data)
                segment.max_index = max(segment.max_index, entry.index)
                self._add_loaded_entry(entries, entry, covered)
        entries = self._consistent_entries(entries, snapshot)
        hard_state = pb.HardState.FromString(self._hard_state.SerializeToString())
        if not self._segments:
            self._start_segment(covered + 1, [])
        return records.SavedState(hard_state, snapshot, entries)

    def _read_segments(self) -> list[tuple[Segment, list[frames.FrameT]]]:
        """Return the segments from the last reset on, with their frames.

        The segments before it were replaced and removed. After a crash they may be
        present again, with the torn record that caused the rewrite.
        """
        found = []
        for segment in reversed(self._segments):
            is_last = segment is self._segments[-1]
            contents = self._read_frames(segment.name, may_be_torn=is_last)
            found.append((segment, contents))
            if any(kind == frames.Kind.RESET for kind, _ in contents):
                break
        return found[::-1]

    def _read_snapshot(self) -> records.Snapshot | None:
        """Read the latest snapshot and remove older ones."""
        names = self._names(SNAPSHOT_PREFIX)
        if not names:
            return None
        (_, meta), (_, data) = self._read_frames(names[-1])
        self._remove(names[:-1])
        return records.Snapshot(pb.SnapshotMeta.FromString(meta), data)

    def _add_loaded_entry(
        self, entries: list[pb.LogEntry], entry: pb.LogEntry, covered: int
    ) -> None:
        """Add an entry read from the log; it replaces all entries from its index on."""
        first = entries[0].index if entries else entry.index
        is_gap = entry.index > first + len(entries)
        if is_gap and entry.index > covered + 1:
            raise errors.DamagedStoreError(
                f"{self._folder}: entries {first + len(entries)} to {entry.index - 1}"
                f" are missing; the snapshot covers up to {covered}"
            )
        # After a crash a removed segment may be present again, but not the one after
        # it; the snapshot covers the missing entries.
        del entries[0 if is_gap else max(entry.index - first, 0) :]
        entries.append(entry)

    def _consistent_entries(
        self, entries: list[pb.LogEntry], snapshot: records.Snapshot | None
    ) -> list[pb.LogEntry]:
        """Return the entries if they are consistent with the snapshot, else none."""
        if not entries:
            return entries
        if snapshot is None or entries[0].index > snapshot.meta.index + 1:
            raise errors.DamagedStoreError(
                f"{self._folder}: no snapshot covers entries before {entries[0].index}"
            )
        meta = snapshot.meta
        position = meta.index - entries[0].index
        if position < 0:
            return entries
        # A snapshot received from the leader replaces a log that doesn't hold its
        # last entry. After a crash between the two writes, the old log is left.
        agrees = position < len(entries) and entries[position].term == meta.term
        return entries if agrees else []

    # Writing.

    def append(
        self,
        hard_state: pb.HardState | None,
        entries: collections.abc.Sequence[pb.LogEntry],
        snapshot: records.Snapshot | None = None,
    ) -> None:
        """Store the fields of an `Actions` with one sync.

        A snapshot needs more syncs: it is a separate file and starts a new log.

        Parameters
        ----------
        hard_state
            Term and vote, if they changed.
        entries
            New entries, which replace all stored ones from their first index on.
        snapshot
            A snapshot received from the leader, which replaces the log.

        Raises
        ------
        coltsfootchute.errors.SyncError
            If writing or syncing failed. The stored state is then unknown, and all
            further calls fail; the caller has to open the folder again.
        """
        self._check_usable()
        if hard_state:
            self._hard_state.CopyFrom(hard_state)
        if snapshot:
            with self._unusable_on_error():
                self._write_snapshot(snapshot)
                old = self._segments
                self._segments = []
                next_sequence = old[-1].sequence + 1
                reset = [(frames.Kind.RESET, b"")]
                first = snapshot.meta.index + 1
                self._start_segment(first, entries, next_sequence, reset)
                self._remove([s.name for s in old])
            return
        new_frames = [(frames.Kind.ENTRY, e.SerializeToString()) for e in entries]
        if hard_state:
            new_frames.insert(0, self._hard_state_frame())
        segment = self._segments[-1]
        with self._unusable_on_error():
            self._disk.append(self._path(segment.name), frames.pack_record(new_frames))
            self._sync(segment.name)
        if entries:
            segment.max_index = max(segment.max_index, entries[-1].index)

    def save_snapshot(self, snapshot: records.Snapshot) -> None:
        """Store a snapshot made by `Replica.compact`, then remove what it covers.

        Parameters
        ----------
        snapshot
            The snapshot. The log holds the entries after it.

        Raises
        ------
        coltsfootchute.errors.SyncError
            As for `append`.
        """
        self._check_usable()
        with self._unusable_on_error():
            self._write_snapshot(snapshot)
            last = self._segments[-1]
            self._start_segment(last.max_index + 1, [], last.sequence + 1)
            self._remove_covered_segments(snapshot.meta.index)

    def rewrite(self, saved: records.SavedState) -> None:
        """Write the log to a new file after a failed write or sync.

        Parameters
        ----------
        saved
            The state read when the folder was opened again.

        Raises
        ------
        coltsfootchute.errors.SyncError
            As for `append`.

        Notes
        -----
        After a failed sync, reading the file may return data from the page cache that
        was never written to the disk, and another sync of the same file may report
        success. A new file avoids both.
        """
        self._check_usable()
        covered = saved.snapshot.meta.index if saved.snapshot else 0
        first = saved.entries[0].index if saved.entries else covered + 1
        old, self._segments = self._segments, []
        with self._unusable_on_error():
            reset = [(frames.Kind.RESET, b"")]
            self._start_segment(first, saved.entries, old[-1].sequence + 1, reset)
            self._remove([segment.name for segment in old])

    def _remove_covered_segments(self, covered: int) -> None:
        """Remove the oldest segments whose entries are all covered by a snapshot."""
        count = 0
        while (
            count < len(self._segments) - 1
            and self._segments[count].max_index <= covered
        ):
            count += 1
        self._remove([s.name for s in self._segments[:count]])
        del self._segments[:count]

    def _start_segment(
        self,
        first: int,
        entries: collections.abc.Sequence[pb.LogEntry],
        sequence: int = 0,
        reset: collections.abc.Sequence[tuple[int, bytes]] = (),
    ) -> None:
        """Start a new segment, which begins with the hard state."""
        name = f"{LOG_PREFIX}{first:020d}-{sequence:08d}"
        entry_frames = [(frames.Kind.ENTRY, e.SerializeToString()) for e in entries]
        self._write_file(
            name, frames.pack_record([self._hard_state_frame(), *reset, *entry_frames])
        )
        max_index = entries[-1].index if entries else first - 1
        self._segments.append(Segment(name, max_index))

    def _hard_state_frame(self) -> tuple[int, bytes]:
        """Return a frame with the term and the vote."""
        return frames.Kind.HARD_STATE, self._hard_state.SerializeToString()

    def _write_snapshot(self, snapshot: records.Snapshot) -> None:
        """Store a snapshot, then remove older ones."""
        name = f"{SNAPSHOT_PREFIX}{snapshot.meta.index:020d}"
        snapshot_frames = [
            (frames.Kind.SNAPSHOT_META, snapshot.meta.SerializeToString()),
            (frames.Kind.SNAPSHOT_DATA, bytes(snapshot.data)),
        ]
        self._write_file(name, frames.pack_record(snapshot_frames))
        self._remove([n for n in self._names(SNAPSHOT_PREFIX) if n < name])

    def _write_file(self, name: str, data: bytes) -> None:
        """Write a file under a temporary name, sync it, then rename it."""
        temporary = name + TEMPORARY_SUFFIX
        self._disk.append(self._path(temporary), data)
        self._sync(temporary)
        self._disk.rename(self._path(temporary), self._path(name))
        self._sync_folder()

    def _remove(self, names: list[str]) -> None:
        """Remove files by name."""
        for name in names:
            self._disk.remove(self._path(name))

    def _sync(self, name: str) -> None:
        """Sync a file; raise `SyncError` on failure."""
        try:
            self._disk.sync(self._path(name))
        except OSError as exc:
            raise errors.SyncError(f"sync of {self._path(name)} failed: {exc}") from exc

    def _sync_folder(self) -> None:
        """Sync the folder; raise `SyncError` on failure."""
        try:
            self._disk.sync_folder(self._folder)
        except OSError as exc:
            raise errors.SyncError(f"sync of {self._folder} failed: {exc}") from exc

    @contextlib.contextmanager
    def _unusable_on_error(self) -> collections.abc.Iterator[None]:
        """Make the store unusable if a write fails for any reason."""
        try:
            yield
        except OSError as exc:
            self._is_usable = False
            raise errors.SyncError(f"writing to {self._folder} failed: {exc}") from exc
        except BaseException:
            self._is_usable = False
            raise

    def _check_usable(self) -> None:
        """Raise `SyncError` after a failed write or after `close`."""
        if not self._is_usable:
            raise errors.SyncError(f"{self._folder} was closed or a write failed")

    def close(self) -> None:
        """Close the store and release its lock; a second call has no effect."""
        self._is_usable = False
        close = getattr(self._disk, "close", None)
        if close:
            close()
        release, self._release_lock = self._release_lock, _do_nothing
        release()


def _do_nothing() -> None:
    """Do nothing; replaces the release of a lock that was already released."""
