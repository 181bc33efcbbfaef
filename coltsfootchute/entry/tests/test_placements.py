"""Guards against requests that are sent to full, slow or unknown targets."""

import asyncio
import dataclasses
import math
import random
import types

import pytest

from coltsfootchute import balancing, ids
from coltsfootchute.balancing import placements, samples
from coltsfootchute.entry import placements as entry_placements
from coltsfootchute.entry import pools


def make_pool(*loads, slots=4):
    """Return a pool whose targets have just reported (requests, slowdown)."""
    settings = balancing.PoolSettings(policy="sampled", samples_per_s=100)
    domain = ids.FailureDomain("a")
    pool = balancing.Pool(ids.ServiceName("s"), settings, domain, 1, random.Random(1))
    targets = [
        balancing.Target(ids.TargetId(f"t{n}"), f"{n}:1", domain, slots)
        for n in range(len(loads))
    ]
    pool.update_targets(targets, 100.0)
    for view, (requests, slowdown) in zip(pool.all_views, loads, strict=True):
        view.record_load(balancing.LoadReport(requests, None, slowdown), 100.0)
    return pool


def test_a_target_that_would_become_full_gets_no_request():
    """Targets slow down when nearly all slots are in use, so queues never empty."""
    assert make_pool((3, 1)).select_with_room(100.0, 0.8) is None
    found = make_pool((3, 1), (2, 1)).select_with_room(100.0, 0.8)
    assert found.target.target_id == "t1"


def test_a_slow_target_is_skipped_while_there_is_time():
    pool = make_pool((0, 5.0), (2, 1.0))
    assert pool.select_with_room(100.0, 0.8, (), 2.0).target.target_id == "t1"
    alone = make_pool((0, 5.0))
    assert alone.select_with_room(100.0, 0.8, (), 2.0) is None
    assert alone.select_with_room(100.0, 0.8).target.target_id == "t0"


def test_sampled_load_counts_requests_since_the_report():
    """The load report in a response must not count its own request twice."""
    pool = make_pool((0, 1))
    view = pool.all_views[0]
    token = pool.start_attempt(view, 100.0)
    assert view.sampled_load() == 1
    pool.record_response(token, 100.01, balancing.LoadReport(3, None, 1.0))
    pool.finish_attempt(token, balancing.Outcome.OK, 100.01)
    assert view.sampled_load() == 2


def test_targets_that_cannot_be_probed_get_requests():
    """Requests must not be refused because no target responds to probes."""
    pool = make_pool((0, 1), (0, 1))
    for view in pool.all_views:
        view.last_report_s = 0.0
    assert pool.select_with_room(100.0, 0.8, (), 2.0) is not None


def test_an_entry_that_just_started_waits_for_the_first_reports():
    """Requests that waited for the routes must not be sent to random targets."""
    pool = make_pool((0, 1), (0, 1))
    for view in pool.all_views:
        view.last_report_s = -math.inf
    assert pool.probe_candidates(2, 100.0)
    assert pool.select_with_room(100.02, 0.8) is None
    # No target answered the probes in time.
    assert pool.select_with_room(101.5, 0.8) is not None


@pytest.mark.parametrize("max_slowdown", [2.0, math.inf])
def test_no_request_is_sent_to_a_target_without_a_fresh_report(max_slowdown):
    """Under overload, requests sent without a load report keep all targets full."""
    pool = make_pool((3, 1), (0, 1))
    unknown = pool.all_views[1]
    unknown.last_report_s = 0.0
    pool._samples.take(1000, 100.0)
    assert pool.select_with_room(100.0, 0.8, (), max_slowdown) is None
    unknown.record_load(balancing.LoadReport(0, None, 1.0), 100.0)
    assert pool.select_with_room(100.0, 0.8, (), max_slowdown) is unknown


def overloaded_call(pool, clock, *, objective_ms, deadline_s):
    """Return a call of a service whose targets are full."""
    return types.SimpleNamespace(
        service=types.SimpleNamespace(pool=pool),
        rule=types.SimpleNamespace(
            name="r", objective_ms=objective_ms, repeatable=True
        ),
        rank=(0, 0),
        age_s=lambda now: 0.0,
        deadline=clock() + deadline_s,
        tried_target_ids=[],
    )


