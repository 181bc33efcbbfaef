"""Guards against requests to ineligible targets and requests lost in the queue."""

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


def make_targets(count, states=(), **changes):
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


def make_pool_of(count=4, make_pool=pools.Pool, share=0.5, **settings):
    section = target_sets.PoolSettings(**settings)
    pool = make_pool("s", section, "a", share, random.Random(1))
    pool.update_targets(make_targets(count), 0.0)
    return pool


def is_eligible(view, now):
    usable = view.is_serving() or view.is_suspect()
    return usable and not view.is_ejected(now) and view.has_room(now)


def check_invariants(pool, now):
    """Check the invariants of a pool; return the number of ejected targets."""
    in_use = [v for v in pool.all_views if v.is_serving() or v.is_suspect()]
    chosen = pool.select(now)
    assert 2 * sum(view.is_ejected(now) for view in in_use) <= len(in_use)
    assert all(1 <= v.limit.current() <= v.limit.maximum for v in in_use)
    eligible = [view for view in in_use if is_eligible(view, now)]
    assert chosen is None or chosen in eligible
    if chosen is not None and chosen.is_suspect():
        assert not any(view.is_serving() for view in eligible)
    if eligible and not pool._policy.waits_for_fast:
        assert chosen is not None
    return max(sum(view.is_ejected(now) for view in in_use), 0)


def run_pool(pool, steps):
    """Run operations on a pool; return the largest number of ejected targets."""
    now, tokens, waiting, ejected = 0.0, [], {}, 0
    for operation, number, wait_s in steps:
        now += wait_s
        if operation == "targets":
            rng = random.Random(number)
            states = [rng.choice(STATES) for _ in range(number % 9)]
            pool.update_targets(make_targets(number % 9, states, incarnation=0), now)
        elif operation == "drain":
            for view in pool.all_views:
                if view.target.target_id == str(number % 9):
                    pool.mark_draining(view.target)
        elif operation == "admit":
            admitted = pool.admit(number % 3, now + 1, now)
            if isinstance(admitted, views.TargetView):
                tokens.append(pool.start_attempt(admitted, now))
            elif not isinstance(admitted, verdicts.Refusal):
                waiting[admitted.sequence_number] = admitted
        elif tokens:
            token = tokens.pop(number % len(tokens))
            outcome = OUTCOMES[number % len(OUTCOMES)]
            is_error = operation == "fail"
            pool.finish_attempt(
                token, views.Outcome.ERROR if is_error else outcome, now
            )
        for grant in pool.start_queued(now):
            del waiting[grant.ticket.sequence_number]
            tokens.append(grant.token)
        for ticket, _ in pool.admission.pop_expired(now):
            del waiting[ticket.sequence_number]
        assert len(pool.admission) == len(waiting)
        ejected = max(ejected, check_invariants(pool, now))
    for token in tokens:
        pool.finish_attempt(token, views.Outcome.OK, now)
        pool.finish_attempt(token, views.Outcome.OK, now)
    assert all(token.view.in_flight == 0 for token in tokens)
    return ejected


@hypothesis.given(st.sampled_from(policies.POLICIES.names()), STEPS)
def test_pool_invariants_hold_in_any_sequence(policy, steps):
    run_pool(make_pool_of(8, policy=policy, queue_length=3), steps)


FAILURES = [("admit", 0, 0.001), ("fail", 0, 0.001)] * 80


def test_failures_eject_half_of_the_targets():
    """Guards against a property test whose sequences eject no target."""
    assert run_pool(make_pool_of(8, policy="random"), FAILURES) == 4


def test_the_check_detects_unbounded_ejections():
    class Broken(pools.Pool):
        def _record_failure(self, token, outcome, now):
            token.view.eject(now)

    with pytest.raises(AssertionError):
        run_pool(make_pool_of(8, Broken), FAILURES)


def test_the_check_detects_excess_ejections_after_targets_leave():
    class Broken(pools.Pool):
        def _restore_excess(self, now):
            pass

    update_steps = [*FAILURES, ("targets", 4, 0.0)]
    drain_steps = [*FAILURES, *(("drain", number, 0.0) for number in range(8))]
    for steps in (update_steps, drain_steps):
        run_pool(make_pool_of(8, policy="random"), steps)
    with pytest.raises(AssertionError):
        run_pool(make_pool_of(8, Broken, policy="random"), drain_steps)


def test_the_check_detects_selection_of_a_draining_target():
    class Broken(pools.Pool):
        def _eligible(self, now, exclude):
            return self.all_views

    steps = [("drain", number, 0.0) for number in range(7)]
    run_pool(make_pool_of(8, policy="random"), steps)
    with pytest.raises(AssertionError):
        run_pool(make_pool_of(8, Broken, policy="random"), steps)


def test_suspect_targets_are_selected_only_without_a_serving_one():
    pool = make_pool_of(0)
    states = [views.TargetState.SERVING, views.TargetState.SUSPECT]
    pool.update_targets(make_targets(2, states), 0.0)
    assert pool.select(0.0).target.target_id == "0"
    assert pool.select(0.0, exclude={"0"}).target.target_id == "1"
    assert pool.select(0.0, exclude={"0", "1"}) is None


def test_a_drain_ends_with_the_next_incarnation_only():
    """Guards against a repeated feed message that ends a drain."""
    pool = make_pool_of(1)
    pool.mark_draining(pool.all_views[0].target)
    pool.update_targets(make_targets(1), 0.0)
    assert pool.select(0.0) is None
    pool.update_targets(make_targets(1, incarnation=1), 0.0)
    assert pool.select(0.0) is not None


