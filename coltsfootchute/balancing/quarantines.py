"""Detection of requests that crash the targets that run them."""

import collections
import collections.abc
import dataclasses
import hashlib
import itertools

from coltsfootchute import ids

__all__ = ["CrashGuard", "CrashReport", "digest_of"]

RECORD_RETENTION_S = 600.0
# Bounds the memory use when many targets fail with many requests in flight.
MAX_DIGESTS = 4096
CRASH_THRESHOLD = 2


def digest_of(
    service: ids.ServiceName,
    method: str,
    path: str,
    query: str,
    *,
    body: bytes | None,
    length: int = 0,
    content_type: str = "",
    headers: collections.abc.Iterable[tuple[str, str]] = (),
) -> bytes:
    """Return a crash digest, which identifies equal requests.

    Parameters
    ----------
    service, method, path, query
        The service and the request line.
    body
        The body if it can be replayed; if None, `length` and `content_type` are used.
    length, content_type
        Used only if `body` is None.
    headers
        Name and value of the headers that distinguish requests, in any order.
    """
    content = f"{length} {content_type}".encode() if body is None else body
    kind = b"headers" if body is None else b"body"
    named = itertools.chain.from_iterable(sorted(headers))
    texts = [
        part.encode("utf-8", "surrogateescape")
        for part in (service, method, path, query, *named)
    ]
    hashed = hashlib.sha256()
    for part in [*texts, kind, content]:
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    return hashed.digest()


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A possible crash of a target, to be committed to the log.

    Parameters
    ----------
    digest
        Crash digest of the request.
    target_id
        Target whose connection was lost.
    started_revision
        Revision in force at the entry when the attempt started. The state machine
        counts a second crash only if this revision includes the first crash.
    earlier_target_ids
        Targets whose crashes this entry had recorded before the attempt started.
        With them the second crash also counts if the attempt started before the
        first crash was in force.
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
    """Crash counts by crash digest for one service, as known to this entry.

    The daemon calls `is_quarantined` before each attempt, `record_crash` when a
    connection is lost while a request runs, `clear_count` after each complete
    response, and `apply_record` or `remove_record` for changes received from the feed.
    All operations are O(1).
    """

    def __init__(self):
        self._records: collections.OrderedDict[bytes, _Record] = (
            collections.OrderedDict()
        )

    def is_quarantined(self, digest: bytes, now: float) -> bool:
        """Tell whether requests with this digest must not be sent."""
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
        """Count a possible crash and return its report, or None if it does not count.

        A later crash counts only if it is on another target and its attempt started
        after the first crash was recorded. Several targets may fail at the same time
        for reasons that have nothing to do with the requests that they run.
        """
        record = self._current(digest, now)
        if record is None:
            self._store(digest, _Record({target_id}, now))
            return CrashReport(digest, target_id, started_revision)
        if started_s < record.recorded_s or target_id in record.target_ids:
            return None
        earlier = frozenset(record.target_ids)
        record.target_ids.add(target_id)
        record.active = len(record.target_ids) >= CRASH_THRESHOLD
        return CrashReport(digest, target_id, started_revision, earlier)

    def clear_count(self, digest: bytes) -> bool:
        """Remove the crash count of a request after a complete response.

        Returns
        -------
        bool
            True if the count has to be removed from the log as well.
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
        """Apply a record from the log."""
        record = self._current(digest, now)
        if record is None:
            self._store(digest, _Record(set(target_ids), now, active))
            return
        record.target_ids |= target_ids
        record.active = record.active or active

    def remove_record(self, digest: bytes) -> None:
        """Remove a record that was removed from the log."""
        self._records.pop(digest, None)

    def _current(self, digest: bytes, now: float) -> _Record | None:
        record = self._records.get(digest)
        if record is not None and now - record.recorded_s >= RECORD_RETENTION_S:
            del self._records[digest]
            return None
        return record

    def _store(self, digest: bytes, record: _Record) -> None:
        self._records[digest] = record
        while len(self._records) > MAX_DIGESTS:
            inactive = (key for key, kept in self._records.items() if not kept.active)
            oldest = next(inactive, next(iter(self._records)))
            del self._records[oldest]
