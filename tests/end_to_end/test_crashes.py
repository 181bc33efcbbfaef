"""Guards against one request that takes down target after target."""

import asyncio
import random
import time

import pytest

from coltsfootchute import verdicts
from coltsfootchute.standins import keys, targets, workloads
from tests.end_to_end import stages

BLAST_RADIUS = 2  # One caller, so the request is in flight at one entry at a time.
MARKED = {targets.CRASH_HEADER: "1"}


def new_key():
    return str(keys.uuid7(time.time_ns() // 1_000_000, random.Random()))


def check_blast(crashed):
    assert 0 < len(crashed) <= BLAST_RADIUS, crashed


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_that_crashes_targets_is_quarantined(tmp_path, method):
    async def scene(stage):
        cluster, fleet = stage.cluster, stage.fleet
        path = "/items/poison" if method == "GET" else "/orders?poison=1"
        crashed, reasons = [], []

        async def send(api):
            # A caller that gives up on a key whose request may have run and asks
            # for the same with a new key is the worst case.
            more = {verdicts.KEY_HEADER: new_key()} if method == "POST" else {}
            status, headers, _ = await stage.send(
                method, path, api, headers={**MARKED, **more}
            )
            reasons.append(headers.get(verdicts.REASON_HEADER, status))
            for process in fleet.of_role("target"):
                if process.exit_code == targets.CRASH_EXIT_CODE:
                    crashed.append(process.name)
                    fleet.restart(process)
            return headers.get(verdicts.VERDICT_HEADER), reasons[-1]

        async with workloads.Workload(
            cluster.apis, stage.session, rate=20, resends=5
        ) as workload:
            for number in range(20):
                verdict, reason = await send(number % len(cluster.apis))
                if (verdict, reason) == ("not_run", "quarantined"):
                    break
                await asyncio.sleep(0.05)
            else:
                raise AssertionError(f"not quarantined: {reasons}")
            # Every entry knows, also after the crashed targets are back.
            for api in range(len(cluster.apis)):

                async def is_refused(api=api):
                    return await send(api) == ("not_run", "quarantined")

                await stage.until(is_refused, f"the quarantine at entry {api}")
            ended = len(workload.outcomes)

            async def goes_on():
                return len(workload.outcomes) > ended + 20

            await stage.until(goes_on, "other requests")
            outcomes = await workload.stop()
        print(method, crashed, reasons)
        check_blast(crashed)
        findings = stage.judge(outcomes)
        assert findings.broken(killed=True) == [], findings

    stages.play(tmp_path, scene, control=3, entries=2, targets=6)


def test_the_check_rejects_a_larger_blast_and_none():
    check_blast(["t1", "t2"])
    for crashed in ([], ["t1", "t2", "t3"]):
        with pytest.raises(AssertionError):
            check_blast(crashed)
