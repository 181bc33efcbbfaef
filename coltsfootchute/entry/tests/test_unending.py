"""Guards against targets that send endless data in place of a response."""

import asyncio
import contextlib
import tracemalloc

import pytest

from coltsfootchute.entry import stops
from coltsfootchute.entry.tests import fakes, test_declared

BLOCK_BYTES = 1 << 16
# Well above the size of the socket buffers of two connections in a row. The kernel may
# enlarge the receive buffer of each of them to 32 MiB.
SENT_LIMIT_BYTES = 1 << 27
# Bound on the bytes of a response in the process of the entry.
MAX_HELD_BYTES = 1 << 20
OK = b"HTTP/1.1 200 OK\r\nX-Seal: 1\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
HELLO = b"5\r\nhello\r\n"
WHOLE = OK + b"Content-Length: 5\r\n\r\nhello"
INTERIM = b"HTTP/1.1 102 \r\n\r\n"
LATE = b"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 5\r\n\r\nhello"
LARGE = LATE.replace(b" 5", b" 65536").replace(b"hello", b"x" * 65536)
ONCE = {"prefix": "/once/", "guarantee": "at_most_once", "timeout_s": 2}
READ = {"prefix": "/read/", "timeout_s": 2}
QUICK = {"prefix": "/quick/", "timeout_s": 0.3}
HEADS = {
    "garbage": (b"", b"\xff"),
    "blank lines": (b"", b"\r\n"),
    "status line": (b"HTTP/1.1 200 ", b"a"),
    "header line": (OK + b"X-A: ", b"a"),
    "header lines": (OK, b"X-A: b\r\n"),
    "interim responses": (b"", INTERIM),
    "late responses": (b"", LATE),
    "large late responses": (b"", LARGE),
}
FRAMES = {
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"5;", b"a"),
    "trailer line": (CHUNKED + HELLO + b"0\r\nX-A: ", b"a"),
    "trailer lines": (CHUNKED + HELLO + b"0\r\n", b"X-A: b\r\n"),
    "chunks with extensions": (CHUNKED, b"1;" + b"a" * 4096 + b"\r\na\r\n"),
    "garbage for a chunk": (CHUNKED + HELLO, b"z"),
}
BODIES = {
    "length": (OK + b"Content-Length: 1000000000000\r\n\r\n", b"a"),
    "chunks": (CHUNKED, b"1000\r\n" + b"a" * 4096 + b"\r\n"),
    "close": (OK + b"\r\n", b"a"),
}
LARGE_CASES = ("garbage", "header line", "garbage for a chunk", "length", "close")
CONCURRENT_CALLS = 24
EXTRAS = {
    "garbage": b"\xff",
    "blank lines": b"\r\n",
    "interim responses": INTERIM,
    "responses": LATE,
    "body": OK + b"\r\n" + b"a" * BLOCK_BYTES,
}
# A probe has no request id, so a late response can't be distinguished from its own.
PROBED = {k: v for k, v in (HEADS | FRAMES | BODIES).items() if "late" not in k}


def cases(table):
    return pytest.mark.parametrize("sent", table.values(), ids=list(table))


