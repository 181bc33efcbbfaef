"""Register of section documents, which are changed by compare-and-swap."""

from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["MAX_REVISIONS", "SectionRegister"]

MAX_REVISIONS = 20


class SectionRegister:
    """Sections with their owners and their latest `MAX_REVISIONS` revisions."""

    def __init__(self):
        self._sections: dict[str, pb.Section] = {}

    def propose(
        self, proposal: pb.Proposal, index: int, time_ms: int
    ) -> pb.ProposalOutcome:
        """Apply a proposal if it names the owner and the revision in force.

        Parameters
        ----------
        proposal
            The proposal, whose document was validated before it was proposed.
        index
            Log index of the command.
        time_ms
            Clock of the machine in ms.

        Returns
        -------
        coltsfootchute_pb2.ProposalOutcome
            ``ACCEPTED`` with the new revision; ``CONFLICT`` or ``NOT_OWNER`` with the
            revision in force.
        """
        section = self._sections.get(proposal.section)
        present = section.history[-1] if section else pb.SectionRevision()
        if section and section.owner != proposal.team:
            return self._refuse(pb.PROPOSAL_STATUS_NOT_OWNER, present)
        if proposal.expected_revision != present.revision:
            return self._refuse(pb.PROPOSAL_STATUS_CONFLICT, present)
        if section is None:
            section = pb.Section(name=proposal.section, owner=proposal.team)
            self._sections[proposal.section] = section
        section.history.add(
            revision=present.revision + 1,
            document=proposal.document,
            author=proposal.author,
            request_id=proposal.request_id,
            time_ms=time_ms,
        )
        del section.history[:-MAX_REVISIONS]
        return pb.ProposalOutcome(
            status=pb.PROPOSAL_STATUS_ACCEPTED,
            revision=section.history[-1].revision,
            author=proposal.author,
            index=index,
        )

    @staticmethod
    def _refuse(
        status: pb.ProposalStatus, present: pb.SectionRevision
    ) -> pb.ProposalOutcome:
        return pb.ProposalOutcome(
            status=status, revision=present.revision, author=present.author
        )

    def in_force(self, name: str) -> pb.SectionInForce:
        """Return the revision in force of a section.

        Raises
        ------
        KeyError
            If there is no section of this name.
        """
        section = self._sections[name]
        last = section.history[-1]
        return pb.SectionInForce(
            name=name,
            owner=section.owner,
            revision=last.revision,
            document=last.document,
        )

    def read(self, name: str = "") -> list[pb.Section]:
        """Return the section of a name in a list, or all sections for an empty name."""
        if name:
            return [self._sections[name]] if name in self._sections else []
        return list(self._sections.values())

    def names(self) -> list[str]:
        """Return the names of all sections in the order of their creation."""
        return list(self._sections)

    def load(self, sections: list[pb.Section]) -> None:
        """Replace the contents of the register by dumped sections."""
        self._sections = {section.name: section for section in sections}
