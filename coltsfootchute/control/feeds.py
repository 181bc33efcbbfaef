"""The feed: what watchers are told about changes, currency and instances.

Control instances and entries serve the same feed, each from its own applied
state.
"""

import asyncio
import itertools
import typing

from coltsfootchute.control import feed_streams
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Feed", "FeedService", "WatcherProgress", "clock"]

KEPT_REMOVALS = 2000
PROOF_INTERVAL_S = 1.0
PROOF_AGE_LIMIT_MS = (1 << 32) - 1


clock = feed_streams.clock


def _name(change: pb.FeedChange) -> tuple[str, ...] | tuple[str, str, bytes]:
    kind = change.WhichOneof("body")
    if kind == "section":
        return "section", change.section.name
    if kind == "declaration":
        return ("declaration",)
    if kind == "quarantine":
        return "quarantine", change.quarantine.service, change.quarantine.digest
    if kind == "target":
        return "target", change.target.target_id
    return "target", change.removed_target_id


def _is_removal(change: pb.FeedChange) -> bool:
    kind = change.WhichOneof("body")
    if kind == "quarantine":
        return change.quarantine.removed
    return kind == "removed_target_id"


class _Record(typing.NamedTuple):
    """The last change of an item."""

    revision: int
    packed: bytes


def _pack(change: pb.FeedChange) -> bytes:
    """Serialize a change as an element of a message of the feed."""
    return pb.FeedMessage(changes=[change]).SerializeToString()


class WatcherProgress:
    """How much one watcher was sent.

    Parameters
    ----------
    request
        The watcher's first message.
    """

    def __init__(self, request: pb.WatchRequest):
        self.name = request.watcher
        self.cluster_id = request.cluster_id
        self.revision = request.revision
        self.instances_version = -1
        self.control_addresses: list[str] = []
        self.changed = asyncio.Event()


