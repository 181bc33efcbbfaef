"""What a leader knows of the other members, and what it sends them."""

import dataclasses
import math

from coltsfootchute.agreement import logs, memberships, records, snapshots
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Delay", "Leadership", "Progress", "Transfer", "round_of", "time_of"]

ROUNDS_PER_S = 1_000_000
SKEW_RATE = 0.01  # More than clocks of two machines differ in rate.


def round_of(now: float) -> int:
    """Return the `round` of a message: the sender's clock in microseconds.

    Parameters
    ----------
    now
        Time of sending, in seconds. Rounded down, so that a lease never
        starts later than the message was sent.
    """
    return int(now * ROUNDS_PER_S)


def time_of(sent: int) -> float:
    """Return the time of sending in seconds of the sender's clock.

    Parameters
    ----------
    sent
        The `round` of a message.
    """
    return sent / ROUNDS_PER_S


class Delay:
    """Estimates how late a leader's message arrives.

    Compares the difference of receiver's and sender's clock with the least
    difference seen from the same leader, so that a message that lay in a buffer
    while the receiver was frozen does not count as new.
    """

    def __init__(self):
        self._leader: tuple[int, str] | None = None
        self._least = 0.0
        self._updated = 0.0

    def of(self, leader: tuple[int, str], sent: int, now: float) -> float:
        """Return the excess delay of a message, in seconds.

        Parameters
        ----------
        leader
            Term and member id of the sender.
        sent
            The `round` of the message.
        now
            Time of receipt, in seconds.
        """
        difference = now - time_of(sent)
        if leader != self._leader:
            self._leader, self._least = leader, difference
        else:
            drift = (now - self._updated) * SKEW_RATE
            self._least = min(difference, self._least + drift)
        self._updated = now
        return difference - self._least


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a member is, as its leader knows.

    Parameters
    ----------
    next_index
        Index of the next entry to send.
    heard_at
        Time at which a reply arrived last, or at which this leader began to send
        to the member.
    match_index
        Last index known to be stored by the member.
    acked_at
        Time of sending of the latest message that was acknowledged.
    probing
        Whether the leader looks for the index where the logs agree; then one
        message is in flight at a time.
    sent_round
        Round of the last probe or chunk.
    snapshot_index, snapshot_offset
        The snapshot in transfer and the next byte of it; 0 if none is.
    """

    next_index: int
    heard_at: float
    match_index: int = 0
    acked_at: float = -math.inf
    probing: bool = False
    sent_round: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0


@dataclasses.dataclass(slots=True)
class Transfer:
    """A transfer of the leadership.

    Parameters
    ----------
    target
        Id of the member that shall lead.
    start
        Time at which the lease was given up, in seconds.
    asked
        Whether the member was asked to start an election. From then on the
        lease is void for the rest of the term, because the request may be late.
    """

    target: str
    start: float
    asked: bool = False


class Leadership:
    """The state of a leader during one term.

    Parameters
    ----------
    own_id
        Member id of the leader.
    first_index
        Index of the leader's first entry in its term.
    now
        Time of the election, in seconds.
    timing
        Sizes and times.

    Notes
    -----
    Counting a quorum sorts at most eight numbers, once per reply.
    """

    def __init__(
        self, own_id: str, first_index: int, now: float, timing: records.Timing
    ):
        self.first_index = first_index
        self.elected_at = now
        self.heartbeat_at = now
        self.quorum_at = -math.inf
        self.transfer: Transfer | None = None
        self.progress: dict[str, Progress] = {}
        self._own_id = own_id
        self._voters: frozenset[str] = frozenset()
        self._timing = timing

    @property
    def contact_at(self) -> float:
        """Time at which a quorum was last known to follow, in seconds."""
        return max(self.quorum_at, self.elected_at)

    def set_membership(
        self, membership: pb.Membership, next_index: int, now: float
    ) -> None:
        """Adopt a membership.

        Parameters
        ----------
        membership
            The latest membership in the log.
        next_index
            Where to start with members that are new.
        now
            Time in seconds.
        """
        others = [m.member_id for m in membership.members]
        old = self.progress
        self.progress = {
            member_id: old.get(member_id) or Progress(next_index, now)
            for member_id in others
            if member_id != self._own_id
        }
        self._voters = memberships.voter_ids(membership) - {self._own_id}
        self._count_acks()

    def _count_acks(self) -> None:
        """Find the time since which a quorum is known to follow."""
        needed = memberships.quorum(len(self._voters) + 1) - 1
        if not needed:
            self.quorum_at = math.inf
            return
        times = sorted(self.progress[v].acked_at for v in self._voters)
        self.quorum_at = times[-needed]

    def quorum_match(self, own_index: int) -> int:
        """Return the last index that a quorum has stored.

        Parameters
        ----------
        own_index
            Last index that the leader has stored.
        """
        matches = [self.progress[v].match_index for v in self._voters]
        matches.append(own_index)
        matches.sort()
        return matches[-memberships.quorum(len(matches))]

    def is_recent(self, member_id: str, now: float) -> bool:
        """Return whether a member acknowledged within the last heartbeats.

        Parameters
        ----------
        member_id
            The member.
        now
            Time in seconds.
        """
        progress = self.progress.get(member_id)
        if progress is None:
            return False
        return now - progress.acked_at < self._timing.recent_s

    def silent_voter(self, now: float) -> str | None:
        """Return the voter that is silent for the longest time, or `None`.

        Parameters
        ----------
        now
            Time in seconds. A voter that never acknowledged counts as silent from
            the election on.
        """
        heard_at = {
            voter: max(self.progress[voter].acked_at, self.elected_at)
            for voter in sorted(self._voters)
        }
        silent = min(heard_at, key=heard_at.get, default=None)
        if silent is None or now - heard_at[silent] < self._timing.silent_s:
            return None
        return silent

    def lost_learners(self, now: float) -> list[str]:
        """Return the learners that count as lost, first the one silent for longest.

        Parameters
        ----------
        now
            Time in seconds. Unlike a voter, a learner whose acknowledgements arrive
            late is not silent: no lease depends on it. It also has longer than a
            voter, since it may be restarting on its way to a vote.
        """
        heard_at = {
            member_id: progress.heard_at
            for member_id, progress in sorted(self.progress.items())
            if member_id not in self._voters
        }
        lost = [m for m, at in heard_at.items() if now - at >= self._timing.lost_s]
        return sorted(lost, key=heard_at.get)

    def is_caught_up(self, member_id: str, index: int, now: float) -> bool:
        """Return whether a member is up and has stored the log up to an index.

        Parameters
        ----------
        member_id
            The member.
        index
            Index in the log.
        now
            Time in seconds.
        """
        if not self.is_recent(member_id, now):
            return False
        return self.progress[member_id].match_index >= index

    def best_voter(self, now: float) -> str | None:
        """Return the most advanced voter that is up, or `None`.

        Parameters
        ----------
        now
            Time in seconds.
        """
        recent = [v for v in sorted(self._voters) if self.is_recent(v, now)]
        return max(recent, key=lambda v: self.progress[v].match_index, default=None)

    def note_reply(self, member_id: str, sent: int, now: float) -> Progress | None:
        """Record that a member acknowledged; `None` if it is no member.

        Parameters
        ----------
        member_id
            The member.
        sent
            The `round` that it echoes.
        now
            Time in seconds.
        """
        progress = self.progress.get(member_id)
        if progress is None:
            return None
        progress.heard_at = now
        sent_at = min(time_of(sent), now)
        if sent_at > progress.acked_at:
            progress.acked_at = sent_at
            self._count_acks()
        return progress

    def note_append_reply(self, progress: Progress, reply: pb.AppendReply) -> bool:
        """Update a member's position; return whether to send at once.

        Parameters
        ----------
        progress
            The member's progress.
        reply
            Its reply.
        """
        if reply.accepted and not reply.match_index:
            # The reply to a sign of life, which tells nothing of the log.
            return False
        if reply.accepted:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            progress.probing = False
            return True
        stale = progress.probing and reply.round < progress.sent_round
        if stale or reply.hint_index < progress.match_index:
            return False
        progress.next_index = min(progress.next_index, reply.hint_index + 1)
        progress.probing = True
        return True

    def note_snapshot_reply(self, progress: Progress, reply: pb.SnapshotReply) -> bool:
        """Update a snapshot's transfer; return whether to send at once.

        Parameters
        ----------
        progress
            The member's progress.
        reply
            Its reply.
        """
        if reply.installed:
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            progress.snapshot_index = progress.snapshot_offset = 0
            progress.probing = False
            return True
        stale = reply.round < progress.sent_round
        if stale or reply.index != progress.snapshot_index:
            return False
        progress.snapshot_offset = reply.next_offset
        return True

    def body_for(
        self,
        progress: Progress,
        log: logs.Log,
        commit_index: int,
        now: float,
        heartbeat: bool = False,
    ) -> pb.AppendRequest | pb.SnapshotChunk:
        """Return what to send to a member: entries, a heartbeat or a chunk.

        Parameters
        ----------
        progress
            The member's progress; entries sent count as received until the
            member rejects a later message.
        log
            The leader's log.
        commit_index
            Index of the last committed entry.
        now
            Time in seconds.
        heartbeat
            Whether to repeat no chunk that may be on its way. The reply tells whether
            what was sent before it got lost.
        """
        previous = progress.next_index - 1
        previous_term = log.term_at(previous)
        if previous_term is None:
            return self._chunk_for(progress, log, now, heartbeat)
        progress.snapshot_index = progress.snapshot_offset = 0
        last = min(log.last_index, progress.match_index + self._timing.window_entries)
        body = pb.AppendRequest(
            previous_index=previous,
            previous_term=previous_term,
            commit_index=commit_index,
            round=round_of(now),
            has_lease=self.has_lease(now) and commit_index >= self.first_index,
        )
        if last > previous:
            entries = log.chunk(previous + 1, last, self._timing.append_bytes)
            body.entries.extend(entries)
            if not progress.probing:
                progress.next_index += len(entries)
        if progress.probing:
            progress.sent_round = body.round
        return body

    def _chunk_for(
        self, progress: Progress, log: logs.Log, now: float, heartbeat: bool
    ) -> pb.SnapshotChunk:
        """Return the next chunk of the snapshot, an empty one as a heartbeat."""
        sent = round_of(now)
        if progress.snapshot_index != log.snapshot_index:
            progress.snapshot_index = log.snapshot_index
            progress.snapshot_offset = 0
        elif heartbeat:
            return snapshots.empty_chunk_of(
                log.snapshot, progress.snapshot_offset, sent
            )
        progress.sent_round = sent
        return snapshots.chunk_of(
            log.snapshot, progress.snapshot_offset, self._timing.chunk_bytes, sent
        )

    def has_lease(self, now: float) -> bool:
        """Return whether no other member can have become the leader.

        Parameters
        ----------
        now
            Time in seconds.
        """
        return self.transfer is None and now - self.quorum_at < self._timing.lease_s

    def proof_time(self, now: float) -> float:
        """Return the last time at which this leader certainly led, in seconds.

        Parameters
        ----------
        now
            Time in seconds.
        """
        end = self.transfer.start if self.transfer else now
        return min(self.quorum_at, end)
