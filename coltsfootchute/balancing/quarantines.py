"""Suspicion that a request crashes the targets that run it."""

import collections
import dataclasses
import hashlib

from coltsfootchute import ids

__all__ = ["CrashGuard", "CrashReport", "digest_of"]

MEMORY_S = 600.0
# Bounds the memory when many targets are lost with many requests in flight.
MAX_DIGESTS = 4096
CRASHES = 2


def digest_of(
    service: ids.ServiceName,
    method: str,
    path: str,
    query: str,
    *,
    body: bytes | None,
    length: int = 0,
    content_type: str = "",
) -> bytes:
    """Return the crash digest of a request.

    Parameters
    ----------
    service, method, path, query
        The request.
    body
        The body if it can be replayed; None selects length and type instead.
    length, content_type
        Used only if `body` is None.
    """
    content = f"{length} {content_type}".encode() if body is None else body
    kind = b"headers" if body is None else b"body"
    texts = [part.encode() for part in (service, method, path, query)]
    hashed = hashlib.sha256()
    for part in [*texts, kind, content]:
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    return hashed.digest()


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A crash to be committed through the log.

    Parameters
    ----------
    digest
        Crash digest of the request.
    target_id
        Target whose connection broke.
    started_revision
        Revision in force at the entry when the attempt started. The state
        machine counts a second crash only if this is not before the first.
    earlier_target_ids
        Targets whose crashes this entry had recorded before the attempt started.
        They prove the order also when the retry started before the first crash
        was in force.
    """

    digest: bytes
    target_id: ids.TargetId
    started_revision: int
    earlier_target_ids: frozenset[ids.TargetId] = frozenset()


@dataclasses.dataclass(slots=True)
class _Record:
    target_ids: set[ids.TargetId]
    recorded_s: float
    active: bool = False


class CrashGuard:
    """Crash digests of a service, as this entry knows them.

    The daemon calls `is_quarantined` before each attempt, `record_crash` when a
    connection breaks while a request runs, `clear_count` on each complete
    response, and `apply_record` or `remove_record` for changes that the feed brings.
    All operations are O(1).
    """

    def __init__(self):
        self._records: collections.OrderedDict[bytes, _Record] = (
            collections.OrderedDict()
        )

    def is_quarantined(self, digest: bytes, now: float) -> bool:
        """Tell whether the request must not be sent."""
        record = self._current(digest, now)
        return record is not None and record.active

    def record_crash(
        self,
        digest: bytes,
        target_id: ids.TargetId,
        started_s: float,
        started_revision: int,
        now: float,
    ) -> CrashReport | None:
        """Count a possible crash; return the report if it counts.

        A crash after the first counts only on another target and only if its
        attempt started after the first was recorded, since several targets
        may fail at once without any fault of the requests they run.
        """
        record = self._current(digest, now)
        if record is None:
            self._store(digest, _Record({target_id}, now))
            return CrashReport(digest, target_id, started_revision)
        if started_s < record.recorded_s or target_id in record.target_ids:
            return None
        earlier = frozenset(record.target_ids)
        record.target_ids.add(target_id)
        record.active = len(record.target_ids) >= CRASHES
        return CrashReport(digest, target_id, started_revision, earlier)

    def clear_count(self, digest: bytes) -> bool:
        """Clear the count after a complete response.

        Returns
        -------
        bool
            True if the log holds a count that has to be cleared as well.
        """
        if not self._records:
            return False
        record = self._records.get(digest)
        if record is None or record.active:
            return False
        del self._records[digest]
        return True

    def apply_record(
        self,
        digest: bytes,
        target_ids: set[ids.TargetId],
        active: bool,
        now: float,
    ) -> None:
        """Apply a record of the log."""
        record = self._current(digest, now)
        if record is None:
            self._store(digest, _Record(set(target_ids), now, active))
            return
        record.target_ids |= target_ids
        record.active = record.active or active

    def remove_record(self, digest: bytes) -> None:
        """Drop a record that the log no longer holds."""
        self._records.pop(digest, None)

    def _current(self, digest: bytes, now: float) -> _Record | None:
        record = self._records.get(digest)
        if record is not None and now - record.recorded_s >= MEMORY_S:
            del self._records[digest]
            return None
        return record

    def _store(self, digest: bytes, record: _Record) -> None:
        self._records[digest] = record
        while len(self._records) > MAX_DIGESTS:
            inactive = (key for key, kept in self._records.items() if not kept.active)
            oldest = next(inactive, next(iter(self._records)))
            del self._records[oldest]
