"""Short soak runs, checks of their plans, and seeds that failed in the past."""

import pytest

from tests.end_to_end import harnesses
from tests.soak import link_callers, plans, runs

SIZES = plans.Sizes(faults=4, length_s=6.0)
PLANNED = plans.Sizes(faults=3, link_faults=4, planned=5, stop_s=3.0)
# Time for the start, the faults, the recovery and the resends of callers.
TIMEOUT_S = 300


def process(name):
    return name.rpartition(" ")[2]


def unusable(fault):
    """Return the processes that can not serve during a fault."""
    if fault.kind in ("kill", "pause", "stop"):
        return set(fault.names)
    return {process(name) for name in fault.names if name.startswith("back")}


@pytest.mark.parametrize("sizes", [plans.Sizes(), PLANNED])
def test_plans_leave_an_entry_and_half_of_the_targets(sizes):
    """Guards against plans that affect all processes, where calls may be lost."""
    for seed in range(200):
        plan = plans.draw(seed, sizes)
        assert plan == plans.draw(seed, sizes)
        for start in (fault.at_s for fault in plan):
            at_once = (unusable(f) for f in plan if f.is_on(start))
            names = set().union(*at_once)
            assert sum(name.startswith("t") for name in names) <= sizes.targets // 2
            assert sum(name.startswith("e") for name in names) < sizes.entries


def test_plans_have_each_fault_and_planned_work_that_overlaps():
    """Guards against kinds of faults that no plan contains."""
    drawn = [plans.draw(seed, PLANNED) for seed in range(200)]
    kinds = {fault.kind for plan in drawn for fault in plan}
    assert kinds == set(runs.FAULTS.names())
    assert any(
        stop.overlaps(other) and stop.names == other.names
        for plan in drawn
        for stop in plan
        for other in plan
        if stop.kind == "stop" and other.kind == "reload"
    )


@pytest.mark.timeout(TIMEOUT_S)
def test_a_short_soak_keeps_the_guarantees(tmp_path):
    """Guards against a series of faults that loses a change or repeats a run."""
    assert runs.run_seed(1, SIZES, tmp_path) == []


@pytest.mark.timeout(TIMEOUT_S)
def test_a_short_soak_of_stops_and_links_loses_no_request(tmp_path):
    """Guards against planned work during faults that cuts requests of callers."""
    sizes = plans.Sizes(
        faults=1, link_faults=3, planned=4, length_s=6.0, stop_s=PLANNED.stop_s
    )
    assert runs.run_seed(1, sizes, tmp_path) == []


@pytest.mark.timeout(TIMEOUT_S)
def test_the_soak_finds_requests_that_run_twice(tmp_path, monkeypatch):
    """Guards against a check that never fails: here each run is recorded twice."""
    recorded = harnesses.ClusterHarness.runs
    monkeypatch.setattr(
        harnesses.ClusterHarness, "runs", lambda harness: 2 * recorded(harness)
    )
    sizes = plans.Sizes(faults=1, length_s=1.0)
    problems = runs.run_seed(2, sizes, tmp_path)
    assert any(problem.startswith("run_twice") for problem in problems)


@pytest.mark.timeout(TIMEOUT_S)
def test_the_soak_finds_requests_that_end_without_an_answer(tmp_path, monkeypatch):
    """Guards against a check that never fails: here no fault explains a loss."""
    monkeypatch.setattr(link_callers.FaultLog, "may_explain", lambda *args: False)
    sizes = plans.Sizes(faults=0, link_faults=8, length_s=4.0)
    problems = runs.run_seed(3, sizes, tmp_path)
    assert any(problem.startswith("lost") for problem in problems)


@pytest.mark.timeout(TIMEOUT_S)
@pytest.mark.parametrize(
    "seed",
    [
        # The run did not end, because the editors of the soak lost their cancellation.
        1,
        # Revision 0 of a restarted entry counted as a step back.
        3,
        # A process was killed during its planned stop, and restarted although it was
        # running again.
        4,
    ],
)
def test_a_seed_that_failed_once_passes(tmp_path, seed):
    assert runs.run_seed(seed, plans.Sizes(), tmp_path) == []


@pytest.mark.timeout(TIMEOUT_S)
@pytest.mark.parametrize(
    "seed",
    [
        # SIGHUP ended a process that was about to end or had just started, and an
        # entry took longer to stop than its bound.
        101,
        102,
        # A request to a slow target kept an entry from stopping within its bound.
        103,
        # A request was cut that was sent during a stop, after a time without requests.
        104,
        # The stop waited for settlements beyond its bound, and once forever for a task
        # whose cancellation was lost.
        109,
    ],
)
def test_a_seed_of_planned_work_that_failed_once_passes(tmp_path, seed):
    assert runs.run_seed(seed, PLANNED, tmp_path) == []
