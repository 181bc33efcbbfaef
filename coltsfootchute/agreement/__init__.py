"""A replicated log, similar to Raft: elections, replication, membership, storage.

The protocol logic does no I/O; only `stores` and `disks` access files.
"""

from coltsfootchute.agreement.heartbeats import carries_log, sign_of_life
from coltsfootchute.agreement.records import (
    NOTHING,
    Actions,
    Identity,
    Proposed,
    Role,
    SavedState,
    Snapshot,
    Timing,
)
from coltsfootchute.agreement.replicas import Replica
from coltsfootchute.agreement.stores import FileStore

__all__ = [
    "NOTHING",
    "Actions",
    "FileStore",
    "Identity",
    "Proposed",
    "Replica",
    "Role",
    "SavedState",
    "Snapshot",
    "Timing",
    "carries_log",
    "sign_of_life",
]
