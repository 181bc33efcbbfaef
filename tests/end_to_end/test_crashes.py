"""Guards against a request that crashes one target after the other."""

import asyncio
import random
import time

import pytest

from coltsfootchute import verdicts
from coltsfootchute.standins import keys, targets, workloads
from tests.end_to_end import harnesses

# There is one caller, so that the request is in flight at one entry at a time.
MAX_CRASHED_TARGETS = 2
CRASH_HEADERS = {targets.CRASH_HEADER: "1"}


def new_key():
    return str(keys.uuid7(time.time_ns() // 1_000_000, random.Random()))


def check_crashed(crashed):
    assert 0 < len(crashed) <= MAX_CRASHED_TARGETS, crashed


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_that_crashes_targets_is_quarantined(tmp_path, method):
    async def scenario(harness):
        cluster, fleet = harness.cluster, harness.fleet
        path = "/items/poison" if method == "GET" else "/orders?poison=1"
        crashed, reasons = [], []

        async def send(api):
            # The worst case is a caller that sends the same request with a new key
            # each time, although the earlier one may have run.
            more = {verdicts.KEY_HEADER: new_key()} if method == "POST" else {}
            status, headers, _ = await harness.send(
                method, path, api, headers={**CRASH_HEADERS, **more}
            )
            reasons.append(headers.get(verdicts.REASON_HEADER, status))
            for process in fleet.of_role("target"):
                if process.exit_code == targets.CRASH_EXIT_CODE:
                    crashed.append(process.name)
                    fleet.restart(process)
            return headers.get(verdicts.VERDICT_HEADER), reasons[-1]

        async with workloads.Workload(
            cluster.apis, harness.session, rate=20, max_resends=5
        ) as workload:
            for number in range(20):
                verdict, reason = await send(number % len(cluster.apis))
                if (verdict, reason) == ("not_run", "quarantined"):
                    break
                await asyncio.sleep(0.05)
            else:
                raise AssertionError(f"not quarantined: {reasons}")
            # Every entry refuses it, also after the crashed targets are restarted.
            for api in range(len(cluster.apis)):

                async def is_refused(api=api):
                    return await send(api) == ("not_run", "quarantined")

                await harness.until(is_refused, f"the quarantine at entry {api}")
            ended = len(workload.outcomes)

            async def has_progressed():
                return len(workload.outcomes) > ended + 20

            await harness.until(has_progressed, "other requests")
            outcomes = await workload.stop()
        print(method, crashed, reasons)
        check_crashed(crashed)
        findings = harness.check_calls(outcomes)
        assert findings.violations(killed=True) == [], findings

    harnesses.run_scenario(tmp_path, scenario, control=3, entries=2, targets=6)


def test_the_check_rejects_too_many_crashed_targets_and_none():
    check_crashed(["t1", "t2"])
    for crashed in ([], ["t1", "t2", "t3"]):
        with pytest.raises(AssertionError):
            check_crashed(crashed)
