"""The feed: streams of changes, proofs of currency and the list of instances.

Control instances and entries serve the same feed, each from its own applied state.
The clients of a feed are called watchers.
"""

import asyncio
import itertools
import typing

from coltsfootchute.control import feed_streams, instance_lists
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Feed", "FeedService", "WatcherProgress", "clock"]

MAX_REMOVALS = 2000
PROOF_INTERVAL_S = 1.0
MAX_PROOF_AGE_MS = (1 << 32) - 1


clock = feed_streams.clock


def _item_key(change: pb.FeedChange) -> tuple[str, ...] | tuple[str, str, bytes]:
    kind = change.WhichOneof("body")
    if kind == "section":
        return "section", change.section.name
    if kind == "declaration":
        return ("declaration",)
    if kind == "quarantine":
        return "quarantine", change.quarantine.service, change.quarantine.digest
    if kind == "evacuation":
        return "evacuation", change.evacuation.failure_domain
    if kind == "target":
        return "target", change.target.target_id
    return "target", change.removed_target_id


def _is_removal(change: pb.FeedChange) -> bool:
    kind = change.WhichOneof("body")
    if kind == "quarantine":
        return change.quarantine.removed
    if kind == "evacuation":
        return change.evacuation.ended
    return kind == "removed_target_id"


class _LastChange(typing.NamedTuple):
    """The last change of an item of the view."""

    revision: int
    packed: bytes


def _pack(change: pb.FeedChange) -> bytes:
    """Serialize a change so that it can be merged into a message of the feed."""
    return pb.FeedMessage(changes=[change]).SerializeToString()


class WatcherProgress:
    """What one watcher was sent so far.

    Parameters
    ----------
    request
        Request that opened the stream of the watcher.
    """

    def __init__(self, request: pb.WatchRequest):
        self.name = request.watcher
        self.cluster_id = request.cluster_id
        self.revision = request.revision
        self.accepts_instance_changes = request.accepts_instance_changes
        self.instances_version = 0
        self.control_addresses: list[str] = []
        self.changed = asyncio.Event()


