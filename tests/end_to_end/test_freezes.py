"""Guards against an entry or a target that stops running and goes on later."""

import signal
import time

from coltsfootchute.standins import reports, workloads
from tests.end_to_end import stages

CALLS = 60


async def ended(stage, workload, count):
    """Wait until more calls have ended."""
    enough = len(workload.outcomes) + count

    async def has():
        return len(workload.outcomes) >= enough

    await stage.until(has, f"{count} more calls")


def test_a_thawed_entry_runs_nothing_twice_and_leaves_a_drained_target(tmp_path):
    # Guards against an entry that goes on with the targets, claims and deadlines
    # of the time before it was frozen.
    async def scene(stage):
        cluster = stage.cluster
        frozen = stage.fleet.named("e1")
        async with workloads.Workload(cluster.apis, stage.session) as workload:
            await ended(stage, workload, CALLS)
            frozen.signal(signal.SIGSTOP)

            async def is_drained():
                address = cluster.target_addresses[0]
                status, _ = await stage.post(address, "/-/drain")
                return status == 200

            await stage.until(is_drained, "the drain accepted by e2")
            drained_s = time.time()

            async def is_past_the_bound():
                return time.time() > drained_s + reports.DRAIN_BOUND_S

            await stage.until(is_past_the_bound, "the bound of a drain")
            frozen.signal(signal.SIGCONT)
            thawed_s = time.time()
            await stage.until(stage.all_current, "e1 current again")
            await ended(stage, workload, CALLS)
            outcomes = await workload.stop()
        at_frozen = [
            a for o in outcomes for a in o.attempts if a.address == cluster.calls[0]
        ]
        assert any(a.ended_s - a.started_s > 3 for a in at_frozen), "nothing waited"
        findings = stage.judge(outcomes, drained_s)
        late = [r for r in stage.runs() if r.draining and r.time_s > drained_s + 3]
        print(f"{len(late)} late runs, {findings}, thawed {thawed_s - drained_s:.1f}")
        assert findings.broken(killed=True) == [], findings

    stages.play(tmp_path, scene)


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
