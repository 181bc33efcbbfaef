"""The replicated log of one instance."""

import math
import random

from coltsfootchute import errors
from coltsfootchute.agreement import leaders, memberships, records, replication
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Replica"]


class Replica(leaders.ReplicatingMember):
    """One member of the replicated log, without I/O.

    A daemon loads `saved.snapshot` into its state machine, then drives the
    replica as follows::

        actions = replica.step(message, now)     # or tick, propose(...).actions
        if actions.must_sync:
            store.append(actions.hard_state, actions.entries, actions.snapshot)
        for message in actions.messages:         # message.receiver is a member id
            links.send(message)
        if actions.snapshot:
            machine.load(actions.snapshot.data)  # empty data: empty state
        for entry in actions.committed:
            machine.apply(entry)                 # only ENTRY_KIND_COMMAND
        if replica.needs_snapshot:
            store.save_snapshot(
                replica.compact(replica.applied_index, machine.dump())
            )

    The daemon completes all of this before the next event, because a leader counts
    its own entries as stored. It calls `tick` at `next_deadline` or later, which may
    change with each event; a learner forgets its leader at that time. It passes to
    `propose` all payloads received since the last call, so that they share one sync.
    Right before it sends a response to a read, it calls `can_read` again with a new
    time.

    `now` is in seconds of a monotonic clock that also runs while the host is
    suspended (`time.CLOCK_BOOTTIME`).

    Parameters
    ----------
    identity
        Identity of the instance.
    saved
        The stored state. If it holds no snapshot, the instance belongs to no
        cluster and waits until a leader sends it a snapshot.
    rng
        Source of randomness for election timeouts.
    timing
        Timeouts and size limits; the defaults if absent.
    tolerated_losses
        Number of voters that may be lost at the same time. No voter is removed for
        being unresponsive if the others would bear fewer losses.

    Notes
    -----
    An event costs O(new entries) with a bounded number of members. Only entries of the
    leader's own term are committed by counting the members that store them; entries
    of earlier terms are committed along with these.

    References
    ----------
    D. Ongaro, "Consensus: Bridging Theory and Practice", Stanford, 2014.
    """

    def __init__(
        self,
        identity: records.Identity,
        saved: records.SavedState,
        rng: random.Random,
        timing: records.Timing | None = None,
        tolerated_losses: int = 0,
    ):
        super().__init__(identity, saved, rng, timing)
        self.tolerated_losses = tolerated_losses

    @property
    def committed_membership(self) -> pb.Membership | None:
        """Latest committed membership, for `HelloReply`; `None` without a cluster."""
        return self.log.history.at(self.commit_index)

    @property
    def needs_snapshot(self) -> bool:
        """Whether enough entries were applied since the last snapshot for a new one."""
        applied_entries = self.applied_index - self.log.snapshot_index
        if applied_entries >= self.timing.snapshot_entries:
            return True
        return self._applied_bytes >= self.timing.snapshot_bytes

    def can_read(self, now: float) -> bool:
        """Return whether this replica may answer reads from its own state.

        Parameters
        ----------
        now
            Time in seconds, read right before the response is sent.
        """
        leadership = self._leadership
        if leadership is None or self.commit_index < leadership.first_index:
            return False
        return leadership.has_lease(now)

    def proof_age(self, now: float) -> float:
        """Return the age of the last proof that the state was current.

        On the leader, a quorum of acknowledgements is the proof; on other members, a
        message from a leader that held the lease. The state is not older than this.

        Parameters
        ----------
        now
            Time in seconds.

        Returns
        -------
        float
            Age in seconds; infinite if there was no proof yet.
        """
        proof_at = self._leader_proof_time(now) if self._leadership else self._proof_at
        return now - proof_at if proof_at > -math.inf else math.inf

    def _require_lease(self, now: float) -> replication.Leadership:
        """Return the state of the leader, or raise `NotLeaderError` without lease."""
        if self._leadership is None:
            raise errors.NotLeaderError(self.leader_id)
        if not self._leadership.has_lease(now):
            raise errors.NotLeaderError()
        return self._leadership

    def propose(self, payloads: list[bytes], now: float) -> records.ProposedEntries:
        """Append commands to the log.

        Parameters
        ----------
        payloads
            Serialized commands; all of them share one sync.
        now
            Time in seconds.

        Raises
        ------
        coltsfootchute.errors.NotLeaderError
            If the replica doesn't lead or holds no lease; nothing was appended.
        """
        self._require_lease(now)
        return self._propose([(pb.ENTRY_KIND_COMMAND, p) for p in payloads], now)

    def _propose(
        self, items: list[tuple[int, bytes]], now: float
    ) -> records.ProposedEntries:
        """Append entries as one event."""
        self._start_event(now)
        indexes = self._append(items, now)
        return records.ProposedEntries(self.term, indexes, self._finish_event(now))

    def transfer(self, now: float) -> records.Actions:
        """Transfer the leadership to the other voter that stores most of the log.

        The lease is given up at once. The transfer is complete when `is_leader` is
        false. If it fails, the replica remains the leader, or steps down if the other
        voter may still act on the request.

        Parameters
        ----------
        now
            Time in seconds.

        Raises
        ------
        coltsfootchute.errors.NotLeaderError
            If the replica doesn't lead.
        coltsfootchute.errors.AgreementError
            If no other voter is up.
        """
        if self._leadership is None:
            raise errors.NotLeaderError(self.leader_id)
        if self._leadership.transfer:
            return records.NO_ACTIONS
        target = self._leadership.most_advanced_voter(now)
        if target is None:
            raise errors.AgreementError(
                "leadership transfer impossible: no other voter is up"
            )
        self._start_event(now)
        self._leadership.transfer = replication.LeadershipTransfer(target, now)
        self._broadcast(now, heartbeat=True)
        self._request_election(now)
        return self._finish_event(now)

    def add_learner(
        self, member: pb.Member, now: float, *, first_start: bool = False
    ) -> records.ProposedEntries:
        """Add a member without a vote.

        Parameters
        ----------
        member
            The new member.
        now
            Time in seconds.
        first_start
            Whether the member takes part in the first start of the system.

        Raises
        ------
        coltsfootchute.errors.NotLeaderError
            If the replica doesn't lead or holds no lease.
        coltsfootchute.errors.AgreementError
            If a member has the id, if the membership is full, or if another change is
            pending.
        """
        self._require_no_pending_change(now)
        return self._propose_membership(
            memberships.with_learner(self.membership, member, first_start), now
        )

    def remove_member(self, member_id: str, now: float) -> records.ProposedEntries:
        """Remove a member other than the leader.

        Parameters
        ----------
        member_id
            Id of the member.
        now
            Time in seconds.

        Raises
        ------
        coltsfootchute.errors.NotLeaderError
            If the replica doesn't lead or holds no lease.
        coltsfootchute.errors.AgreementError
            If it is no member or is the leader, or if another change is pending.
        """
        self._require_no_pending_change(now)
        if member_id == self.identity.member_id:
            raise errors.AgreementError(
                "the leader can't remove itself; transfer the leadership first"
            )
        return self._propose_membership(
            memberships.without(self.membership, member_id), now
        )

    def release(self, member_id: str, now: float) -> records.ProposedEntries:
        """Remove a voter that stops as planned, if the others are enough.

        Parameters
        ----------
        member_id
            Id of the voter.
        now
            Time in seconds.

        Raises
        ------
        coltsfootchute.errors.NotLeaderError
            If the replica doesn't lead or holds no lease.
        coltsfootchute.errors.AgreementError
            If it is no voter or is the leader, if the others are not enough, or if
            another change is pending.
        """
        self._require_no_pending_change(now)
        if not memberships.is_voter(self.membership, member_id):
            raise errors.AgreementError(f"{member_id} is not a voter")
        if not self.can_spare(member_id):
            raise errors.AgreementError(
                f"the other voters are not enough without {member_id}"
            )
        return self.remove_member(member_id, now)

    def can_spare(self, member_id: str) -> bool:
        """Return whether the other voters are enough without a voter.

        Parameters
        ----------
        member_id
            Id of the voter.
        """
        return memberships.can_spare(self.membership, member_id, self.tolerated_losses)

    def promote(self, member_id: str, now: float) -> records.ProposedEntries:
        """Promote a learner that has caught up to a voter.

        Parameters
        ----------
        member_id
            Id of the learner.
        now
            Time in seconds.

        Raises
        ------
        coltsfootchute.errors.NotLeaderError
            If the replica doesn't lead or holds no lease.
        coltsfootchute.errors.AgreementError
            If it lags or is not up, if a voter has its instance name, or if another
            change is pending.
        """
        leadership = self._require_no_pending_change(now)
        changed = memberships.with_voter(self.membership, member_id)
        if not leadership.is_caught_up(member_id, self.commit_index, now):
            raise errors.AgreementError(
                f"learner {member_id} is not up or has not caught up to index"
                f" {self.commit_index}"
            )
        return self._propose_membership(changed, now)

    def advance_membership(self, now: float) -> records.ProposedEntries | None:
        """Propose the next change of the membership, if one is due.

        The daemon calls it on the leader periodically. It proposes the first of these
        changes that is due:

        1. It removes an unresponsive voter that the others can spare, one per call:
           one that was replaced by an instance of another name, of which there may be
           several. It no longer counts as one of the losses that the others bear. A
           voter that was only down joins again.
        2. For a learner that has caught up, it removes the other members with the
           same instance name, one per call, then promotes the learner. While one of
           those members still acknowledges, two instances have the same name, and
           neither change is made.
        3. It removes an unresponsive learner, so that it doesn't occupy a place
           permanently. It is part of no quorum, and can join again later.

        Parameters
        ----------
        now
            Time in seconds.

        Raises
        ------
        coltsfootchute.errors.NotLeaderError
            If the replica doesn't lead or holds no lease.
        """
        leadership = self._require_lease(now)
        if self._is_change_pending():
            return None
        unresponsive_voter = leadership.unresponsive_voter(now)
        if unresponsive_voter is not None and self.can_spare(unresponsive_voter):
            return self.remove_member(unresponsive_voter, now)
        for learner in self.membership.members:
            if learner.voter:
                continue
            if not leadership.is_caught_up(learner.member_id, self.commit_index, now):
                continue
            old_members = memberships.same_name_members(self.membership, learner)
            if any(self._is_up(m.member_id, now) for m in old_members):
                continue
            if old_members:
                return self.remove_member(old_members[0].member_id, now)
            return self.promote(learner.member_id, now)
        unresponsive_learners = leadership.unresponsive_learners(now)
        if unresponsive_learners:
            return self.remove_member(unresponsive_learners[0], now)
        return None

    def _is_up(self, member_id: str, now: float) -> bool:
        """Return whether a member is the leader or acknowledged recently."""
        own_id = self.identity.member_id
        return member_id == own_id or self._leadership.is_up(member_id, now)

    def _is_change_pending(self) -> bool:
        """Return whether another change of the membership may be uncommitted.

        Until the leader has committed an entry of its own term, an earlier leader's
        change that is missing in this log may still be pending; with a second change,
        two quorums could be disjoint.
        """
        if self.commit_index < self._leadership.first_index:
            return True
        return self.log.history.latest_index > self.commit_index

    def _require_no_pending_change(self, now: float) -> replication.Leadership:
        """Return the state of the leader, or raise if the membership can't change."""
        leadership = self._require_lease(now)
        if self._is_change_pending():
            raise errors.AgreementError("another membership change is pending")
        return leadership

    def _propose_membership(
        self, membership: pb.Membership, now: float
    ) -> records.ProposedEntries:
        """Append a membership to the log."""
        payload = membership.SerializeToString()
        return self._propose([(pb.ENTRY_KIND_MEMBERSHIP, payload)], now)

    def compact(self, index: int, data: bytes) -> records.Snapshot:
        """Drop entries up to an index and return the snapshot to save.

        Parameters
        ----------
        index
            Index of the last entry applied to the state machine.
        data
            Dump of the state machine. The replica keeps it for followers that lag; a
            memory-mapped file needs less memory.

        Raises
        ------
        coltsfootchute.errors.AgreementError
            If the entry is not applied or is already covered by a snapshot.
        """
        if not self.log.snapshot_index < index <= self.applied_index:
            raise errors.AgreementError(
                f"no snapshot possible at index {index}: the last snapshot is at"
                f" {self.log.snapshot_index}, the last applied entry at"
                f" {self.applied_index}"
            )
        meta = pb.SnapshotMeta(
            index=index,
            term=self.log.term_at(index),
            membership=self.log.history.at(index),
        )
        snapshot = records.Snapshot(meta, data)
        timing = self.timing
        self.log.compact(snapshot, timing.kept_entries, timing.kept_bytes)
        self._applied_bytes = 0
        return snapshot
