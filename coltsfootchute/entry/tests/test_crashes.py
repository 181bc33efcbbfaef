"""Guards against a request that crashes one target after the other."""

import asyncio

import pytest

from coltsfootchute.entry.tests import fakes, test_declared

ROUTE = {"prefix": "/read/", "timeout_s": 2, "attempts": 1}
QUARANTINED = "not_run quarantined 503"


def fragile(is_fatal):
    """Return a script of a target that crashes when it begins to run a request."""

    async def script(target, head, reader, writer):
        if not is_fatal(head):
            return await test_declared.echo()(target, head, reader, writer)
        target.server.close()
        writer.transport.abort()
        return "close"

    return script


async def recorded_crashes(harness, count):
    """Wait until crashes are reported with both digests; remove those targets."""
    await fakes.wait_until(lambda: len(harness.control.crashes) >= 2 * count)
    crashed = {t.name for t in harness.targets if not t.server.is_serving()}
    assert len(crashed) == count
    for name in crashed:
        harness.control.publish(removed_target_id=name)
    targets = harness.entry.view.targets
    await fakes.wait_until(lambda: not targets.keys() & crashed)


@pytest.mark.parametrize("others", [0, 3])
def test_a_request_that_crashes_targets_is_refused_while_others_send_the_same(others):
    """The responses to other callers cleared the count after each crash."""

    async def scenario(harness):
        for crashes in (1, 2):
            answer = await test_declared.send_request(harness, Caller="fatal")
            assert answer.refusal == "may_have_run connection_lost 502"
            await recorded_crashes(harness, crashes)
            for number in range(others):
                same = await test_declared.send_request(harness, Caller=f"c{number}")
                assert same.status == 200
        # Each attempt of a caller has an id and a deadline of its own.
        for number in range(3):
            headers = {"X_Id": f"again{number}", "X_Deadline": str(1000 + number)}
            answer = await test_declared.send_request(
                harness, Caller="fatal", **headers
            )
            assert answer.refusal == QUARANTINED
        if others:
            same = await test_declared.send_request(harness, Caller="c0")
            assert same.status == 200

    scripts = [fragile(lambda head: "Caller: fatal" in head)] * 5
    test_declared.run_declared(scenario, *scripts, routes=(ROUTE,))


def test_a_common_request_is_not_refused_when_targets_crash_for_another_reason():
    """It runs nearly always, so it is often running when a target crashes."""

    async def scenario(harness):
        for crashes in (1, 2, 3):
            crash_next.set()
            await test_declared.send_request(harness, Caller="c0")
            await recorded_crashes(harness, crashes)
            for _ in range(3):
                answer = await test_declared.send_request(harness, Caller="c0")
                assert answer.status == 200

    def is_fatal(head):
        fatal = crash_next.is_set()
        crash_next.clear()
        return fatal

    crash_next = asyncio.Event()
    scripts = [fragile(is_fatal)] * 6
    test_declared.run_declared(scenario, *scripts, routes=(ROUTE,))
