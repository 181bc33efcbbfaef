"""Guards against a queue that grows, starves or answers too late."""

import hypothesis
import pytest
from hypothesis import strategies as st

from coltsfootchute import verdicts
from coltsfootchute.balancing import admissions

WAIT_S = 1.0
OFFERS = st.lists(
    st.tuples(st.integers(0, 3), st.floats(0.1, 3), st.sampled_from("ooopwx")),
    max_size=60,
)


def drive(queue, length, steps):
    """Run a sequence; each ticket leaves the queue once, in order, in time."""
    now, waiting = 0.0, {}
    for priority, lead_s, act in steps:
        now += 0.05
        if act == "o":
            ticket = queue.offer(priority, now + lead_s, now)
            if isinstance(ticket, admissions.Ticket):
                waiting[ticket.number] = ticket
        elif act == "p" and (ticket := queue.pop(now)) is not None:
            del waiting[ticket.number]
            assert ticket.leaves_s > now
            live = [other for other in waiting.values() if other.leaves_s > now]
            kept = {id(other) for other in queue._displaced}
            live = [other for other in live if id(other) not in kept]
            assert all(ticket.rank() < other.rank() for other in live)
        elif act == "w" and waiting:
            queue.withdraw(waiting.popitem()[1])
        elif act == "x":
            for ticket, refusal in queue.pop_expired(now):
                del waiting[ticket.number]
                assert refusal.verdict is verdicts.Verdict.NOT_RUN
            assert all(now < t.leaves_s <= now + WAIT_S for t in waiting.values())
        assert len(queue) <= length
    left = {ticket.number for ticket, _ in queue.pop_expired(now + WAIT_S)}
    assert left == waiting.keys()
    assert queue.next_expiry() is None


@hypothesis.given(st.integers(0, 5), OFFERS)
def test_order_bound_and_exactly_one_exit(length, steps):
    drive(admissions.Admission(length, WAIT_S), length, steps)


def test_a_queue_in_order_of_arrival_is_caught():
    class Broken(admissions.Admission):
        def pop(self, now):
            first = min(self._waiting, key=lambda ticket: ticket.number)
            self._waiting.remove(first)
            return first

    steps = [(0, 1.0, "o"), (3, 1.0, "o"), (0, 1.0, "p")]
    with pytest.raises(AssertionError):
        drive(Broken(5, WAIT_S), 5, steps)


def test_a_queue_that_loses_displaced_requests_is_caught():
    class Broken(admissions.Admission):
        def offer(self, *args):
            ticket = super().offer(*args)
            self._displaced.clear()
            return ticket

    steps = [(0, 1.0, "o"), (3, 1.0, "o")]
    with pytest.raises(AssertionError):
        drive(Broken(1, WAIT_S), 1, steps)


def test_a_full_queue_displaces_its_last_request_for_a_better_one():
    """Unimportant requests would otherwise lock out important ones."""
    queue = admissions.Admission(1, WAIT_S)
    low = queue.offer(1, 5.0, 0.0)
    assert queue.offer(1, 6.0, 0.0).reason is verdicts.Reason.QUEUE_FULL
    high = queue.offer(9, 9.0, 0.0)
    assert queue.next_expiry() == 0.0
    assert [ticket for ticket, _ in queue.pop_expired(0.0)] == [low]
    assert queue.pop(0.0) is high


def test_a_request_that_cannot_be_answered_in_time_is_refused_early():
    """Waiting for an answer that comes too late wastes the caller's time."""
    queue = admissions.Admission(10, WAIT_S)
    for _ in range(3):
        queue.offer(5, 0.5, 0.0, service_s=0.1, interval_s=0.1)
    late = queue.offer(5, 0.5, 0.0, service_s=0.1, interval_s=0.11)
    assert late.reason is verdicts.Reason.DEADLINE
    urgent = queue.offer(9, 0.5, 0.0, service_s=0.1, interval_s=0.11)
    assert isinstance(urgent, admissions.Ticket)


def test_a_request_whose_deadline_passed_in_the_queue_gets_that_reason():
    queue = admissions.Admission(10, WAIT_S)
    queue.offer(5, 0.5, 0.0)
    queue.offer(5, 9.0, 0.0)
    reasons = [refusal.reason for _, refusal in queue.pop_expired(1.0)]
    assert reasons == [verdicts.Reason.DEADLINE, verdicts.Reason.QUEUE_FULL]
