"""Plain data that a daemon, a replica and a store exchange."""

import collections.abc
import dataclasses
import enum

from coltsfootchute import ids
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = [
    "NO_ACTIONS",
    "Actions",
    "Identity",
    "ProposedEntries",
    "Role",
    "SavedState",
    "Snapshot",
    "Timing",
]


class Role(enum.Enum):
    """What a replica is at the moment."""

    LEARNER = "learner"  # Also an instance that is in no membership.
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who an instance is in the replicated log.

    Parameters
    ----------
    member_id
        Random id of the data folder; votes belong to it.
    name
        Name of the instance in its settings.
    address
        IP number and port of the peer listener.
    failure_domain
        Failure domain of the instance.
    """

    member_id: ids.MemberId
    name: ids.InstanceName
    address: str = ""
    failure_domain: str = ""

    def member(self, voter: bool = False) -> pb.Member:
        """Return the identity as an element of a membership.

        Parameters
        ----------
        voter
            Whether the member votes.
        """
        return pb.Member(
            member_id=self.member_id,
            name=self.name,
            address=self.address,
            failure_domain=self.failure_domain,
            voter=voter,
        )


@dataclasses.dataclass(frozen=True)
class Timing:
    """Times in seconds, and sizes.

    The lease is shorter than the minimum election timeout, so that clocks may
    differ in rate by 10 % and the lease still ends first.

    Pre-vote is on: in 200 seeded cuts of a follower (10 s alone, then 10 s
    together, three members) the leader changed 0 times with it and 200 times
    without it, because a member that returns with a higher term unseats the
    leader.
    """

    heartbeat_s: float = 0.3
    election_min_s: float = 1.2
    election_max_s: float = 2.4
    lease_s: float = 1.0
    recent_s: float = 0.9  # A member that acknowledged within it counts as up.
    silent_s: float = 4.0  # A surplus voter that is silent for so long is removed.
    lost_s: float = 20.0  # A learner that is silent for so long is removed.
    commit_notice_s: float = 0.02  # Followers learn a commit after this delay.
    pre_vote: bool = True
    snapshot_entries: int = 1000
    snapshot_bytes: int = 4 << 20
    kept_entries: int = 200  # Held before a snapshot, for members that lag,
    kept_bytes: int = 1 << 20  # up to this size.
    chunk_bytes: int = 64 << 10
    append_bytes: int = 256 << 10  # Bound of the entries in one message.
    window_entries: int = 4096  # Entries sent to a follower and not acknowledged.

    @classmethod
    def from_election_timeout(cls, election_s: float) -> "Timing":
        """Return the times for a minimum election timeout, in the usual ratios.

        Parameters
        ----------
        election_s
            Seconds without a leader after which an election starts at the earliest.
        """
        factor = election_s / cls.election_min_s
        return cls(
            heartbeat_s=cls.heartbeat_s * factor,
            election_min_s=election_s,
            election_max_s=cls.election_max_s * factor,
            lease_s=cls.lease_s * factor,
            recent_s=cls.recent_s * factor,
            silent_s=cls.silent_s * factor,
            lost_s=cls.lost_s * factor,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A dump of the state machine and where in the log it was taken.

    Parameters
    ----------
    meta
        Index and term of the last entry covered, and the membership there.
    data
        The dump; any object of bytes. Empty for the state of a new cluster.
    """

    meta: pb.SnapshotMeta
    data: bytes | memoryview = b""


@dataclasses.dataclass(slots=True)
class SavedState:
    """What a store holds: the state that a replica starts from."""

    hard_state: pb.HardState = dataclasses.field(default_factory=pb.HardState)
    snapshot: Snapshot | None = None
    entries: list[pb.LogEntry] = dataclasses.field(default_factory=list)

    @property
    def formed(self) -> bool:
        """Whether the instance belongs to a cluster."""
        return self.snapshot is not None


@dataclasses.dataclass(slots=True)
class Actions:
    """What a daemon does after an event, in the order of the fields.

    `hard_state`, `entries` and `snapshot` go to `stores.FileStore.append` in
    one call. Only after it returned are `messages` sent, then `snapshot` is
    loaded into the state machine, then `committed` entries are applied. All of
    it is done before the next event is given to the replica, because the
    replica counts its own entries as stored.

    Parameters
    ----------
    hard_state
        Term and vote to store, if they changed.
    entries
        Entries to store; an entry replaces the stored one with the same index
        and removes all later ones.
    snapshot
        A snapshot received from the leader; it replaces the stored log and the
        state machine.
    messages
        Messages to send.
    committed
        Entries to apply, of all kinds, without gaps; commands are of kind
        `ENTRY_KIND_COMMAND`.
    """

    hard_state: pb.HardState | None = None
    entries: collections.abc.Sequence[pb.LogEntry] = dataclasses.field(
        default_factory=list
    )
    snapshot: Snapshot | None = None
    messages: collections.abc.Sequence[pb.PeerMessage] = dataclasses.field(
        default_factory=list
    )
    committed: collections.abc.Sequence[pb.LogEntry] = dataclasses.field(
        default_factory=list
    )

    @property
    def must_sync(self) -> bool:
        """Whether there is anything to store before messages are sent."""
        return bool(self.hard_state or self.entries or self.snapshot)


# Shared, so that an idle tick allocates nothing.
NO_ACTIONS = Actions(entries=(), messages=(), committed=())


@dataclasses.dataclass(slots=True)
class ProposedEntries:
    """Entries that a leader appended.

    An entry took effect when an entry with its index and `term` is in
    `Actions.committed`. If an entry with its index and another term is
    committed, it never takes effect. Until then its outcome is unknown.

    Parameters
    ----------
    term
        Term of the entries.
    indexes
        Their indexes, one for each payload.
    actions
        What the daemon does now, as after any other event.
    """

    term: int
    indexes: range
    actions: Actions
