"""Guards against losses of callers when a service has more requests than slots."""

import contextlib
import functools
from unittest import mock

import pytest

from benchmarks import overloads
from coltsfootchute.balancing import (
    placements,
    response_times,
    second_attempts,
    urgencies,
    wait_outcomes,
)

_MEDIAN_S = response_times.ResponseTimes.median_s
BROKEN = {
    "rank_ignored": [
        (urgencies.Urgencies, "has_more_urgent", lambda *_: False),
        (urgencies.Urgencies, "has_less_urgent", lambda *_: False),
    ],
    "reserve_of_the_service": [
        (response_times.ResponseTimes, "median_s", lambda s, *_: _MEDIAN_S(s, ""))
    ],
    "no_reserve": [(response_times.ResponseTimes, "median_s", lambda *_: 0.0)],
    "late_first": [(placements, "MIN_ROOM_FOR_LATE", 0.0)],
    "late_refusal": [(wait_outcomes.WaitOutcomes, "is_in_vain", lambda *_: False)],
    "hedges_always": [(second_attempts, "gains", lambda *_: True)],
    "no_second_slot": [
        (response_times, "useful_slots", response_times.uncrowded_slots)
    ],
}


# Value of a route over that with the placement of before; a tolerance where nothing
# may change.
GAINS = [
    ("payouts", "burst_uploads", "withdrawals", 0.3),
    ("payouts", "burst_uploads", "uploads", 0.0),
    ("reads", "1", "reads", 0.2),
    ("ranked_reads", "1", "workspace0", 0.4),
    ("ranked_reads", "1", "workspace2", 0.1),
    ("smallest", "0.7", "dear", 0.2),
    ("smallest", "1", "dear", 0.15),
    ("existing4", "0.9", "short", 0.1),
    ("existing4", "0.9", "long", 0.0),
    ("existing6", "0.9", "only", 0.1),
    ("existing4", "0.5", "short", -0.015),
    ("existing4", "0.5", "long", -0.015),
    ("existing6", "0.5", "only", -0.015),
]
# Value that a route loses at least with a broken rule.
LOSSES = [
    ("payouts", "burst_uploads", "withdrawals", "rank_ignored", 0.25),
    ("payouts", "burst_uploads", "withdrawals", "reserve_of_the_service", 0.15),
    ("payouts", "burst_uploads", "withdrawals", "no_second_slot", 0.2),
    ("ranked_reads", "1", "workspace0", "rank_ignored", 0.15),
    ("reads", "1", "reads", "no_reserve", 0.06),
    ("smallest", "1", "dear", "late_first", 0.05),
    ("smallest", "0.7", "dear", "hedges_always", 0.05),
]


@functools.cache
def play_rows(service, load, placement, broken=""):
    """Return the rows of a short run with fewer entries."""
    case = overloads.Case(service, load, placement, duration_s=8, scale=0.4)
    with contextlib.ExitStack() as stack:
        for owner, name, value in BROKEN.get(broken, ()):
            stack.enter_context(mock.patch.object(owner, name, value))
        return overloads.run_case(case)


def play(*case):
    """Return the value that each route earned, 0 to 1."""
    return {row["route"]: row["value"] for row in play_rows(*case)}


@pytest.mark.parametrize(("service", "load", "route", "gain"), GAINS)
def test_callers_get_more_than_before(service, load, route, gain):
    """Under overload urgent routes earned least, and no route may earn less now."""
    before = play(service, load, "objective")[route]
    assert play(service, load, "ranked")[route] >= before + gain


@pytest.mark.parametrize(("service", "load", "route", "broken", "loss"), LOSSES)
def test_each_rule_is_needed(service, load, route, broken, loss):
    """A rule that is not in force must show in what callers get."""
    value = play(service, load, "ranked")[route]
    assert play(service, load, "ranked", broken)[route] <= value - loss


def test_refusals_come_early_under_lasting_overload():
    """Callers that can't be served must hear so within an eighth of the objective."""

    def early_part(placement, broken=""):
        rows = play_rows("reads", "1.2", placement, broken)[1:]
        quick, slow = (sum(row[name] for row in rows) for name in ("quick", "slow"))
        return quick / (quick + slow)

    found = early_part("ranked")
    assert found >= early_part("objective") + 0.4
    assert found >= early_part("ranked", "late_refusal") + 0.08
