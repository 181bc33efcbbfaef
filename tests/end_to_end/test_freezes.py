"""Guards against failures while an entry or a target is frozen, and after its thaw."""

import asyncio
import collections
import signal
import time

import aiohttp

from coltsfootchute.standins import clusters, reports, workloads
from tests.end_to_end import harnesses

CALLS = 60
READS = 24


async def wait_for_calls(harness, workload, count):
    """Wait until `count` more calls have ended."""
    wanted = len(workload.outcomes) + count

    async def have_ended():
        return len(workload.outcomes) >= wanted

    await harness.until(have_ended, f"{count} more calls")


async def drain(harness):
    """Drain t1; return the Unix time in s at which an entry had accepted it."""

    async def is_drained():
        address = harness.cluster.target_addresses[0]
        status, _ = await harness.post(address, "/-/drain")
        return status == 200

    await harness.until(is_drained, "the drain accepted by e2")
    return time.time()


async def wait_for_drain_bound(drained_s):
    """Wait until no entry may send requests to a drained target any more."""
    await asyncio.sleep(drained_s + reports.DRAIN_GRACE_S - time.time())


def test_a_thawed_entry_runs_no_request_twice(tmp_path):
    # Guards against an entry that continues, after its thaw, with claims and deadlines
    # from before the freeze.
    async def scenario(harness):
        cluster = harness.cluster
        frozen = harness.fleet.get_process("e1")
        async with workloads.Workload(cluster.apis, harness.session) as workload:
            await wait_for_calls(harness, workload, CALLS)
            frozen.signal(signal.SIGSTOP)
            drained_s = await drain(harness)
            await wait_for_drain_bound(drained_s)
            frozen.signal(signal.SIGCONT)
            await harness.until(harness.all_current, "e1 current again")
            await wait_for_calls(harness, workload, CALLS)
            outcomes = await workload.stop()
        at_frozen = [
            a for o in outcomes for a in o.attempts if a.address == cluster.calls[0]
        ]
        assert any(a.ended_s - a.started_s > 3 for a in at_frozen), (
            "no request waited at the frozen entry"
        )
        findings = harness.check_calls(outcomes, drained_s)
        print(findings)
        assert findings.violations(killed=True) == [], findings

    harnesses.run_scenario(tmp_path, scenario)


def test_a_thawed_entry_sends_nothing_to_a_target_that_drained_meanwhile(tmp_path):
    # Guards against requests that wait in the sockets of a frozen entry and that it
    # reads, after its thaw, before it has read the feed.
    async def scenario(harness):
        url = f"http://{harness.cluster.calls[0]}/{clusters.SERVICE}/items/1"

        async def read(session):
            async with session.get(url) as resp:
                await resp.read()
                return resp.status

        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await asyncio.gather(*(read(session) for _ in range(READS)))
            harness.fleet.get_process("e1").signal(signal.SIGSTOP)
            # They use the connections that were opened before.
            waiting = [asyncio.create_task(read(session)) for _ in range(READS)]
            drained_s = await drain(harness)
            await wait_for_drain_bound(drained_s)
            assert not any(task.done() for task in waiting), "e1 was not frozen"
            harness.fleet.get_process("e1").signal(signal.SIGCONT)
            codes = await asyncio.gather(*waiting)
        assert codes.count(200) > 0, codes
        findings = harness.check_calls([], drained_s)
        print(collections.Counter(codes), findings)
        assert findings.violations(killed=False) == [], findings

    harnesses.run_scenario(tmp_path, scenario, targets=2)


def test_a_frozen_target_is_hedged_and_runs_no_order_twice(tmp_path):
    # Guards against reads that wait for a target that does not answer, and against
    # orders that are sent to a second target because the first does not answer.
    async def scenario(harness):
        cluster = harness.cluster

        async def hedges():
            values = [
                await harness.metric(api, 'coltsfootchute_hedges_total{service="demo"}')
                for api in cluster.apis
            ]
            return sum(values)

        async with workloads.Workload(
            cluster.apis, harness.session, max_resends=4
        ) as workload:
            await wait_for_calls(harness, workload, 4 * CALLS)
            before = await hedges()
            harness.fleet.get_process("t1").signal(signal.SIGSTOP)

            async def is_hedged():
                return await hedges() > before

            await harness.until(is_hedged, "a hedge")
            await wait_for_calls(harness, workload, 2 * CALLS)

            async def has_waited():
                return any(
                    a.reason == "target_timeout"
                    for o in workload.outcomes
                    for a in o.attempts
                )

            await harness.until(has_waited, "an order that its target did not answer")
            harness.fleet.get_process("t1").signal(signal.SIGCONT)
            outcomes = await workload.stop()
        findings = harness.check_calls(outcomes)
        print(findings, f"hedges {await hedges() - before}")
        assert findings.violations(killed=True) == [], findings

    harnesses.run_scenario(tmp_path, scenario)
