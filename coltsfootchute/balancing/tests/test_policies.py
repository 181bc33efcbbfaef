"""Guards against a policy that selects a slow or loaded target."""

import collections
import random

import pytest

from coltsfootchute import errors
from coltsfootchute.balancing import loads, policies, views


def make_views(count, latency_s=0.01):
    result = []
    for number in range(count):
        target = views.Target(str(number), "", "ab"[number % 2], 4)
        result.append(views.TargetView(target, 4, latency_s))
        result[-1].record_response_time(latency_s, 0.0)
    return result


def selection_counts(name, pool, count=2000):
    policy, rng = policies.POLICIES[name]("a"), random.Random(3)
    chosen = (policy.select(pool, 0.0, rng) for _ in range(count))
    return collections.Counter(view.target.target_id for view in chosen)


@pytest.mark.parametrize("name", policies.POLICIES.names())
def test_every_policy_handles_small_pools(name):
    policy, rng = policies.POLICIES[name]("a"), random.Random(1)
    assert policy.select([], 0.0, rng) is None
    (only,) = make_views(1)
    assert policy.select([only], 0.0, rng) is only


@pytest.mark.parametrize(
    "name", ["least_in_flight", "random", "round_robin", "two_choices"]
)
def test_equal_targets_get_equal_work(name):
    """Guards against entries that break ties alike and so overload one target."""
    counts = selection_counts(name, make_views(8))
    assert len(counts) == 8 and max(counts.values()) < 1.5 * min(counts.values())


def test_ties_of_the_expected_wait_are_broken_at_random():
    counts = selection_counts("expected_wait", make_views(8))
    assert set(counts) == {"0", "2", "4", "6"}
    assert max(counts.values()) < 1.5 * min(counts.values())


def test_another_domain_is_selected_if_faster_by_more_than_the_delay():
    near, far = make_views(2)
    near.record_response_time(0.01 + 4 * policies.CROSS_DOMAIN_DELAY_S, 0.0)
    assert set(selection_counts("expected_wait", [near, far], 20)) == {"1"}


def test_expected_wait_avoids_slow_targets_own_load_and_load_of_others():
    for change in (
        lambda view: view.record_response_time(0.1, 0.0),
        lambda view: [view.start_attempt(0.0) for _ in range(3)],
        lambda view: view.record_load(loads.LoadReport(in_flight=8), 0.0),
    ):
        pool = make_views(4)
        change(pool[0])
        assert "0" not in selection_counts("expected_wait", pool, 100)


@pytest.mark.parametrize("name", ["two_choices", "least_in_flight"])
def test_the_less_loaded_target_is_chosen(name):
    pool = make_views(2)
    pool[0].start_attempt(0.0)
    assert set(selection_counts(name, pool, 50)) == {"1"}


def test_an_unknown_policy_names_the_known_ones():
    with pytest.raises(errors.RegistryError, match="two_choices"):
        policies.POLICIES["fastest"]
