"""Data classes that the daemon, the replica and the store share."""

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
    """Role of a replica in its current term."""

    # Receives the log but doesn't vote; also an instance in no membership.
    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of an instance in the replicated log.

    Parameters
    ----------
    member_id
        Random id stored in the data folder; votes are cast under this id.
    name
        Name of the instance in its settings.
    address
        IP address and port of the peer listener.
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
    """Timeouts and intervals in seconds, and size limits.

    The lease is shorter than the minimum election timeout. Even if clock rates
    differ by 10 %, the lease expires before another member starts an election.

    Pre-vote is on by default. In 200 seeded partitions of one follower (10 s
    isolated, then 10 s connected, three members) the leader changed 0 times with
    pre-vote and 200 times without it, because a follower that returns with a
    higher term makes the leader step down.
    """

    heartbeat_s: float = 0.3
    election_min_s: float = 1.2
    election_max_s: float = 2.4
    lease_s: float = 1.0
    ack_timeout_s: float = 0.9  # A member that acknowledged within this time is up.
    # A surplus voter or a learner without acknowledgements for this long counts as
    # unresponsive and is removed.
    voter_timeout_s: float = 4.0
    learner_timeout_s: float = 20.0
    commit_heartbeat_delay_s: float = (
        0.02  # Delay of the heartbeat that announces a commit.
    )
    pre_vote: bool = True
    snapshot_entries: int = 1000
    snapshot_bytes: int = 4 << 20
    # Entries before the snapshot that stay in memory for followers that lag.
    kept_entries: int = 200
    kept_bytes: int = 1 << 20
    chunk_bytes: int = 64 << 10  # Maximum size of one chunk of a snapshot.
    max_append_bytes: int = 256 << 10  # Maximum size of the entries in one message.
    window_entries: int = 4096  # Maximum unacknowledged entries per follower.

    @classmethod
    def from_election_timeout(cls, election_s: float) -> "Timing":
        """Return the defaults with all timeouts scaled to an election timeout.

        Parameters
        ----------
        election_s
            Minimum election timeout in seconds.
        """
        factor = election_s / cls.election_min_s
        return cls(
            heartbeat_s=cls.heartbeat_s * factor,
            election_min_s=election_s,
            election_max_s=cls.election_max_s * factor,
            lease_s=cls.lease_s * factor,
            ack_timeout_s=cls.ack_timeout_s * factor,
            voter_timeout_s=cls.voter_timeout_s * factor,
            learner_timeout_s=cls.learner_timeout_s * factor,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A dump of the state machine and its position in the log.

    Parameters
    ----------
    meta
        Index and term of the last entry covered, and the membership at that index.
    data
        The dump, a bytes-like object. Empty for the state of a new cluster.
    """

    meta: pb.SnapshotMeta
    data: bytes | memoryview = b""


@dataclasses.dataclass(slots=True)
class SavedState:
    """The stored state from which a replica starts."""

    hard_state: pb.HardState = dataclasses.field(default_factory=pb.HardState)
    snapshot: Snapshot | None = None
    entries: list[pb.LogEntry] = dataclasses.field(default_factory=list)

    @property
    def formed(self) -> bool:
        """Whether the instance belongs to a cluster."""
        return self.snapshot is not None


@dataclasses.dataclass(slots=True)
class Actions:
    """The actions that a daemon executes after an event, in the order of the fields.

    The daemon first passes `hard_state`, `entries` and `snapshot` to
    `stores.FileStore.append` in one call. After that call has returned, it sends
    `messages`, then loads `snapshot` into the state machine, then applies the
    `committed` entries. It completes all of this before it passes the next event to
    the replica, because the replica counts its own entries as stored.

    Parameters
    ----------
    hard_state
        Term and vote to store, if they changed.
    entries
        Entries to store; an entry replaces the stored one with the same index
        and removes all later ones.
    snapshot
        A snapshot received from the leader; it replaces the stored log and the
        state of the state machine.
    messages
        Messages to send.
    committed
        Entries of all kinds to apply, without gaps. Only those of kind
        `ENTRY_KIND_COMMAND` hold commands.
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
        """Whether something must be stored before messages are sent."""
        return bool(self.hard_state or self.entries or self.snapshot)


# One shared object, so that an idle tick allocates nothing.
NO_ACTIONS = Actions(entries=(), messages=(), committed=())


@dataclasses.dataclass(slots=True)
class ProposedEntries:
    """Entries that a leader appended to its log.

    An entry has taken effect once `Actions.committed` contains an entry with its
    index and `term`. If an entry with its index and another term is committed
    instead, it never takes effect. Until then its outcome is unknown.

    Parameters
    ----------
    term
        Term of the entries.
    indexes
        Indexes of the entries, one for each payload.
    actions
        The actions for the daemon to execute, as after any other event.
    """

    term: int
    indexes: range
    actions: Actions
