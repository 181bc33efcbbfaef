"""Look-up of workspaces by the keys of callers."""

import hmac
import typing

from coltsfootchute.declarations import schemas

__all__ = ["WorkspaceTable", "workspace_changes"]


class WorkspaceTable:
    """The workspaces of a declaration by the digests of their keys.

    Parameters
    ----------
    workspaces
        The declared workspaces.

    Notes
    -----
    No key is kept. A look-up is one digest and one access to a dictionary; the time
    that the access takes depends on the digest, which a caller can't choose.
    """

    def __init__(self, workspaces: list[schemas.Workspace]):
        self.by_name = {workspace.name: workspace for workspace in workspaces}
        self._by_digest = {
            digest: (digest, workspace)
            for workspace in workspaces
            for digest in workspace.key_digests
        }

    def find(self, key: str) -> schemas.Workspace | None:
        """Return the workspace that a key belongs to, or None.

        Examples
        --------
        >>> digest = schemas.key_digest("k")
        >>> table = WorkspaceTable([schemas.Workspace("w", [digest])])
        >>> table.find("k").name, table.find("K")
        ('w', None)
        """
        digest = schemas.key_digest(key)
        known, workspace = self._by_digest.get(digest, ("", None))
        return workspace if hmac.compare_digest(known, digest) else None

    def holders(self) -> dict[str, str]:
        """Return the name of the workspace for each digest."""
        return {digest: held.name for digest, held in self._by_digest.values()}


def workspace_changes(
    old: WorkspaceTable | None, new: WorkspaceTable | None
) -> dict[str, typing.Any]:
    """Return what a new declaration changes, as fields of a log line.

    Examples
    --------
    >>> first = WorkspaceTable([schemas.Workspace("a", ["0"]), schemas.Workspace("b")])
    >>> second = WorkspaceTable([schemas.Workspace("b", ["0", "1"])])
    >>> workspace_changes(first, second)
    {'joined': 0, 'left': 1, 'added_keys': 1, 'moved_keys': 1, 'removed_keys': 0}
    """
    empty = WorkspaceTable([])
    old, new = old or empty, new or empty
    before, after = old.holders(), new.holders()
    kept = before.keys() & after.keys()
    return {
        "joined": len(new.by_name.keys() - old.by_name.keys()),
        "left": len(old.by_name.keys() - new.by_name.keys()),
        "added_keys": len(after) - len(kept),
        "moved_keys": sum(before[digest] != after[digest] for digest in kept),
        "removed_keys": len(before) - len(kept),
    }
