"""The register of the declaration in force."""

from coltsfootchute import declarations
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["DeclarationRegister"]


class DeclarationRegister:
    """The declaration with the highest version.

    Attributes
    ----------
    newest
        The declaration as it was submitted; version 0 if there is none.

    Notes
    -----
    A version that is not higher than the present one changes nothing, so the
    content of a version never changes and a resend has no effect.

    The feed carries the document packed, once for all watchers: its routes repeat
    their field names and services, and thousands of routes would hold up an entry's
    link for seconds with each change.
    """

    def __init__(self):
        self.newest = pb.Declaration()
        self._packed = b""

    def apply(self, declaration: pb.Declaration) -> pb.DeclarationOutcome:
        """Take a declaration if its version is higher than the present one.

        Parameters
        ----------
        declaration
            A declaration that was checked before it was proposed.

        Returns
        -------
        coltsfootchute_pb2.DeclarationOutcome
            The version in force, and whether it changed.
        """
        applied = declaration.version > self.newest.version
        if applied:
            self.load(declaration)
        return pb.DeclarationOutcome(version=self.newest.version, applied=applied)

    def in_force(self) -> list[pb.Declaration]:
        """Return what entries need of the declaration; empty if there is none."""
        if not self.newest.version:
            return []
        return [pb.Declaration(version=self.newest.version, packed=self._packed)]

    def load(self, declaration: pb.Declaration) -> None:
        """Replace the declaration by a dumped one."""
        self.newest = pb.Declaration()
        self.newest.CopyFrom(declaration)
        self._packed = declarations.pack(declaration.document)
