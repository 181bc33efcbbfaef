"""Guards against an entry or a target that stops running and goes on later."""

import asyncio
import collections
import signal
import time

import aiohttp

from coltsfootchute.standins import clusters, reports, workloads
from tests.end_to_end import stages

CALLS = 60
READS = 24


async def ended(stage, workload, count):
    """Wait until more calls have ended."""
    enough = len(workload.outcomes) + count

    async def has():
        return len(workload.outcomes) >= enough

    await stage.until(has, f"{count} more calls")


async def drain(stage):
    """Drain t1; return the time in s at which an entry had accepted it."""

    async def is_drained():
        address = stage.cluster.target_addresses[0]
        status, _ = await stage.post(address, "/-/drain")
        return status == 200

    await stage.until(is_drained, "the drain accepted by e2")
    return time.time()


async def bound_of_drain(drained_s):
    """Wait until no entry may use a drained target any more."""
    await asyncio.sleep(drained_s + reports.DRAIN_BOUND_S - time.time())


def test_a_thawed_entry_runs_nothing_twice(tmp_path):
    # Guards against an entry that goes on with the claims and deadlines of the
    # time before it was frozen.
    async def scene(stage):
        cluster = stage.cluster
        frozen = stage.fleet.named("e1")
        async with workloads.Workload(cluster.apis, stage.session) as workload:
            await ended(stage, workload, CALLS)
            frozen.signal(signal.SIGSTOP)
            drained_s = await drain(stage)
            await bound_of_drain(drained_s)
            frozen.signal(signal.SIGCONT)
            await stage.until(stage.all_current, "e1 current again")
            await ended(stage, workload, CALLS)
            outcomes = await workload.stop()
        at_frozen = [
            a for o in outcomes for a in o.attempts if a.address == cluster.calls[0]
        ]
        assert any(a.ended_s - a.started_s > 3 for a in at_frozen), "nothing waited"
        findings = stage.judge(outcomes, drained_s)
        print(findings)
        assert findings.broken(killed=True) == [], findings

    stages.play(tmp_path, scene)


def test_a_thawed_entry_sends_nothing_to_a_target_that_drained_meanwhile(tmp_path):
    # Guards against requests that wait in the sockets of a frozen entry and are
    # read before the feed is.
    async def scene(stage):
        url = f"http://{stage.cluster.calls[0]}/{clusters.SERVICE}/items/1"

        async def read(session):
            async with session.get(url) as resp:
                await resp.read()
                return resp.status

        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await asyncio.gather(*(read(session) for _ in range(READS)))
            stage.fleet.named("e1").signal(signal.SIGSTOP)
            # On the connections that were opened before.
            waiting = [asyncio.create_task(read(session)) for _ in range(READS)]
            drained_s = await drain(stage)
            await bound_of_drain(drained_s)
            assert not any(task.done() for task in waiting), "it was not frozen"
            stage.fleet.named("e1").signal(signal.SIGCONT)
            found = await asyncio.gather(*waiting)
        assert found.count(200) > 0, found
        findings = stage.judge([], drained_s)
        print(collections.Counter(found), findings)
        assert findings.broken(killed=False) == [], findings

    stages.play(tmp_path, scene, targets=2)


def test_a_frozen_target_is_hedged_and_runs_no_order_twice(tmp_path):
    # Guards against reads that wait for a target that does not answer, and orders
    # that are sent to a second target because the first one is silent.
    async def scene(stage):
        cluster = stage.cluster

        async def hedges():
            values = [
                await stage.metric(api, 'coltsfootchute_hedges_total{service="demo"}')
                for api in cluster.apis
            ]
            return sum(values)

        async with workloads.Workload(
            cluster.apis, stage.session, resends=4
        ) as workload:
            await ended(stage, workload, 4 * CALLS)
            before = await hedges()
            stage.fleet.named("t1").signal(signal.SIGSTOP)

            async def is_hedged():
                return await hedges() > before

            await stage.until(is_hedged, "a hedge")
            await ended(stage, workload, 2 * CALLS)

            async def has_waited():
                return any(
                    a.reason == "target_timeout"
                    for o in workload.outcomes
                    for a in o.attempts
                )

            await stage.until(has_waited, "an order that its target did not answer")
            stage.fleet.named("t1").signal(signal.SIGCONT)
            outcomes = await workload.stop()
        findings = stage.judge(outcomes)
        print(findings, f"hedges {await hedges() - before}")
        assert findings.broken(killed=True) == [], findings

    stages.play(tmp_path, scene)
