"""The log in memory: the entries since the last snapshot."""

import collections.abc
import itertools

from coltsfootchute import errors
from coltsfootchute.agreement import memberships, records
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Log"]


class Log:
    """Log entries by index, the last snapshot, and the memberships in both.

    Parameters
    ----------
    saved
        The stored state.

    Notes
    -----
    Look-ups cost O(1), appends O(number of new entries). Some entries that the
    snapshot covers may be held for followers that lag. `base_index` is the index
    before the first entry held, and `base_term` the term there.
    """

    def __init__(self, saved: records.SavedState):
        self.snapshot = saved.snapshot
        self.entries = list(saved.entries)
        self.base_index = self.snapshot_index
        self.base_term = saved.snapshot.meta.term if saved.snapshot else 0
        if self.entries and self.entries[0].index <= self.snapshot_index:
            self.base_index = self.entries[0].index
            self.base_term = self.entries[0].term
            del self.entries[0]
        self.history = memberships.MembershipHistory(self.snapshot, self.entries)

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry that the snapshot covers; 0 without one."""
        return self.snapshot.meta.index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or `None` if it isn't held.

        Parameters
        ----------
        index
            Index of the entry; `base_index` also has a term.
        """
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def between(self, first: int, last: int) -> list[pb.LogEntry]:
        """Return the entries from index `first` to index `last`, inclusive.

        Parameters
        ----------
        first, last
            Indexes of the first and the last entry; all of them must be held.
        """
        return self.entries[first - self.base_index - 1 : last - self.base_index]

    def batch(self, first: int, last: int, max_bytes: int) -> list[pb.LogEntry]:
        """Return entries from `first` on, at least one, up to a total size.

        Parameters
        ----------
        first, last
            Indexes of the first and the last entry requested.
        max_bytes
            Maximum total size, in bytes; one entry may exceed it.
        """
        chosen = []
        for entry in self.between(first, last):
            max_bytes -= len(entry.payload) + 16  # Approximate size of an empty entry.
            if chosen and max_bytes < 0:
                break
            chosen.append(entry)
        return chosen

    def append(self, entry: pb.LogEntry) -> None:
        """Append an entry.

        Parameters
        ----------
        entry
            The entry.
        """
        self.entries.append(entry)
        self.history.add_entry(entry)

    def merge(
        self, entries: collections.abc.Sequence[pb.LogEntry], commit_index: int
    ) -> list[pb.LogEntry]:
        """Append a leader's entries, replacing conflicting ones.

        Parameters
        ----------
        entries
            Entries that follow an entry that both logs hold.
        commit_index
            Index of the last committed entry.

        Returns
        -------
        list of LogEntry
            The entries that this log did not hold before.

        Raises
        ------
        coltsfootchute.errors.AgreementError
            If a committed entry would be replaced.
        """
        for position, entry in enumerate(entries):
            if entry.index <= self.base_index:
                continue
            if self.term_at(entry.index) == entry.term:
                continue
            if entry.index <= commit_index:
                raise errors.AgreementError(
                    f"committed entry {entry.index} would be replaced by an entry of"
                    f" term {entry.term}; the commit index is {commit_index}"
                )
            new_entries = list(entries[position:])
            self._truncate(entry.index)
            for added in new_entries:
                self.append(added)
            return new_entries
        return []

    def _truncate(self, first: int) -> None:
        """Remove the entry `first` and all later ones."""
        del self.entries[first - self.base_index - 1 :]
        self.history.truncate(first)

    def conflict_hint(self, index: int, commit_index: int) -> int:
        """Return the last index at which a leader's log may agree with this one.

        Parameters
        ----------
        index
            Index of an entry that this log lacks or holds with another term.
        commit_index
            Index of the last committed entry; the logs agree up to it.

        Notes
        -----
        Skips all entries of the conflicting term, so that finding the last common
        entry takes one rejection per term instead of one per entry.
        """
        if index > self.last_index:
            return self.last_index
        term = self.term_at(index)
        while index > commit_index and self.term_at(index) == term:
            index -= 1
        return index

    def compact(
        self, snapshot: records.Snapshot, kept_entries: int, kept_bytes: int
    ) -> None:
        """Drop entries that a snapshot covers.

        Parameters
        ----------
        snapshot
            The snapshot; its last entry must be held.
        kept_entries
            Maximum number of covered entries to keep.
        kept_bytes
            Maximum total size of their payloads, in bytes.
        """
        self.snapshot = snapshot
        self.history.compact(snapshot.meta)
        first = max(snapshot.meta.index - kept_entries, self.base_index) + 1
        covered = self.between(first, snapshot.meta.index)
        sizes = itertools.accumulate(len(e.payload) for e in reversed(covered))
        fitting = sum(1 for _ in itertools.takewhile(kept_bytes.__ge__, sizes))
        new_base = snapshot.meta.index - fitting
        if new_base > self.base_index:
            term = self.term_at(new_base)
            del self.entries[: new_base - self.base_index]
            self.base_index, self.base_term = new_base, term

    def reset(self, snapshot: records.Snapshot) -> None:
        """Replace the whole log by a snapshot from the leader.

        Parameters
        ----------
        snapshot
            The snapshot.
        """
        self.snapshot = snapshot
        self.entries = []
        self.base_index, self.base_term = snapshot.meta.index, snapshot.meta.term
        self.history = memberships.MembershipHistory(snapshot, ())
