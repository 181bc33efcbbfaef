"""Guards against requests sent where they must not go, or lost in a queue."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from coltsfootchute import verdicts
from coltsfootchute.balancing import policies, pools, target_sets, views

STATES = list(views.TargetState)
OUTCOMES = list(views.Outcome)
NUMBER = st.integers(0, 1000)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["targets", "drain", "admit", "admit", "finish", "fail"]),
        NUMBER,
        st.floats(0, 0.5),
    ),
    max_size=80,
)


def targets(count, states=(), **changes):
    return [
        views.Target(
            str(number),
            "",
            "abc"[number % 3],
            4,
            states[number] if number < len(states) else views.TargetState.SERVING,
            **changes,
        )
        for number in range(count)
    ]


def make(count=4, make_pool=pools.Pool, share=0.5, **settings):
    section = target_sets.PoolSettings(**settings)
    pool = make_pool("s", section, "a", share, random.Random(1))
    pool.update_targets(targets(count), 0.0)
    return pool


def is_eligible(view, now):
    usable = view.is_serving() or view.is_suspect()
    return usable and not view.is_ejected(now) and view.has_room(now)


def check(pool, now):
    """Check what must hold between any two calls."""
    in_use = [v for v in pool.all_views if v.is_serving() or v.is_suspect()]
    chosen = pool.select(now)
    assert 2 * sum(view.is_ejected(now) for view in in_use) <= len(in_use)
    assert all(1 <= v.limit.current() <= v.limit.share for v in in_use)
    eligible = [view for view in in_use if is_eligible(view, now)]
    assert chosen is None or chosen in eligible
    if chosen is not None and chosen.is_suspect():
        assert not any(view.is_serving() for view in eligible)
    if eligible and not pool._policy.waits_for_fast:
        assert chosen is not None
    return max(sum(view.is_ejected(now) for view in in_use), 0)


def drive(pool, steps):
    """Run a sequence; return the largest number of ejected targets seen."""
    now, tokens, waiting, ejected = 0.0, [], {}, 0
    for act, number, wait_s in steps:
        now += wait_s
        if act == "targets":
            rng = random.Random(number)
            states = [rng.choice(STATES) for _ in range(number % 9)]
            pool.update_targets(targets(number % 9, states, incarnation=0), now)
        elif act == "drain":
            pool.mark_draining(str(number % 9))
        elif act == "admit":
            admitted = pool.admit(number % 3, now + 1, now)
            if isinstance(admitted, views.TargetView):
                tokens.append(pool.start_attempt(admitted, now))
            elif not isinstance(admitted, verdicts.Refusal):
                waiting[admitted.number] = admitted
        elif tokens:
            token = tokens.pop(number % len(tokens))
            outcome = OUTCOMES[number % len(OUTCOMES)]
            is_error = act == "fail"
            pool.finish_attempt(
                token, views.Outcome.ERROR if is_error else outcome, now
            )
        for grant in pool.start_queued(now):
            del waiting[grant.ticket.number]
            tokens.append(grant.token)
        for ticket, _ in pool.admission.pop_expired(now):
            del waiting[ticket.number]
        assert len(pool.admission) == len(waiting)
        ejected = max(ejected, check(pool, now))
    for token in tokens:
        pool.finish_attempt(token, views.Outcome.OK, now)
        pool.finish_attempt(token, views.Outcome.OK, now)
    assert all(token.view.in_flight == 0 for token in tokens)
    return ejected


@hypothesis.given(st.sampled_from(policies.POLICIES.names()), STEPS)
def test_selection_ejection_and_queue_hold_in_any_sequence(policy, steps):
    drive(make(8, policy=policy, queue_length=3), steps)


FAILURES = [("admit", 0, 0.001), ("fail", 0, 0.001)] * 80


def test_failures_reach_the_bound_of_ejections():
    """The property above means nothing if no target is ever ejected."""
    assert drive(make(8, policy="random"), FAILURES) == 4


def test_an_unbounded_ejection_is_caught():
    class Broken(pools.Pool):
        def _failed(self, token, outcome, now):
            token.view.eject(now)

    with pytest.raises(AssertionError):
        drive(make(8, Broken), FAILURES)


def test_a_pool_that_shrinks_around_ejected_targets_is_caught():
    class Broken(pools.Pool):
        def _restore_excess(self, now):
            pass

    steps = [*FAILURES, ("targets", 4, 0.0)]
    states = [*FAILURES, *(("drain", number, 0.0) for number in range(8))]
    for shrinking in (steps, states):
        drive(make(8, policy="random"), shrinking)
    with pytest.raises(AssertionError):
        drive(make(8, Broken, policy="random"), states)


def test_selection_of_a_draining_target_is_caught():
    class Broken(pools.Pool):
        def _eligible(self, now, exclude):
            return self.all_views

    steps = [("drain", number, 0.0) for number in range(7)]
    drive(make(8, policy="random"), steps)
    with pytest.raises(AssertionError):
        drive(make(8, Broken, policy="random"), steps)


def test_suspect_targets_are_the_last_resort():
    pool = make(0)
    states = [views.TargetState.SERVING, views.TargetState.SUSPECT]
    pool.update_targets(targets(2, states), 0.0)
    assert pool.select(0.0).target.target_id == "0"
    assert pool.select(0.0, exclude={"0"}).target.target_id == "1"
    assert pool.select(0.0, exclude={"0", "1"}) is None


def test_a_drain_ends_with_the_next_incarnation_only():
    """A repeated feed message must not send new work to a draining target."""
    pool = make(1)
    pool.mark_draining("0")
    pool.update_targets(targets(1), 0.0)
    assert pool.select(0.0) is None
    pool.update_targets(targets(1, incarnation=1), 0.0)
    assert pool.select(0.0) is not None


def test_a_hedge_goes_to_another_failure_domain():
    """A fault of the domain would otherwise hit both attempts."""
    pool, kind = make(7), views.AttemptKind.HEDGE
    chosen = {pool.select(0.0, {"0"}, kind).target.target_id for _ in range(50)}
    assert chosen.isdisjoint({"0", "3", "6"})


def test_a_new_request_does_not_overtake_the_queue():
    pool = make(1, share=0.125)
    token = pool.start_attempt(pool.admit(1, 9.0, 0.0), 0.0)
    ticket = pool.admit(1, 9.0, 0.0)
    token.view.limit.set_maximum(4)
    assert not isinstance(pool.admit(1, 9.0, 0.01), views.TargetView)
    assert pool.start_queued(0.02)[0].ticket is ticket


def test_a_hedge_does_not_take_a_target_from_a_waiting_request():
    pool = make(1, share=0.125)
    pool.start_attempt(pool.admit(1, 9.0, 0.0), 0.0)
    pool.admit(1, 9.0, 0.0)
    assert not pool.may_hedge()
    assert pool.may_retry()


@pytest.mark.parametrize("state", [None, views.TargetState.DRAINING])
def test_a_pool_without_targets_refuses_at_once(state):
    """Such a request would wait in the queue for nothing."""
    pool = make(0)
    pool.update_targets(targets(2, [state, state]) if state else [], 0.0)
    refusal = pool.admit(1, 9.0, 0.0)
    assert refusal.reason is verdicts.Reason.NO_TARGET
    assert refusal.verdict is verdicts.Verdict.NOT_RUN


def make_with_straggler(states=()):
    pool = make(3, share=0.125)
    for _ in range(100):
        view = pool.all_views[0]
        pool.finish_attempt(pool.start_attempt(view, 0.0), views.Outcome.OK, 0.01)
    pool.update_targets(targets(3, states), 0.01)
    for view in pool.all_views:
        view.measured(0.01, 0.01)
    pool.all_views[0].unfinished(0.2, 0.01)
    return pool, pool.all_views[0], pool.all_views[1:]


def test_requests_wait_for_a_fast_target_while_one_works():
    """A straggler that is free is slower than a short wait for another."""
    pool, slow, fast = make_with_straggler()
    tokens = [pool.start_attempt(view, 0.01) for view in fast]
    assert pool.select(0.011) is None
    assert pool.select(0.011, kind=views.AttemptKind.RETRY) is slow
    pool.finish_attempt(tokens[0], views.Outcome.OK, 0.02)
    assert pool.select(0.02) is fast[0]


def test_requests_do_not_wait_for_targets_that_take_no_work():
    """Fast targets that are suspect would otherwise block the only serving one."""
    suspect = views.TargetState.SUSPECT
    pool, slow, _ = make_with_straggler([views.TargetState.SERVING, suspect, suspect])
    assert pool.select(0.011) is slow


@pytest.mark.parametrize("outcome", [views.Outcome.SHED, views.Outcome.ERROR])
def test_a_waiting_request_starts_when_a_closed_target_opens_again(outcome):
    """Without a wake-up it would wait for a response that nobody expects."""
    pool = make(2, share=0.125)
    for view in pool.all_views:
        view.measured(0.01, 0.0)
    assert pool.next_wake(0.0) is None
    for _ in range(views.FAST_ERRORS):
        view = pool.all_views[0]
        pool.finish_attempt(pool.start_attempt(view, 0.0), outcome, 0.001)
    pool.start_attempt(pool.all_views[1], 0.89)
    if outcome is views.Outcome.SHED:
        view.paused_until_s = 1.001
    ticket = pool.admit(1, 9.0, 0.9)
    assert pool.start_queued(0.95) == []
    assert pool.next_wake(0.95) == 1.001
    assert [grant.ticket for grant in pool.start_queued(1.001)] == [ticket]


def test_a_request_that_waits_for_a_fast_target_is_looked_at_again():
    """Only time lowers the estimate of an idle target, and no event tells."""
    pool = make(2, share=0.125)
    for view in pool.all_views:
        view.measured(0.01, 0.0)
    pool.start_attempt(pool.all_views[1], 0.0)
    ticket = pool.admission.offer(1, 9.0, 0.0, 0.01, 0.01)
    assert pool.next_wake(0.0) == pools.SLOW_WAIT_S
    assert [grant.ticket for grant in pool.start_queued(pools.SLOW_WAIT_S)] == [ticket]


def test_a_target_that_sheds_gets_a_pause():
    """With the limit at 1, an entry would send the next request at once."""
    pool = make(1)
    view = pool.all_views[0]
    view.measured(0.01, 0.0)
    pool.finish_attempt(pool.start_attempt(view, 0.0), views.Outcome.SHED, 0.001)
    assert pool.select(0.0015) is None
    assert pool.select(0.0175) is view


@pytest.mark.parametrize("outcome", [views.Outcome.CANCELLED, views.Outcome.TIMEOUT])
def test_a_straggler_whose_attempt_is_given_up_shows_as_slow(outcome):
    """Hedges that answer in its place would otherwise hide it."""
    pool = make(1)
    view = pool.all_views[0]
    view.measured(0.01, 0.0)
    pool.finish_attempt(pool.start_attempt(view, 0.0), outcome, 0.08)
    assert view.latency_s(0.08) == pytest.approx(0.08)


def test_measurements_survive_a_change_of_the_section():
    pool = make(2)
    pool.all_views[0].measured(0.3, 0.0)
    pool.update_settings(target_sets.PoolSettings("two_choices", 0.0, 1, 0.1))
    pool.update_share(1.0)
    assert pool.all_views[0].latency_s(0.0) == 0.3
    assert pool.all_views[0].limit.current() == 4
    assert not pool.may_retry()
