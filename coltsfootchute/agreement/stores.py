"""Files in which a replica's state survives a restart."""

import collections.abc

from coltsfootchute.agreement import records
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["FileStore"]


class FileStore:
    """The data folder of one instance.

    Parameters
    ----------
    folder
        The data folder; created if absent.
    name
        Name of the instance. Data written under another name is set aside and
        the instance gets a new member id.

    Attributes
    ----------
    member_id
        Random id, created when the folder was first opened.
    saved
        The stored state, for `Replica`.

    Raises
    ------
    coltsfootchute.errors.FolderInUseError
        If another process uses the folder.
    coltsfootchute.errors.DamagedStoreError
        If stored data is damaged.
    """

    def __init__(self, folder: str, name: str):
        raise NotImplementedError

    def append(
        self,
        hard_state: pb.HardState | None,
        entries: collections.abc.Sequence[pb.LogEntry],
        snapshot: records.Snapshot | None = None,
    ) -> None:
        """Store the fields of an `Actions` with one sync (more with a snapshot)."""
        raise NotImplementedError

    def save_snapshot(self, snapshot: records.Snapshot) -> None:
        """Store a snapshot made by `Replica.compact` and trim the log."""
        raise NotImplementedError

    def close(self) -> None:
        """Release the folder."""
        raise NotImplementedError
