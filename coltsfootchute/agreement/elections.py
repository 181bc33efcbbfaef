"""Votes: who asks for them and who grants them."""

import dataclasses
import random

from coltsfootchute.agreement import memberships, records

__all__ = ["Ballot", "election_delay", "is_up_to_date"]


@dataclasses.dataclass(slots=True)
class Ballot:
    """The votes that a candidate has collected.

    Parameters
    ----------
    voters
        Ids of the members whose votes count.
    term
        Term that the candidate wants to lead.
    pre_vote
        Whether voters are only asked whether they would vote.
    transfer
        Whether the leader asked for the election.
    """

    voters: frozenset[str]
    term: int
    pre_vote: bool
    transfer: bool = False
    granted: set[str] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)

    def count(self, member_id: str, granted: bool) -> None:
        """Count a reply; a repeated reply has no effect.

        Parameters
        ----------
        member_id
            The voter.
        granted
            Whether it grants its vote.
        """
        if member_id in self.voters:
            (self.granted if granted else self.refused).add(member_id)

    @property
    def is_won(self) -> bool:
        """Whether a majority granted its vote."""
        return len(self.granted) >= memberships.quorum(len(self.voters))

    @property
    def silent(self) -> list[str]:
        """Voters that have not replied."""
        return sorted(self.voters - self.granted - self.refused)


def election_delay(rng: random.Random, timing: records.Timing) -> float:
    """Return how long to wait for a leader before an election, in seconds.

    Parameters
    ----------
    rng
        Source of randomness; it makes split votes unlikely to repeat.
    timing
        Bounds of the delay.
    """
    return rng.uniform(timing.election_min_s, timing.election_max_s)


def is_up_to_date(
    candidate: tuple[int, int],
    own: tuple[int, int],
) -> bool:
    """Return whether a candidate's log is at least as complete as one's own.

    Parameters
    ----------
    candidate, own
        Term and index of the last entry of each log.

    Examples
    --------
    >>> is_up_to_date((2, 5), (1, 9))
    True
    >>> is_up_to_date((2, 5), (2, 6))
    False
    """
    return candidate >= own
