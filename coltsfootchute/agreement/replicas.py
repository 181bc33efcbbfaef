"""The replicated log of one instance."""

import random

from coltsfootchute.agreement import records
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Replica"]


class Replica:
    """One member of the replicated log, without I/O.

    A daemon drives it so::

        actions = replica.step(message, now)     # or tick, propose(...).actions
        if actions.must_sync:
            store.append(actions.hard_state, actions.entries, actions.snapshot)
        for message in actions.messages:         # message.receiver is a member id
            links.send(message)
        if actions.snapshot:
            machine.load(actions.snapshot.data)  # empty data: empty machine
        for entry in actions.committed:
            machine.apply(entry)                 # only ENTRY_KIND_COMMAND
        if replica.wants_snapshot:
            store.save_snapshot(
                replica.compact(replica.applied_index, machine.dump())
            )

    `tick` is called at `next_deadline` or later. `propose` takes all payloads
    that have come in since the last call, so that they share one sync. Right
    before a response is sent, `can_read` is asked again with a new time.

    `now` is in seconds of a monotonic clock that also runs while the machine
    is suspended (`time.CLOCK_BOOTTIME`).
    """

    def __init__(
        self,
        identity: records.Identity,
        saved: records.SavedState,
        rng: random.Random,
        timing: records.Timing | None = None,
    ):
        self.identity = identity
        self.term = saved.hard_state.term
        self.role = records.Role.LEARNER
        self.leader_id = ""
        self.commit_index = 0
        self.applied_index = 0
        self.next_deadline = 0.0

    @property
    def membership(self) -> pb.Membership | None:
        """Latest membership in the log, committed or not; `None` if unformed."""
        raise NotImplementedError

    @property
    def committed_membership(self) -> pb.Membership | None:
        """Latest committed membership, for `HelloReply`; `None` if unformed."""
        raise NotImplementedError

    @property
    def wants_snapshot(self) -> bool:
        """Whether enough was applied since the last snapshot for a new one."""
        raise NotImplementedError

    def step(self, message: pb.PeerMessage, now: float) -> records.Actions:
        """Handle a message of another member."""
        raise NotImplementedError

    def tick(self, now: float) -> records.Actions:
        """Handle the passing of time."""
        raise NotImplementedError

    def propose(self, payloads: list[bytes], now: float) -> records.Proposed:
        """Append commands; raises `NotLeaderError` without leadership and lease."""
        raise NotImplementedError

    def can_read(self, now: float) -> bool:
        """Whether this replica is the leader and holds its lease."""
        raise NotImplementedError

    def proof_age(self, now: float) -> float:
        """Seconds since the replica last knew that it was current; `inf`: never."""
        raise NotImplementedError

    def transfer(self, now: float) -> records.Actions:
        """Give up the lease and make another voter the leader."""
        raise NotImplementedError

    def add_learner(self, member: pb.Member, now: float) -> records.Proposed:
        """Add a member without a vote."""
        raise NotImplementedError

    def remove_member(self, member_id: str, now: float) -> records.Proposed:
        """Remove a member other than the leader."""
        raise NotImplementedError

    def promote(self, member_id: str, now: float) -> records.Proposed:
        """Give a learner that has caught up a vote."""
        raise NotImplementedError

    def advance_membership(self, now: float) -> records.Proposed | None:
        """Propose the next step of promoting learners, if any is due.

        A daemon calls it about once a second on the leader: it removes the lost
        member whose name a caught-up learner has, then promotes the learner.
        """
        raise NotImplementedError

    def compact(self, index: int, data: bytes) -> records.Snapshot:
        """Drop entries up to `index`, given the dump of the machine there."""
        raise NotImplementedError
