"""The list of instances in the feed, as its changes are sent and merged."""

import typing

from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["MAX_REMOVED", "PublishedInstances", "ReceivedInstances"]

# Removed names that are kept. A stream that is further behind gets the whole list.
MAX_REMOVED = 1000


class _Listed(typing.NamedTuple):
    """An instance, and the version of the list that changed it."""

    version: int
    instance: pb.Instance


class PublishedInstances:
    """The list of instances that a feed publishes, with the version of each change.

    Attributes
    ----------
    version
        Increases with each change of the list; 0 before the first list.

    Notes
    -----
    When one of 128 entries restarts, the whole list has about 12 KB, and the entries
    that changed about 0.1 KB.
    """

    def __init__(self):
        self.version = 0
        self._listed: dict[str, _Listed] = {}
        self._removed: dict[str, int] = {}
        # Version of the last removal that was dropped.
        self._dropped_version = 0

    def all(self) -> list[pb.Instance]:
        """Return the instances in the order in which they were published."""
        return [item.instance for item in self._listed.values()]

    def replace(self, instances: list[pb.Instance]) -> bool:
        """Publish a list; return whether it differs from the one before. O(n)."""
        version, known = self.version + 1, self._listed
        listed = {}
        for instance in instances:
            item = known.get(instance.name)
            is_same = item is not None and item.instance == instance
            listed[instance.name] = item if is_same else _Listed(version, instance)
        removed = known.keys() - listed.keys()
        is_first = not self.version
        if (
            not is_first
            and not removed
            and all(item.version < version for item in listed.values())
        ):
            return False
        self.version, self._listed = version, listed
        for name in listed:
            self._removed.pop(name, None)
        self._removed |= dict.fromkeys(sorted(removed), version)
        while len(self._removed) > MAX_REMOVED:
            self._dropped_version = self._removed.pop(next(iter(self._removed)))
        return True

    def add_to(self, message: pb.FeedMessage, seen: int, *, whole: bool) -> None:
        """Add what a stream lacks to its next message.

        Parameters
        ----------
        message
            The message.
        seen
            Version that the stream was sent last; 0 for none.
        whole
            Whether the watcher accepts only whole lists.
        """
        if seen == self.version:
            return
        if whole or not seen or seen < self._dropped_version:
            message.has_instances = True
            message.instances.extend(self.all())
            return
        listed = self._listed.values()
        message.changed_instances.extend(
            item.instance for item in listed if item.version > seen
        )
        message.removed_instances.extend(
            name for name, version in self._removed.items() if version > seen
        )


class ReceivedInstances:
    """The list of instances that one stream of a feed has sent.

    Notes
    -----
    A view ignores the messages of a source whose revision is behind its own, but the
    changes in later messages refer to the list in them. So the list is kept for each
    stream, and is added to every message until one was applied.
    """

    def __init__(self):
        self._listed: dict[str, pb.Instance] | None = None
        self._is_new = False

    def merge(self, message: pb.FeedMessage) -> None:
        """Replace the changes in a message by the whole list that results."""
        if message.has_instances:
            self._listed = {i.name: i for i in message.instances}
            self._is_new = True
        if self._listed is None:
            return
        if message.changed_instances or message.removed_instances:
            self._listed |= {i.name: i for i in message.changed_instances}
            for name in message.removed_instances:
                self._listed.pop(name, None)
            self._is_new = True
        if self._is_new and not message.has_instances:
            message.has_instances = True
            message.instances.extend(i for _, i in sorted(self._listed.items()))

    def record_applied(self) -> None:
        """Record that the last merged message was applied."""
        self._is_new = False
