"""The replicated log of one instance."""

import math

from coltsfootchute import errors
from coltsfootchute.agreement import leaders, memberships, records, replication
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Replica"]


class Replica(leaders.LogMember):
    """One member of the replicated log, without I/O.

    A daemon loads `saved.snapshot` into its state machine, then drives the
    replica so::

        actions = replica.step(message, now)     # or tick, propose(...).actions
        if actions.must_sync:
            store.append(actions.hard_state, actions.entries, actions.snapshot)
        for message in actions.messages:         # message.receiver is a member id
            links.send(message)
        if actions.snapshot:
            machine.load(actions.snapshot.data)  # empty data: empty machine
        for entry in actions.committed:
            machine.apply(entry)                 # only ENTRY_KIND_COMMAND
        if replica.needs_snapshot:
            store.save_snapshot(
                replica.compact(replica.applied_index, machine.dump())
            )

    All of it is done before the next event, because a leader counts its own
    entries as stored. `tick` is called at `next_deadline` or later, which may
    change with each event; for a learner it is when it gives up its leader.
    `propose` takes all payloads that have come in since the last call, so that
    they share one sync. Right before a response is sent, `can_read` is asked
    again with a new time.

    `now` is in seconds of a monotonic clock that also runs while the machine
    is suspended (`time.CLOCK_BOOTTIME`).

    Parameters
    ----------
    identity
        Who the instance is.
    saved
        The stored state; without a snapshot in it the instance is in no
        cluster and waits for a leader to send it one.
    rng
        Source of randomness for election timeouts.
    timing
        Times and sizes; the defaults if absent.

    Notes
    -----
    An event costs O(new entries), at most eight members counted. Entries are
    committed by counting only in the leader's own term.

    References
    ----------
    D. Ongaro, "Consensus: Bridging Theory and Practice", Stanford, 2014.
    """

    @property
    def committed_membership(self) -> pb.Membership | None:
        """Latest committed membership, for `HelloReply`; `None` if unformed."""
        return self.log.history.at(self.commit_index)

    @property
    def needs_snapshot(self) -> bool:
        """Whether enough was applied since the last snapshot for a new one."""
        applied = self.applied_index - self.log.snapshot_index
        if applied >= self.timing.snapshot_entries:
            return True
        return self._applied_bytes >= self.timing.snapshot_bytes

    def can_read(self, now: float) -> bool:
        """Return whether this replica may answer reads from its own state.

        Parameters
        ----------
        now
            Time in seconds, read right before the response is sent.
        """
        lead = self._lead
        if lead is None or self.commit_index < lead.first_index:
            return False
        return lead.has_lease(now)

    def proof_age(self, now: float) -> float:
        """Return how long ago the replica last knew that it was current.

        Parameters
        ----------
        now
            Time in seconds.

        Returns
        -------
        float
            Age in seconds, infinite if it never knew.
        """
        proof_at = self._leader_proof(now) if self._lead else self._proof_at
        return now - proof_at if proof_at > -math.inf else math.inf

    def _require_lease(self, now: float) -> replication.Leadership:
        """Return the leadership, or raise `NotLeaderError`."""
        if self._lead is None:
            raise errors.NotLeaderError(self.leader_id)
        if not self._lead.has_lease(now):
            raise errors.NotLeaderError()
        return self._lead

    def propose(self, payloads: list[bytes], now: float) -> records.ProposedEntries:
        """Append commands to the log.

        Parameters
        ----------
        payloads
            Serialized commands, all that are waiting: they share one sync.
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
        self._begin(now)
        indexes = self._append(items, now)
        return records.ProposedEntries(self.term, indexes, self._end(now))

    def transfer(self, now: float) -> records.Actions:
        """Give up the lease and make the most advanced other voter the leader.

        The transfer is done when `is_leader` is false. If it fails, the replica
        leads on, or steps down if the other voter may still act on the request.

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
        if self._lead is None:
            raise errors.NotLeaderError(self.leader_id)
        if self._lead.transfer:
            return records.NO_ACTIONS
        target = self._lead.best_voter(now)
        if target is None:
            raise errors.AgreementError("no other voter is up")
        self._begin(now)
        self._lead.transfer = replication.Transfer(target, now)
        self._broadcast(now, heartbeat=True)
        self._ask_for_election(now)
        return self._end(now)

    def add_learner(self, member: pb.Member, now: float) -> records.ProposedEntries:
        """Add a member without a vote.

        Parameters
        ----------
        member
            The new member.
        now
            Time in seconds.

        Raises
        ------
        coltsfootchute.errors.NotLeaderError
            If the replica doesn't lead or holds no lease.
        coltsfootchute.errors.AgreementError
            If the id is a member's, eight members exist, or a change is pending.
        """
        self._require_no_pending_change(now)
        return self._change(memberships.with_learner(self.membership, member), now)

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
            If it is no member or the leader, or a change is pending.
        """
        self._require_no_pending_change(now)
        if member_id == self.identity.member_id:
            raise errors.AgreementError(
                "the leader can't remove itself; transfer first"
            )
        return self._change(memberships.without(self.membership, member_id), now)

    def promote(self, member_id: str, now: float) -> records.ProposedEntries:
        """Give a learner that has caught up a vote.

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
            If it lags or is silent, if a voter has its instance's name, or if a
            change is pending.
        """
        lead = self._require_no_pending_change(now)
        changed = memberships.with_voter(self.membership, member_id)
        if not lead.is_caught_up(member_id, self.commit_index, now):
            raise errors.AgreementError(f"{member_id} has not caught up")
        return self._change(changed, now)

    def advance_membership(self, now: float) -> records.ProposedEntries | None:
        """Propose the next change of the membership, if one is due.

        The daemon calls it on the leader again and again. For a learner that
        has caught up it removes the lost members with the same instance name,
        one at a time, then promotes the learner. A member that still
        acknowledges is not removed: two instances have the same name then.

        Without other learners than lost ones, it removes a silent voter from an
        even number of voters, such as one that an instance of another name has
        replaced. The rest bears as many losses without it, and it is not one of
        them any more.

        Then it removes lost learners, which are part of no quorum, so that they
        occupy no place for good. One that returns joins again.

        Parameters
        ----------
        now
            Time in seconds.

        Raises
        ------
        coltsfootchute.errors.NotLeaderError
            If the replica doesn't lead or holds no lease.
        """
        lead = self._require_lease(now)
        if self._is_change_pending():
            return None
        for learner in self.membership.members:
            if learner.voter:
                continue
            if not lead.is_caught_up(learner.member_id, self.commit_index, now):
                continue
            lost = memberships.same_name_members(self.membership, learner)
            if any(self._is_up(m.member_id, now) for m in lost):
                continue
            if lost:
                return self.remove_member(lost[0].member_id, now)
            return self.promote(learner.member_id, now)
        lost_learners = lead.lost_learners(now)
        others = self.membership
        for learner_id in lost_learners:
            others = memberships.without(others, learner_id)
        silent = lead.silent_voter(now)
        if silent is not None and memberships.has_surplus_voter(others):
            return self.remove_member(silent, now)
        if lost_learners:
            return self.remove_member(lost_learners[0], now)
        return None

    def _is_up(self, member_id: str, now: float) -> bool:
        """Whether a member is the leader or acknowledged lately."""
        own_id = self.identity.member_id
        return member_id == own_id or self._lead.is_recent(member_id, now)

    def _is_change_pending(self) -> bool:
        """Whether a change of the membership must wait.

        Before an entry of the own term is committed, a change of an earlier
        leader may be pending unseen; two quorums could then be disjoint.
        """
        if self.commit_index < self._lead.first_index:
            return True
        return self.log.history.latest_index > self.commit_index

    def _require_no_pending_change(self, now: float) -> replication.Leadership:
        """Return the leadership if the membership may change now."""
        lead = self._require_lease(now)
        if self._is_change_pending():
            raise errors.AgreementError("a change of the membership is pending")
        return lead

    def _change(self, membership: pb.Membership, now: float) -> records.ProposedEntries:
        """Append a membership."""
        payload = membership.SerializeToString()
        return self._propose([(pb.ENTRY_KIND_MEMBERSHIP, payload)], now)

    def compact(self, index: int, data: bytes) -> records.Snapshot:
        """Drop entries up to an index and return the snapshot to save.

        Parameters
        ----------
        index
            Index of the last entry that the state machine has applied.
        data
            Its dump. The replica keeps it for followers that lag; a memory-mapped
            file saves the memory.

        Raises
        ------
        coltsfootchute.errors.AgreementError
            If the entry is not applied or is covered by a snapshot already.
        """
        if not self.log.snapshot_index < index <= self.applied_index:
            raise errors.AgreementError(f"no snapshot can be taken at {index}")
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
