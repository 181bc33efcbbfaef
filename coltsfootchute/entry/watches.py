"""The entry's view of the replicated state, and the feed client that updates it."""

import asyncio
import contextlib
import enum
import math
import typing

import google.protobuf.message
import grpclib.client
import grpclib.exceptions
import loguru

from coltsfootchute import cancellations, logs
from coltsfootchute.control import feed_streams, instance_lists
from coltsfootchute.entry import domains, searches, sources, state_tables
from coltsfootchute.proto import coltsfootchute_grpc, coltsfootchute_pb2

__all__ = ["STALE_AFTER_S", "ApplyResult", "View", "Watcher", "clock"]

STALE_AFTER_S = 3.0
# Three times the longest interval at which a source proves that its state is current.
IDLE_TIMEOUT_S = 1.5
# A source sends the first part of its message at once. With IDLE_TIMEOUT_S instead, an
# entry cut off from three control instances took up to 4.5 s to ask another entry.
FIRST_PART_TIMEOUT_S = 0.5
RETRY_PAUSE_S = 0.1
# A source whose last proof is older than this is left for another one.
MAX_PROOF_AGE_S = 2.0
FREEZE_CHECK_INTERVAL_S = 0.25
# If the event loop did not run for this long, the process was frozen. The age of a
# proof is then too small in messages that waited in the socket meanwhile.
FREEZE_THRESHOLD_S = 1.0
# A new source needs only a few milliseconds to send the changes made during a freeze.
CATCH_UP_S = 0.5
# Callers turn to another instance after 1 s in which their request was not read.
START_WAIT_S = 0.8
# A connected source proves about every second that its state is current.
PROOF_WAIT_S = 0.8

_STREAM_ERRORS = (
    OSError,
    google.protobuf.message.DecodeError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
)
_Stream = grpclib.client.Stream[typing.Any, typing.Any]
Listener = typing.Callable[[coltsfootchute_pb2.FeedMessage, set[str]], None]

clock = feed_streams.clock


class ApplyResult(enum.Enum):
    """Whether a feed message was applied, or why not."""

    APPLIED = "applied"
    OLD_REVISION = "old_revision"
    FOREIGN_CLUSTER = "foreign_cluster"


class View(state_tables.StateTables):
    """The last known state: sections, targets, quarantines and instances.

    Parameters
    ----------
    listener
        Called after each applied message, with the message and the names of the
        services that it changed.

    Notes
    -----
    The view applies only messages with the first cluster id that it received, and
    only changes with a higher revision than the one in force. Nothing in it expires:
    it stays as it is while no source responds.
    """

    def __init__(self, listener: Listener | None = None):
        super().__init__()
        self.cluster_id = ""
        self.revision = 0
        self.control_addresses: list[str] = []
        self.instances: dict[str, coltsfootchute_pb2.Instance] = {}
        self.proof_at = float("-inf")
        # Times of `clock` at which the event loop last ran, and resumed after a freeze.
        self.last_run_at, self.resumed_at = clock(), float("-inf")
        self._became_current = asyncio.Event()
        self._has_message = asyncio.Event()
        self._proof_waiters: set[asyncio.Future[None]] = set()
        self.listener = listener

    def is_stale(self, now: float) -> bool:
        """Tell whether the last proof of a current state is older than `STALE_AFTER_S`.

        Parameters
        ----------
        now
            Seconds of `clock`.
        """
        return now - self.proof_at > STALE_AFTER_S

    def clear_proof(self) -> None:
        """Make the view stale until a source proves again that its state is current."""
        self.proof_at = float("-inf")

    async def wait_for_first_message(self) -> None:
        """Wait for the first feed message after a start, up to a time limit.

        Notes
        -----
        When all processes restart, entries accept requests before control has a
        leader. A request that waits for the routes can be served. If it were refused
        at once, its caller would retry too early and use up its attempts.
        """
        if self._has_message.is_set():
            return
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._has_message.wait(), START_WAIT_S)

    async def wait_for_update_after_freeze(self) -> None:
        """Wait after a freeze until the view is current, up to a time limit.

        Notes
        -----
        Requests that waited in the sockets of a frozen process are read before the
        messages of the feed. Without the wait, they were sent to targets that had
        drained during the freeze.
        """
        if not self._is_catching_up(clock()):
            return
        self._became_current.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._became_current.wait(), CATCH_UP_S)

    async def wait_for_proof(self, since: float) -> bool:
        """Wait for a proof that the view is as new as a time, up to a time limit.

        Parameters
        ----------
        since
            Seconds of `clock`.

        Returns
        -------
        bool
            Whether there is such a proof.
        """
        end_s = asyncio.get_running_loop().time() + PROOF_WAIT_S
        while self.proof_at < since:
            fut = asyncio.get_running_loop().create_future()
            self._proof_waiters.add(fut)
            try:
                async with asyncio.timeout_at(end_s):
                    await fut
            except TimeoutError:
                return False
            finally:
                self._proof_waiters.discard(fut)
        return True

    def _is_catching_up(self, now: float) -> bool:
        was_frozen = now - self.last_run_at > FREEZE_THRESHOLD_S
        return self.is_stale(now) and (was_frozen or now - self.resumed_at < CATCH_UP_S)

    def apply(self, message: coltsfootchute_pb2.FeedMessage, now: float) -> ApplyResult:
        """Apply a feed message.

        Parameters
        ----------
        message
            A whole message from any source.
        now
            Seconds of `clock` at which it was received.

        Returns
        -------
        ApplyResult
            `APPLIED`, or why the whole message was ignored.
        """
        if self.cluster_id and message.cluster_id != self.cluster_id:
            return ApplyResult.FOREIGN_CLUSTER
        if not self._accepts(message):
            return ApplyResult.OLD_REVISION
        self.cluster_id = message.cluster_id
        changed = self._apply_changes(message, self.revision)
        self.revision = message.revision
        self._has_message.set()
        if message.has_instances:
            self.instances = {i.name: i for i in message.instances}
        if message.control_addresses:
            self.control_addresses = list(message.control_addresses)
        if message.has_proof:
            proof_at = now - message.proof_age_ms / 1000
            self.proof_at = max(self.proof_at, proof_at)
            for fut in self._proof_waiters:
                if not fut.done():
                    fut.set_result(None)
        if not self.is_stale(now):
            self._became_current.set()
        if self.listener is not None:
            self.listener(message, changed)
        return ApplyResult.APPLIED

    def _accepts(self, message: coltsfootchute_pb2.FeedMessage) -> bool:
        return message.revision >= self.revision


