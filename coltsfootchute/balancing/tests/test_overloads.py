"""Guards against decisions under overload that cost urgent or patient callers."""

import math
import random

import pytest

from coltsfootchute.balancing import response_times, returns, urgencies


def test_refused_callers_return_spread_and_urgent_ones_first():
    """Callers that return together find the service as full as before."""
    rng = random.Random(1)
    urgent, patient = (
        [returns.retry_after_s(objective_s, 0.1, rng) for _ in range(100)]
        for objective_s in (0.5, 4.0)
    )
    assert max(urgent) < min(patient)
    assert max(urgent) - min(urgent) > 0.1
    assert max(urgent) <= 0.5 / 3 * 2
    assert returns.retry_after_s(None, 0.1, rng) is None


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
