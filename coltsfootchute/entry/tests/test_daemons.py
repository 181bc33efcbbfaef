"""Guards against a planned stop that cuts off requests or reports them wrongly."""

import asyncio
import json
import os
import signal
import subprocess
import sys

import pytest

from coltsfootchute.entry import schedules
from coltsfootchute.entry.tests import fakes

pb = fakes.pb


def test_a_stop_is_announced_and_cuts_off_no_request(monkeypatch):
    monkeypatch.setattr(schedules, "STOP_PROPAGATION_S", 0.1)
    may_answer = asyncio.Event()

    async def scenario(harness):
        slow = asyncio.ensure_future(harness.order())
        await fakes.wait_until(lambda: harness.targets[0].heads)
        _, idle_writer = await harness.connect()
        stop = asyncio.ensure_future(harness.entry.stop())
        stopping = pb.INSTANCE_STATE_STOPPING
        await fakes.wait_until(lambda: harness.control.reports[-1].state == stopping)
        path = "/v1/services/shop/addresses"
        answer = await harness.send("GET", path, to=harness.entry.api_address)
        assert json.loads(answer.body)["addresses"] == []
        # Callers that have cached the address are still served.
        harness.targets[0].script = fakes.respond(b"late")
        assert (await harness.send("GET", "/shop/items/1")).body == b"late"
        await fakes.wait_until(lambda: harness.entry._calls.closes_connections)
        assert not stop.done()
        may_answer.set()
        answer = await slow
        assert (answer.status, answer.body) == (200, b"hello")
        await stop
        # The settlement of the last request was not lost.
        assert len(harness.control.settlements) == 1
        with pytest.raises(OSError):
            await harness.connect()
        idle_writer.close()

    fakes.run(scenario, fakes.respond(before=may_answer))


@pytest.mark.parametrize("second", [None, signal.SIGTERM, signal.SIGINT])
def test_sigterm_ends_the_process_with_status_0_and_sigint_after_it_at_once(
    tmp_path, second
):
    async def scenario(harness):
        cfg = harness.settings()
        entry = {"calls": cfg.entry.calls, "api": cfg.entry.api, "peer": cfg.entry.peer}
        entry |= {"control": cfg.entry.control, "keep_s": 0.1}
        instance = {"name": "e9", "failure_domain": "fd-a"}
        path = tmp_path / "settings.json"
        path.write_text(json.dumps({"instance": instance, "entry": entry}))
        command = [sys.executable, "-m", "coltsfootchute.entry", str(path)]
        process = await asyncio.create_subprocess_exec(*command)
        try:
            names = lambda: {r.name for r in harness.control.reports}  # noqa: E731
            await fakes.wait_until(lambda: "e9" in names())
            os.kill(process.pid, signal.SIGTERM)
            stopping = pb.INSTANCE_STATE_STOPPING
            await fakes.wait_until(
                lambda: any(
                    r.state == stopping
                    for r in harness.control.reports
                    if r.name == "e9"
                )
            )
            if second is not None:
                assert process.returncode is None
                os.kill(process.pid, second)
            async with asyncio.timeout(20):
                expected = 1 if second is signal.SIGINT else 0
                assert await process.wait() == expected
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    fakes.run(scenario)


def nonzero_values(family):
    """Return the values of a family by label value, without those that are 0."""
    children = family._children.items()
    return {labels[0]: child.value for labels, child in children if child.value}


@pytest.mark.parametrize("phase", ["reading_body", "at_target", "answering"])
def test_a_request_that_the_entry_cuts_off_is_not_counted_as_left_by_its_caller(phase):
    """Otherwise the metrics would hide a fault of the stop."""
    never = asyncio.Event()

    async def half(target, head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 600000\r\n\r\n")
        writer.write(b"x" * 300_000)
        await never.wait()

    async def scenario(harness):
        meters = harness.entry.metrics
        if phase == "reading_body":
            reader, writer = await harness.connect()
            writer.write(b"PUT /shop/items/1 HTTP/1.1\r\nHost: x\r\n")
            writer.write(b"Content-Length: 9\r\n\r\nhalf")
            sending = asyncio.ensure_future(reader.read(-1))
            await fakes.wait_until(lambda: harness.entry._calls.in_progress)
        else:
            sending = asyncio.ensure_future(harness.send("GET", "/shop/items/1"))
            await fakes.wait_until(lambda: harness.targets[0].heads)
        if phase == "answering":
            # Wait until the entry has read the first part of the response.
            await asyncio.sleep(0.1)
        await harness.entry.stop()
        await asyncio.gather(sending, return_exceptions=True)
        assert nonzero_values(meters.cut_requests) == {phase: 1}
        assert nonzero_values(meters.left_requests) == {}
        assert nonzero_values(meters.stop_ends) == {"cut": 1}

    script = half if phase == "answering" else fakes.respond(before=never)
    fakes.run(scenario, script, stop_s=1)


def test_a_request_left_by_its_caller_is_not_counted_as_cut_off():
    async def scenario(harness):
        _, writer = await harness.connect()
        writer.write(b"GET /shop/items/1 HTTP/1.1\r\nHost: x\r\n\r\n")
        await fakes.wait_until(lambda: harness.targets[0].heads)
        stop = asyncio.ensure_future(harness.entry.stop())
        await fakes.wait_until(lambda: harness.entry._calls.closes_connections)
        writer.transport.abort()
        meters = harness.entry.metrics
        await fakes.wait_until(lambda: nonzero_values(meters.left_requests))
        await stop
        assert nonzero_values(meters.left_requests) == {"at_target": 1}
        assert nonzero_values(meters.stop_ends) == {"left": 1}
        assert nonzero_values(meters.cut_requests) == {}

    fakes.run(scenario, fakes.respond(before=asyncio.Event()), stop_s=1)


SIGNAL_BETWEEN_LOOP_RUNS = """
import asyncio, signal, sys
import uvloop
from coltsfootchute.entry import __main__ as program
from coltsfootchute.entry import daemons

run, start = uvloop.Loop.run_until_complete, daemons.Daemon.start
pending = []

def send():
    if pending:
        pending.clear()
        signal.raise_signal(signal.SIGTERM)

def run_and_send(self, fut):
    try:
        return run(self, fut)
    finally:
        send()

async def start_and_send_later(self):
    await start(self)
    pending.append(True)
    asyncio.get_running_loop().call_later(1.0, send)

uvloop.Loop.run_until_complete = run_and_send
daemons.Daemon.start = start_and_send_later
sys.exit(program.main(sys.argv[1]))
"""


def test_a_sigterm_just_after_the_start_is_not_dropped(tmp_path):
    local = "127.0.0.1:0"
    entry = {"calls": local, "api": local, "peer": local, "control": ["127.0.0.1:1"]}
    instance = {"name": "e9", "failure_domain": "fd-a"}
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({"instance": instance, "entry": entry | {"stop_s": 2}}))
    program = SIGNAL_BETWEEN_LOOP_RUNS
    command = [sys.executable, "-c", program, str(path)]
    assert subprocess.run(command, timeout=20, check=False).returncode == 0
