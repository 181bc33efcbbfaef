"""Replication state of a leader: the progress of each member, and the lease."""

import dataclasses
import math

from coltsfootchute.agreement import logs, memberships, records, snapshots
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Delay", "Leadership", "Progress", "Transfer", "round_of", "time_of"]

ROUNDS_PER_S = 1_000_000
SKEW_RATE = 0.01  # Upper bound of the difference in rate of two clocks.


def round_of(now: float) -> int:
    """Return the `round` of a message: the sender's clock in microseconds.

    Parameters
    ----------
    now
        Time of sending, in seconds. It is rounded down, so that a lease never
        starts after the message was sent.
    """
    return int(now * ROUNDS_PER_S)


def time_of(sent: int) -> float:
    """Return the time at which a message was sent, in seconds of the sender's clock.

    Parameters
    ----------
    sent
        The `round` of a message.
    """
    return sent / ROUNDS_PER_S


class Delay:
    """Estimates how much longer a leader's message took than the fastest one.

    Subtracts the smallest difference between the receiver's and the sender's clock
    seen so far with this leader from the difference for the message. A message that
    was buffered while the receiver was frozen thus doesn't count as recent.
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
    """Replication progress of a member, as known to the leader.

    Parameters
    ----------
    next_index
        Index of the next entry to send.
    heard_at
        Time at which the last reply arrived; before the first reply, the time at
        which this leader began to send to the member. In seconds.
    match_index
        Last index known to be stored by the member.
    acked_at
        Time at which the latest acknowledged message was sent, in seconds.
    probing
        Whether the leader is searching for the last index at which the logs agree;
        it then has only one message in flight.
    sent_round
        The `round` of the last probe or chunk sent.
    snapshot_index, snapshot_offset
        Index of the snapshot in transfer and the offset of its next byte; both 0 if
        there is no transfer.
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
    """A leadership transfer in progress.

    Parameters
    ----------
    target
        Id of the member that is to become the leader.
    start
        Time at which the leader gave up its lease, in seconds.
    asked
        Whether the target was asked to start an election. If so, the lease is void
        for the rest of the term, because the request may arrive late.
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
        Timeouts and size limits.

    Notes
    -----
    Each reply sorts one number per voter, at most eight, to find the quorum.
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
        """Latest time at which a quorum was known to follow, in seconds."""
        return max(self.quorum_at, self.elected_at)

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
        """Update the latest time at which a quorum is known to have followed."""
        needed = memberships.quorum(len(self._voters) + 1) - 1
        if not needed:
            self.quorum_at = math.inf
            return
        times = sorted(self.progress[v].acked_at for v in self._voters)
        self.quorum_at = times[-needed]

    def quorum_match(self, own_index: int) -> int:
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

    def is_recent(self, member_id: str, now: float) -> bool:
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
        return now - progress.acked_at < self._timing.recent_s

    def silent_voter(self, now: float) -> str | None:
        """Return the unresponsive voter with the oldest acknowledgement, or `None`.

        Parameters
        ----------
        now
            Time in seconds. The timeout of a voter that never acknowledged starts
            with the election of this leader.
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
        """Return the unresponsive learners, the one with the oldest reply first.

        Parameters
        ----------
        now
            Time in seconds. For a learner the arrival of its reply counts, not the
            time at which the acknowledged message was sent, because no lease depends
            on it. Its timeout is longer than that of a voter, because it may be
            restarting before its promotion.
        """
        heard_at = {
            member_id: progress.heard_at
            for member_id, progress in sorted(self.progress.items())
            if member_id not in self._voters
        }
        lost = [m for m, at in heard_at.items() if now - at >= self._timing.lost_s]
        return sorted(lost, key=heard_at.get)

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
        if not self.is_recent(member_id, now):
            return False
        return self.progress[member_id].match_index >= index

    def best_voter(self, now: float) -> str | None:
        """Return the voter that is up and stores most of the log, or `None`.

        Parameters
        ----------
        now
            Time in seconds.
        """
        recent = [v for v in sorted(self._voters) if self.is_recent(v, now)]
        return max(recent, key=lambda v: self.progress[v].match_index, default=None)

    def note_reply(self, member_id: str, sent: int, now: float) -> Progress | None:
        """Record a member's reply; return its progress, or `None` if it is no member.

        Parameters
        ----------
        member_id
            The sender of the reply.
        sent
            The `round` of the message to which it replies.
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
        stale = progress.probing and reply.round < progress.sent_round
        if stale or reply.hint_index < progress.match_index:
            return False
        progress.next_index = min(progress.next_index, reply.hint_index + 1)
        progress.probing = True
        return True

    def note_snapshot_reply(self, progress: Progress, reply: pb.SnapshotReply) -> bool:
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
            Whether the message is a periodic heartbeat. It then doesn't repeat a
            chunk that may still be in flight; the reply shows whether that chunk
            was lost.
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
        """Return the next chunk of the snapshot, or an empty chunk as a heartbeat."""
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
        """Return whether the lease holds: no other member can have become the leader.

        Parameters
        ----------
        now
            Time in seconds.
        """
        return self.transfer is None and now - self.quorum_at < self._timing.lease_s

    def proof_time(self, now: float) -> float:
        """Return the latest time at which this was surely the leader, in seconds.

        Parameters
        ----------
        now
            Time in seconds.
        """
        end = self.transfer.start if self.transfer else now
        return min(self.quorum_at, end)
