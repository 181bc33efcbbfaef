"""Exception hierarchy of the package.

Every exception that the package raises deliberately derives from
`ColtsfootchuteError`. Packages that need more specific errors derive them from
the classes of this module.
"""

__all__ = [
    "AgreementError",
    "ColtsfootchuteError",
    "DamagedStoreError",
    "DocumentError",
    "FolderInUseError",
    "NotLeaderError",
    "OutcomeUnknownError",
    "RegistryError",
    "SettingsError",
    "StoreError",
    "SyncError",
    "UnavailableError",
]


class ColtsfootchuteError(Exception):
    """Base class of all errors of the package."""


class RegistryError(ColtsfootchuteError):
    """A name is unknown to a registry or registered twice."""


class DocumentError(ColtsfootchuteError):
    """A JSON document is malformed or breaks its schema.

    Parameters
    ----------
    problems
        For each mistake, the path of the field and the reason.
    """

    def __init__(self, problems: list[tuple[str, str]]):
        self.problems = problems
        super().__init__("; ".join(f"{path}: {reason}" for path, reason in problems))


class SettingsError(DocumentError):
    """Settings are malformed or break their schema."""


class StoreError(ColtsfootchuteError):
    """The data folder can't be used."""


class DamagedStoreError(StoreError):
    """Stored data is damaged, and not only by an incomplete last record."""


class FolderInUseError(StoreError):
    """Another process holds the lock of the data folder."""


class SyncError(StoreError):
    """A sync to disk failed; data written before it may be lost."""


class AgreementError(ColtsfootchuteError):
    """The replicated log refused an operation."""


class NotLeaderError(AgreementError):
    """The replica is not the leader, or holds no lease.

    Parameters
    ----------
    leader_id
        Member id of the leader; empty if it is not known.
    """

    def __init__(self, leader_id: str = ""):
        self.leader_id = leader_id
        super().__init__(f"not the leader; known leader: {leader_id or 'none'}")


class OutcomeUnknownError(AgreementError):
    """An operation may or may not have taken effect."""


class UnavailableError(ColtsfootchuteError):
    """No control instance answered; the operation did not take effect."""
