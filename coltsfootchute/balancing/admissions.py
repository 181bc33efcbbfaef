"""Bounded queue of requests that wait for a target."""

import bisect
import dataclasses
import itertools

from coltsfootchute import verdicts
from coltsfootchute.balancing import views

__all__ = ["AdmissionQueue", "Grant", "Ticket", "refusal"]


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request in the queue.

    Parameters
    ----------
    priority
        Priority of the request; a larger one is more important.
    deadline_s
        Time in seconds by which the request must be answered.
    expires_s
        Time in seconds at which the request is refused if it is still queued.
    sequence_number
        Sequence number in the order of arrival.
    """

    priority: int
    deadline_s: float
    expires_s: float
    sequence_number: int

    def rank(self) -> tuple[int, float, int]:
        """Return the sort key: priority, then deadline, then arrival."""
        return (-self.priority, self.deadline_s, self.sequence_number)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A queued request that may be sent now.

    Parameters
    ----------
    ticket
        Its ticket in the queue.
    token
        Its attempt, which is already started.
    """

    ticket: Ticket
    token: views.AttemptToken


class AdmissionQueue:
    """Bounded queue in the order of priority, then deadline, then arrival.

    The order is strict: no request of a lower priority is released while one of a
    higher priority waits. A request waits at most `wait_s`, then it is refused as
    not run; this bounds starvation. If the queue is full, a request that ranks before
    the last one replaces it.

    Parameters
    ----------
    length
        Largest number of requests in the queue.
    wait_s
        Longest wait of a request, in seconds.

    Notes
    -----
    `offer`, `withdraw` and `pop_expired` are O(n) in the length of the queue; `pop` is
    O(1) except that it shifts the list. The daemon calls `pop_expired` at
    `next_expiry` and after each release.
    """

    def __init__(self, length: int, wait_s: float):
        self._length = length
        self._wait_s = wait_s
        self._waiting: list[Ticket] = []
        self._replaced: list[Ticket] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._waiting)

    def change(self, length: int, wait_s: float) -> None:
        """Apply a new length and wait.

        Requests beyond the new length are returned by the next call of `pop_expired`.
        """
        self._length = length
        self._wait_s = wait_s
        self._replaced += self._waiting[length:]
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
            Time in seconds.
        service_s
            Expected response time of a target, in seconds.
        interval_s
            Expected time between two releases from the queue, in seconds.

        Returns
        -------
        Ticket or verdicts.Refusal
            A refusal has the verdict `NOT_RUN`.
        """
        ticket = Ticket(
            priority,
            deadline_s,
            min(now + self._wait_s, deadline_s),
            next(self._numbers),
        )
        position = bisect.bisect_left(self._waiting, ticket.rank(), key=Ticket.rank)
        if position >= self._length:
            return refusal(
                verdicts.Reason.QUEUE_FULL, f"the queue is full (length {self._length})"
            )
        wait_s = (position + 1) * interval_s
        if now + wait_s + service_s > deadline_s:
            return refusal(
                verdicts.Reason.DEADLINE, "no response expected before the deadline"
            )
        if wait_s > self._wait_s:
            return refusal(
                verdicts.Reason.QUEUE_FULL,
                f"expected wait of {wait_s:.3f} s is longer than {self._wait_s:g} s",
            )
        if len(self._waiting) >= self._length:
            self._replaced.append(self._waiting.pop())
        self._waiting.insert(position, ticket)
        return ticket

    def pop(self, now: float) -> Ticket | None:
        """Remove and return the first request that has not expired, or None."""
        for position, ticket in enumerate(self._waiting):
            if ticket.expires_s > now:
                del self._waiting[position]
                return ticket
        return None

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a request whose caller disconnected; ignore an unknown ticket."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)
        if ticket in self._replaced:
            self._replaced.remove(ticket)

    def pop_expired(self, now: float) -> list[tuple[Ticket, verdicts.Refusal]]:
        """Remove the requests that waited too long or were replaced.

        Returns
        -------
        list of tuple
            Each removed ticket with its refusal.
        """
        expired = [ticket for ticket in self._waiting if ticket.expires_s <= now]
        self._waiting = [t for t in self._waiting if t.expires_s > now]
        leaving, self._replaced = self._replaced + expired, []
        return [(ticket, _expiry_refusal(ticket, now)) for ticket in leaving]

    def pop_all(
        self, reason: verdicts.Reason, detail: str
    ) -> list[tuple[Ticket, verdicts.Refusal]]:
        """Remove all requests, and return each ticket with a refusal."""
        leaving = self._replaced + self._waiting
        self._replaced, self._waiting = [], []
        return [(ticket, refusal(reason, detail)) for ticket in leaving]

    def next_expiry(self) -> float | None:
        """Return the time at which `pop_expired` has to be called, or None.

        It is 0 if replaced requests have to be refused at once, and None while the
        queue is empty.
        """
        if self._replaced:
            return 0.0
        return min((ticket.expires_s for ticket in self._waiting), default=None)


def _expiry_refusal(ticket: Ticket, now: float) -> verdicts.Refusal:
    if ticket.deadline_s <= now:
        return refusal(
            verdicts.Reason.DEADLINE, "the deadline passed while the request was queued"
        )
    return refusal(verdicts.Reason.QUEUE_FULL, "no target had room in time")


def refusal(reason: verdicts.Reason, detail: str) -> verdicts.Refusal:
    """Return the refusal of a request that was not sent."""
    return verdicts.Refusal(verdicts.Verdict.NOT_RUN, reason, detail)
