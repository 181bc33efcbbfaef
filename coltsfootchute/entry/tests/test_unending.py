"""Targets that send bytes without end, until the entry closes."""

import asyncio
import contextlib

import pytest

from coltsfootchute.entry.tests import fakes, test_declared

BLOCK_BYTES = 1 << 16
# Well above what the sockets of one connection hold.
SENT_LIMIT_BYTES = 1 << 24
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
EXTRAS = {
    "garbage": b"\xff",
    "blank lines": b"\r\n",
    "interim responses": INTERIM,
    "responses": LATE,
    "body": OK + b"\r\n" + b"a" * BLOCK_BYTES,
}
# A probe has no id, so that any response may be its own.
PROBED = {k: v for k, v in (HEADS | FRAMES | BODIES).items() if "late" not in k}


def cases(table):
    return pytest.mark.parametrize("sent", table.values(), ids=list(table))


async def flood(target, writer, unit):
    """Send until the connection ends, or far more than any bound."""
    block = unit * max(1, BLOCK_BYTES // len(unit))
    sent = 0
    while sent < SENT_LIMIT_BYTES:
        writer.write(block)
        await writer.drain()
        sent += len(block)
        target.sent = max(sent, getattr(target, "sent", 0))
        # Both ends share one loop.
        await asyncio.sleep(0)


def unending(sent, on="", before=None):
    """Return a script that sends a prefix and then repeats some bytes."""
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


async def was_cut(target):
    """Wait until the flood ends, and tell whether the entry ended it."""
    await fakes.wait_until(lambda: target.lost)
    return target.sent < SENT_LIMIT_BYTES


def play_flood(play, *scripts, routes=(READ, ONCE, QUICK), **options):
    test_declared.run_declared(play, *scripts, routes=routes, **options)


@cases(HEADS | FRAMES)
def test_bytes_that_are_no_response_do_not_hold_a_request_to_its_deadline(sent):
    async def play(stage):
        answer = await test_declared.send_request(stage)
        assert answer.refusal == "may_have_run connection_lost 502"
        # What the target sent must not come back in the refusal.
        assert len(answer.body) < 1000
        assert await was_cut(stage.targets[0])

    play_flood(play, unending(sent))


@cases(HEADS | FRAMES)
def test_a_request_that_met_an_unending_response_is_not_called_not_run(sent):
    async def play(stage):
        answer = await test_declared.send_request(stage, "/once/1", "POST", b"one")
        assert (answer.status, answer.refusal[:12]) == (502, "may_have_run")
        assert len(stage.targets[0].heads) == 1

    play_flood(play, unending(sent))


@cases(HEADS | FRAMES)
def test_a_target_of_unending_responses_loses_its_share(sent):
    async def play(stage):
        answers = [await test_declared.send_request(stage) for _ in range(30)]
        assert {(a.status, a.body) for a in answers} == {(200, b"hello")}
        assert 1 <= len(stage.targets[0].heads) <= 10

    echo = test_declared.echo()
    play_flood(play, unending(sent), echo, retries={"percent": 100})


@cases(BODIES)
def test_a_body_without_end_is_cut_so_that_it_does_not_look_complete(sent):
    """The entry must hold a bounded part of it while the caller reads nothing."""

    async def play(stage):
        reader, writer = await stage.connect()
        writer.write(b"GET /quick/1 HTTP/1.1\r\nHost: x\r\nX-Id: r1\r\n\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        await fakes.wait_until(lambda: stage.targets[0].lost)
        with pytest.raises(ConnectionResetError):
            while await reader.read(BLOCK_BYTES):
                pass
        writer.close()
        assert await was_cut(stage.targets[0])

    play_flood(play, unending(sent))


@pytest.mark.parametrize("unit", EXTRAS.values(), ids=list(EXTRAS))
def test_bytes_after_a_response_do_not_reach_the_next_one(unit):
    async def play(stage):
        for _ in range(3):
            answer = await test_declared.send_request(stage)
            assert (answer.status, answer.body) == (200, b"hello")
            assert await was_cut(stage.targets[0])

    play_flood(play, unending((WHOLE, unit)))


@pytest.mark.parametrize("unit", EXTRAS.values(), ids=list(EXTRAS))
def test_an_idle_connection_does_not_read_without_end(unit):
    async def play(stage):
        idle.clear()
        assert (await test_declared.send_request(stage)).body == b"hello"
        idle.set()
        assert await was_cut(stage.targets[0])

    idle = asyncio.Event()
    play_flood(play, unending((WHOLE, unit), before=idle))


def test_a_target_that_sends_before_it_is_asked_is_not_dialled_without_end():
    async def play(stage):
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
        stage.control.target(stage.targets[0], address=f"127.0.0.1:{port}")
        await fakes.wait_until(
            lambda: stage.entry.view.targets["t0"].address.endswith(f":{port}")
        )
        answer = await test_declared.send_request(stage)
        assert answer.status in {502, 503}
        assert 1 <= len(dialled) <= 4
        server.close()

    play_flood(play, test_declared.echo())


@cases(PROBED)
def test_unending_responses_to_probes_are_cut(sent):
    """They must cost the target its requests, and other callers nothing."""

    async def play(stage):
        for _ in range(10):
            answer = await test_declared.send_request(stage)
            assert (answer.status, answer.body) == (200, b"hello")
        assert await was_cut(stage.targets[0])
        assert not any("/read/" in head for head in stage.targets[0].heads)

    samples = {"per_target_s": 1000, "wait_s": 1}
    scripts = unending(sent, on="/health"), test_declared.echo()
    play_flood(play, *scripts, samples=samples)
