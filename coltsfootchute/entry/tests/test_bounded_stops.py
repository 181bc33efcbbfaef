"""Guards against a stop with a time limit that leaves requests unanswered."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest
import uvloop

from coltsfootchute.entry import schedules
from coltsfootchute.entry.tests import fakes

STOP_S = 4.0
RECEIVE_BUFFER_BYTES = 64 << 10
# The deadline is long, so that the stop ends requests first.
RULES = [{**rule, "deadline_ms": 60_000} for rule in fakes.RULES]
GET = b"GET /shop/items/1 HTTP/1.1\r\nHost: x\r\n\r\n"


def is_accepting(harness):
    """Tell whether the listener for calls accepts new connections."""
    return harness.entry._listener.is_serving()


async def begin_stop(harness):
    """Begin a stop and return it once no request is in progress."""
    stop = asyncio.ensure_future(harness.entry.stop())
    await fakes.wait_until(lambda: harness.entry._calls.closes_connections)
    assert (await harness.send("GET", "/shop/items/1")).status == 200
    assert not harness.entry._calls.in_progress
    return stop


async def connect_with_small_buffer(harness):
    """Connect as a caller with a small receive buffer in the kernel."""
    host, _, port = harness.entry.calls_address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return await asyncio.open_connection(sock=sock)


async def read_to_end(reader, limit_s):
    """Read to the end of a connection; None if it stays open."""
    try:
        async with asyncio.timeout(limit_s):
            return await reader.read(-1)
    except TimeoutError:
        return None
    except ConnectionError:
        return b""


def slow_after_first(delay_s):
    """Return a script that answers the first request at once and others later."""

    async def script(target, head, reader, writer):
        if len(target.heads) > 1:
            await asyncio.sleep(delay_s)
        return await fakes.respond(b"whole")(target, head, reader, writer)

    return script


def test_a_stop_that_had_no_request_in_progress_does_not_cut_off_later_requests():
    async def scenario(harness):
        stop = await begin_stop(harness)
        slow = asyncio.ensure_future(harness.send("GET", "/shop/items/1"))
        answer = await slow
        assert (answer.status, answer.body) == (200, b"whole")
        await stop

    # The delay ends when connections are no longer accepted, but before the stop ends.
    fakes.run(
        scenario,
        slow_after_first(0.68 * STOP_S),
        stop_s=STOP_S,
        section={"rules": RULES},
    )


@pytest.mark.parametrize("is_late", [False, True])
def test_the_rest_of_an_upload_during_a_stop_is_not_dropped_without_an_answer(is_late):
    async def scenario(harness):
        stop = await begin_stop(harness)
        reader, writer = await harness.connect()
        head = b"PUT /shop/items/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\n"
        writer.write(head + b"half")
        await fakes.wait_until(lambda: harness.entry._calls.in_progress)
        if is_late:
            await fakes.wait_until(lambda: not is_accepting(harness))
            # Wait until idle connections have been closed.
            await asyncio.sleep(0.15 * STOP_S)
        writer.write(b"rest")
        raw = await read_to_end(reader, 0.25 * STOP_S)
        assert raw, "the upload got no answer"
        if is_late:
            assert fakes.Answer(raw).refusal == "not_run stopping 503"
            assert len(harness.targets[0].heads) == 1
        else:
            assert raw.endswith(b"whole")
            assert harness.targets[0].bodies[-1] == b"halfrest"
        writer.close()
        await stop

    fakes.run(
        scenario, fakes.respond(b"whole"), stop_s=STOP_S, section={"rules": RULES}
    )


def test_an_idle_connection_is_closed_and_does_not_drop_requests():
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(GET)
        await reader.readuntil(b"whole")
        stop = await begin_stop(harness)
        await fakes.wait_until(lambda: not is_accepting(harness))
        # The connection must be closed well before the stop ends.
        assert await read_to_end(reader, 0.25 * STOP_S) == b""
        assert not stop.done()
        writer.close()
        await stop

    async def script(target, head, reader, writer):
        # The second request is in progress until the stop ends.
        if len(target.heads) > 2:
            await asyncio.sleep(STOP_S)
        return await fakes.respond(b"whole")(target, head, reader, writer)

    async def with_one_in_progress(harness):
        last = None

        async def add():
            nonlocal last
            await fakes.wait_until(lambda: len(harness.targets[0].heads) == 2)
            last = asyncio.ensure_future(harness.send("GET", "/shop/items/1"))

        adding = asyncio.ensure_future(add())
        await scenario(harness)
        await adding
        with contextlib.suppress(ConnectionError):
            await last

    fakes.run(with_one_in_progress, script, stop_s=STOP_S, section={"rules": RULES})


def test_a_request_on_an_open_connection_after_the_listener_closed_is_not_run():
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(GET)
        await reader.readuntil(b"whole")
        stop = await begin_stop(harness)
        await fakes.wait_until(lambda: not is_accepting(harness))
        head_count = len(harness.targets[0].heads)
        writer.write(GET)
        raw = await read_to_end(reader, STOP_S)
        assert raw, "the request got no answer"
        answer = fakes.Answer(raw)
        assert answer.refusal == "not_run stopping 503"
        assert answer.headers["connection"] == "close"
        assert len(harness.targets[0].heads) == head_count
        writer.close()
        await stop

    fakes.run(
        scenario, fakes.respond(b"whole"), stop_s=STOP_S, section={"rules": RULES}
    )


def test_a_request_that_outlasts_the_stop_is_answered_before_its_connection_closes():
    async def scenario(harness):
        stop = await begin_stop(harness)
        answer = await harness.send("GET", "/shop/items/1")
        assert answer.refusal == "may_have_run target_timeout 504"
        await stop

    fakes.run(scenario, slow_after_first(60), stop_s=STOP_S, section={"rules": RULES})


def test_a_stop_waits_until_a_slow_caller_has_its_whole_answer():
    # Twice what the kernel buffers for a caller that does not read.
    size = 8 << 20
    stop_s = 2 * STOP_S

    async def script(target, head, reader, writer):
        body = b"x" * (size if len(target.heads) > 1 else 1)
        return await fakes.respond(body)(target, head, reader, writer)

    async def scenario(harness):
        stop = await begin_stop(harness)
        reader, writer = await connect_with_small_buffer(harness)
        writer.write(GET)
        await fakes.wait_until(lambda: len(harness.targets[0].heads) > 1)
        await fakes.wait_until(lambda: not is_accepting(harness))
        await asyncio.sleep(0.2 * stop_s)
        assert not stop.done()
        assert harness.entry._calls.in_progress, (
            "the whole answer was sent although the caller did not read"
        )
        raw = await read_to_end(reader, stop_s)
        assert raw is not None
        assert len(raw.partition(b"\r\n\r\n")[2]) == size
        writer.close()
        await stop

    fakes.run(scenario, script, stop_s=stop_s, section={"rules": RULES})


def test_a_stop_ends_within_its_bound_while_control_does_not_reply():
    async def scenario(harness):
        harness.entry.client.resend("Settle", fakes.pb.SettleCommand())
        harness.control.refused_settlements = 1 << 20
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await harness.entry.stop()
        assert loop.time() - began_s < STOP_S

    fakes.run(
        scenario, fakes.respond(b"whole"), stop_s=STOP_S, section={"rules": RULES}
    )


def test_an_answer_that_began_before_a_stop_without_a_limit_does_not_delay_the_stop():
    may_finish = asyncio.Event()

    async def script(target, head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n")
        writer.write(b"x" * 300000)
        await writer.drain()
        await may_finish.wait()
        writer.write(b"x" * 100000)
        await writer.drain()

    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(GET)
        await reader.readexactly(200_000)
        stop = asyncio.ensure_future(harness.entry.stop())
        await fakes.wait_until(lambda: not harness.entry._listener.is_serving())
        await asyncio.sleep(0.5)
        may_finish.set()
        await reader.readexactly(200_000)
        done, _ = await asyncio.wait([stop], timeout=15)
        stop.cancel()
        writer.close()
        await asyncio.wait([stop])
        assert done, "the stop waits for an idle connection"

    fakes.run(scenario, script, section={"rules": RULES})


def test_a_request_in_progress_at_the_signal_that_outlasts_the_stop_is_answered():
    async def scenario(harness):
        sent = asyncio.ensure_future(harness.send("GET", "/shop/items/1"))
        await fakes.wait_until(lambda: harness.targets[0].heads)
        await harness.entry.stop()
        assert (await sent).refusal == "may_have_run target_timeout 504"

    async def script(target, head, reader, writer):
        await asyncio.sleep(60)

    fakes.run(scenario, script, stop_s=STOP_S, section={"rules": RULES})


def test_a_stop_that_begins_as_a_deadline_passes_does_not_fail():
    async def scenario(harness):
        calls = harness.entry._calls
        slow = asyncio.ensure_future(harness.send("GET", "/shop/items/2"))
        await fakes.wait_until(lambda: len(calls._limits) == 1)
        short = asyncio.ensure_future(
            harness.send("GET", "/shop/items/1", Coltsfootchute_Deadline_Ms="300")
        )
        await fakes.wait_until(lambda: len(calls._limits) == 2)
        when = min(limit.when() for limit in calls._limits.values())
        loop = asyncio.get_running_loop()
        stopping = loop.create_future()
        loop.call_at(
            when - 1e-4,
            lambda: stopping.set_result(asyncio.ensure_future(harness.entry.stop())),
        )
        # A slow callback makes both timers due in the same iteration of the loop.
        loop.call_at(when - 0.02, time.sleep, 0.04)
        stop = await stopping
        await asyncio.wait([stop])
        answers = [await short, await slow]
        assert stop.exception() is None
        assert answers[1].status == 200

    async def script(target, head, reader, writer):
        await asyncio.sleep(60 if "items/1" in head else 1.2)
        return await fakes.respond(b"whole")(target, head, reader, writer)

    fakes.run(scenario, script, stop_s=STOP_S)


@pytest.mark.parametrize("is_new", [False, True])
def test_a_request_that_arrives_while_the_process_is_delayed_is_answered(is_new):
    """A step of the stop that is overdue must not run before data that has arrived."""
    # The delay spans the step that refuses connections, or the one that closes them.
    delay_after_s = schedules.ACCEPT_FRACTION * STOP_S + (-0.3 if is_new else 0.1)
    delay_s = 0.6

    async def scenario(harness):
        loop = asyncio.get_running_loop()
        received = []
        is_delayed = threading.Event()

        def call():
            host, _, port = harness.entry.calls_address.rpartition(":")
            address = (host, int(port))
            sock = socket.create_connection(address, timeout=10)
            is_delayed.wait()
            time.sleep(delay_s / 4)
            if is_new:
                sock = socket.create_connection(address, timeout=10)
            sock.sendall(GET)
            with contextlib.suppress(ConnectionError):
                received.append(sock.recv(1 << 16))
            sock.close()

        def delay():
            is_delayed.set()
            time.sleep(delay_s)

        calling = asyncio.ensure_future(asyncio.to_thread(call))
        server = harness.entry._calls_server
        await fakes.wait_until(lambda: server.connections)
        stopping = asyncio.ensure_future(harness.entry.stop())
        loop.call_later(delay_after_s, delay)
        await stopping
        await calling
        assert received
        assert received[0].startswith(b"HTTP/1.1 ")

    async def main():
        harness = fakes.EntryHarness()
        await harness.start(fakes.respond(), stop_s=STOP_S)
        try:
            await scenario(harness)
        finally:
            await harness.stop()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())


@pytest.mark.parametrize("stop_s", [1.0, 4.0, 6.0, 8.0, 10.0, 30.0, 600.0])
def test_a_longer_bound_does_not_accept_calls_that_are_cut_at_its_end(stop_s):
    """A request that was sent after its caller could know of the stop was cut off."""
    schedule = schedules.plan(stop_s, keep_s=5.0)
    assert 0 < schedule.accept_s < schedules.STOP_PROPAGATION_S
    assert schedule.accept_s < schedule.api_s < schedule.finish_s
    assert schedule.finish_s > stop_s * 5 / 6


def test_a_request_late_in_a_long_stop_is_refused_before_it_reaches_a_target():
    """It was sent to a target, and cut off with "may have run" at the end."""
    stop_s, sent_s = 7.5, 3.1

    async def scenario(harness):
        reader, writer = await harness.connect()
        # The first half of a head keeps the connection open during the stop.
        writer.write(GET[:10])
        stop = await begin_stop(harness)
        await asyncio.sleep(sent_s)
        count = len(harness.targets[0].heads)
        writer.write(GET[10:])
        raw = await read_to_end(reader, stop_s)
        # The connection may have been closed before the request was sent.
        if raw != b"":
            assert fakes.Answer(raw).refusal == "not_run stopping 503"
        assert len(harness.targets[0].heads) == count
        writer.close()
        await stop

    fakes.run(scenario, slow_after_first(60), stop_s=stop_s, section={"rules": RULES})
