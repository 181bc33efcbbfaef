"""Outcomes of applied commands, and the table of outcomes by request id."""

import dataclasses
import hashlib

from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["OUTCOME_KEPT_MS", "Applied", "OutcomeTable", "Reply"]

OUTCOME_KEPT_MS = 24 * 3600 * 1000

Reply = (
    pb.ProposalOutcome
    | pb.AnnouncementOutcome
    | pb.ClaimOutcome
    | pb.DeclarationOutcome
    | None
)


@dataclasses.dataclass(slots=True)
class Applied:
    """What one command did.

    Parameters
    ----------
    reply
        The outcome for whoever proposed the command, if its kind has one.
    changes
        What watchers of the feed have to learn.
    """

    reply: Reply = None
    changes: list[pb.FeedChange] = dataclasses.field(default_factory=list)


def digest_proposal(proposal: pb.Proposal) -> bytes:
    """Return a digest of everything but the author and the request id."""
    parts = (
        proposal.section,
        str(proposal.expected_revision),
        proposal.document,
        proposal.team,
    )
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        data = part.encode()
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.digest()


class OutcomeTable:
    """First outcomes by request id, kept for 24 hours.

    Notes
    -----
    The clock of the machine never goes back, so the insertion order is the
    order of expiry and dropping costs O(1) per outcome.
    """

    def __init__(self):
        self._stored: dict[str, pb.StoredOutcome] = {}

    def __len__(self) -> int:
        return len(self._stored)

    def find(self, proposal: pb.Proposal) -> pb.ProposalOutcome | None:
        """Return the outcome of an earlier proposal with the same request id.

        Parameters
        ----------
        proposal
            A proposal, perhaps a resend.

        Returns
        -------
        coltsfootchute_pb2.ProposalOutcome or None
            The first outcome for a resend, ``REQUEST_ID_REUSED`` for another
            proposal with a known request id, else None.
        """
        stored = self._stored.get(proposal.request_id)
        if stored is None:
            return None
        if stored.proposal_digest != digest_proposal(proposal):
            return pb.ProposalOutcome(status=pb.PROPOSAL_STATUS_REQUEST_ID_REUSED)
        return stored.outcome

    def store(
        self, proposal: pb.Proposal, outcome: pb.ProposalOutcome, time_ms: int
    ) -> None:
        """Keep the first outcome of a proposal."""
        if not proposal.request_id:
            return
        self._stored[proposal.request_id] = pb.StoredOutcome(
            request_id=proposal.request_id,
            proposal_digest=digest_proposal(proposal),
            time_ms=time_ms,
            outcome=outcome,
        )

    def drop_expired(self, clock_ms: int) -> None:
        """Drop the outcomes that are older than 24 hours."""
        while self._stored:
            request_id, oldest = next(iter(self._stored.items()))
            if oldest.time_ms + OUTCOME_KEPT_MS > clock_ms:
                return
            del self._stored[request_id]

    def dump(self) -> list[pb.StoredOutcome]:
        """Return all stored outcomes, oldest first."""
        return list(self._stored.values())

    def load(self, stored: list[pb.StoredOutcome]) -> None:
        """Replace the table by dumped outcomes."""
        self._stored = {item.request_id: item for item in stored}
