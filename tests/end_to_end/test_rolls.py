"""Guards against a planned restart that cuts, loses or repeats a request."""

import asyncio
import signal

import pytest

from coltsfootchute import verdicts
from coltsfootchute.standins import callers, records, reports, workloads
from tests.end_to_end import stages

KEEP_S = 0.5


async def end(stage, name):
    """Stop a process by SIGTERM and start it again."""
    process = stage.fleet.named(name)
    process.signal(signal.SIGTERM)
    code = await stage.ended(process)
    assert code == 0, f"{name} ended with {code}: {process.tail()}"
    return stage.fleet.restart(process)


async def roll_entries(stage):
    for number, api in enumerate(stage.cluster.apis, 1):
        await end(stage, f"e{number}")

        async def is_back(api=api):
            return await stage.is_current(api)

        await stage.until(is_back, f"e{number} current")


async def roll_control(stage):
    for number in range(1, 4):
        await end(stage, f"c{number}")

        async def is_back(number=number):
            return await follows(stage, number)

        await stage.until(is_back, f"c{number} follows the leader")


async def follows(stage, number):
    """Tell whether a control instance has what the leader had committed."""
    leader = await stage.cluster.read("/v1/status")
    found = await stage.control_status(number)
    if found is None or not leader.get("leader_id"):
        return False
    return bool(found.leader_id) and found.applied_index >= leader["commit_index"]


async def roll_targets(stage):
    for number, address in enumerate(stage.cluster.target_addresses, 1):
        name = f"t{number}"

        async def is_drained(address=address):
            status, _ = await stage.post(address, "/-/drain")
            return status == 200

        await stage.until(is_drained, f"the drain of {name} accepted")

        async def is_idle(address=address, name=name):
            """Tell whether every entry knows of the drain and no request runs."""
            found = await stage.cluster.read("/v1/status")
            listed = (await stage.cluster.read("/v1/targets")).get("targets", ())
            states = {t["id"]: t["state"] for t in listed}
            if not found.get("instances") or states.get(name) != "draining":
                return False
            known = all(i["revision"] >= found["revision"] for i in found["instances"])
            load = (await stage.get(address, "/-/load"))[1]
            return known and load.get("in_flight") == 0

        await stage.until(is_idle, f"{name} idle")
        await end(stage, name)

        async def is_serving(name=name):
            listed = (await stage.cluster.read("/v1/targets")).get("targets", ())
            return (name, "serving") in {(t["id"], t["state"]) for t in listed}

        await stage.until(is_serving, f"{name} serving")


def check(findings):
    """Check that a planned change left no trace in what callers see."""
    assert findings.broken(killed=False) == [], findings


def test_a_rolling_restart_of_everything_is_not_seen(tmp_path):
    async def scene(stage):
        async with workloads.Workload(stage.cluster.apis, stage.session) as workload:
            await asyncio.gather(
                roll_entries(stage), roll_control(stage), roll_targets(stage)
            )
            outcomes = await workload.stop()
        assert all("stopped" in p.log.read_text() for p in stage.fleet.of_role("entry"))
        findings = stage.judge(outcomes)
        reasons = reports.resend_rows(outcomes)
        print(f"{len(outcomes)} calls, {findings}, resent after {reasons}")
        check(findings)

    stages.play(tmp_path, scene, entries=3, targets=3, keep_s=KEEP_S)


def test_the_check_rejects_a_forged_second_run_a_cut_and_a_loss():
    def outcome(verdict, **fields):
        attempt = callers.Attempt("a", verdict, 200, "", 0.0, 0.1, **fields)
        call = callers.Call("POST", "/orders", repeatable=False)
        return callers.Outcome(call, "k", "k", (attempt,))

    run = records.Run("t1", "k", "k", "POST", "/orders", 1.0)
    ran = outcome(verdicts.Verdict.RAN)
    check(reports.judge([ran], [run]))
    for forged, runs in (
        (ran, [run, run]),
        (outcome(verdicts.Verdict.RAN, cut=True), [run]),
        (outcome(verdicts.Verdict.MAY_HAVE_RUN), [run]),
        (outcome(verdicts.Verdict.NOT_RUN), [run]),
    ):
        with pytest.raises(AssertionError):
            check(reports.judge([forged], runs))
