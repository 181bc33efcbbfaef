"""Register that holds the declaration in force."""

from coltsfootchute import declarations
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["DeclarationRegister"]


class DeclarationRegister:
    """Register of the declaration with the highest version.

    Attributes
    ----------
    newest
        The declaration in force as it was submitted; version 0 if there is none.

    Notes
    -----
    A declaration whose version is not higher than the one in force is ignored. So the
    content of a version never changes, and a resend has no effect.

    The feed sends the document compressed; it is compressed once for all watchers. Its
    routes repeat field names and services, and sending thousands of them uncompressed
    would occupy an entry's link for seconds at each change.
    """

    def __init__(self):
        self.newest = pb.Declaration()
        self._packed = b""

    def apply(self, declaration: pb.Declaration) -> pb.DeclarationOutcome:
        """Put a declaration in force if its version is higher than the present one.

        Parameters
        ----------
        declaration
            The declaration, which was validated before it was proposed.

        Returns
        -------
        coltsfootchute_pb2.DeclarationOutcome
            The version in force, and whether this call changed it.
        """
        applied = declaration.version > self.newest.version
        if applied:
            self.load(declaration)
        return pb.DeclarationOutcome(version=self.newest.version, applied=applied)

    def in_force(self) -> list[pb.Declaration]:
        """Return the declaration in the form sent to entries, or an empty list."""
        if not self.newest.version:
            return []
        return [pb.Declaration(version=self.newest.version, packed=self._packed)]

    def load(self, declaration: pb.Declaration) -> None:
        """Replace the declaration by a dumped one, and compress its document."""
        self.newest = pb.Declaration()
        self.newest.CopyFrom(declaration)
        self._packed = declarations.pack(declaration.document)
