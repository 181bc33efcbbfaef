"""The replica, its store and the state machine, driven by events.

A core executes what the replica asks for, in the order that makes it safe: first
the store, then messages, then the state machine.
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
TICK_MIN_S = 0.005
# A full disk has room again, or a failed one is replaced, within seconds at best.
REOPEN_S = 0.5
CLOCK_WARNING_MS = 5_000


def wall_ms() -> int:
    """Return the wall-clock time in ms."""
    return time.time_ns() // 1_000_000


class Core:
    """The replicated state of one control instance.

    Parameters
    ----------
    identity
        Who this instance is.
    store
        The opened data folder.
    rng
        Source of election timeouts and jitter.
    timing
        Times of the replicated log.
    on_failure
        Called with an exception after which the process must not go on.
    reopen
        Opens the data folder again after a failed write.

    Notes
    -----
    While the disk takes no writes, the instance takes no part in agreement, as if it
    were down; it goes on to pass on what it knows. When the disk works again, it
    starts over from what is stored.
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
        self._proposals = proposals.ProposalQueue()
        self._flushing = False
        self._timer: asyncio.TimerHandle | None = None
        self._armed_s = float("inf")
        self._closed = False
        self._suspended = False
        self._reopening: asyncio.TimerHandle | None = None
        # Index of the last entry in the state machine.
        self._applied = 0
        self._last_role = (agreement.Role.LEARNER, 0)
        self._begin(store.saved)
        store.saved = None

    def _begin(self, saved: agreement.SavedState) -> None:
        if saved.snapshot is not None:
            self._load(saved.snapshot)
        self.replica = agreement.Replica(self.identity, saved, self._rng, self._timing)
        self._follow_membership()

    def _follow_membership(self) -> None:
        membership = self.replica.membership
        self.links.update(membership)
        if membership is not None:
            self.feed.set_control_addresses([m.address for m in membership.members])

    # Events.

    def start(self) -> None:
        """Begin to tick."""
        self._arm()

    def form(self, saved: agreement.SavedState) -> None:
        """Store the first state of a member, then begin anew from it."""
        try:
            self.store.append(saved.hard_state, saved.entries, saved.snapshot)
            self._begin(saved)
        except Exception as exc:
            self._fail(exc)
            return
        self._arm()

    def receive(self, message: pb.PeerMessage) -> None:
        """Handle a message of another member."""
        if message.receiver == self.identity.member_id:
            self._handle(lambda now: self.replica.step(message, now))

    def change_membership(
        self,
        event: collections.abc.Callable[[float], agreement.ProposedEntries | None],
    ) -> agreement.ProposedEntries | None:
        """Run a method of the replica that may propose, and execute its actions.

        Parameters
        ----------
        event
            Takes the time.

        Raises
        ------
        coltsfootchute.errors.AgreementError
            If the replica refuses.
        """
        if self._suspended:
            raise errors.NotLeaderError("")
        proposed = event(feeds.clock())
        if proposed is not None:
            self._handle(lambda _: proposed.actions)
        return proposed

    def transfer(self) -> None:
        """Give up the leadership.

        Raises
        ------
        coltsfootchute.errors.AgreementError
            If this instance does not lead, or no other voter is up.
        """
        if self._suspended:
            raise errors.NotLeaderError("")
        actions = self.replica.transfer(feeds.clock())
        self._handle(lambda _: actions)

    def _tick(self) -> None:
        self._timer = None
        self._armed_s = float("inf")
        if feeds.clock() >= self.replica.next_deadline:
            self._handle(self.replica.tick)
        else:
            self._arm()

    def _arm(self) -> None:
        due_s = self.replica.next_deadline
        if self._closed or due_s >= self._armed_s:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._armed_s = due_s
        delay_s = max(TICK_MIN_S, due_s - feeds.clock())
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._tick)

    def _handle(
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
            # A partly executed event leaves the replica and its store apart.
            self._fail(exc)
            return
        self.refresh()
        self._arm()

    def _fail(self, exc: Exception) -> None:
        self.close()
        self._on_failure(exc)

    # Failed writes.

    def _suspend(self, exc: errors.SyncError) -> None:
        self._suspended = True
        self.store.close()
        logger.error("store: {}; no part in agreement until writes succeed", exc)
        self.counters["failed_writes"] += 1
        self._resume_later()

    def _resume_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._reopening = loop.call_later(REOPEN_S, self._resume)

    def _resume(self) -> None:
        try:
            store = self._reopen()
        except errors.DamagedStoreError as exc:
            self._fail(exc)
            return
        except (errors.StoreError, OSError) as exc:
            logger.warning("store: still unusable: {}", exc)
            self._resume_later()
            return
        self.store, self._suspended = store, False
        self._begin(store.saved)
        store.saved = None
        logger.info("store: usable again")
        self._arm()

    # Actions, in the order that `agreement.Actions` demands.

    def _execute(self, actions: agreement.Actions) -> None:
        if actions.must_sync:
            self.counters["syncs"] += 1
            self.store.append(actions.hard_state, actions.entries, actions.snapshot)
        self._follow_membership()
        for message in actions.messages:
            self.links.send(message)
        if actions.snapshot is not None:
            self._load(actions.snapshot)
        for entry in actions.committed:
            self._apply(entry)
        if self.replica.needs_snapshot and self.replica.applied_index >= self._applied:
            self._save_snapshot()
        self._record_role()

    def _load(self, snapshot: agreement.Snapshot) -> None:
        if snapshot.meta.index < self._applied:
            return
        self._applied = snapshot.meta.index
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
        logger.info("store: snapshot at index {} with {} bytes", index, size)

    def _apply(self, entry: pb.LogEntry) -> None:
        if entry.index <= self._applied:
            # Applied before the disk failed.
            return
        self._applied = entry.index
        if entry.kind != pb.ENTRY_KIND_COMMAND:
            self._proposals.applied(entry.index, entry.term, None)
            return
        command = pb.Command.FromString(entry.payload)
        applied = self.machine.apply(entry.index, command)
        self.counters["applied"] += 1
        if applied.changes:
            self.feed.publish(applied.changes, entry.index)
        for hook in self.on_applied:
            hook(command)
        self._proposals.applied(entry.index, entry.term, applied.reply)

    def _record_role(self) -> None:
        role = (self.replica.role, self.replica.term)
        if role == self._last_role:
            return
        if agreement.Role.LEADER in (role[0], self._last_role[0]):
            self.counters["leader_changes"] += 1
            logger.info("agreement: {} in term {}", role[0].value, role[1])
        self._last_role = role

    # Proposals and reads.

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the leader and holds its lease now."""
        is_running = not self._closed and not self._suspended
        return is_running and self.replica.can_read(feeds.clock())

    @property
    def leader_address(self) -> str:
        """Address of another instance that leads, as far as it is known."""
        leader_id = self.replica.leader_id
        if not leader_id or leader_id == self.identity.member_id:
            return ""
        return self.links.address(leader_id)

    async def propose(self, command: pb.Command) -> state.outcomes.Reply:
        """Commit and apply a command.

        Returns
        -------
        The reply of the state machine.

        Raises
        ------
        coltsfootchute.errors.NotLeaderError
            If the command was not proposed, or never takes effect.
        coltsfootchute.errors.OutcomeUnknownError
            If the outcome is not known within 2 s.
        """
        if not self.is_leader:
            raise errors.NotLeaderError(self.replica.leader_id)
        future = self._proposals.add(command)
        if not self._flushing:
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._flush)
        try:
            async with asyncio.timeout(OUTCOME_TIMEOUT_S):
                return await future
        except TimeoutError:
            self.counters["outcomes_unknown"] += 1
            msg = f"no outcome within {OUTCOME_TIMEOUT_S} s"
            raise errors.OutcomeUnknownError(msg) from None

    def _flush(self) -> None:
        """Propose all queued commands with one sync."""
        self._flushing = False
        if self._closed or self._suspended:
            return
        payloads, futures = self._proposals.take(self._command_ms())
        if not payloads:
            return
        try:
            proposed = self.replica.propose(payloads, feeds.clock())
        except errors.NotLeaderError as exc:
            for future in futures:
                future.set_exception(errors.NotLeaderError(exc.leader_id))
            return
        self._proposals.proposed(proposed.term, proposed.indexes, futures)
        self._handle(lambda _: proposed.actions)

    def _command_ms(self) -> int:
        return max(wall_ms(), self.machine.clock_ms)

    def refresh(self) -> None:
        """Pass the latest proof of currency to the feed."""
        now = feeds.clock()
        age_s = self.replica.proof_age(now)
        if age_s != float("inf"):
            self.feed.set_proof(now - age_s)

    def forget_waiters(self) -> None:
        """Forget the proposals that nobody waits for any more."""
        self._proposals.forget_done()

    def close(self) -> None:
        """Handle no more events."""
        self._closed = True
        for timer in (self._timer, self._reopening):
            if timer is not None:
                timer.cancel()
