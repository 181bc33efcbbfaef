"""Guards against decisions under overload that cost urgent or patient callers."""

import math
import random

import pytest

from coltsfootchute import balancing, verdicts
from coltsfootchute.balancing import (
    placements,
    response_times,
    retry_times,
    urgencies,
    wait_outcomes,
)


def test_refused_callers_return_spread_and_urgent_ones_first():
    """Callers that return together find the service as full as before."""
    rng = random.Random(1)
    urgent, patient = (
        [retry_times.retry_after_s(objective_s, 0.1, rng) for _ in range(100)]
        for objective_s in (0.5, 4.0)
    )
    assert max(urgent) < min(patient)
    assert max(urgent) - min(urgent) > 0.1
    assert max(urgent) <= 0.5 / 3 * 2
    assert retry_times.retry_after_s(None, 0.1, rng) is None


@pytest.mark.parametrize(
    ("measured_s", "most_s", "expected"),
    [
        ({}, 0.2, 0.0),
        ({"uploads": [1.0] * 5}, 0.2, 0.2),
        ({"uploads": [1.0] * 5, "r": [0.1] * 2}, math.inf, 1.0),
        ({"uploads": [1.0] * 5, "r": [0.1, 0.1, 0.7]}, 0.05, 0.1),
    ],
)
def test_a_route_reserves_its_own_response_time(measured_s, most_s, expected):
    """Requests of a short route gave up for the response times of a long one."""
    times = response_times.ResponseTimes()
    for route, values in measured_s.items():
        for value in values:
            times.record(route, value)
    assert times.median_s("r", most_s) == expected


def test_only_recent_response_times_count():
    times = response_times.ResponseTimes()
    for n in range(200):
        times.record("r", 10.0 if n < 100 else 1.0)
    assert times.median_s("r") == 1.0
    assert len(times._sorted["r"]) == response_times.MAX_SAMPLES


@pytest.mark.parametrize(
    ("declared", "seen", "now", "expected"),
    [
        ([0, 3], {}, 1e9, (True, False)),
        ([3], {}, 0.0, (False, False)),
        ([], {(0, 3): 0.0}, 10.0, (True, False)),
        ([], {(0, 3): 0.0, (5, 3): 0.0}, 31.0, (False, False)),
        ([], {(5, 3): 0.0}, 10.0, (False, True)),
    ],
)
def test_ranks_of_routes_are_declared_and_those_of_workspaces_are_seen(
    declared, seen, now, expected
):
    """An entry that has seen no urgent request must still leave slots for them."""
    found = urgencies.Urgencies()
    found.declare(declared)
    for rank, seen_s in seen.items():
        found.record(rank, seen_s)
    rank = (3, 3)
    assert found.has_more_urgent(rank, now) == expected[0]
    assert found.has_less_urgent(rank, now) == expected[1]


def make_pool(load, slots=2, placement="ranked"):
    """Return a pool of one target that has just reported its load."""
    settings = balancing.PoolSettings(policy="sampled_near", placement=placement)
    pool = balancing.Pool("s", settings, "a", 1, random.Random(1))
    pool.update_targets([balancing.Target("t", "t:1", "a", slots)], 100.0)
    pool.urgencies.declare([0, 3])
    pool.all_views[0].record_load(balancing.LoadReport(load, None, 1.0), 100.0)
    return pool


def place(pool, rank, age_s=0.0):
    """Return the placement of a request with this rank."""
    asked_s = 100.0 - age_s
    waiting = placements.Waiting(str(rank), (rank, rank), 1.0, asked_s, 105.0)
    return placements.make(pool, waiting, 100.0)


@pytest.mark.parametrize(
    ("slots", "load", "objective", "whole_slots"),
    [
        (1, 0, True, True),
        (2, 0, True, True),
        (2, 1, False, True),
        (2, 2, False, False),
        (4, 2, True, True),
        (4, 3, False, False),
        (6, 4, True, True),
        (6, 5, False, False),
    ],
)
def test_both_slots_of_small_targets_are_used(slots, load, objective, whole_slots):
    """Half of the slots of such targets stayed free while callers were refused."""
    for name, expected in (("objective", objective), ("whole_slots", whole_slots)):
        found = place(make_pool(load, slots, name), 0).step(100.0)
        assert (found is not None) == expected, name


@pytest.mark.parametrize(
    ("slots", "load", "rank", "is_started"),
    [
        (2, 0, 3, True),
        (2, 1, 3, False),
        (2, 1, 0, True),
        (2, 2, 0, False),
        (6, 2, 3, True),
        (6, 3, 3, False),
        (6, 3, 0, True),
        (6, 4, 0, False),
    ],
)
def test_a_slot_of_each_target_is_left_to_urgent_requests(
    slots, load, rank, is_started
):
    """Bursts of patient requests took all slots from the urgent ones."""
    found = place(make_pool(load, slots), rank).step(100.0)
    assert isinstance(found, balancing.TargetView) == is_started


def test_an_urgent_request_of_the_same_entry_goes_first():
    """A free slot must not go to the request that happens to look first."""
    pool = make_pool(0)
    patient, urgent = place(pool, 3), place(pool, 0)
    assert patient.step(100.0) is None
    assert isinstance(urgent.step(100.0), balancing.TargetView)
    assert isinstance(patient.step(100.0), balancing.TargetView)
    ignored = place(pool, 0)
    del ignored
    assert isinstance(place(pool, 3).step(100.0), balancing.TargetView)


@pytest.mark.parametrize(("age_s", "goes_first"), [(0.25, True), (0.01, False)])
def test_a_caller_that_waited_as_asked_goes_before_new_callers(age_s, goes_first):
    """Callers that returned at once were served before those that waited."""
    pool = make_pool(0)
    new, returned = place(pool, 0), place(pool, 0, age_s)
    assert (new.step(100.0) is None) == goes_first
    assert isinstance(returned.step(100.0), balancing.TargetView)


@pytest.mark.parametrize(("is_in_vain", "limit_s"), [(True, 0.125), (False, 1.0)])
def test_a_request_is_refused_at_once_where_waiting_is_in_vain(is_in_vain, limit_s):
    """Callers waited for their whole objective before they heard of the overload."""
    pool = make_pool(2)
    for _ in range(30):
        pool.wait_outcomes.record("0", not is_in_vain)
    pool.rng.random = lambda: 0.5
    placement, now = place(pool, 0), 100.0
    while (found := placement.step(now)) is None:
        now += placements.PROBE_INTERVAL_S
        report = balancing.LoadReport(2, None, 1.0)
        pool.all_views[0].record_load(report, now)
    assert found.verdict is verdicts.Verdict.NOT_RUN
    assert found.retry_after_s > 0
    assert limit_s - 0.05 < now - 100.0 <= limit_s


def test_waiting_is_tried_again_after_an_overload():
    """A service that has recovered must not refuse requests for ever."""
    outcomes, rng = wait_outcomes.WaitOutcomes(), random.Random(1)
    for _ in range(30):
        outcomes.record("r", False)
    waits = sum(not outcomes.is_in_vain("r", rng) for _ in range(1000))
    assert 50 < waits < 200
    for _ in range(5):
        outcomes.record("r", True)
    assert not any(outcomes.is_in_vain("r", rng) for _ in range(100))
