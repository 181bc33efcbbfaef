"""The replicated log: elections, replication, membership, storage.

The decision logic does no I/O; only `stores` does.
"""

from coltsfootchute.agreement.heartbeats import bare_heartbeat, is_replication_message
from coltsfootchute.agreement.records import (
    NO_ACTIONS,
    Actions,
    Identity,
    ProposedEntries,
    Role,
    SavedState,
    Snapshot,
    Timing,
)
from coltsfootchute.agreement.replicas import Replica
from coltsfootchute.agreement.stores import FileStore

__all__ = [
    "NO_ACTIONS",
    "Actions",
    "FileStore",
    "Identity",
    "ProposedEntries",
    "Replica",
    "Role",
    "SavedState",
    "Snapshot",
    "Timing",
    "bare_heartbeat",
    "is_replication_message",
]
