"""Memberships in the log, and the rules for changing them."""

import collections.abc

from coltsfootchute import errors
from coltsfootchute.agreement import records
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = [
    "MEMBERS_MAX",
    "History",
    "find",
    "has_surplus_voter",
    "is_voter",
    "quorum",
    "same_name_members",
    "voter_ids",
    "with_learner",
    "with_voter",
    "without",
]

MEMBERS_MAX = 8


class History:
    """The memberships in a log, by the index at which they start.

    A member uses the latest membership in its log, committed or not; if the
    entry is removed again, the one before it counts.

    Parameters
    ----------
    snapshot
        The snapshot before the entries.
    entries
        The entries held.
    """

    def __init__(
        self,
        snapshot: records.Snapshot | None,
        entries: collections.abc.Iterable[pb.LogEntry],
    ):
        self._items: list[tuple[int, pb.Membership]] = []
        start = 0
        if snapshot:
            start = snapshot.meta.index
            self._items.append((start, snapshot.meta.membership))
        for entry in entries:
            if entry.index > start:
                self.note(entry)

    @property
    def latest(self) -> pb.Membership | None:
        """The membership to use; `None` if the instance is in no cluster."""
        return self._items[-1][1] if self._items else None

    @property
    def latest_index(self) -> int:
        """Index at which the latest membership starts."""
        return self._items[-1][0] if self._items else 0

    def at(self, index: int) -> pb.Membership | None:
        """Return the membership at an index of the log.

        Parameters
        ----------
        index
            Index in the log.
        """
        return next((m for i, m in reversed(self._items) if i <= index), None)

    def note(self, entry: pb.LogEntry) -> None:
        """Take up an entry, if it is a membership.

        Parameters
        ----------
        entry
            An entry appended to the log.
        """
        if entry.kind == pb.ENTRY_KIND_MEMBERSHIP:
            membership = pb.Membership.FromString(entry.payload)
            self._items.append((entry.index, membership))

    def truncate(self, first: int) -> None:
        """Forget the memberships from an index on.

        Parameters
        ----------
        first
            Index of the first entry removed from the log.
        """
        while self._items and self._items[-1][0] >= first:
            self._items.pop()

    def compact(self, meta: pb.SnapshotMeta) -> None:
        """Forget the memberships before the one of a snapshot.

        Parameters
        ----------
        meta
            The snapshot's index and membership.
        """
        later = [item for item in self._items if item[0] > meta.index]
        self._items = [(meta.index, meta.membership), *later]


def find(membership: pb.Membership | None, member_id: str) -> pb.Member | None:
    """Return a member by its id, or `None`.

    Parameters
    ----------
    membership
        The membership, or `None`.
    member_id
        Id of the member.
    """
    members = membership.members if membership else ()
    return next((m for m in members if m.member_id == member_id), None)


def is_voter(membership: pb.Membership | None, member_id: str) -> bool:
    """Return whether a member votes.

    Parameters
    ----------
    membership
        The membership, or `None`.
    member_id
        Id of the member.
    """
    member = find(membership, member_id)
    return member is not None and member.voter


def voter_ids(membership: pb.Membership | None) -> frozenset[str]:
    """Return the ids of the members that vote.

    Parameters
    ----------
    membership
        The membership, or `None`.
    """
    members = membership.members if membership else ()
    return frozenset(m.member_id for m in members if m.voter)


def quorum(voters: int) -> int:
    """Return how many voters are a majority.

    Parameters
    ----------
    voters
        Number of voters.

    Examples
    --------
    >>> [quorum(n) for n in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return voters // 2 + 1


def has_surplus_voter(membership: pb.Membership) -> bool:
    """Return whether one voter less bears as many losses, and none is on its way.

    Parameters
    ----------
    membership
        The membership, without lost learners. With a learner in it, an even number
        of voters is a step towards the odd number after it.
    """
    voters = sum(member.voter for member in membership.members)
    return voters == len(membership.members) and voters % 2 == 0


def same_name_members(membership: pb.Membership, member: pb.Member) -> list[pb.Member]:
    """Return the other members with a member's instance name.

    Parameters
    ----------
    membership
        The membership.
    member
        The member that has the name now.
    """
    same_name = (m for m in membership.members if m.name == member.name)
    return [m for m in same_name if m.member_id != member.member_id]


def with_learner(membership: pb.Membership, member: pb.Member) -> pb.Membership:
    """Return a membership with one more learner.

    Parameters
    ----------
    membership
        The present membership.
    member
        The new member.

    Raises
    ------
    coltsfootchute.errors.AgreementError
        If the id is already a member's, or the membership is full.
    """
    if find(membership, member.member_id):
        raise errors.AgreementError(f"{member.member_id} is a member already")
    if len(membership.members) >= MEMBERS_MAX:
        raise errors.AgreementError(f"there are {MEMBERS_MAX} members already")
    changed = pb.Membership.FromString(membership.SerializeToString())
    learner = changed.members.add()
    learner.CopyFrom(member)
    learner.voter = False
    return changed


def with_voter(membership: pb.Membership, member_id: str) -> pb.Membership:
    """Return a membership in which a learner votes.

    Parameters
    ----------
    membership
        The present membership.
    member_id
        Id of the learner.

    Raises
    ------
    coltsfootchute.errors.AgreementError
        If it is no learner, or a voter has its instance's name.
    """
    member = find(membership, member_id)
    if member is None or member.voter:
        raise errors.AgreementError(f"{member_id} is not a learner")
    if any(m.voter for m in same_name_members(membership, member)):
        raise errors.AgreementError(f"a voter is named {member.name}; remove it first")
    changed = pb.Membership.FromString(membership.SerializeToString())
    find(changed, member_id).voter = True
    return changed


def without(membership: pb.Membership, member_id: str) -> pb.Membership:
    """Return a membership without a member.

    Parameters
    ----------
    membership
        The present membership.
    member_id
        Id of the member to remove.

    Raises
    ------
    coltsfootchute.errors.AgreementError
        If it is not a member.
    """
    if find(membership, member_id) is None:
        raise errors.AgreementError(f"{member_id} is not a member")
    kept = [m for m in membership.members if m.member_id != member_id]
    return pb.Membership(cluster_id=membership.cluster_id, members=kept)
