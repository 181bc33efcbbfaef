"""Memberships stored in the log, and the rules for changing them."""

import collections.abc

from coltsfootchute import errors
from coltsfootchute.agreement import records
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = [
    "MEMBERS_MAX",
    "MembershipHistory",
    "can_spare",
    "find",
    "is_voter",
    "quorum",
    "same_name_members",
    "voter_ids",
    "with_learner",
    "with_voter",
    "without",
]

# Allows a planned replacement of all voters of a cluster of seven at once.
MEMBERS_MAX = 16


class MembershipHistory:
    """The memberships in a log, each with the index of its entry or snapshot.

    A member uses the latest membership in its log, committed or not. If that entry
    is truncated, the previous membership is in use again.

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
                self.add_entry(entry)

    @property
    def latest(self) -> pb.Membership | None:
        """The membership in use; `None` if the instance belongs to no cluster."""
        return self._items[-1][1] if self._items else None

    @property
    def latest_index(self) -> int:
        """Index of the entry or snapshot that holds the latest membership."""
        return self._items[-1][0] if self._items else 0

    def at(self, index: int) -> pb.Membership | None:
        """Return the membership in use at an index of the log, or `None`.

        Parameters
        ----------
        index
            Index in the log.
        """
        return next((m for i, m in reversed(self._items) if i <= index), None)

    def add_entry(self, entry: pb.LogEntry) -> None:
        """Add the membership of an entry, if the entry holds one.

        Parameters
        ----------
        entry
            An entry appended to the log.
        """
        if entry.kind == pb.ENTRY_KIND_MEMBERSHIP:
            membership = pb.Membership.FromString(entry.payload)
            self._items.append((entry.index, membership))

    def truncate(self, first: int) -> None:
        """Remove the memberships from an index on.

        Parameters
        ----------
        first
            Index of the first entry removed from the log.
        """
        while self._items and self._items[-1][0] >= first:
            self._items.pop()

    def compact(self, meta: pb.SnapshotMeta) -> None:
        """Remove the memberships before that of a snapshot.

        Parameters
        ----------
        meta
            Index and membership of the snapshot.
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
    """Return the size of a majority.

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


def can_spare(membership: pb.Membership, member_id: str, tolerated_losses: int) -> bool:
    """Return whether the other voters are enough without a voter.

    They are if at least as many remain as took part in the first start, and if a
    majority of them is left after `tolerated_losses` of them are lost.

    Parameters
    ----------
    membership
        The membership.
    member_id
        Id of the voter.
    tolerated_losses
        Number of voters that may be lost at the same time.

    Notes
    -----
    A voter that is down can't be told from one that is gone for good. Only a voter in
    excess is given up, so that a removal never reduces what the cluster bears.
    """
    remaining = len(voter_ids(membership) - {member_id})
    bears = remaining - tolerated_losses >= quorum(remaining)
    return bears and remaining >= membership.initial_size


def same_name_members(membership: pb.Membership, member: pb.Member) -> list[pb.Member]:
    """Return the other members with the same instance name as a member.

    Parameters
    ----------
    membership
        The membership.
    member
        The member that replaces the others.
    """
    same_name = (m for m in membership.members if m.name == member.name)
    return [m for m in same_name if m.member_id != member.member_id]


def with_learner(
    membership: pb.Membership, member: pb.Member, first_start: bool = False
) -> pb.Membership:
    """Return a membership with one more learner.

    Parameters
    ----------
    membership
        The current membership.
    member
        The new member.
    first_start
        Whether the member takes part in the first start of the system, so that it
        counts in the initial size.

    Raises
    ------
    coltsfootchute.errors.AgreementError
        If a member has the id already, or the membership is full.
    """
    if find(membership, member.member_id):
        raise errors.AgreementError(f"{member.member_id} is already a member")
    if len(membership.members) >= MEMBERS_MAX:
        raise errors.AgreementError(
            f"can't add {member.member_id}: there are already {MEMBERS_MAX} members"
        )
    new_membership = pb.Membership.FromString(membership.SerializeToString())
    learner = new_membership.members.add()
    learner.CopyFrom(member)
    learner.voter = False
    if first_start:
        names = {m.name for m in new_membership.members}
        new_membership.initial_size = max(new_membership.initial_size, len(names))
    return new_membership


def with_voter(membership: pb.Membership, member_id: str) -> pb.Membership:
    """Return a membership in which a learner is promoted to a voter.

    Parameters
    ----------
    membership
        The current membership.
    member_id
        Id of the learner.

    Raises
    ------
    coltsfootchute.errors.AgreementError
        If it is no learner, or a voter has the same instance name.
    """
    member = find(membership, member_id)
    if member is None or member.voter:
        raise errors.AgreementError(f"{member_id} is not a learner")
    if any(m.voter for m in same_name_members(membership, member)):
        raise errors.AgreementError(
            f"can't promote {member_id}: a voter is also named {member.name};"
            " remove it first"
        )
    new_membership = pb.Membership.FromString(membership.SerializeToString())
    find(new_membership, member_id).voter = True
    return new_membership


def without(membership: pb.Membership, member_id: str) -> pb.Membership:
    """Return a membership without a member.

    Parameters
    ----------
    membership
        The current membership.
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
    return pb.Membership(
        cluster_id=membership.cluster_id,
        members=kept,
        initial_size=membership.initial_size,
    )
