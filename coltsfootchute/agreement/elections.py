"""Elections: counting votes, election timeouts, and comparing logs."""

import dataclasses
import random

from coltsfootchute.agreement import memberships, records

__all__ = ["Ballot", "is_up_to_date", "random_election_timeout"]


@dataclasses.dataclass(slots=True)
class Ballot:
    """The votes in one election or pre-vote of a candidate.

    Parameters
    ----------
    voters
        Ids of the members whose votes count.
    term
        Term in which the candidate requests votes.
    pre_vote
        Whether this is a pre-vote, in which voters only tell whether they would
        grant their vote.
    transfer
        Whether the leader requested the election to transfer its leadership.
    granted, refused
        Ids of the voters that granted or refused their vote.
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
        """Whether a majority of the voters granted their votes."""
        return len(self.granted) >= memberships.quorum(len(self.voters))

    @property
    def pending(self) -> list[str]:
        """Voters that have not replied."""
        return sorted(self.voters - self.granted - self.refused)


def random_election_timeout(rng: random.Random, timing: records.Timing) -> float:
    """Return a random election timeout, in seconds.

    Parameters
    ----------
    rng
        Source of randomness; random timeouts make repeated split votes unlikely.
    timing
        Bounds of the timeout.
    """
    return rng.uniform(timing.election_min_s, timing.election_max_s)


def is_up_to_date(
    candidate: tuple[int, int],
    own: tuple[int, int],
) -> bool:
    """Return whether a candidate's log is at least as up to date as the voter's.

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
