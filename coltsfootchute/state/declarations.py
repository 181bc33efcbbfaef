"""The register of the declaration in force."""

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
    """

    def __init__(self):
        self.newest = pb.Declaration()

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
        newest = self.newest
        if not newest.version:
            return []
        return [pb.Declaration(version=newest.version, document=newest.document)]

    def load(self, declaration: pb.Declaration) -> None:
        """Replace the declaration by a dumped one."""
        self.newest = pb.Declaration()
        self.newest.CopyFrom(declaration)
