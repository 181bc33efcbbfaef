"""Guards against requests to targets that leave or want no requests."""

import random

import pytest

from coltsfootchute import ids, verdicts
from coltsfootchute.balancing import pools, statements, target_sets, views

MAX_REST_S = 300.0


def make_targets(count, incarnation=1):
    domain = ids.FailureDomain("a")
    return [
        views.Target(
            ids.TargetId(f"t{n}"), f"{n}:1", domain, 4, incarnation=incarnation
        )
        for n in range(count)
    ]


def make_pool(count, stated=None, policy="expected_wait"):
    settings = target_sets.PoolSettings(policy=policy)
    name, domain = ids.ServiceName("s"), ids.FailureDomain("a")
    pool = pools.Pool(name, settings, domain, 1.0, random.Random(1), stated=stated)
    pool.update_targets(make_targets(count), 0.0)
    return pool


@pytest.mark.parametrize(
    ("values", "rest_s"),
    [
        (["2"], 2.0),
        (["0.75"], 0.75),
        (["0"], 0.0),
        (["1", "3", "x"], 3.0),
        (["9" * 40], MAX_REST_S),
        (["Thu, 01 Jan 1970 00:01:45 GMT"], 5.0),
        (["Thu, 01 Jan 1970 00:00:05 GMT"], 0.0),
        (["-1"], None),
        (["1e9"], None),
        (["nan"], None),
        (["\u0663"], None),
        (["9" * 1000], None),
        (["Thu, 99 Jan 1970 00:00:05 GMT"], None),
        (["Sun, 31 Dec 9999 23:59:59 GMT"], MAX_REST_S),
        ([""], None),
        ([], None),
    ],
)
def test_every_form_of_a_time_to_rest_is_read_or_ignored(values, rest_s):
    assert statements.parse_rest_s(values, 100.0, MAX_REST_S) == rest_s


@pytest.mark.parametrize("is_removed", [False, True])
def test_a_target_that_leaves_stays_out_until_its_next_incarnation(is_removed):
    """A feed that was older than the response made it a target again."""
    stated = statements.Statements()
    pool = make_pool(1, stated)
    (target,) = make_targets(1)
    assert stated.record_leaving(target) is True
    assert stated.record_leaving(target) is False
    pool.mark_draining(target)
    if is_removed:
        pool.update_targets([], 1.0)
    pool.update_targets(make_targets(1), 1.0)
    assert pool.select(1.0) is None
    assert not pool.is_serving
    pool.update_targets(make_targets(1, incarnation=2), 2.0)
    assert pool.select(2.0) is not None


@pytest.mark.parametrize("policy", ["expected_wait", "two_choices", "sampled"])
@pytest.mark.parametrize("is_removed", [False, True])
def test_a_target_at_rest_gets_one_request_first(policy, is_removed):
    stated = statements.Statements()
    pool = make_pool(1, stated, policy)
    (target,) = make_targets(1)
    stated.record_rest(target, 5.0)
    pool.rest(target, 5.0)
    pool.rest(target, 3.0)
    if is_removed:
        pool.update_targets([], 1.0)
        pool.update_targets(make_targets(1), 1.0)
    assert [pool.select(now) for now in (1.0, 3.5, 4.99)] == [None] * 3
    assert pool.is_serving
    token = pool.start_attempt(pool.select(5.01), 5.01)
    assert pool.select(5.02) is None
    pool.finish_attempt(token, views.Outcome.OK, 5.1)
    assert pool.select(5.11) is not None


def test_requests_are_refused_only_if_no_target_ends_its_rest_in_time():
    """They waited until their deadline, and their callers returned in one moment."""
    pool = make_pool(3)
    for number, target in enumerate(make_targets(3)):
        assert pool.rest_refusal(0.0, 1.0) is None
        pool.rest(target, 10.0 + number)
    assert pool.rest_refusal(0.0, 10.5) is None
    refusals = [pool.rest_refusal(0.0, 9.9) for _ in range(50)]
    returns_s = {refusal.retry_after_s for refusal in refusals}
    assert len(returns_s) == 50
    assert 10 < min(returns_s) < max(returns_s) <= 15
    assert {(r.verdict, r.reason) for r in refusals} == {
        (verdicts.Verdict.NOT_RUN, verdicts.Reason.TARGETS_AT_REST)
    }
    admitted = pool.admit(1, 2.0, 0.0)
    assert admitted.reason is verdicts.Reason.TARGETS_AT_REST


def test_the_number_of_statements_is_bounded(monkeypatch):
    monkeypatch.setattr(statements, "MAX_STATEMENTS", 2)
    stated = statements.Statements()
    targets = make_targets(3)
    for target in targets:
        stated.record_leaving(target)
    assert [stated.is_leaving(target) for target in targets] == [False, True, True]


def test_requests_do_not_wait_for_targets_at_rest():
    """While idle, their estimates decreased until the target in use seemed slow."""
    pool = make_pool(4)
    *resting, used = make_targets(4)
    for target in resting:
        pool.rest(target, 9.0)
    for step in range(200):
        now = step / 100
        view = pool.select(now)
        assert view is not None, f"waits at {now} s"
        assert view.target == used
        took_s = 0.005 if step % 20 == 0 else 0.001
        token = pool.start_attempt(view, now)
        pool.finish_attempt(token, views.Outcome.OK, now + took_s)
