"""Guards against a policy that sends work to the wrong target."""

import collections
import random

import pytest

from coltsfootchute import errors
from coltsfootchute.balancing import loads, policies, views


def make(count, latency_s=0.01):
    made = []
    for number in range(count):
        target = views.Target(str(number), "", "ab"[number % 2], 4)
        made.append(views.TargetView(target, 4, latency_s))
        made[-1].measured(latency_s, 0.0)
    return made


def shares(name, pool, count=2000):
    policy, rng = policies.POLICIES[name]("a"), random.Random(3)
    chosen = (policy.select(pool, 0.0, rng) for _ in range(count))
    return collections.Counter(view.target.target_id for view in chosen)


@pytest.mark.parametrize("name", policies.POLICIES.names())
def test_every_policy_handles_small_pools(name):
    policy, rng = policies.POLICIES[name]("a"), random.Random(1)
    assert policy.select([], 0.0, rng) is None
    (only,) = make(1)
    assert policy.select([only], 0.0, rng) is only


@pytest.mark.parametrize(
    "name", ["least_in_flight", "random", "round_robin", "two_choices"]
)
def test_equal_targets_get_equal_work(name):
    """Entries that agree on ties overload one target together."""
    counts = shares(name, make(8))
    assert len(counts) == 8 and max(counts.values()) < 1.5 * min(counts.values())


def test_ties_of_the_expected_wait_are_broken_at_random():
    counts = shares("expected_wait", make(8))
    assert set(counts) == {"0", "2", "4", "6"}
    assert max(counts.values()) < 1.5 * min(counts.values())


def test_a_near_target_is_left_once_its_wait_exceeds_the_distance():
    near, far = make(2)
    near.measured(0.01 + 4 * policies.DISTANCE_S, 0.0)
    assert set(shares("expected_wait", [near, far], 20)) == {"1"}


def test_expected_wait_avoids_straggler_own_load_and_load_of_others():
    for harm in (
        lambda view: view.measured(0.1, 0.0),
        lambda view: [view.started(0.0) for _ in range(3)],
        lambda view: view.record_load(loads.LoadReport(in_flight=8), 0.0),
    ):
        pool = make(4)
        harm(pool[0])
        assert "0" not in shares("expected_wait", pool, 100)


@pytest.mark.parametrize("name", ["two_choices", "least_in_flight"])
def test_the_less_loaded_target_is_chosen(name):
    pool = make(2)
    pool[0].started(0.0)
    assert set(shares(name, pool, 50)) == {"1"}


def test_an_unknown_policy_names_the_known_ones():
    with pytest.raises(errors.RegistryError, match="two_choices"):
        policies.POLICIES["fastest"]
