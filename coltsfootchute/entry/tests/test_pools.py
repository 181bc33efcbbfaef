"""Guards against queued requests that never start, and wrong shares of slots."""

import asyncio
import gc
import json
import random
import time
import types

import pytest

from coltsfootchute import balancing, sections
from coltsfootchute.entry import pools
from coltsfootchute.entry.tests import fakes, test_declared

SECTION = {
    "rules": [
        {
            "name": "read",
            "methods": ["GET"],
            "path": "/**",
            "repeatable": True,
            "deadline_ms": 1000,
        }
    ]
}
PAUSE_S = 0.05
WAIT_S = 30.0
ROUTE = {"prefix": "/read/", "guarantee": "at_most_once", "timeout_s": 20}
ROUTE |= {"objective_s": 10}
STORE = {"services": ["store"], "slots": 1}
OTHER = {"prefix": "/other/", "shares": [{"service": "other"}]}


def make_service(**fields):
    pool = balancing.Pool(
        "s",
        balancing.PoolSettings("two_choices", 10, 64, WAIT_S),
        "fd-a",
        1.0,
        random.Random(1),
    )
    pool.update_targets([balancing.Target("t1", "127.0.0.1:1", "fd-a", 4)], 0.0)
    table = sections.RuleTable(sections.parse(json.dumps(SECTION | fields)))
    return pools.Service("s", table, pool)


async def admit_after_pause(service):
    now = time.monotonic()
    service.pool.all_views[0].paused_until_s = now + PAUSE_S
    async with asyncio.timeout(WAIT_S / 3):
        return await service.admit(5, now + WAIT_S, now)


def test_a_queued_request_starts_when_the_pause_of_a_target_ends():
    # No attempt is in flight, so the end of an attempt does not start the request.
    service = make_service()
    token = asyncio.run(admit_after_pause(service))
    assert token.view.target.target_id == "t1"


def test_slots_are_shared_among_the_entries_of_the_service():
    # If slots were shared among all entries, the entries of the service could together
    # use only a part of them.
    instances = {name: fakes.pb.Instance(name=name) for name in "abcdefgh"}
    services = pools.Services(types.SimpleNamespace(instances=instances), "fd-a")
    services.by_name = {"s": make_service(entries=2), "t": make_service()}
    services.update_slot_shares()
    limits = {n: s.pool.all_views[0].limit.maximum for n, s in services.by_name.items()}
    assert limits == {"s": 3, "t": 1}


def busy_target(may_answer):
    """Return a script of a target with one slot, whose requests wait for an event."""

    async def script(target, head, reader, writer):
        load = f"X-Load: {target.running},0,1\r\n{test_declared.SEALED}"
        if "/health" not in head:
            target.running = 1
            await may_answer.wait()
        return await test_declared.echo(headers=load)(target, head, reader, writer)

    return script


@pytest.mark.parametrize("is_declared_again", [False, True])
@pytest.mark.parametrize("uses_probes", [False, True])
def test_requests_that_wait_for_a_removed_service_obey_the_drain(
    uses_probes, is_declared_again
):
    """They were sent to targets that were draining, and lost with their exit."""

    async def scenario(harness):
        target, control = harness.targets[0], harness.control
        first = asyncio.ensure_future(send("1"))
        await fakes.wait_until(lambda: requests_at(target) == 1)
        waiting = asyncio.ensure_future(send("2"))
        service = harness.entry.services.by_name["store"]
        await fakes.wait_until(lambda: harness.entry._calls.in_progress == 2)
        control.declare(2, OTHER, services=("other",))
        await fakes.wait_until(lambda: "store" not in harness.entry.services.by_name)
        if is_declared_again:
            control.declare(3, ROUTE, OTHER, services=("store", "other"))
            await fakes.wait_until(lambda: harness.entry.services.by_name.get("store"))
            assert harness.entry.services.by_name["store"] is service
        control.target(target, **STORE, state=fakes.pb.TARGET_STATE_DRAINING)
        began_s = time.monotonic()
        answer = await waiting
        assert answer.refusal == "not_run no_target 503"
        assert time.monotonic() - began_s < 1
        may_answer.set()
        assert (await first).status == 200
        assert requests_at(target) == 1

    def requests_at(target):
        return sum("/health" not in head for head in target.heads)

    async def send(path):
        return await test_declared.send_request(
            harnesses[0], f"/read/{path}", "POST", b"one"
        )

    async def with_one_slot(harness):
        harness.targets[0].running = 0
        harnesses.append(harness)
        harness.control.target(harness.targets[0], **STORE)
        targets = harness.entry.view.targets
        await fakes.wait_until(lambda: targets["t0"].slots == 1)
        await scenario(harness)

    may_answer, harnesses = asyncio.Event(), []
    samples = {"per_target_s": 1000 if uses_probes else 0, "wait_s": 0.05}
    test_declared.run_declared(
        with_one_slot,
        busy_target(may_answer),
        routes=(ROUTE,),
        services=("store",),
        samples=samples,
    )


def test_a_removed_service_is_kept_only_while_calls_hold_it():
    async def scenario(harness):
        harness.control.target(harness.targets[0], **STORE)
        targets = harness.entry.view.targets
        await fakes.wait_until(lambda: targets["t0"].slots == 1)
        assert (await test_declared.send_request(harness)).status == 200
        harness.control.declare(2, OTHER, services=("other",))
        services = harness.entry.services
        await fakes.wait_until(lambda: "store" not in services.by_name)
        gc.collect()
        assert not list(services._retired)

    test_declared.run_declared(
        scenario, test_declared.echo(), routes=(ROUTE,), services=("store",)
    )