def test_a_hedge_goes_to_another_failure_domain():
    """Guards against both attempts in one failure domain, which may fail as a whole."""
    pool, kind = make_pool_of(7), views.AttemptKind.HEDGE
    chosen = {pool.select(0.0, {"0"}, kind).target.target_id for _ in range(50)}
    assert chosen.isdisjoint({"0", "3", "6"})


def test_a_new_request_is_not_sent_before_queued_ones():
    pool = make_pool_of(1, share=0.125)
    token = pool.start_attempt(pool.admit(1, 9.0, 0.0), 0.0)
    ticket = pool.admit(1, 9.0, 0.0)
    token.view.limit.set_maximum(4)
    assert not isinstance(pool.admit(1, 9.0, 0.01), views.TargetView)
    assert pool.start_queued(0.02)[0].ticket is ticket


def test_a_hedge_does_not_take_a_target_from_a_waiting_request():
    pool = make_pool_of(1, share=0.125)
    pool.start_attempt(pool.admit(1, 9.0, 0.0), 0.0)
    pool.admit(1, 9.0, 0.0)
    assert not pool.may_hedge()
    assert pool.may_retry()


@pytest.mark.parametrize("state", [None, views.TargetState.DRAINING])
def test_a_pool_without_targets_refuses_at_once(state):
    """Guards against a request that is queued although no target can run it."""
    pool = make_pool_of(0)
    pool.update_targets(make_targets(2, [state, state]) if state else [], 0.0)
    refusal = pool.admit(1, 9.0, 0.0)
    assert refusal.reason is verdicts.Reason.NO_TARGET
    assert refusal.verdict is verdicts.Verdict.NOT_RUN


def make_with_straggler(states=()):
    pool = make_pool_of(3, share=0.125)
    for _ in range(100):
        view = pool.all_views[0]
        pool.finish_attempt(pool.start_attempt(view, 0.0), views.Outcome.OK, 0.01)
    pool.update_targets(make_targets(3, states), 0.01)
    for view in pool.all_views:
        view.record_response_time(0.01, 0.01)
    pool.all_views[0].record_abandoned(0.2, 0.01)
    return pool, pool.all_views[0], pool.all_views[1:]


def test_requests_wait_for_a_fast_target_while_one_works():
    """Guards against a request to an idle straggler.

    The straggler would take longer than a short wait for a fast target.
    """
    pool, slow, fast = make_with_straggler()
    tokens = [pool.start_attempt(view, 0.01) for view in fast]
    assert pool.select(0.011) is None
    assert pool.select(0.011, kind=views.AttemptKind.RETRY) is slow
    pool.finish_attempt(tokens[0], views.Outcome.OK, 0.02)
    assert pool.select(0.02) is fast[0]


def test_requests_do_not_wait_for_targets_that_take_no_work():
    """Guards against a request that waits for suspect targets, which get no work."""
    suspect = views.TargetState.SUSPECT
    pool, slow, _ = make_with_straggler([views.TargetState.SERVING, suspect, suspect])
    assert pool.select(0.011) is slow


@pytest.mark.parametrize("outcome", [views.Outcome.SHED, views.Outcome.ERROR])
def test_a_queued_request_starts_when_a_pause_or_ejection_ends(outcome):
    """Guards against a queued request that no event releases.

    No attempt is in flight, so only `next_wake` can cause the next selection.
    """
    pool = make_pool_of(2, share=0.125)
    for view in pool.all_views:
        view.record_response_time(0.01, 0.0)
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


def test_selection_is_repeated_for_a_request_that_waits_for_a_fast_target():
    """Guards against a queued request that waits although an estimate has decayed.

    The estimate of an idle target decreases with time, without an event.
    """
    pool = make_pool_of(2, share=0.125)
    for view in pool.all_views:
        view.record_response_time(0.01, 0.0)
    pool.start_attempt(pool.all_views[1], 0.0)
    ticket = pool.admission.offer(1, 9.0, 0.0, 0.01, 0.01)
    assert pool.next_wake(0.0) == pools.RESELECT_INTERVAL_S
    assert [grant.ticket for grant in pool.start_queued(pools.RESELECT_INTERVAL_S)] == [
        ticket
    ]


def test_a_target_that_sheds_gets_no_requests_during_a_pause():
    """Guards against a request sent directly after a shed, with the limit at 1."""
    pool = make_pool_of(1)
    view = pool.all_views[0]
    view.record_response_time(0.01, 0.0)
    pool.finish_attempt(pool.start_attempt(view, 0.0), views.Outcome.SHED, 0.001)
    assert pool.select(0.0015) is None
    assert pool.select(0.0175) is view


@pytest.mark.parametrize("outcome", [views.Outcome.CANCELLED, views.Outcome.TIMEOUT])
def test_an_abandoned_attempt_raises_the_latency_estimate(outcome):
    """Guards against a straggler that is not detected because hedges answer for it."""
    pool = make_pool_of(1)
    view = pool.all_views[0]
    view.record_response_time(0.01, 0.0)
    pool.finish_attempt(pool.start_attempt(view, 0.0), outcome, 0.08)
    assert view.latency_s(0.08) == pytest.approx(0.08)


def test_new_settings_keep_the_measurements():
    pool = make_pool_of(2)
    pool.all_views[0].record_response_time(0.3, 0.0)
    pool.update_settings(target_sets.PoolSettings("two_choices", 0.0, 1, 0.1))
    pool.update_share(1.0)
    assert pool.all_views[0].latency_s(0.0) == 0.3
    assert pool.all_views[0].limit.current() == 4
    assert not pool.may_retry()
