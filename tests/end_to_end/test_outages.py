"""Guards against a loss of all control instances that stops reads or loses state."""

import asyncio
import random
import signal
import time

from coltsfootchute import verdicts
from coltsfootchute.standins import editors, keys, observers, workloads
from tests.end_to_end import stages

REFUSED = {"stale", "claim_unavailable"}


def new_key():
    return str(keys.uuid7(time.time_ns() // 1_000_000, random.Random()))


def check_refused(status, headers, allowed=REFUSED):
    assert status == 503
    assert headers[verdicts.VERDICT_HEADER] == "not_run"
    assert headers[verdicts.REASON_HEADER] in allowed


def test_reads_go_on_without_control_and_nothing_reverts(tmp_path):
    async def scene(stage):
        cluster, fleet = stage.cluster, stage.fleet
        editor = editors.Editor("ada", cluster.apis, stage.session, random.Random(0))
        await editor.propose()
        before = await stage.history()
        async with (
            observers.Observer(cluster.apis, stage.session) as observer,
            workloads.Workload(cluster.apis, stage.session, rate=25) as workload,
        ):
            stopped = fleet.of_role("control")
            for process in stopped:
                process.signal(signal.SIGTERM)
            await asyncio.gather(*(stage.ended(process) for process in stopped))

            async def all_stale():
                return observer.stale == set(cluster.apis)

            await stage.until(all_stale, "stale entries")
            stale_s = time.time()
            refused = new_key()
            for api in range(len(cluster.apis)):
                status, headers, _ = await stage.send("GET", "/items/1", api)
                assert (status, headers[verdicts.STALE_HEADER]) == (200, "1")
                status, headers, _ = await stage.send(
                    "POST", "/orders", api, headers={verdicts.KEY_HEADER: refused}
                )
                check_refused(status, headers)

            async def all_work():
                ran = {run.target for run in stage.runs() if run.time_s > stale_s}
                return len(ran) == len(cluster.target_addresses)

            await stage.until(all_work, "reads at every target")
            for process in stopped:
                fleet.restart(process)
            await stage.until(stage.all_current, "current entries")
            assert refused not in {run.key for run in stage.runs()}
            status, _, _ = await stage.send(
                "POST", "/orders", headers={verdicts.KEY_HEADER: refused}
            )
            assert status == 200, "a key that was not run runs later"
            outcomes = await workload.stop()
        assert await stage.history() == before
        for samples in observer.own.values():
            assert observers.setbacks(samples) == []
        found = (await cluster.read("/v1/targets"))["targets"]
        assert {t["state"] for t in found} == {"serving"}
        assert len(found) == len(cluster.target_addresses)
        await editor.propose()
        findings = stage.judge(outcomes)
        assert findings.broken(killed=False) in ([], ["lost"]), findings
        print(findings)

    stages.play(tmp_path, scene)
