"""Guards against an outage of all control instances that stops reads or loses state."""

import asyncio
import random
import signal
import time

from coltsfootchute import verdicts
from coltsfootchute.standins import editors, keys, observers, workloads
from tests.end_to_end import harnesses

REFUSED = {"stale", "claim_unavailable"}


def new_key():
    return str(keys.uuid7(time.time_ns() // 1_000_000, random.Random()))


def check_refused(status, headers, allowed=REFUSED):
    assert status == 503
    assert headers[verdicts.VERDICT_HEADER] == "not_run"
    assert headers[verdicts.REASON_HEADER] in allowed


def test_reads_continue_without_control_and_no_state_reverts(tmp_path):
    async def scenario(harness):
        cluster, fleet = harness.cluster, harness.fleet
        editor = editors.Editor("ada", cluster.apis, harness.session, random.Random(0))
        await editor.propose()
        before = await harness.history()
        async with (
            observers.Observer(cluster.apis, harness.session) as observer,
            workloads.Workload(cluster.apis, harness.session, rate=25) as workload,
        ):
            stopped = fleet.of_role("control")
            for process in stopped:
                process.signal(signal.SIGTERM)
            await asyncio.gather(*(harness.ended(process) for process in stopped))

            async def all_stale():
                return observer.stale_entries == set(cluster.apis)

            await harness.until(all_stale, "stale entries")
            stale_s = time.time()
            refused = new_key()
            for api in range(len(cluster.apis)):
                status, headers, _ = await harness.send("GET", "/items/1", api)
                assert (status, headers[verdicts.STALE_HEADER]) == (200, "1")
                status, headers, _ = await harness.send(
                    "POST", "/orders", api, headers={verdicts.KEY_HEADER: refused}
                )
                check_refused(status, headers)

            async def has_each_run():
                ran = {run.target for run in harness.runs() if run.time_s > stale_s}
                return len(ran) == len(cluster.target_addresses)

            await harness.until(has_each_run, "reads at every target")
            for process in stopped:
                fleet.restart(process)
            await harness.until(harness.all_current, "current entries")
            assert refused not in {run.key for run in harness.runs()}
            status, _, _ = await harness.send(
                "POST", "/orders", headers={verdicts.KEY_HEADER: refused}
            )
            assert status == 200, "a key that did not run must run after the outage"
            outcomes = await workload.stop()
        assert await harness.history() == before
        for samples in observer.own_samples.values():
            assert observers.revision_decreases(samples) == []
        listed = (await cluster.read("/v1/targets"))["targets"]
        assert {t["state"] for t in listed} == {"serving"}
        assert len(listed) == len(cluster.target_addresses)
        await editor.propose()
        findings = harness.check_calls(outcomes)
        assert findings.violations(killed=False) in ([], ["lost"]), findings
        print(findings)

    harnesses.run_scenario(tmp_path, scenario)