@pytest.mark.parametrize(("load", "is_served"), [(1, True), (2, False)])
def test_a_late_request_uses_spare_slots_only(load, is_served):
    """Late requests must not use the slots of requests that can be in time."""

    async def scenario():
        clock = asyncio.get_running_loop().time
        pool = make_pool((4, 1))

        class Sampler:
            async def sample(self, service, deadline_s, tried, left=0.0):
                # Full until the objective can no longer be met.
                now = clock()
                requests = load if now > free_from_s else 4
                for view in pool.all_views:
                    view.record_load(balancing.LoadReport(requests, None, 1.0), now)
                return 0

        free_from_s = clock() + 0.1
        call = overloaded_call(pool, clock, objective_ms=50, deadline_s=5)
        if is_served:
            await entry_placements.Placer(Sampler()).place(call)
            assert clock() >= free_from_s
            return
        with pytest.raises(pools.RefusedError, match="had a free slot"):
            await entry_placements.Placer(Sampler()).place(call)

    asyncio.run(scenario())


def test_the_rate_of_probes_is_bounded():
    budget = samples.SampleBudget(10)
    granted = sum(budget.take(4, n / 100) for n in range(1000))
    assert granted <= 10 * (10 + 1)


@pytest.mark.parametrize(
    ("age_s", "expected"), [(0.0, 0.18), (0.15, 0.03), (1.0, 0.15)]
)
def test_the_wait_ends_when_the_objective_cannot_be_met(age_s, expected):
    """A request must not wait for a free slot until its answer is useless."""
    waiting = placements.Waiting(
        route="r",
        rank=(0, 0),
        objective_s=0.3,
        asked_s=100.0 - age_s,
        deadline_s=1e12,
    )
    found = placements.max_wait_s(waiting, 0.1, 100.0)
    assert found == pytest.approx(expected)


def test_a_request_waits_for_a_free_slot_and_is_refused_early():
    async def scenario():
        pool = make_pool((4, 1))

        class Sampler:
            async def sample(self, service, deadline_s, tried, left=0.0):
                for view in pool.all_views:
                    view.record_load(balancing.LoadReport(4, None, 1.0), clock())
                return 0

        clock = asyncio.get_running_loop().time
        call = overloaded_call(pool, clock, objective_ms=50, deadline_s=5)
        started = clock()
        with pytest.raises(pools.RefusedError, match="had a free slot"):
            await entry_placements.Placer(Sampler()).place(call)
        assert clock() - started < 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("is_answered", "has_failed", "is_hedged"),
    [(True, False, False), (False, False, True), (False, True, False)],
)
def test_a_hedge_is_sent_only_beside_a_target_that_has_stopped(
    is_answered, has_failed, is_hedged
):
    """A request with much work must not take a second slot, nor wait after an error."""

    async def scenario():
        clock = asyncio.get_running_loop().time
        pool = make_pool((1, 1), (0, 1))
        pool.update_settings(dataclasses.replace(pool._settings, placement="ranked"))
        first = pool.start_attempt(pool.all_views[0], clock())
        attempt = types.SimpleNamespace(message=None)

        class Sampler:
            async def sample(self, service, deadline_s, tried, left, also):
                assert also is first.view
                other = pool.all_views[1]
                other.record_load(balancing.LoadReport(0, None, 1.0), clock())
                if not is_answered:
                    also.probe_sent_s = clock() - 0.03
                if has_failed or is_answered:
                    attempt.message = "head"
                return 1

        call = overloaded_call(pool, clock, objective_ms=500, deadline_s=5)
        call.attempts = [attempt]
        call.tried_target_ids = ["t0"]
        if has_failed:
            attempt.message = "head"
        placer = entry_placements.Placer(Sampler())
        found = await asyncio.wait_for(placer.find_hedge(call, first), 2)
        assert (found is pool.all_views[1]) == is_hedged

    asyncio.run(scenario())
