"""Bounded queue of requests that wait for a target."""

import bisect
import dataclasses
import itertools

from coltsfootchute import verdicts
from coltsfootchute.balancing import views

__all__ = ["Admission", "Grant", "Ticket", "refusal"]


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """Place of a request in the queue.

    Parameters
    ----------
    priority
        Larger is more important.
    deadline_s
        Time by which the request must be answered.
    leaves_s
        Time at which it leaves the queue if it was not released before.
    number
        Order of arrival.
    """

    priority: int
    deadline_s: float
    leaves_s: float
    number: int

    def rank(self) -> tuple[int, float, int]:
        """Return the sort key: priority, then deadline, then arrival."""
        return (-self.priority, self.deadline_s, self.number)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A queued request that may be sent now.

    Parameters
    ----------
    ticket
        Its place in the queue.
    token
        Its attempt, already counted as started.
    """

    ticket: Ticket
    token: views.AttemptToken


class Admission:
    """Queue in order of priority, then deadline, then arrival.

    The order is strict: while requests of a higher priority wait, none of a
    lower one is released. Starvation is bounded in time, not in order: a
    request waits at most `wait_s` and is then refused as not run. A full
    queue displaces its last request for one that ranks before it.

    Parameters
    ----------
    length
        Requests that may wait.
    wait_s
        Longest wait of a request.

    Notes
    -----
    `offer` and `withdraw` are O(n) in the queue, `pop` is O(1) but for the
    shift of the list, `pop_expired` is O(n). The daemon calls `pop_expired` at
    `next_expiry` and after each release.
    """

    def __init__(self, length: int, wait_s: float):
        self._length = length
        self._wait_s = wait_s
        self._waiting: list[Ticket] = []
        self._displaced: list[Ticket] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._waiting)

    def change(self, length: int, wait_s: float) -> None:
        """Apply a new bound; requests beyond it leave at the next `pop_expired`."""
        self._length = length
        self._wait_s = wait_s
        self._displaced += self._waiting[length:]
        del self._waiting[length:]

    def offer(
        self,
        priority: int,
        deadline_s: float,
        now: float,
        service_s: float = 0.0,
        interval_s: float = 0.0,
    ) -> Ticket | verdicts.Refusal:
        """Queue a request, or refuse it if it can't be answered in time.

        Parameters
        ----------
        priority, deadline_s
            As in `Ticket`.
        now
            Time.
        service_s
            Expected response time of a target.
        interval_s
            Expected time between two releases.
        """
        ticket = Ticket(
            priority,
            deadline_s,
            min(now + self._wait_s, deadline_s),
            next(self._numbers),
        )
        place = bisect.bisect_left(self._waiting, ticket.rank(), key=Ticket.rank)
        if place >= self._length:
            return refusal(verdicts.Reason.QUEUE_FULL, "the queue is full")
        wait_s = (place + 1) * interval_s
        if now + wait_s + service_s > deadline_s:
            return refusal(verdicts.Reason.DEADLINE, "no answer before the deadline")
        if wait_s > self._wait_s:
            return refusal(verdicts.Reason.QUEUE_FULL, "the wait is too long")
        if len(self._waiting) >= self._length:
            self._displaced.append(self._waiting.pop())
        self._waiting.insert(place, ticket)
        return ticket

    def pop(self, now: float) -> Ticket | None:
        """Take the first request that has not expired."""
        for place, ticket in enumerate(self._waiting):
            if ticket.leaves_s > now:
                del self._waiting[place]
                return ticket
        return None

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a request whose caller went away; unknown ones are ignored."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)
        if ticket in self._displaced:
            self._displaced.remove(ticket)

    def pop_expired(self, now: float) -> list[tuple[Ticket, verdicts.Refusal]]:
        """Remove the requests that waited too long or were displaced."""
        late = [ticket for ticket in self._waiting if ticket.leaves_s <= now]
        self._waiting = [t for t in self._waiting if t.leaves_s > now]
        leaving, self._displaced = self._displaced + late, []
        return [(ticket, _departure(ticket, now)) for ticket in leaving]

    def next_expiry(self) -> float | None:
        """Return when `pop_expired` is due; None while nothing waits."""
        if self._displaced:
            return 0.0
        return min((ticket.leaves_s for ticket in self._waiting), default=None)


def _departure(ticket: Ticket, now: float) -> verdicts.Refusal:
    if ticket.deadline_s <= now:
        return refusal(verdicts.Reason.DEADLINE, "the deadline passed in the queue")
    return refusal(verdicts.Reason.QUEUE_FULL, "no target was free in time")


def refusal(reason: verdicts.Reason, detail: str) -> verdicts.Refusal:
    """Return the refusal of a request that was not sent."""
    return verdicts.Refusal(verdicts.Verdict.NOT_RUN, reason, detail)
