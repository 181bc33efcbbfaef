"""Replication state of a leader: the progress of each member, and the lease."""

import dataclasses
import math

from coltsfootchute.agreement import logs, memberships, records, snapshots
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = [
    "DelayEstimator",
    "Leadership",
    "LeadershipTransfer",
    "Progress",
    "round_of",
    "time_of",
]

ROUNDS_PER_S = 1_000_000
MAX_CLOCK_DRIFT_RATIO = 0.01  # Upper bound of the difference in rate of two clocks.


def round_of(now: float) -> int:
    """Return the `round` of a message: the sender's clock in microseconds.

    Parameters
    ----------
    now
        Time of sending, in seconds. It is rounded down, so that a lease never
        starts after the message was sent.
    """
    return int(now * ROUNDS_PER_S)


def time_of(round_: int) -> float:
    """Return the time at which a message was sent, in seconds of the sender's clock.

    Parameters
    ----------
    round_
        The `round` of a message.
    """
    return round_ / ROUNDS_PER_S


class DelayEstimator:
    """Estimates how much longer a leader's message took than the fastest one.

    It compares the differences between the receiver's and the sender's clock, so that
    a message that was buffered while the receiver was frozen doesn't count as recent.
    """

    def __init__(self):
        self._leader: tuple[int, str] | None = None
        self._min_difference = 0.0
        self._updated_at = 0.0

    def excess(self, leader: tuple[int, str], round_: int, now: float) -> float:
        """Return the excess delay of a message, in seconds.

        Parameters
        ----------
        leader
            Term and member id of the sender.
        round_
            The `round` of the message.
        now
            Time of receipt, in seconds.
        """
        difference = now - time_of(round_)
        if leader != self._leader:
            self._leader, self._min_difference = leader, difference
        else:
            drift = (now - self._updated_at) * MAX_CLOCK_DRIFT_RATIO
            self._min_difference = min(difference, self._min_difference + drift)
        self._updated_at = now
        return difference - self._min_difference


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication progress of a member, as known to the leader.

    Parameters
    ----------
    next_index
        Index of the next entry to send.
    last_reply_at
        Time of the last reply, or of the first message if there was none, in seconds.
    match_index
        Last index known to be stored by the member.
    acked_sent_at
        Time at which the latest acknowledged message was sent, in seconds.
    probing
        Whether the leader searches for the last common index, one message at a time.
    last_sent_round
        The `round` of the last probe or chunk sent.
    snapshot_index, snapshot_offset
        Index of the snapshot in transfer and its next offset; 0 without a transfer.
    """

    next_index: int
    last_reply_at: float
    match_index: int = 0
    acked_sent_at: float = -math.inf
    probing: bool = False
    last_sent_round: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0


@dataclasses.dataclass(slots=True)
class LeadershipTransfer:
    """A leadership transfer in progress.

    Parameters
    ----------
    target
        Id of the member that is to become the leader.
    started_at
        Time at which the leader gave up its lease, in seconds.
    is_requested
        Whether the target was asked to start an election. If so, the lease is void
        for the rest of the term, because the request may arrive late.
    """

    target: str
    started_at: float
    is_requested: bool = False


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
        Timeouts and size limits.

    Notes
    -----
    Each reply sorts one number per voter, at most `memberships.MEMBERS_MAX`, to find
    the quorum.
    """

    def __init__(
        self, own_id: str, first_index: int, now: float, timing: records.Timing
    ):
        self.first_index = first_index
        self.elected_at = now
        self.next_heartbeat_at = now
        self.quorum_ack_at = -math.inf
        self.transfer: LeadershipTransfer | None = None
        self.progress: dict[str, Progress] = {}
        self._own_id = own_id
        self._voters: frozenset[str] = frozenset()
        self._timing = timing

    @property
    def last_quorum_at(self) -> float:
        """Latest time at which a quorum was known to follow, in seconds."""
        return max(self.quorum_ack_at, self.elected_at)

    def set_membership(
        self, membership: pb.Membership, next_index: int, now: float
    ) -> None:
        """Replicate to the members of a new membership.

        Parameters
        ----------
        membership
            The latest membership in the log.
        next_index
            Index of the first entry to send to members that are new.
        now
            Time in seconds.
        """
        member_ids = [m.member_id for m in membership.members]
        old_progress = self.progress
        self.progress = {
            member_id: old_progress.get(member_id) or Progress(next_index, now)
            for member_id in member_ids
            if member_id != self._own_id
        }
        self._voters = memberships.voter_ids(membership) - {self._own_id}
        self._update_quorum_ack_at()

    def _update_quorum_ack_at(self) -> None:
        """Update the latest time at which a quorum is known to have followed."""
        needed = memberships.quorum(len(self._voters) + 1) - 1
        if not needed:
            self.quorum_ack_at = math.inf
            return
        sent_times = sorted(self.progress[v].acked_sent_at for v in self._voters)
        self.quorum_ack_at = sent_times[-needed]

    def quorum_match_index(self, own_index: int) -> int:
        """Return the last index that is stored by a quorum.

        Parameters
        ----------
        own_index
            Last index stored by the leader.
        """
        matches = [self.progress[v].match_index for v in self._voters]
        matches.append(own_index)
        matches.sort()
        return matches[-memberships.quorum(len(matches))]

    def is_up(self, member_id: str, now: float) -> bool:
        """Return whether a member is up: whether it acknowledged recently.

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
        return now - progress.acked_sent_at < self._timing.ack_timeout_s

    def unresponsive_voter(self, now: float) -> str | None:
        """Return the unresponsive voter with the oldest acknowledgement, or `None`.

        Parameters
        ----------
        now
            Time in seconds. The timeout of a voter that never acknowledged starts
            with the election of this leader.
        """
        acked_sent_at = {
            voter: max(self.progress[voter].acked_sent_at, self.elected_at)
            for voter in sorted(self._voters)
        }
        oldest = min(acked_sent_at, key=acked_sent_at.get, default=None)
        if oldest is None or now - acked_sent_at[oldest] < self._timing.voter_timeout_s:
            return None
        return oldest

    def unresponsive_learners(self, now: float) -> list[str]:
        """Return the unresponsive learners, the one with the oldest reply first.

        Parameters
        ----------
        now
            Time in seconds. The arrival of a reply counts, not the sending of the
            acknowledged message, because no lease depends on a learner. The timeout
            is longer than for voters, because a learner may be restarting before its
            promotion.
        """
        reply_at = {
            member_id: progress.last_reply_at
            for member_id, progress in sorted(self.progress.items())
            if member_id not in self._voters
        }
        late = [
            m
            for m, at in reply_at.items()
            if now - at >= self._timing.learner_timeout_s
        ]
        return sorted(late, key=reply_at.get)

    def is_caught_up(self, member_id: str, index: int, now: float) -> bool:
        """Return whether a member is up and stores the log up to an index.

        Parameters
        ----------
        member_id
            The member.
        index
            Index in the log.
        now
            Time in seconds.
        """
        if not self.is_up(member_id, now):
            return False
        return self.progress[member_id].match_index >= index

    def most_advanced_voter(self, now: float) -> str | None:
        """Return the voter that is up and stores most of the log, or `None`.

        Parameters
        ----------
        now
            Time in seconds.
        """
        voters_up = [v for v in sorted(self._voters) if self.is_up(v, now)]
        return max(voters_up, key=lambda v: self.progress[v].match_index, default=None)

    def record_reply(self, member_id: str, round_: int, now: float) -> Progress | None:
        """Record a member's reply; return its progress, or `None` if it is no member.

        Parameters
        ----------
        member_id
            The sender of the reply.
        round_
            The `round` of the message to which it replies.
        now
            Time in seconds.
        """
        progress = self.progress.get(member_id)
        if progress is None:
            return None
        progress.last_reply_at = now
        sent_at = min(time_of(round_), now)
        if sent_at > progress.acked_sent_at:
            progress.acked_sent_at = sent_at
            self._update_quorum_ack_at()
        return progress

    def on_append_reply(self, progress: Progress, reply: pb.AppendReply) -> bool:
        """Update a member's progress; return whether to send it entries at once.

        Parameters
        ----------
        progress
            The member's progress.
        reply
            Its reply.
        """
        if reply.accepted and not reply.match_index:
            # A reply to a bare heartbeat holds no index of the log.
            return False
        if reply.accepted:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            progress.probing = False
            return True
        stale = progress.probing and reply.round < progress.last_sent_round
        if stale or reply.hint_index < progress.match_index:
            return False
        progress.next_index = min(progress.next_index, reply.hint_index + 1)
        progress.probing = True
        return True

    def on_snapshot_reply(self, progress: Progress, reply: pb.SnapshotReply) -> bool:
        """Update a snapshot transfer; return whether to send the next part at once.

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
        stale = reply.round < progress.last_sent_round
        if stale or reply.index != progress.snapshot_index:
            return False
        progress.snapshot_offset = reply.next_offset
        return True

    def next_body(
        self,
        progress: Progress,
        log: logs.Log,
        commit_index: int,
        now: float,
        heartbeat: bool = False,
    ) -> pb.AppendRequest | pb.SnapshotChunk:
        """Return the next message body for a member: entries, heartbeat or chunk.

        Parameters
        ----------
        progress
            The member's progress. Entries sent count as received until the member
            rejects a later message.
        log
            The leader's log.
        commit_index
            Index of the last committed entry.
        now
            Time in seconds.
        heartbeat
            Whether this is a periodic heartbeat, which doesn't repeat a chunk that is
            in flight; the reply shows whether that chunk was lost.
        """
        previous = progress.next_index - 1
        previous_term = log.term_at(previous)
        if previous_term is None:
            return self._next_chunk(progress, log, now, heartbeat)
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
            entries = log.batch(previous + 1, last, self._timing.max_append_bytes)
            body.entries.extend(entries)
            if not progress.probing:
                progress.next_index += len(entries)
        if progress.probing:
            progress.last_sent_round = body.round
        return body

    def _next_chunk(
        self, progress: Progress, log: logs.Log, now: float, heartbeat: bool
    ) -> pb.SnapshotChunk:
        """Return the next chunk of the snapshot, or an empty chunk as a heartbeat."""
        round_ = round_of(now)
        if progress.snapshot_index != log.snapshot_index:
            progress.snapshot_index = log.snapshot_index
            progress.snapshot_offset = 0
        elif heartbeat:
            return snapshots.make_empty_chunk(
                log.snapshot, progress.snapshot_offset, round_
            )
        progress.last_sent_round = round_
        return snapshots.make_chunk(
            log.snapshot, progress.snapshot_offset, self._timing.chunk_bytes, round_
        )

    def has_lease(self, now: float) -> bool:
        """Return whether the lease holds: no other member can have become the leader.

        Parameters
        ----------
        now
            Time in seconds.
        """
        return self.transfer is None and now - self.quorum_ack_at < self._timing.lease_s

    def proof_time(self, now: float) -> float:
        """Return the latest time at which this was surely the leader, in seconds.

        Parameters
        ----------
        now
            Time in seconds.
        """
        end = self.transfer.started_at if self.transfer else now
        return min(self.quorum_ack_at, end)
