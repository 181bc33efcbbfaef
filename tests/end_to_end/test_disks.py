"""Guards against a member that votes before its new disk holds the whole log."""

import random
import shutil
import signal

import pytest

from coltsfootchute.standins import editors
from tests.end_to_end import harnesses


def check_promoted(status, name, old_id):
    """Check that an instance votes under a new member id, and the old id is gone."""
    members = {m["member_id"]: m for m in status["members"]}
    assert old_id not in members, f"the lost member {old_id} still counts"
    (own,) = (m for m in members.values() if m["name"] == name)
    assert own["voter"], f"{name} does not vote"
    assert sum(m["voter"] for m in members.values()) == 3


def members(status):
    return {m["name"]: m["member_id"] for m in status["members"]}


def test_a_second_loss_after_a_lost_disk_loses_nothing(tmp_path):
    async def scenario(harness):
        cluster, fleet = harness.cluster, harness.fleet
        editor = editors.Editor("ada", cluster.apis, harness.session, random.Random(0))
        await editor.propose()
        leader = await harness.leader()
        old = members(await cluster.read("/v1/status"))
        lost = next(name for name in old if name != leader)
        process = fleet.get_process(lost)
        process.signal(signal.SIGTERM)
        assert await harness.ended(process) == 0
        shutil.rmtree(fleet.folder / f"data-{lost}")
        await editor.propose()
        fleet.restart(process)

        async def is_promoted():
            status = await cluster.read("/v1/status")
            try:
                check_promoted(status, lost, old[lost])
            except (AssertionError, KeyError, ValueError):
                return None
            return status

        await harness.until(is_promoted, "the promotion")
        log = fleet.get_process(leader).log_path.read_text()
        assert f"{lost} added as a learner" in log, f"{lost} was never a learner"
        await editor.propose()
        # If the lost member still counted as a voter, there would be no quorum now.
        second = harness.kill(leader)
        await harness.ended(second)
        shutil.rmtree(fleet.folder / f"data-{leader}")
        await harness.leader(but=leader)
        await editor.propose()
        assert editors.find_lost(editor.accepted, await harness.history()) == []
        status, _, _ = await harness.send("GET", "/items/1")
        assert status == 200

    harnesses.run_scenario(tmp_path, scenario, targets=2)


def test_the_check_rejects_a_learner_and_an_old_voter():
    def status(**changes):
        listed = [
            {"member_id": f"m{n}", "name": f"c{n}", "voter": True} for n in (1, 2, 3)
        ]
        listed[0].update(changes)
        return {"members": listed}

    check_promoted(status(), "c1", "m0")
    with pytest.raises(AssertionError, match="does not vote"):
        check_promoted(status(voter=False), "c1", "m0")
    with pytest.raises(AssertionError, match="still counts"):
        check_promoted(status(), "c1", "m1")
