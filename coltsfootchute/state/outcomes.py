"""Results of applied commands, and the table of outcomes by request id."""

import dataclasses
import hashlib

from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["OUTCOME_RETENTION_MS", "ApplyResult", "OutcomeTable", "Reply"]

OUTCOME_RETENTION_MS = 24 * 3600 * 1000

Reply = (
    pb.ProposalOutcome
    | pb.AnnouncementOutcome
    | pb.ClaimOutcome
    | pb.DeclarationOutcome
    | pb.EvacuationOutcome
    | None
)


@dataclasses.dataclass(slots=True)
class ApplyResult:
    """Result of applying one command.

    Parameters
    ----------
    reply
        The outcome for the proposer of the command; None if its kind has none.
    changes
        Changes to send to the watchers of the feed.
    """

    reply: Reply = None
    changes: list[pb.FeedChange] = dataclasses.field(default_factory=list)


def digest_proposal(proposal: pb.Proposal) -> bytes:
    """Return a digest of a proposal without its author and its request id."""
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
    """Table of the outcomes of proposals by request id, kept for 24 hours.

    A proposal that is sent again gets its first outcome and is not applied again.

    Notes
    -----
    The clock of the machine never goes backward, so outcomes expire in the order of
    insertion, and dropping takes O(1) time per outcome.
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
            A proposal, which may be a resend.

        Returns
        -------
        coltsfootchute_pb2.ProposalOutcome or None
            The first outcome for a resend; ``REQUEST_ID_REUSED`` if a different
            proposal had this request id; None if the request id is unknown.
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
        """Store the outcome of a proposal, unless it has no request id."""
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
            if oldest.time_ms + OUTCOME_RETENTION_MS > clock_ms:
                return
            del self._stored[request_id]

    def dump(self) -> list[pb.StoredOutcome]:
        """Return all stored outcomes, oldest first."""
        return list(self._stored.values())

    def load(self, stored: list[pb.StoredOutcome]) -> None:
        """Replace the contents of the table by dumped outcomes."""
        self._stored = {item.request_id: item for item in stored}
