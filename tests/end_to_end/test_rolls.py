"""Guards against planned restarts that cut, lose or repeat a request."""

import asyncio
import signal

import pytest

from coltsfootchute import verdicts
from coltsfootchute.standins import callers, records, reports, workloads
from tests.end_to_end import harnesses

KEEP_S = 0.5


async def restart(harness, name):
    """Stop a process by SIGTERM and start it again."""
    process = harness.fleet.get_process(name)
    process.signal(signal.SIGTERM)
    code = await harness.ended(process)
    assert code == 0, f"{name} ended with exit code {code}: {process.tail()}"
    return harness.fleet.restart(process)


async def roll_entries(harness):
    for number, api in enumerate(harness.cluster.apis, 1):
        await restart(harness, f"e{number}")

        async def is_back(api=api):
            return await harness.is_current(api)

        await harness.until(is_back, f"e{number} current")


async def roll_control(harness):
    for number in range(1, 4):
        await restart(harness, f"c{number}")

        async def is_back(number=number):
            return await is_caught_up(harness, number)

        await harness.until(is_back, f"c{number} caught up with the leader")


async def is_caught_up(harness, number):
    """Tell whether a control instance has applied the leader's committed log."""
    leader = await harness.cluster.read("/v1/status")
    status = await harness.control_status(number)
    if status is None or not leader.get("leader_id"):
        return False
    return bool(status.leader_id) and status.applied_index >= leader["commit_index"]


async def roll_targets(harness):
    for number, address in enumerate(harness.cluster.target_addresses, 1):
        name = f"t{number}"

        async def is_drained(address=address):
            status, _ = await harness.post(address, "/-/drain")
            return status == 200

        await harness.until(is_drained, f"the drain of {name} accepted")

        async def is_idle(address=address, name=name):
            """Tell whether every entry knows of the drain and no request runs."""
            status = await harness.cluster.read("/v1/status")
            listed = (await harness.cluster.read("/v1/targets")).get("targets", ())
            states = {t["id"]: t["state"] for t in listed}
            if not status.get("instances") or states.get(name) != "draining":
                return False
            known = all(
                i["revision"] >= status["revision"] for i in status["instances"]
            )
            load = (await harness.get(address, "/-/load"))[1]
            return known and load.get("in_flight") == 0

        await harness.until(is_idle, f"{name} idle")
        await restart(harness, name)

        async def is_serving(name=name):
            listed = (await harness.cluster.read("/v1/targets")).get("targets", ())
            return (name, "serving") in {(t["id"], t["state"]) for t in listed}

        await harness.until(is_serving, f"{name} serving")


def check_findings(findings):
    """Check that no call was cut, lost, run twice or answered wrongly."""
    assert findings.violations(killed=False) == [], findings


def test_a_rolling_restart_of_everything_affects_no_call(tmp_path):
    async def scenario(harness):
        async with workloads.Workload(
            harness.cluster.apis, harness.session
        ) as workload:
            await asyncio.gather(
                roll_entries(harness), roll_control(harness), roll_targets(harness)
            )
            outcomes = await workload.stop()
        assert all(
            "stopped" in p.log_path.read_text() for p in harness.fleet.of_role("entry")
        )
        findings = harness.check_calls(outcomes)
        reasons = reports.resend_rows(outcomes)
        print(f"{len(outcomes)} calls, {findings}, resent after {reasons}")
        check_findings(findings)

    harnesses.run_scenario(tmp_path, scenario, entries=3, targets=3, keep_s=KEEP_S)


def test_the_check_rejects_a_second_run_a_cut_and_a_loss():
    def outcome(verdict, **fields):
        attempt = callers.Attempt("a", verdict, 200, "", 0.0, 0.1, **fields)
        call = callers.Call("POST", "/orders", repeatable=False)
        return callers.Outcome(call, "k", "k", (attempt,))

    run = records.Run("t1", "k", "k", "POST", "/orders", 1.0)
    ran = outcome(verdicts.Verdict.RAN)
    check_findings(reports.check_outcomes([ran], [run]))
    for bad, runs in (
        (ran, [run, run]),
        (outcome(verdicts.Verdict.RAN, cut=True), [run]),
        (outcome(verdicts.Verdict.MAY_HAVE_RUN), [run]),
        (outcome(verdicts.Verdict.NOT_RUN), [run]),
    ):
        with pytest.raises(AssertionError):
            check_findings(reports.check_outcomes([bad], runs))
