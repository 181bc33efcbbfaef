"""Crash counts by request digest, and the quarantines that follow from them."""

from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["QUARANTINE_DURATION_MS", "QuarantineTable"]

QUARANTINE_DURATION_MS = 10 * 60 * 1000
CRASH_THRESHOLD = 2


class QuarantineTable:
    """Table of crash counts and quarantines by service and crash digest.

    Notes
    -----
    A second crash counts only if its entry knew of the first one when the attempt
    started. There are two cases. The first crash was in force at the entry, which
    follows from the entry's revision without comparing clocks. Or the same entry
    observed both crashes; then its report names the earlier targets. The second case
    covers an immediate retry, before the first crash is in the log.
    """

    def __init__(self):
        self._items: dict[tuple[str, bytes], pb.Quarantine] = {}

    def __len__(self) -> int:
        return len(self._items)

    def is_active(self, service: str, digest: bytes) -> bool:
        """Tell whether requests with this digest are refused."""
        item = self._items.get((service, digest))
        return item is not None and item.active

    def apply(
        self, command: pb.CrashCommand, index: int, clock_ms: int
    ) -> pb.Quarantine | None:
        """Count a crash, or remove a count after a complete response.

        Returns
        -------
        coltsfootchute_pb2.Quarantine or None
            The changed record, or None if nothing changed.
        """
        name = (command.service, command.digest)
        item = self._items.get(name)
        if command.cleared:
            # An active quarantine lasts its full time: a response to an attempt that
            # was already in flight does not cancel two crashes.
            if item is None or item.active:
                return None
            del self._items[name]
            return self._removed(item)
        known = set(item.target_ids) if item else set()
        if item is not None and not self._counts(item, command):
            return None
        changed = pb.Quarantine(
            service=command.service,
            digest=command.digest,
            target_ids=sorted(known | {command.target_id, *command.earlier_target_ids}),
            first_ms=item.first_ms if item else clock_ms,
            index=item.index if item else index,
            expires_ms=clock_ms + QUARANTINE_DURATION_MS,
        )
        changed.active = len(changed.target_ids) >= CRASH_THRESHOLD
        self._items[name] = changed
        return changed

    @staticmethod
    def _counts(item: pb.Quarantine, command: pb.CrashCommand) -> bool:
        if item.active:
            return False
        if command.earlier_target_ids:
            return True
        seen = command.seen_revision >= item.index
        return seen and command.target_id not in item.target_ids

    @staticmethod
    def _removed(item: pb.Quarantine) -> pb.Quarantine:
        return pb.Quarantine(service=item.service, digest=item.digest, removed=True)

    def drop_expired(self, clock_ms: int) -> list[pb.Quarantine]:
        """Drop the expired quarantines and return their removals for the feed."""
        ended = [
            name for name, item in self._items.items() if item.expires_ms <= clock_ms
        ]
        return [self._removed(self._items.pop(name)) for name in ended]

    def next_expiry_ms(self) -> int | None:
        """Return the time in ms at which the next quarantine expires, or None."""
        return min((item.expires_ms for item in self._items.values()), default=None)

    def dump(self) -> list[pb.Quarantine]:
        """Return all crash counts and quarantines."""
        return list(self._items.values())

    def load(self, items: list[pb.Quarantine]) -> None:
        """Replace the contents of the table by dumped quarantines."""
        self._items = {(item.service, item.digest): item for item in items}
