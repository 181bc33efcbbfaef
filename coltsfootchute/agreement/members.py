"""Terms, votes and elections of a member of the replicated log."""

import math
import random

from coltsfootchute import errors
from coltsfootchute.agreement import (
    elections,
    logs,
    memberships,
    records,
    replication,
    snapshots,
)
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Member"]

# After a pause in which the process may have been frozen, buffered messages arrive
# all at once. For this long they don't prove that the replica is current, because
# the age of messages from a new leader is unknown.
RESUME_BACKLOG_S = 0.1
ENTRY_OVERHEAD_BYTES = 32  # Size of a log entry without its payload.


class Member:
    """The part of a replica that handles events, terms and votes.

    `leaders.ReplicatingMember` adds log replication, and `replicas.Replica` adds reads,
    proposals and changes of the membership.

    Parameters
    ----------
    identity
        Identity of the instance.
    saved
        The stored state.
    rng
        Source of randomness for election timeouts.
    timing
        Timeouts and size limits; the defaults if absent.
    """

    def __init__(
        self,
        identity: records.Identity,
        saved: records.SavedState,
        rng: random.Random,
        timing: records.Timing | None = None,
    ):
        self.identity = identity
        self.timing = timing or records.Timing()
        self.role = records.Role.LEARNER
        self.leader_id = ""
        self.log = logs.Log(saved)
        self.term = max(saved.hard_state.term, self.log.last_term)
        self.voted_for = saved.hard_state.voted_for
        if self.term > saved.hard_state.term:
            self.voted_for = ""
        self.commit_index = self.applied_index = self.log.snapshot_index
        self.next_deadline = 0.0
        self._rng = rng
        self._stored_term_and_vote = (self.term, self.voted_for)
        self._snapshot_assembler = snapshots.SnapshotAssembler()
        self._delay_estimator = replication.DelayEstimator()
        self._leadership: replication.Leadership | None = None
        self._ballot: elections.Ballot | None = None
        self._actions = records.Actions()
        self._leader_contact_at = -math.inf
        self._proof_at = -math.inf
        self._election_due_at = math.inf
        self._vote_resend_at = math.inf
        self._applied_bytes = 0
        self._last_event_at = -math.inf
        self._proofs_valid_from = -math.inf
        self._joining_cluster_id = ""
        self._started = False

    @property
    def membership(self) -> pb.Membership | None:
        """Latest membership in the log, committed or not; `None` without a cluster."""
        return self.log.history.latest

    @property
    def is_leader(self) -> bool:
        """Whether the replica is the leader of its term, with or without the lease."""
        return self._leadership is not None

    # Events.

    def step(self, message: pb.PeerMessage, now: float) -> records.Actions:
        """Handle a message from another member.

        Parameters
        ----------
        message
            The message. It is dropped if it is for another member id or cluster.
        now
            Time in seconds.

        Raises
        ------
        coltsfootchute.errors.AgreementError
            If the message violates a guarantee of the protocol; the instance
            must stop.
        """
        self._start_event(now)
        if self._is_addressed(message):
            self._dispatch(message, now)
        return self._finish_event(now)

    def tick(self, now: float) -> records.Actions:
        """Handle timeouts that are due.

        Parameters
        ----------
        now
            Time in seconds.
        """
        if self._started and now < self.next_deadline:
            return records.NO_ACTIONS
        self._start_event(now)
        if self._leadership:
            self._tick_leader(self._leadership, now)
        elif now >= self._election_due_at:
            self._campaign(now)
        elif self._ballot and now >= self._vote_resend_at:
            self._request_votes(now)
        return self._finish_event(now)

    def _start_event(self, now: float) -> None:
        """Start an event: reset the collected actions."""
        self._actions = records.Actions()
        if now - self._last_event_at > self.timing.election_min_s:
            self._proofs_valid_from = now + RESUME_BACKLOG_S
        self._last_event_at = now
        if not self._started:
            # Before a restart the instance may have acknowledged a message of a
            # leader. The leader's lease relies on this member not voting for a
            # whole election timeout.
            self._started = True
            self._leader_contact_at = now
            self._reset_election_timeout(now)

    def _finish_event(self, now: float) -> records.Actions:
        """Finish an event and return the collected actions."""
        actions = self._actions
        if self._stored_term_and_vote != (self.term, self.voted_for):
            self._stored_term_and_vote = (self.term, self.voted_for)
            actions.hard_state = pb.HardState(term=self.term, voted_for=self.voted_for)
        if self.commit_index > self.applied_index:
            actions.committed = self.log.between(
                self.applied_index + 1, self.commit_index
            )
            self.applied_index = self.commit_index
            self._applied_bytes += sum(
                len(e.payload) + ENTRY_OVERHEAD_BYTES for e in actions.committed
            )
        self._set_deadline()
        return actions

    def _set_deadline(self) -> None:
        """Update the time of the next tick, and the role if no election runs."""
        if self._leadership:
            self.next_deadline = self._leadership.next_heartbeat_at
            return
        if self._ballot:
            self.next_deadline = min(self._election_due_at, self._vote_resend_at)
            return
        voter = memberships.is_voter(self.membership, self.identity.member_id)
        self.role = records.Role.FOLLOWER if voter else records.Role.LEARNER
        self.next_deadline = self._election_due_at

    def _is_addressed(self, message: pb.PeerMessage) -> bool:
        """Return whether a message is for this member and from its cluster."""
        own_id = self.identity.member_id
        if message.receiver != own_id or message.sender == own_id:
            return False
        if self.membership:
            return message.cluster_id == self.membership.cluster_id
        # This instance is joining. Its member id is known only to the cluster that
        # it asked to join, so it accepts the cluster id of the message.
        self._joining_cluster_id = message.cluster_id
        return bool(message.cluster_id)

    def _dispatch(self, message: pb.PeerMessage, now: float) -> None:
        """Compare terms and pass the message to its handler."""
        kind = message.WhichOneof("body")
        if kind == "vote_request":
            self._on_vote_request(message, now)
            return
        if message.term < self.term:
            self._reject_old_leader(message, kind)
            return
        reply = message.vote_reply
        is_granted_pre_vote = kind == "vote_reply" and reply.pre_vote and reply.granted
        if message.term > self.term and not is_granted_pre_vote:
            self._become_follower(message.term, now)
        if kind:
            getattr(self, f"_on_{kind}")(message, now)

    def _reject_old_leader(self, message: pb.PeerMessage, kind: str | None) -> None:
        """Send a leader of an earlier term a rejection that holds the current term."""
        if kind in ("append_request", "snapshot_chunk"):
            self._send(message.sender, append_reply=pb.AppendReply())

    def _send(self, receiver: str, **body) -> None:
        """Add a message to the collected actions."""
        body.setdefault("term", self.term)
        cluster_id = self._joining_cluster_id
        if self.membership:
            cluster_id = self.membership.cluster_id
        message = pb.PeerMessage(
            cluster_id=cluster_id,
            sender=self.identity.member_id,
            receiver=receiver,
            **body,
        )
        self._actions.messages.append(message)

    def _tick_leader(self, leadership: replication.Leadership, now: float) -> None:
        """Handle timeouts that are due on the leader."""
        raise NotImplementedError

    def _become_leader(self, now: float) -> None:
        """Become the leader of the current term."""
        raise NotImplementedError

    def _leader_proof_time(self, now: float) -> float:
        """Return the latest time at which this leader was known to be current."""
        raise NotImplementedError

    # Elections.

    def _reset_election_timeout(self, now: float) -> None:
        """Restart the election timeout."""
        self._election_due_at = now + elections.random_election_timeout(
            self._rng, self.timing
        )

    def _become_follower(self, term: int, now: float) -> None:
        """Become a follower in a term whose leader is not known yet."""
        if self._leadership:
            self._proof_at = self._leader_proof_time(now)
        if term > self.term:
            self.term, self.voted_for = term, ""
        self.leader_id = ""
        self.role = records.Role.FOLLOWER
        self._leadership = self._ballot = None
        self._snapshot_assembler.clear()
        self._reset_election_timeout(now)

    def _record_leader_contact(self, leader_id: str, now: float) -> None:
        """Record a message from the leader of the current term."""
        if self._leadership:
            raise errors.AgreementError(
                f"two leaders in term {self.term}: this member and {leader_id}"
            )
        self.leader_id = leader_id
        self._ballot = None
        self._leader_contact_at = now
        self._reset_election_timeout(now)

    def _has_leader_contact(self, now: float) -> bool:
        """Return whether a leader's lease may rely on this member not voting."""
        contact_at = (
            self._leadership.last_quorum_at
            if self._leadership
            else self._leader_contact_at
        )
        return now - contact_at < self.timing.election_min_s

    def _campaign(self, now: float) -> None:
        """Start a pre-vote, or an election if pre-vote is off."""
        if not memberships.is_voter(self.membership, self.identity.member_id):
            # The leader is down, or has removed this member and sends nothing more.
            self.leader_id = ""
            self._election_due_at = math.inf
        elif self.timing.pre_vote:
            self.role = records.Role.PRE_CANDIDATE
            self._start_ballot(self.term + 1, now, pre_vote=True)
        else:
            self._start_election(now)

    def _start_election(self, now: float, transfer: bool = False) -> None:
        """Start an election in a new term."""
        self.role = records.Role.CANDIDATE
        self.term += 1
        self.voted_for = self.identity.member_id
        self._start_ballot(self.term, now, transfer=transfer)

    def _start_ballot(
        self, term: int, now: float, pre_vote: bool = False, transfer: bool = False
    ) -> None:
        """Start to collect votes: count this member's vote, request the others."""
        self.leader_id = ""
        self._snapshot_assembler.clear()
        voters = memberships.voter_ids(self.membership)
        self._ballot = elections.Ballot(voters, term, pre_vote, transfer)
        self._ballot.count(self.identity.member_id, granted=True)
        self._reset_election_timeout(now)
        self._request_votes(now)
        self._count_votes(now)

    def _request_votes(self, now: float) -> None:
        """Request the votes of the voters that have not replied."""
        ballot = self._ballot
        self._vote_resend_at = now + self.timing.heartbeat_s
        request = pb.VoteRequest(
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre_vote=ballot.pre_vote,
            transfer=ballot.transfer,
        )
        for voter in ballot.pending:
            self._send(voter, term=ballot.term, vote_request=request)

    def _count_votes(self, now: float) -> None:
        """Start the election after a won pre-vote; lead after a won election."""
        if not self._ballot.is_won:
            return
        if self._ballot.pre_vote:
            self._start_election(now)
        else:
            self._become_leader(now)

    def _on_vote_request(self, message: pb.PeerMessage, now: float) -> None:
        """Grant or refuse a vote; ignore the request while a leader is in contact."""
        request = message.vote_request
        if self._has_leader_contact(now) and not request.transfer:
            return
        # A learner also votes, because it may have been promoted and not have
        # received that entry yet. The candidate counts only the votes of the voters
        # in its own membership.
        if memberships.find(self.membership, self.identity.member_id) is None:
            return
        if message.term > self.term and not request.pre_vote:
            self._become_follower(message.term, now)
        granted = elections.is_up_to_date(
            (request.last_term, request.last_index),
            (self.log.last_term, self.log.last_index),
        )
        if request.pre_vote:
            granted = granted and message.term > self.term
        elif granted:
            granted = message.term == self.term and not self._leadership
            granted = granted and self.voted_for in ("", message.sender)
        if granted and not request.pre_vote:
            self.voted_for = message.sender
            self._reset_election_timeout(now)
        self._send(
            message.sender,
            term=message.term if granted else self.term,
            vote_reply=pb.VoteReply(granted=granted, pre_vote=request.pre_vote),
        )

    def _on_vote_reply(self, message: pb.PeerMessage, now: float) -> None:
        """Count a vote of the current ballot."""
        reply, ballot = message.vote_reply, self._ballot
        if ballot is None or reply.pre_vote != ballot.pre_vote:
            return
        if reply.granted and message.term != ballot.term:
            return
        ballot.count(message.sender, reply.granted)
        self._count_votes(now)
