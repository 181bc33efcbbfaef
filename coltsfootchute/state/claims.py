"""Claims, which allow one attempt to send a request that is not repeatable."""

import collections.abc
import heapq
import sys

from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["MAX_ANSWER_BYTES", "MAX_KEY_LEAD_MS", "ClaimTable", "key_time_ms"]

MAX_KEY_LEAD_MS = 60_000
MAX_ANSWER_BYTES = 16 * 1024
KEY_BYTES = 16
BUCKET_MS = 1000
ALL_SERVICES = ""
# Upper bound, so that the expiry time fits into its 64-bit field.
MAX_RETENTION_S = 365 * 24 * 3600


def key_time_ms(key: bytes) -> int | None:
    """Return the timestamp of a UUIDv7 in ms, or None for any other key.

    References
    ----------
    RFC 9562, section 5.7.
    """
    if len(key) != KEY_BYTES or key[6] >> 4 != 7 or key[8] >> 6 != 2:
        return None
    return int.from_bytes(key[:6], "big")


def _pack(claim: pb.StoredClaim) -> bytes:
    """Serialize a claim as an element of a snapshot."""
    return pb.MachineSnapshot(claims=[claim]).SerializeToString(deterministic=True)


def _unpack(record: bytes) -> pb.StoredClaim:
    return pb.MachineSnapshot.FromString(record).claims[0]


class ClaimTable:
    """Table of claims by service and key.

    Notes
    -----
    Expired claims are dropped in buckets of one second, in O(1) time per claim. A
    bucket is dropped after its second has passed on the clock of the machine, so all
    replicas drop the same claims at the same command.

    Claims are stored as serialized elements of a snapshot. A dump concatenates them,
    which takes a small part of the time of serializing them, and they use less memory
    than objects.

    When a claim is dropped, the floor of its service is raised to the time of its
    key. An unknown key whose time is at or below the floor is refused. Otherwise,
    after an increase of the retention of a service, a key could run again whose claim
    was dropped under the shorter retention.

    A new cluster has no claims of the previous one, whose disks may all be lost. So
    the floor of all services starts just below the time of the first command, and
    older keys are refused.
    """

    def __init__(self):
        self._claims: dict[tuple[str, bytes], bytes] = {}
        self._buckets: dict[int, list[tuple[str, bytes]]] = {}
        self._bucket_heap: list[int] = []
        self._floors: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def find(self, command: pb.ClaimCommand) -> pb.ClaimOutcome | None:
        """Return the outcome for a key that is already claimed, or None.

        Parameters
        ----------
        command
            The command. The attempt that holds the claim is granted it again, because
            an entry resends the command if the reply was lost.
        """
        claim = self._get(command.service, command.key)
        if claim is None:
            return None
        if claim.digest != command.digest:
            return pb.ClaimOutcome(status=pb.CLAIM_STATUS_DIGEST_MISMATCH)
        if claim.ran:
            return pb.ClaimOutcome(status=pb.CLAIM_STATUS_RAN, answer=claim.answer)
        if command.attempt_id and claim.attempt_id == command.attempt_id:
            return pb.ClaimOutcome(status=pb.CLAIM_STATUS_GRANTED)
        return pb.ClaimOutcome(status=pb.CLAIM_STATUS_CLAIMED)

    def _get(self, service: str, key: bytes) -> pb.StoredClaim | None:
        record = self._claims.get((service, key))
        return None if record is None else _unpack(record)

    def check_time(self, command: pb.ClaimCommand, clock_ms: int) -> pb.ClaimStatus:
        """Check the time of a key that is not claimed.

        Returns
        -------
        coltsfootchute_pb2.ClaimStatus
            ``GRANTED``, ``KEY_IN_FUTURE`` or ``KEY_EXPIRED``.
        """
        key_ms = key_time_ms(command.key)
        if key_ms is None or key_ms > clock_ms + MAX_KEY_LEAD_MS:
            return pb.CLAIM_STATUS_KEY_IN_FUTURE
        expired = self._expires_ms(command, key_ms) <= clock_ms
        names = (command.service, ALL_SERVICES)
        floor_ms = max(self._floors.get(name, -1) for name in names)
        if expired or key_ms <= floor_ms:
            return pb.CLAIM_STATUS_KEY_EXPIRED
        return pb.CLAIM_STATUS_GRANTED

    def refuse_before(self, time_ms: int) -> None:
        """Refuse unknown keys of all services that are older than `time_ms`."""
        self._floors[ALL_SERVICES] = time_ms - 1

    @staticmethod
    def _expires_ms(command: pb.ClaimCommand, key_ms: int) -> int:
        return key_ms + min(command.retention_s, MAX_RETENTION_S) * 1000

    def grant(self, command: pb.ClaimCommand) -> None:
        """Store a claim, after `find` and `check_time` have allowed it."""
        claim = pb.StoredClaim(
            service=command.service,
            key=command.key,
            digest=command.digest,
            entry=command.entry,
            attempt_id=command.attempt_id,
            expires_ms=self._expires_ms(command, key_time_ms(command.key)),
        )
        self._insert(claim)

    def settle(self, command: pb.SettleCommand) -> None:
        """Release a claim, or store the answer to its attempt.

        Only the attempt that holds the claim can settle it, and only once.
        """
        claim = self._get(command.service, command.key)
        if claim is None or claim.ran or claim.attempt_id != command.attempt_id:
            return
        name = (claim.service, claim.key)
        if command.released:
            del self._claims[name]
            return
        claim.ran = True
        claim.answer.CopyFrom(command.answer)
        if len(claim.answer.body) > MAX_ANSWER_BYTES:
            claim.answer.body = b""
            claim.answer.body_kept = False
        self._claims[name] = _pack(claim)

    def drop_expired(self, clock_ms: int) -> None:
        """Drop the expired claims and raise the floors."""
        while self._bucket_heap and (self._bucket_heap[0] + 1) * BUCKET_MS <= clock_ms:
            for name in self._buckets.pop(heapq.heappop(self._bucket_heap)):
                self._drop(name, clock_ms)

    def _drop(self, name: tuple[str, bytes], clock_ms: int) -> None:
        service, key = name
        claim = self._get(service, key)
        # A key that was released and claimed again may also be in a later bucket.
        if claim is None or claim.expires_ms > clock_ms:
            return
        del self._claims[name]
        key_ms = key_time_ms(key)
        self._floors[service] = max(self._floors.get(service, 0), key_ms)

    def _insert(self, claim: pb.StoredClaim) -> None:
        name = (sys.intern(claim.service), claim.key)
        self._claims[name] = _pack(claim)
        bucket = claim.expires_ms // BUCKET_MS
        if bucket not in self._buckets:
            self._buckets[bucket] = []
            heapq.heappush(self._bucket_heap, bucket)
        self._buckets[bucket].append(name)

    def dump(self) -> bytes:
        """Return all claims as a part of a serialized ``MachineSnapshot``.

        Concatenating serialized protobuf messages merges them.
        """
        return b"".join(self._claims.values())

    def dump_floors(self) -> list[pb.ClaimFloor]:
        """Return the floors of the services."""
        return [
            pb.ClaimFloor(service=service, key_ms=key_ms)
            for service, key_ms in sorted(self._floors.items())
        ]

    def load(
        self,
        claims: collections.abc.Iterable[pb.StoredClaim],
        floors: collections.abc.Iterable[pb.ClaimFloor],
    ) -> None:
        """Replace the contents of the table by dumped claims and floors."""
        self.__init__()
        for claim in claims:
            self._insert(claim)
        self._floors = {floor.service: floor.key_ms for floor in floors}
