"""What every member of the replicated log does: keep terms and hold elections."""

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

# After a pause in which the process may have been frozen, messages that waited in
# buffers arrive at once; none of a new leader's tells how old it is.
BACKLOG_S = 0.1
ENTRY_OVERHEAD_BYTES = 32  # Of an entry in the log besides its payload.


class Member:
    """The part of a replica that handles events, terms and votes.

    `replicas.Replica` adds replication and what a leader does on request.

    Parameters
    ----------
    identity
        Who the instance is.
    saved
        The stored state.
    rng
        Source of randomness for election timeouts.
    timing
        Times and sizes; the defaults if absent.
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
        self._stored = (self.term, self.voted_for)
        self._incoming = snapshots.Incoming()
        self._delay = replication.Delay()
        self._lead: replication.Leadership | None = None
        self._ballot: elections.Ballot | None = None
        self._out = records.Actions()
        self._heard_at = -math.inf
        self._proof_at = -math.inf
        self._elect_at = math.inf
        self._resend_at = math.inf
        self._applied_bytes = 0
        self._event_at = -math.inf
        self._trusted_from = -math.inf
        self._joining_id = ""
        self._started = False

    @property
    def membership(self) -> pb.Membership | None:
        """Latest membership in the log, committed or not; `None` if unformed."""
        return self.log.history.latest

    @property
    def is_leader(self) -> bool:
        """Whether the replica leads its term; it may lack the lease."""
        return self._lead is not None

    # Events.

    def step(self, message: pb.PeerMessage, now: float) -> records.Actions:
        """Handle a message of another member.

        Parameters
        ----------
        message
            The message; one for another member id or cluster is dropped.
        now
            Time in seconds.

        Raises
        ------
        coltsfootchute.errors.AgreementError
            If a message contradicts a guarantee of the protocol; the instance
            must stop.
        """
        self._begin(now)
        if self._is_addressed(message):
            self._dispatch(message, now)
        return self._end(now)

    def tick(self, now: float) -> records.Actions:
        """Handle the passing of time.

        Parameters
        ----------
        now
            Time in seconds.
        """
        if self._started and now < self.next_deadline:
            return records.NO_ACTIONS
        self._begin(now)
        if self._lead:
            self._tick_leader(self._lead, now)
        elif now >= self._elect_at:
            self._campaign(now)
        elif self._ballot and now >= self._resend_at:
            self._request_votes(now)
        return self._end(now)

    def _begin(self, now: float) -> None:
        """Start to collect actions."""
        self._out = records.Actions()
        if now - self._event_at > self.timing.election_min_s:
            self._trusted_from = now + BACKLOG_S
        self._event_at = now
        if not self._started:
            # Before its restart the instance may have acknowledged a message
            # of a leader, whose lease counts on it for the whole timeout.
            self._started = True
            self._heard_at = now
            self._delay_election(now)

    def _end(self, now: float) -> records.Actions:
        """Return the actions collected."""
        out = self._out
        if self._stored != (self.term, self.voted_for):
            self._stored = (self.term, self.voted_for)
            out.hard_state = pb.HardState(term=self.term, voted_for=self.voted_for)
        if self.commit_index > self.applied_index:
            out.committed = self.log.between(self.applied_index + 1, self.commit_index)
            self.applied_index = self.commit_index
            self._applied_bytes += sum(
                len(e.payload) + ENTRY_OVERHEAD_BYTES for e in out.committed
            )
        self._set_deadline()
        return out

    def _set_deadline(self) -> None:
        """Name the role of a member without a ballot, and the next tick."""
        if self._lead:
            self.next_deadline = self._lead.heartbeat_at
            return
        if self._ballot:
            self.next_deadline = min(self._elect_at, self._resend_at)
            return
        voter = memberships.is_voter(self.membership, self.identity.member_id)
        self.role = records.Role.FOLLOWER if voter else records.Role.LEARNER
        self.next_deadline = self._elect_at

    def _is_addressed(self, message: pb.PeerMessage) -> bool:
        """Whether a message is for this member and from its cluster."""
        own_id = self.identity.member_id
        if message.receiver != own_id or message.sender == own_id:
            return False
        if self.membership:
            return message.cluster_id == self.membership.cluster_id
        # Only a leader that this instance asked to join knows its member id.
        self._joining_id = message.cluster_id
        return bool(message.cluster_id)

    def _dispatch(self, message: pb.PeerMessage, now: float) -> None:
        """Compare terms and hand the message to its handler."""
        kind = message.WhichOneof("body")
        if kind == "vote_request":
            self._on_vote_request(message, now)
            return
        if message.term < self.term:
            self._answer_old_leader(message, kind)
            return
        reply = message.vote_reply
        is_promise = kind == "vote_reply" and reply.pre_vote and reply.granted
        if message.term > self.term and not is_promise:
            self._follow_term(message.term, now)
        if kind:
            getattr(self, f"_on_{kind}")(message, now)

    def _answer_old_leader(self, message: pb.PeerMessage, kind: str | None) -> None:
        """Tell a leader of an earlier term that it was replaced."""
        if kind in ("append_request", "snapshot_chunk"):
            self._send(message.sender, append_reply=pb.AppendReply())

    def _send(self, receiver: str, **body) -> None:
        """Add a message to the actions."""
        body.setdefault("term", self.term)
        cluster_id = self._joining_id
        if self.membership:
            cluster_id = self.membership.cluster_id
        message = pb.PeerMessage(
            cluster_id=cluster_id,
            sender=self.identity.member_id,
            receiver=receiver,
            **body,
        )
        self._out.messages.append(message)

    def _tick_leader(self, lead: replication.Leadership, now: float) -> None:
        """Handle the passing of time as the leader."""
        raise NotImplementedError

    def _start_leading(self, now: float) -> None:
        """Become the leader of the present term."""
        raise NotImplementedError

    def _leader_proof(self, now: float) -> float:
        """Return the last time at which this leader knew that it was current."""
        raise NotImplementedError

    # Elections.

    def _delay_election(self, now: float) -> None:
        """Wait for a leader anew."""
        self._elect_at = now + elections.election_delay(self._rng, self.timing)

    def _follow_term(self, term: int, now: float) -> None:
        """Become a follower, of no leader yet."""
        if self._lead:
            self._proof_at = self._leader_proof(now)
        if term > self.term:
            self.term, self.voted_for = term, ""
        self.leader_id = ""
        self.role = records.Role.FOLLOWER
        self._lead = self._ballot = None
        self._incoming.clear()
        self._delay_election(now)

    def _follow(self, leader_id: str, now: float) -> None:
        """Note that the leader of the present term is alive."""
        if self._lead:
            raise errors.AgreementError(f"two leaders in term {self.term}")
        self.leader_id = leader_id
        self._ballot = None
        self._heard_at = now
        self._delay_election(now)

    def _hears_leader(self, now: float) -> bool:
        """Whether a leader may count on this member not to vote."""
        heard_at = self._lead.contact_at if self._lead else self._heard_at
        return now - heard_at < self.timing.election_min_s

    def _campaign(self, now: float) -> None:
        """Ask whether an election could be won, or start it."""
        if not memberships.is_voter(self.membership, self.identity.member_id):
            # Its leader is gone, or has removed it and sends nothing any more.
            self.leader_id = ""
            self._elect_at = math.inf
        elif self.timing.pre_vote:
            self.role = records.Role.PRE_CANDIDATE
            self._open_ballot(self.term + 1, now, pre_vote=True)
        else:
            self._start_election(now)

    def _start_election(self, now: float, transfer: bool = False) -> None:
        """Ask for votes in a new term."""
        self.role = records.Role.CANDIDATE
        self.term += 1
        self.voted_for = self.identity.member_id
        self._open_ballot(self.term, now, transfer=transfer)

    def _open_ballot(
        self, term: int, now: float, pre_vote: bool = False, transfer: bool = False
    ) -> None:
        """Count the own vote and ask for the others."""
        self.leader_id = ""
        self._incoming.clear()
        voters = memberships.voter_ids(self.membership)
        self._ballot = elections.Ballot(voters, term, pre_vote, transfer)
        self._ballot.count(self.identity.member_id, granted=True)
        self._delay_election(now)
        self._request_votes(now)
        self._count_votes(now)

    def _request_votes(self, now: float) -> None:
        """Ask the voters that have not replied."""
        ballot = self._ballot
        self._resend_at = now + self.timing.heartbeat_s
        request = pb.VoteRequest(
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre_vote=ballot.pre_vote,
            transfer=ballot.transfer,
        )
        for voter in ballot.silent:
            self._send(voter, term=ballot.term, vote_request=request)

    def _count_votes(self, now: float) -> None:
        """Go on if the ballot is won."""
        if not self._ballot.is_won:
            return
        if self._ballot.pre_vote:
            self._start_election(now)
        else:
            self._start_leading(now)

    def _on_vote_request(self, message: pb.PeerMessage, now: float) -> None:
        """Grant or refuse a vote; say nothing while a leader is heard."""
        request = message.vote_request
        if self._hears_leader(now) and not request.transfer:
            return
        # A learner answers, because it may have been promoted without knowing
        # it; the candidate counts only the voters of its own membership.
        if memberships.find(self.membership, self.identity.member_id) is None:
            return
        if message.term > self.term and not request.pre_vote:
            self._follow_term(message.term, now)
        granted = elections.is_up_to_date(
            (request.last_term, request.last_index),
            (self.log.last_term, self.log.last_index),
        )
        if request.pre_vote:
            granted = granted and message.term > self.term
        elif granted:
            granted = message.term == self.term and not self._lead
            granted = granted and self.voted_for in ("", message.sender)
        if granted and not request.pre_vote:
            self.voted_for = message.sender
            self._delay_election(now)
        self._send(
            message.sender,
            term=message.term if granted else self.term,
            vote_reply=pb.VoteReply(granted=granted, pre_vote=request.pre_vote),
        )

    def _on_vote_reply(self, message: pb.PeerMessage, now: float) -> None:
        """Count a vote of the present ballot."""
        reply, ballot = message.vote_reply, self._ballot
        if ballot is None or reply.pre_vote != ballot.pre_vote:
            return
        if reply.granted and message.term != ballot.term:
            return
        ballot.count(message.sender, reply.granted)
        self._count_votes(now)
