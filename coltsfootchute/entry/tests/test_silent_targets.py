"""Guards against work that is given up or repeated because a target is only silent."""

import asyncio

import pytest

from coltsfootchute.entry.tests import fakes, test_declared


def held(before, reached):
    """Return a script that answers once a condition holds."""
    answer = test_declared.echo()

    async def script(target, head, reader, writer):
        reached.set()
        await before.wait()
        return await answer(target, head, reader, writer)

    return script


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("change", ["removed", "suspect", "draining", "other_address"])
def test_a_request_goes_on_at_a_target_whose_registration_changes(method, change):
    before, reached = asyncio.Event(), asyncio.Event()
    states = {
        "suspect": fakes.pb.TARGET_STATE_SUSPECT,
        "draining": fakes.pb.TARGET_STATE_DRAINING,
    }

    async def scenario(harness):
        path = "/read/1" if method == "GET" else "/order/1"
        body = b"" if method == "GET" else b"one"
        sending = asyncio.ensure_future(
            test_declared.send_request(harness, path, method, body)
        )
        await reached.wait()
        target = harness.targets[0]
        if change == "removed":
            harness.control.publish(removed_target_id="t0")
        elif change == "other_address":
            harness.control.target(target, address="127.0.0.1:9")
        else:
            harness.control.target(target, state=states[change])
        await harness.add("t1", test_declared.echo())
        await fakes.wait_until(lambda: "t1" in harness.entry.view.targets)
        before.set()
        assert (await sending).status == 200
        assert len(target.heads) == 1
        assert not harness.targets[1].heads

    test_declared.run_declared(scenario, held(before, reached))


def test_a_silent_target_is_no_reason_to_run_an_order_again():
    """The target may be running it, so nothing but the time limit ends the wait."""
    before, reached = asyncio.Event(), asyncio.Event()

    async def scenario(harness):
        answer = await test_declared.send_request(harness, "/order/1", "POST", b"one")
        assert answer.refusal == "may_have_run target_timeout 504"
        assert sum(len(target.heads) for target in harness.targets) == 1

    test_declared.run_declared(scenario, held(before, reached), held(before, reached))


@pytest.mark.parametrize("reset", [True, False])
@pytest.mark.parametrize("part", [b"", b"HTTP/1.1 200 OK\r\nContent-Le"])
def test_an_order_whose_answer_is_lost_is_not_repeated_nor_called_not_run(reset, part):
    async def scenario(harness):
        for _ in range(4):
            answer = await test_declared.send_request(
                harness, "/order/1", "POST", b"one"
            )
            assert answer.refusal == "may_have_run connection_lost 502"
        assert sum(len(target.heads) for target in harness.targets) == 4

    script = fakes.close_after(part, reset=reset)
    test_declared.run_declared(scenario, script, script, retries={"percent": 100})