class Feed:
    """View of the replicated state, from which watchers are served.

    Attributes
    ----------
    cluster_id
        Cluster of the view; nothing is sent while it is empty.
    revision
        Log index of the last change of the view.

    Notes
    -----
    A message costs O(changes since the watcher's revision), a full view O(view).
    The feed keeps and sends only the last change of each item, and only the latest
    removals. So a watcher that lags far behind is sent no more than the view and these
    removals.

    Nothing is sent before this instance has its first proof of currency. The view of
    an instance that has just started may be older than the views of its watchers.

    Changes are held in serialized form. As message objects, each target took 1.4 KiB
    in the view alone.
    """

    def __init__(self, cluster_id: str = ""):
        self.cluster_id = cluster_id
        self.revision = 0
        # Both are ordered by the last change of each item.
        self._view: dict[tuple, _LastChange] = {}
        self._removals: dict[tuple, _LastChange] = {}
        # Revision of the last removal that was dropped.
        self._dropped_revision = 0
        self._proof_time_s: float | None = None
        self._instances = instance_lists.PublishedInstances()
        self._control_addresses: list[str] = []
        # A dict keeps the order of arrival, so that seeded runs are reproducible.
        self._watchers: dict[WatcherProgress, None] = {}
        self._closed = False

    @property
    def watcher_count(self) -> int:
        """Number of connected watchers."""
        return len(self._watchers)

    @property
    def instances(self) -> list[pb.Instance]:
        """The list of instances that was published last."""
        return self._instances.all()

    def publish(self, changes: list[pb.FeedChange], revision: int) -> None:
        """Add the changes of one revision.

        Parameters
        ----------
        changes
            The changes; the feed keeps no reference to the messages.
        revision
            Log index of the changes. They are ignored unless it is newer than the
            view.
        """
        if revision <= self.revision:
            return
        for change in changes:
            self._store_change(change)
        while len(self._removals) > MAX_REMOVALS:
            oldest = self._removals.pop(next(iter(self._removals)))
            self._dropped_revision = oldest.revision
        self.revision = revision
        self._wake_watchers()

    def replace(self, view: list[pb.FeedChange], revision: int) -> None:
        """Replace the view by that of a snapshot or by another source's full view.

        Parameters
        ----------
        view
            One change for each item of the new view.
        revision
            Log index of the last change of the new view.
        """
        self._view.clear()
        for change in view:
            self._store_change(change)
        self._removals.clear()
        self._dropped_revision = revision
        self.revision = revision
        self._wake_watchers()

    def _store_change(self, change: pb.FeedChange) -> None:
        key = _item_key(change)
        self._view.pop(key, None)
        self._removals.pop(key, None)
        kept = self._removals if _is_removal(change) else self._view
        kept[key] = _LastChange(change.revision, _pack(change))

    def set_proof(self, proof_time_s: float | None) -> None:
        """Set the time at which the view was last proven to be current.

        Parameters
        ----------
        proof_time_s
            Time of `clock`; None if there was no proof yet. A time before the last
            one is ignored.
        """
        if proof_time_s is None:
            return
        is_first = self._proof_time_s is None
        self._proof_time_s = (
            proof_time_s if is_first else max(self._proof_time_s, proof_time_s)
        )
        if is_first:
            self._wake_watchers()

    def proof_age_s(self, now: float) -> float | None:
        """Return the age of the last proof of currency in seconds, or None."""
        return (
            None if self._proof_time_s is None else max(0.0, now - self._proof_time_s)
        )

    def set_instances(self, instances: list[pb.Instance]) -> None:
        """Replace the list of instances and send its changes to watchers."""
        if self._instances.replace(instances):
            self._wake_watchers()

    def set_control_addresses(self, addresses: list[str]) -> None:
        """Replace the peer addresses of control; send them if they changed."""
        if addresses == self._control_addresses:
            return
        self._control_addresses = addresses
        self._wake_watchers()

    def next_message(
        self, watcher: WatcherProgress, now: float
    ) -> pb.FeedMessage | None:
        """Return the next message for a watcher, and record it as sent.

        Parameters
        ----------
        watcher
            What the watcher was sent so far; updated.
        now
            Time of `clock`.

        Returns
        -------
        coltsfootchute_pb2.FeedMessage or None
            None if there was no proof of currency yet, or no cluster is known.
        """
        age_s = self.proof_age_s(now)
        if age_s is None or not self.cluster_id:
            return None
        message = pb.FeedMessage(
            cluster_id=self.cluster_id,
            revision=self.revision,
            has_proof=True,
            proof_age_ms=min(int(age_s * 1000) + 1, MAX_PROOF_AGE_MS),
        )
        self._add_changes(message, watcher)
        self._instances.add_to(
            message,
            watcher.instances_version,
            whole=not watcher.accepts_instance_changes,
        )
        watcher.instances_version = self._instances.version
        if watcher.control_addresses != self._control_addresses:
            watcher.control_addresses = self._control_addresses
            message.control_addresses.extend(self._control_addresses)
        return message

    def _add_changes(self, message: pb.FeedMessage, watcher: WatcherProgress) -> None:
        is_foreign = watcher.cluster_id != self.cluster_id
        if (
            is_foreign
            or watcher.revision == 0
            or watcher.revision < self._dropped_revision
        ):
            message.full = True
            message.MergeFromString(b"".join(r.packed for r in self._view.values()))
        elif watcher.revision < self.revision:
            message.MergeFromString(b"".join(self._changes_since(watcher.revision)))
        # The watcher's view may be newer than that of a follower that lags behind.
        watcher.revision = max(0 if is_foreign else watcher.revision, self.revision)
        watcher.cluster_id = self.cluster_id

    def _changes_since(self, revision: int) -> list[bytes]:
        """Return the last change of each item after a revision, oldest first."""
        newer = [
            record
            for kept in (self._view, self._removals)
            for record in itertools.takewhile(
                lambda record: record.revision > revision, reversed(kept.values())
            )
        ]
        newer.reverse()
        newer.sort(key=lambda record: record.revision)
        return [record.packed for record in newer]

    async def watch(self, request: pb.WatchRequest, send) -> None:
        """Send messages to one watcher until the feed is closed.

        Parameters
        ----------
        request
            Request of the watcher.
        send
            Coroutine function that sends one message.
        """
        watcher = WatcherProgress(request)
        self._watchers[watcher] = None
        try:
            while not self._closed:
                watcher.changed.clear()
                built_at = clock()
                message = self.next_message(watcher, built_at)
                if message is not None:
                    await self._send(message, built_at, send)
                spent_s = clock() - built_at
                await _wait(watcher.changed, max(0.0, PROOF_INTERVAL_S - spent_s))
        finally:
            self._watchers.pop(watcher, None)

    async def _send(self, message: pb.FeedMessage, built_at: float, send) -> None:
        """Send a message in parts, each with the age of the proof at that time."""
        age_ms = message.proof_age_ms
        for part in feed_streams.split(message):
            if self._closed:
                return
            passed_ms = int((clock() - built_at) * 1000)
            part.proof_age_ms = min(age_ms + passed_ms, MAX_PROOF_AGE_MS)
            await send(part)

    def close(self) -> None:
        """End all streams, so that watchers connect to another source."""
        self._closed = True
        self._wake_watchers()

    def _wake_watchers(self) -> None:
        for watcher in self._watchers:
            watcher.changed.set()


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    """Wait for an event; set it after a timeout."""
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
        """Stream the feed to a watcher."""
        request = await stream.recv_message()
        if request is not None:
            await self._feed.watch(request, stream.send_message)