class Feed:
    """A view with its latest changes, from which watchers are served.

    Attributes
    ----------
    cluster_id
        The cluster of the view; nothing is sent while it is empty.
    revision
        Log index of the last change of the view.

    Notes
    -----
    A message costs O(changes since the watcher's revision), a full view O(view).
    Of each item only the last change is kept and sent, so that a watcher that fell
    behind is sent no more than the view and the last removals, which is all that is
    kept. Nothing is sent before the source had its first proof of currency: the view
    of an instance that has just started may be older than what watchers know.

    Changes are held as serialized elements of a message. Held as messages, a target
    took 1.4 KiB in the view alone.
    """

    def __init__(self, cluster_id: str = ""):
        self.cluster_id = cluster_id
        self.revision = 0
        # Both in the order of the last change.
        self._view: dict[tuple, _Record] = {}
        self._removals: dict[tuple, _Record] = {}
        # Revision of the last removal that was forgotten.
        self._history_start = 0
        self._proven_s: float | None = None
        self._instances: list[pb.Instance] | None = None
        self._instances_version = 0
        self._control_addresses: list[str] = []
        # In the order of their start, so that seeded runs send in the same order.
        self._watchers: dict[WatcherProgress, None] = {}
        self._closed = False

    @property
    def watchers(self) -> int:
        """Number of watchers at present."""
        return len(self._watchers)

    @property
    def instances(self) -> list[pb.Instance]:
        """The instances that watchers were told last."""
        return self._instances or []

    def publish(self, changes: list[pb.FeedChange], revision: int) -> None:
        """Add the changes of one revision.

        Parameters
        ----------
        changes
            What changed; the feed keeps no reference to the messages.
        revision
            The new revision. One that is not newer is ignored.
        """
        if revision <= self.revision:
            return
        for change in changes:
            self._enter(change)
        while len(self._removals) > KEPT_REMOVALS:
            oldest = self._removals.pop(next(iter(self._removals)))
            self._history_start = oldest.revision
        self.revision = revision
        self._wake()

    def replace(self, view: list[pb.FeedChange], revision: int) -> None:
        """Replace the view, after a snapshot or a full view of another source."""
        self._view.clear()
        for change in view:
            self._enter(change)
        self._removals.clear()
        self._history_start = revision
        self.revision = revision
        self._wake()

    def _enter(self, change: pb.FeedChange) -> None:
        name = _name(change)
        self._view.pop(name, None)
        self._removals.pop(name, None)
        kept = self._removals if _is_removal(change) else self._view
        kept[name] = _Record(change.revision, _pack(change))

    def set_proof(self, proven_s: float | None) -> None:
        """Tell when the view was last known to be current.

        Parameters
        ----------
        proven_s
            Time of `clock`; None if the view never was known to be current. An
            earlier time than the last one is ignored.
        """
        if proven_s is None:
            return
        first = self._proven_s is None
        self._proven_s = proven_s if first else max(self._proven_s, proven_s)
        if first:
            self._wake()

    def proof_age_s(self, now: float) -> float | None:
        """Return the age of the last proof in seconds, or None without one."""
        return None if self._proven_s is None else max(0.0, now - self._proven_s)

    def set_instances(self, instances: list[pb.Instance]) -> None:
        """Replace the list of instances; watchers get it if it changed."""
        if instances == self._instances:
            return
        self._instances = instances
        self._instances_version += 1
        self._wake()

    def set_control_addresses(self, addresses: list[str]) -> None:
        """Replace the peer addresses of the control instances."""
        if addresses == self._control_addresses:
            return
        self._control_addresses = addresses
        self._wake()

    def message(self, watcher: WatcherProgress, now: float) -> pb.FeedMessage | None:
        """Return what a watcher has to be told, and count it as told.

        Parameters
        ----------
        watcher
            The watcher.
        now
            Time of `clock`.

        Returns
        -------
        coltsfootchute_pb2.FeedMessage or None
            None while the view was never known to be current.
        """
        age_s = self.proof_age_s(now)
        if age_s is None or not self.cluster_id:
            return None
        message = pb.FeedMessage(
            cluster_id=self.cluster_id,
            revision=self.revision,
            has_proof=True,
            proof_age_ms=min(int(age_s * 1000) + 1, PROOF_AGE_LIMIT_MS),
        )
        self._add_changes(message, watcher)
        known = self._instances is not None
        if known and watcher.instances_version != self._instances_version:
            watcher.instances_version = self._instances_version
            message.has_instances = True
            message.instances.extend(self._instances)
        if watcher.control_addresses != self._control_addresses:
            watcher.control_addresses = self._control_addresses
            message.control_addresses.extend(self._control_addresses)
        return message

    def _add_changes(self, message: pb.FeedMessage, watcher: WatcherProgress) -> None:
        foreign = watcher.cluster_id != self.cluster_id
        if foreign or watcher.revision == 0 or watcher.revision < self._history_start:
            message.full = True
            message.MergeFromString(b"".join(r.packed for r in self._view.values()))
        elif watcher.revision < self.revision:
            message.MergeFromString(b"".join(self._newer(watcher.revision)))
        # A watcher may know more than a follower that lags behind.
        watcher.revision = max(0 if foreign else watcher.revision, self.revision)
        watcher.cluster_id = self.cluster_id

    def _newer(self, known: int) -> list[bytes]:
        """Return the last change of each item after a revision, oldest first."""
        newer = [
            record
            for kept in (self._view, self._removals)
            for record in itertools.takewhile(
                lambda record: record.revision > known, reversed(kept.values())
            )
        ]
        newer.reverse()
        newer.sort(key=lambda record: record.revision)
        return [record.packed for record in newer]

    async def watch(self, request: pb.WatchRequest, send) -> None:
        """Serve one watcher until the feed is closed.

        Parameters
        ----------
        request
            The watcher's request.
        send
            Coroutine function that sends one message.
        """
        watcher = WatcherProgress(request)
        self._watchers[watcher] = None
        try:
            while not self._closed:
                watcher.changed.clear()
                began_at = clock()
                message = self.message(watcher, began_at)
                if message is not None:
                    await self._send(message, began_at, send)
                spent_s = clock() - began_at
                await _wait(watcher.changed, max(0.0, PROOF_INTERVAL_S - spent_s))
        finally:
            self._watchers.pop(watcher, None)

    async def _send(self, message: pb.FeedMessage, built_at: float, send) -> None:
        """Send a message in parts; its proof ages until the last one is sent."""
        age_ms = message.proof_age_ms
        for part in feed_streams.split(message):
            if self._closed:
                return
            passed_ms = int((clock() - built_at) * 1000)
            part.proof_age_ms = min(age_ms + passed_ms, PROOF_AGE_LIMIT_MS)
            await send(part)

    def close(self) -> None:
        """End all streams; the watchers move to another source."""
        self._closed = True
        self._wake()

    def _wake(self) -> None:
        for watcher in self._watchers:
            watcher.changed.set()


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    """Wait for an event, but no longer than a time."""
    timer = asyncio.get_running_loop().call_later(timeout_s, event.set)
    try:
        await event.wait()
    finally:
        timer.cancel()


class FeedService(rpc.FeedBase):
    """The gRPC service of a feed."""

    def __init__(self, feed: Feed):
        self._feed = feed

    async def Watch(self, stream) -> None:  # noqa: N802
        """Serve a watcher."""
        request = await stream.recv_message()
        if request is not None:
            await self._feed.watch(request, stream.send_message)
