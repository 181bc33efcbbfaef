"""Event-driven core of a control instance: replica, store and state machine.

The core passes each event to the replica and executes the actions that the replica
returns. It syncs the store before it sends messages, and applies committed entries to
the state machine last.
"""

import asyncio
import collections
import collections.abc
import random
import time

from loguru import logger

from coltsfootchute import agreement, errors, state
from coltsfootchute.control import feeds, members, proposals
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["OUTCOME_TIMEOUT_S", "Core", "wall_ms"]

OUTCOME_TIMEOUT_S = 2.0
MIN_TICK_DELAY_S = 0.005
# Freeing space on a full disk, or replacing a failed one, takes seconds at least.
REOPEN_INTERVAL_S = 0.5
CLOCK_WARNING_MS = 5_000


def wall_ms() -> int:
    """Return the wall-clock time in ms."""
    return time.time_ns() // 1_000_000


class Core:
    """The replicated state of one control instance.

    Parameters
    ----------
    identity
        Identity of this instance.
    store
        The opened data folder.
    rng
        Source of randomness for election timeouts and jitter.
    timing
        Timeouts and sizes of the replicated log.
    on_failure
        Called with the exception if the process must end.
    reopen
        Reopens the data folder after a failed write.
    tolerated_losses
        Number of voters that may be lost at the same time.

    Notes
    -----
    After a failed write, the instance takes no part in the agreement, as if it were
    down, but still serves its feed and status from memory. It tries to reopen the
    data folder at intervals. Once this succeeds, it restarts the replica from the
    stored state.
    """

    def __init__(
        self,
        identity: agreement.Identity,
        store: agreement.FileStore,
        rng: random.Random,
        timing: agreement.Timing,
        *,
        on_failure: collections.abc.Callable[[BaseException], None],
        reopen: collections.abc.Callable[[], agreement.FileStore],
        tolerated_losses: int = 0,
    ):
        self.identity = identity
        self.store = store
        self.machine = state.Machine()
        self.feed = feeds.Feed()
        self.links = members.MemberLinks(identity.member_id, rng)
        self.counters: collections.Counter[str] = collections.Counter()
        self.on_applied: list[collections.abc.Callable[[pb.Command], None]] = []
        self._rng = rng
        self._timing = timing
        self._on_failure = on_failure
        self._reopen = reopen
        self._tolerated_losses = tolerated_losses
        self._proposals = proposals.ProposalQueue()
        self._is_flush_scheduled = False
        self._tick_timer: asyncio.TimerHandle | None = None
        self._tick_due_s = float("inf")
        self._closed = False
        self._suspended = False
        self._resume_timer: asyncio.TimerHandle | None = None
        # Index of the last entry that was applied to the state machine.
        self._last_applied_index = 0
        self._last_role = (agreement.Role.LEARNER, 0)
        self._start_replica(store.saved)
        store.saved = None

    def _start_replica(self, saved: agreement.SavedState) -> None:
        if saved.snapshot is not None:
            self._load_snapshot(saved.snapshot)
        self.replica = agreement.Replica(
            self.identity, saved, self._rng, self._timing, self._tolerated_losses
        )
        self._update_peer_addresses()

    def _update_peer_addresses(self) -> None:
        membership = self.replica.membership
        self.links.update(membership)
        if membership is not None:
            self.feed.set_control_addresses([m.address for m in membership.members])

    # Events.

    def start(self) -> None:
        """Start the timer of the replica."""
        self._schedule_tick()

    def form(self, saved: agreement.SavedState) -> bool:
        """Store the first state of a member and restart the replica from it.

        Returns
        -------
        bool
            Whether the state is stored. If the disk rejects it, the instance belongs
            to no cluster until the data folder can be reopened.
        """
        if self._closed or self._suspended:
            return False
        try:
            self.store.append(saved.hard_state, saved.entries, saved.snapshot)
            self._start_replica(saved)
        except errors.SyncError as exc:
            self._suspend(exc)
            return False
        except Exception as exc:
            self._fail(exc)
            return False
        self._schedule_tick()
        return True

    def receive(self, message: pb.PeerMessage) -> None:
        """Pass a message of another member to the replica."""
        if message.receiver == self.identity.member_id:
            self._handle_event(lambda now: self.replica.step(message, now))

    def change_membership(
        self,
        event: collections.abc.Callable[[float], agreement.ProposedEntries | None],
    ) -> agreement.ProposedEntries | None:
        """Propose a change of the membership and execute the resulting actions.

        Parameters
        ----------
        event
            Method of the replica that proposes the change; called with the time of
            `feeds.clock`. It returns None if there is nothing to change.

        Raises
        ------
        coltsfootchute.errors.AgreementError
            If the replica refuses the change, or the store is unusable.
        """
        if self._suspended:
            raise errors.NotLeaderError("")
        proposed = event(feeds.clock())
        if proposed is not None:
            self._handle_event(lambda _: proposed.actions)
        return proposed

    def transfer(self) -> None:
        """Start to transfer the leadership to another voter.

        Raises
        ------
        coltsfootchute.errors.AgreementError
            If this instance is not the leader, no other voter is up, or the store is
            unusable.
        """
        if self._suspended:
            raise errors.NotLeaderError("")
        actions = self.replica.transfer(feeds.clock())
        self._handle_event(lambda _: actions)

    def _tick(self) -> None:
        self._tick_timer = None
        self._tick_due_s = float("inf")
        if feeds.clock() >= self.replica.next_deadline:
            self._handle_event(self.replica.tick)
        else:
            self._schedule_tick()

    def _schedule_tick(self) -> None:
        due_s = self.replica.next_deadline
        if self._closed or due_s >= self._tick_due_s:
            return
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        self._tick_due_s = due_s
        delay_s = max(MIN_TICK_DELAY_S, due_s - feeds.clock())
        self._tick_timer = asyncio.get_running_loop().call_later(delay_s, self._tick)

    def _handle_event(
        self, event: collections.abc.Callable[[float], agreement.Actions]
    ) -> None:
        if self._closed or self._suspended:
            return
        try:
            self._execute(event(feeds.clock()))
        except errors.SyncError as exc:
            self._suspend(exc)
            return
        except Exception as exc:
            # The replica and its store may differ after a partly executed event.
            self._fail(exc)
            return
        self.publish_proof()
        self._schedule_tick()

    def _fail(self, exc: Exception) -> None:
        self.close()
        self._on_failure(exc)

    # Failed writes.

    def _suspend(self, exc: errors.SyncError) -> None:
        self._suspended = True
        self._proposals.fail_all()
        self.store.close()
        logger.error(
            "store: {}; agreement suspended until the data folder can be reopened", exc
        )
        self.counters["failed_writes"] += 1
        self._schedule_resume()

    def _schedule_resume(self) -> None:
        loop = asyncio.get_running_loop()
        self._resume_timer = loop.call_later(REOPEN_INTERVAL_S, self._resume)

    def _resume(self) -> None:
        try:
            store = self._reopen()
        except errors.DamagedStoreError as exc:
            self._fail(exc)
            return
        except (errors.StoreError, OSError) as exc:
            logger.warning("store: reopening the data folder failed: {}", exc)
            self._schedule_resume()
            return
        self.store, self._suspended = store, False
        self._start_replica(store.saved)
        store.saved = None
        logger.info("store: data folder reopened; agreement resumed")
        self._schedule_tick()

    # Actions, executed in the order that `agreement.Actions` requires.

    def _execute(self, actions: agreement.Actions) -> None:
        if actions.must_sync:
            self.counters["syncs"] += 1
            self.store.append(actions.hard_state, actions.entries, actions.snapshot)
        self._update_peer_addresses()
        for message in actions.messages:
            self.links.send(message)
        if actions.snapshot is not None:
            self._load_snapshot(actions.snapshot)
        for entry in actions.committed:
            self._apply(entry)
        if (
            self.replica.needs_snapshot
            and self.replica.applied_index >= self._last_applied_index
        ):
            self._save_snapshot()
        self._record_role()

    def _load_snapshot(self, snapshot: agreement.Snapshot) -> None:
        if snapshot.meta.index < self._last_applied_index:
            return
        self._last_applied_index = snapshot.meta.index
        self.machine = state.Machine()
        if snapshot.data:
            self.machine.load(bytes(snapshot.data))
        self.feed.cluster_id = snapshot.meta.membership.cluster_id
        self.feed.replace(self.machine.view(), self.machine.revision)

    def _save_snapshot(self) -> None:
        index = self.replica.applied_index
        snapshot = self.replica.compact(index, self.machine.dump())
        self.store.save_snapshot(snapshot)
        self.counters["snapshots"] += 1
        size = len(snapshot.data)
        logger.info("store: saved a snapshot at index {}: {} bytes", index, size)

    def _apply(self, entry: pb.LogEntry) -> None:
        if entry.index <= self._last_applied_index:
            # Already applied before a failed write restarted the replica.
            return
        self._last_applied_index = entry.index
        if entry.kind != pb.ENTRY_KIND_COMMAND:
            self._proposals.record_applied(entry.index, entry.term, None)
            return
        command = pb.Command.FromString(entry.payload)
        applied = self.machine.apply(entry.index, command)
        self.counters["applied"] += 1
        if applied.changes:
            self.feed.publish(applied.changes, entry.index)
        for hook in self.on_applied:
            hook(command)
        self._proposals.record_applied(entry.index, entry.term, applied.reply)

    def _record_role(self) -> None:
        role = (self.replica.role, self.replica.term)
        if role == self._last_role:
            return
        if agreement.Role.LEADER in (role[0], self._last_role[0]):
            self.counters["leader_changes"] += 1
            logger.info("agreement: now {} in term {}", role[0].value, role[1])
        self._last_role = role

    # Proposals and reads.

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the leader and holds its lease."""
        is_running = not self._closed and not self._suspended
        return is_running and self.replica.can_read(feeds.clock())

    @property
    def leader_address(self) -> str:
        """Peer address of the leader if another instance leads, else empty."""
        leader_id = self.replica.leader_id
        if not leader_id or leader_id == self.identity.member_id:
            return ""
        return self.links.address(leader_id)

    async def propose(self, command: pb.Command) -> state.outcomes.Reply:
        """Commit a command and apply it to the state machine.

        Returns
        -------
        The reply of the state machine.

        Raises
        ------
        coltsfootchute.errors.NotLeaderError
            If the command was not proposed, or was replaced and never takes effect.
        coltsfootchute.errors.OutcomeUnknownError
            If the outcome is not known within `OUTCOME_TIMEOUT_S`, or if too many
            commands already wait for theirs.
        """
        if not self.is_leader:
            raise errors.NotLeaderError(self.replica.leader_id)
        future = self._proposals.add(command)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._propose_queued)
        try:
            async with asyncio.timeout(OUTCOME_TIMEOUT_S):
                return await future
        except errors.OutcomeUnknownError:
            self.counters["outcomes_unknown"] += 1
            raise
        except TimeoutError:
            self.counters["outcomes_unknown"] += 1
            msg = f"the command was not applied within {OUTCOME_TIMEOUT_S} s"
            raise errors.OutcomeUnknownError(msg) from None

    def _propose_queued(self) -> None:
        """Propose all queued commands in one batch, with one sync."""
        self._is_flush_scheduled = False
        if self._closed or self._suspended:
            return
        payloads, futures = self._proposals.take_batch(self._command_ms())
        if not payloads:
            return
        try:
            proposed = self.replica.propose(payloads, feeds.clock())
        except errors.NotLeaderError as exc:
            for future in futures:
                future.set_exception(errors.NotLeaderError(exc.leader_id))
            return
        self._proposals.record_proposed(proposed.term, proposed.indexes, futures)
        self._handle_event(lambda _: proposed.actions)

    def _command_ms(self) -> int:
        return max(wall_ms(), self.machine.clock_ms)

    def publish_proof(self) -> None:
        """Pass the time of the latest proof of currency to the feed."""
        now = feeds.clock()
        age_s = self.replica.proof_age(now)
        if age_s != float("inf"):
            self.feed.set_proof(now - age_s)

    def drop_abandoned_proposals(self) -> None:
        """Drop the proposals whose callers no longer wait."""
        self._proposals.drop_done()

    def close(self) -> None:
        """Stop the timers; later events are ignored."""
        self._closed = True
        for timer in (self._tick_timer, self._resume_timer):
            if timer is not None:
                timer.cancel()