class Watcher:
    """Client of `Feed.Watch`: watches control instances first, then other entries.

    Parameters
    ----------
    view
        The view to keep current.
    name
        Name of this instance.
    control
        Addresses of the feeds of the control instances.
    failure_domain
        Failure domain of this instance, whose control instances are preferred; empty
        for no preference.
    """

    def __init__(
        self, view: View, name: str, control: list[str], failure_domain: str = ""
    ):
        self._view = view
        self._name = name
        self._control = control
        self._seeds = list(control)
        self._order = sources.Order(name)
        self._domains = domains.ControlDomains(failure_domain)
        self._search_delay = domains.SearchDelay(name)
        self._freeze_count = 0
        self._foreign_addresses: set[str] = set()
        # Whether the source that is watched has had a current state.
        self._was_current = False
        # Address of the source of the last message; empty after that source is lost.
        self.source = ""

    def change_seeds(self, seeds: list[str]) -> None:
        """Replace the addresses of the control instances in the settings."""
        self._seeds = list(seeds)

    def change_control(self, control: list[str]) -> None:
        """Replace the addresses of the control instances; keep the current source."""
        self._control = list(control)

    async def run(self) -> None:
        """Watch one source after another until cancelled."""
        self._view.last_run_at = clock()
        freeze_task = asyncio.ensure_future(self._watch_freezes())
        try:
            while True:
                await self._watch_next()
        finally:
            freeze_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await freeze_task

    async def _watch_next(self) -> None:
        near = self._domains.near(self._control)
        source = self._order.choose(self._control, self._seeds, self._peers(), near)
        if source is None:
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        began_at = clock()
        self._was_current = False
        end = await self._watch_safely(source)
        self._order.record_end(source, end, was_current=self._was_current)
        is_near = bool(self._domains.near([source.address]))
        if is_near and clock() - began_at >= domains.STABLE_S:
            self._search_delay.reset()
        if self._was_current and clock() - began_at < RETRY_PAUSE_S:
            await asyncio.sleep(RETRY_PAUSE_S)

    def _peers(self) -> list[str]:
        known = self._view.instances.values()
        return [i.peer_address for i in known if i.name != self._name]

    async def _watch_safely(self, source: sources.Source) -> sources.End:
        end = sources.End.LOST
        try:
            end, reason = await self._watch(source)
        except _STREAM_ERRORS as exc:
            reason = repr(exc)
        except Exception as exc:
            # Without the watcher the entry would keep its view for good.
            loguru.logger.exception(
                "feed: unhandled error in a message of {}", source.address
            )
            reason = repr(exc)
        self._log_end(source.address, end, reason)
        return end

    def _log_end(self, address: str, end: sources.End, reason: str) -> None:
        # "source lost" is a cause in explanations of failed requests.
        logs.log_event(
            "feed",
            "source left" if end is sources.End.FAR else "source lost",
            routine=address != self.source,
            source=address,
            error=reason,
            revision=self._view.revision,
        )
        self.source = ""

    def _log_found(self, address: str) -> None:
        if address != self.source:
            self.source = address
            logs.log_event("feed", "source found", source=address)

    async def _watch(self, source: sources.Source) -> tuple[sources.End, str]:
        """Watch a source; return how that ended, and the reason for the log."""
        async with searches.connect(source.address) as channel:
            is_control = source.limit_s is None
            if is_control and self._domains.unknown([source.address]):
                await searches.ask(channel, source.address, self._domains)
                if self._is_far(source):
                    return sources.End.FAR, "another failure domain"
            stub = coltsfootchute_grpc.FeedStub(channel)
            async with stub.Watch.open() as stream, self._searching(source) as search:
                await stream.send_message(self._request(), end=True)
                end, reason = await self._receive(source, stream, search)
                if end is not sources.End.LOST:
                    await stream.cancel()
                return end, reason

    def _is_far(self, source: sources.Source) -> bool:
        """Tell whether another control instance is near, and this source is not."""
        near = self._domains.near(self._control)
        return bool(near) and source.address not in near

    @contextlib.asynccontextmanager
    async def _searching(
        self, source: sources.Source
    ) -> typing.AsyncIterator[asyncio.Task[None] | None]:
        """Look for a near control instance while another one is watched."""
        if source.limit_s is not None or self._domains.near([source.address]):
            yield None
            return
        task = asyncio.ensure_future(
            searches.run(self._domains, self._search_delay, lambda: self._control)
        )
        try:
            yield task
        finally:
            await cancellations.cancel_and_wait([task])

    def _request(self) -> coltsfootchute_pb2.WatchRequest:
        return coltsfootchute_pb2.WatchRequest(
            watcher=self._name,
            cluster_id=self._view.cluster_id,
            revision=self._view.revision,
            accepts_instance_changes=True,
        )

    async def _receive(
        self,
        source: sources.Source,
        stream: _Stream,
        search: asyncio.Task[None] | None = None,
    ) -> tuple[sources.End, str]:
        began_at = clock()
        watch_until = began_at + (source.limit_s or math.inf)
        hold_until = began_at + source.hold_s
        # Time at which the proof of the source becomes too old.
        proven_until = math.inf
        freeze_count = self._freeze_count
        receiver = feed_streams.Receiver(stream, FIRST_PART_TIMEOUT_S, IDLE_TIMEOUT_S)
        instances = instance_lists.ReceivedInstances()
        while True:
            try:
                message = await receiver.next(max(proven_until, hold_until) - clock())
            except TimeoutError:
                if clock() < max(proven_until, hold_until):
                    raise
                return sources.End.OUTDATED, "the proof became too old"
            if message is None:
                return sources.End.LOST, "the stream ended"
            now = clock()
            self._check_freeze(now)
            if self._freeze_count != freeze_count:
                return sources.End.LEFT, "the process was frozen"
            instances.merge(message)
            result = self._view.apply(message, now)
            if result is ApplyResult.APPLIED:
                instances.record_applied()
            if result is ApplyResult.FOREIGN_CLUSTER:
                self._log_foreign(source.address, message.cluster_id)
                return sources.End.LEFT, "foreign cluster"
            # A long message does not make its source outdated.
            transfer_s = now - receiver.message_started_at
            age_s = message.proof_age_ms / 1000 if message.has_proof else math.inf
            proven_until = now - age_s + transfer_s + MAX_PROOF_AGE_S
            if now > max(proven_until, hold_until):
                return sources.End.OUTDATED, f"the proof is {age_s:.1f} s old"
            self._was_current |= now <= proven_until
            self._log_found(source.address)
            if now >= watch_until:
                return sources.End.LEFT, "the time for another entry has passed"
            if search is not None and search.done() and search.exception() is None:
                return sources.End.FAR, "a nearer control instance is up to date"

    def _log_foreign(self, address: str, cluster_id: str) -> None:
        if address not in self._foreign_addresses:
            self._foreign_addresses.add(address)
            loguru.logger.error(
                "feed: {} belongs to the foreign cluster {}", address, cluster_id
            )

    async def _watch_freezes(self) -> None:
        while True:
            await asyncio.sleep(FREEZE_CHECK_INTERVAL_S)
            now = clock()
            self._check_freeze(now)
            self._view.last_run_at = now

    def _check_freeze(self, now: float) -> None:
        frozen_s = now - self._view.last_run_at
        if frozen_s <= FREEZE_THRESHOLD_S:
            return
        loguru.logger.warning("entry: the process did not run for {:.1f} s", frozen_s)
        self._view.last_run_at = self._view.resumed_at = now
        self._freeze_count += 1
        self._view.clear_proof()