async def flood(target, writer, unit):
    """Send until the connection is closed, or until far above any limit."""
    block = unit * max(1, BLOCK_BYTES // len(unit))
    sent = 0
    while sent < SENT_LIMIT_BYTES:
        writer.write(block)
        await writer.drain()
        sent += len(block)
        target.sent = max(sent, getattr(target, "sent", 0))
        # Both ends of the connection run on one event loop.
        await asyncio.sleep(0)


def endless(sent, on="", before=None):
    """Return a script that sends a prefix and then some bytes endlessly."""
    prefix, unit = sent

    async def script(target, head, reader, writer):
        if on not in head:
            return await test_declared.echo()(target, head, reader, writer)
        await fakes.read_body(head, reader)
        writer.write(prefix)
        await writer.drain()
        if before is not None:
            await before.wait()
        await flood(target, writer, unit)
        return "close"

    return script


async def was_closed(target):
    """Wait for the end of a flood; return whether the entry closed the connection."""
    await fakes.wait_until(lambda: target.closed_connections)
    return target.sent < SENT_LIMIT_BYTES


def run_flood(scenario, *scripts, routes=(READ, ONCE, QUICK), **options):
    test_declared.run_declared(scenario, *scripts, routes=routes, **options)


@cases(HEADS | FRAMES)
def test_endless_invalid_data_ends_a_request_before_its_deadline(sent):
    async def scenario(harness):
        answer = await test_declared.send_request(harness)
        assert answer.refusal == "may_have_run connection_lost 502"
        # The refusal must not quote what the target sent.
        assert len(answer.body) < 1000
        assert await was_closed(harness.targets[0])

    run_flood(scenario, endless(sent))


@cases(HEADS | FRAMES)
def test_a_request_with_an_endless_response_may_have_run(sent):
    async def scenario(harness):
        answer = await test_declared.send_request(harness, "/once/1", "POST", b"one")
        assert (answer.status, answer.refusal[:12]) == (502, "may_have_run")
        assert len(harness.targets[0].heads) == 1

    run_flood(scenario, endless(sent))


@cases(HEADS | FRAMES)
def test_a_target_with_endless_responses_gets_few_requests(sent):
    async def scenario(harness):
        answers = [await test_declared.send_request(harness) for _ in range(30)]
        assert {(a.status, a.body) for a in answers} == {(200, b"hello")}
        assert 1 <= len(harness.targets[0].heads) <= 10

    echo = test_declared.echo()
    run_flood(scenario, endless(sent), echo, retries={"percent": 100})


@cases(BODIES)
def test_an_endless_body_is_cut_off_and_does_not_look_complete(sent):
    """The entry must buffer a limited part of it while the caller does not read."""

    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(b"GET /quick/1 HTTP/1.1\r\nHost: x\r\nX-Id: r1\r\n\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        held = []
        server = harness.entry._calls_server

        def is_closed():
            held.append(stops.unsent_bytes(stops.transports_of(server)))
            return harness.targets[0].closed_connections

        await fakes.wait_until(is_closed)
        assert 0 < max(held) < MAX_HELD_BYTES
        with pytest.raises(ConnectionResetError):
            while await reader.read(BLOCK_BYTES):
                pass
        writer.close()
        assert await was_closed(harness.targets[0])

    run_flood(scenario, endless(sent))


@pytest.mark.parametrize("unit", EXTRAS.values(), ids=list(EXTRAS))
def test_bytes_after_a_response_do_not_reach_the_next_one(unit):
    async def scenario(harness):
        for _ in range(3):
            answer = await test_declared.send_request(harness)
            assert (answer.status, answer.body) == (200, b"hello")
            assert await was_closed(harness.targets[0])

    run_flood(scenario, endless((WHOLE, unit)))


@pytest.mark.parametrize("unit", EXTRAS.values(), ids=list(EXTRAS))
def test_an_idle_connection_does_not_read_endless_data(unit):
    async def scenario(harness):
        idle.clear()
        assert (await test_declared.send_request(harness)).body == b"hello"
        idle.set()
        assert await was_closed(harness.targets[0])

    idle = asyncio.Event()
    run_flood(scenario, endless((WHOLE, unit), before=idle))


def test_a_target_that_sends_before_the_request_gets_few_connections():
    async def scenario(harness):
        async def talk(reader, writer):
            dialled.append(writer)
            with contextlib.suppress(OSError):
                writer.write(b"\r\n" * BLOCK_BYTES)
                await writer.drain()
                await reader.read()
            writer.close()

        dialled = []
        server = await asyncio.start_server(talk, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        harness.control.target(harness.targets[0], address=f"127.0.0.1:{port}")
        await fakes.wait_until(
            lambda: harness.entry.view.targets["t0"].address.endswith(f":{port}")
        )
        answer = await test_declared.send_request(harness)
        assert answer.status in {502, 503}
        assert 1 <= len(dialled) <= 4
        server.close()

    run_flood(scenario, test_declared.echo())


@cases(PROBED)
def test_endless_responses_to_probes_are_cut_off(sent):
    """The target must get no requests, and other callers must get their answers."""

    async def scenario(harness):
        for _ in range(10):
            answer = await test_declared.send_request(harness)
            assert (answer.status, answer.body) == (200, b"hello")
        assert await was_closed(harness.targets[0])
        assert not any("/read/" in head for head in harness.targets[0].heads)

    samples = {"per_target_s": 1000, "wait_s": 1}
    scripts = endless(sent, on="/health"), test_declared.echo()
    run_flood(scenario, *scripts, samples=samples)


@cases({k: (HEADS | FRAMES | BODIES)[k] for k in LARGE_CASES})
def test_many_endless_responses_take_little_memory(sent):
    """An entry kept what a target sent, and its other requests ended with it."""

    async def scenario(harness):
        async def call():
            reader, writer = await harness.connect()
            writer.write(b"GET /quick/1 HTTP/1.1\r\nHost: x\r\nX-Id: r1\r\n\r\n")
            await reader.readline()
            await asyncio.sleep(0.3)
            writer.close()

        tracemalloc.start()
        try:
            await asyncio.gather(*(call() for _ in range(CONCURRENT_CALLS)))
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak < CONCURRENT_CALLS * 2 * MAX_HELD_BYTES

    run_flood(scenario, endless(sent))
