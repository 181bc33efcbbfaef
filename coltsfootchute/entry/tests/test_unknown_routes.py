"""Guards against a 404 from an entry whose view may be out of date."""

import asyncio

import pytest

from coltsfootchute.entry import daemons, watches, workspaces
from coltsfootchute.entry.tests import fakes, test_declared

READ = test_declared.READ
NEW = {"prefix": "/new/", "timeout_s": 2}


def test_an_entry_without_any_declaration_answers_not_run():
    """Targets may be registered before the first declaration is accepted."""

    async def scenario():
        harness = fakes.EntryHarness()
        await harness.control.start()
        await harness.add("t0", fakes.respond())
        harness.entry = daemons.Daemon(harness.settings())
        await harness.entry.start()
        try:
            await fakes.wait_until(lambda: harness.entry.view.targets)
            assert (await harness.send("GET", "/a/1")).refusal == "not_run stale 503"
            harness.control.declare(1, READ)
            await fakes.wait_until(lambda: harness.entry.view.routes is not None)
            assert (await harness.send("GET", "/a/1")).refusal == "not_run no_rule 404"
        finally:
            await harness.stop()

    asyncio.run(scenario())


def run_with_old_proof(scenario):
    """Run a scenario whose entry got its last proof too long ago."""

    async def with_old_proof(harness):
        await fakes.wait_until(lambda: harness.entry.view.proof_at > 0)
        old = workspaces.MAX_REFUSAL_AGE_S + 0.1
        assert old < watches.STALE_AFTER_S
        harness.control.feed.set_proof(watches.clock() - old)
        harness.entry.view.proof_at = watches.clock() - old
        await scenario(harness)

    test_declared.run_declared(with_old_proof, test_declared.echo())


def test_a_route_that_is_not_known_yet_is_not_refused_as_unknown():
    """The entry may be behind a change that was accepted seconds ago."""

    async def scenario(harness):
        answer = await test_declared.send_request(harness, "/new/1")
        assert answer.refusal == "not_run stale 503"

    run_with_old_proof(scenario)


@pytest.mark.parametrize("is_added", [True, False])
def test_a_request_of_an_unknown_route_waits_for_a_recent_view(is_added):
    async def scenario(harness):
        waiting = asyncio.ensure_future(
            test_declared.send_request(harness, "/new/1", X_Deadline="2000")
        )
        await asyncio.sleep(0.1)
        assert not waiting.done()
        if is_added:
            harness.control.declare(2, READ, NEW)
        harness.control.publish_proof()
        harness.control.publish(target=fakes.pb.Target(target_id="other"))
        assert (await waiting).status == (200 if is_added else 404)

    run_with_old_proof(scenario)


def test_a_recent_view_refuses_an_unknown_route_at_once():
    async def scenario(harness):
        answer = await test_declared.send_request(harness, "/new/1")
        assert answer.refusal == "not_run no_rule 404"

    test_declared.run_declared(scenario, test_declared.echo())
