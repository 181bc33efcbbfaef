"""Guards against limits on heads other than those of the state in force."""

import asyncio
import tracemalloc

import pytest

from coltsfootchute.entry import heads
from coltsfootchute.entry.tests import fakes, test_declared

ROUTES = [{"prefix": "/read/", "timeout_s": 2}]
LIMIT_BYTES = 16_384
PROPER = {
    "long field": {"X_A": "a" * 12_000},
    "many fields": {f"X_{number}": "a" for number in range(400)},
    "near the limit": {"X_A": "a" * (LIMIT_BYTES - 200)},
}
TOO_LARGE = {
    "long field": {"X_A": "a" * LIMIT_BYTES},
    "many fields": {f"X_{number}": "a" * 40 for number in range(400)},
}


def declare(harness, version, limit_bytes):
    limits = {"max_header_bytes": limit_bytes}
    harness.control.declare(version, *ROUTES, limits=limits)
    return fakes.wait_until(
        lambda: harness.entry.view.routes.declaration.version == version
    )


def run(scenario):
    test_declared.run_declared(scenario, test_declared.echo(), routes=ROUTES)


@pytest.mark.parametrize("headers", PROPER.values(), ids=list(PROPER))
def test_proper_requests_with_large_heads_are_served(headers):
    """They were refused with 400 by the limits of the HTTP library."""

    async def scenario(harness):
        answer = await test_declared.send_request(harness, **headers)
        assert (answer.status, answer.body) == (200, b"hello")

    run(scenario)


@pytest.mark.parametrize("headers", TOO_LARGE.values(), ids=list(TOO_LARGE))
def test_a_head_beyond_the_limit_reaches_no_target(headers):
    async def scenario(harness):
        answer = await test_declared.send_request(harness, **headers)
        assert (answer.status, answer.headers["connection"]) == (431, "close")
        assert "aaa" not in answer.body.decode()
        assert not harness.targets[0].heads

    run(scenario)


@pytest.mark.parametrize("split", [1, 3, 4096])
def test_a_changed_limit_applies_to_open_connections(split):
    async def scenario(harness):
        async def send(size):
            fields = b"X-Id: r1\r\nX-A: " + b"a" * size + b"\r\n"
            raw = b"GET /read/1 HTTP/1.1\r\nHost: x\r\n" + fields + b"\r\n"
            for start in range(0, len(raw), split):
                writer.write(raw[start : start + split])
            head = await reader.readuntil(b"\r\n\r\n")
            return int(head.split()[1])

        reader, writer = await harness.connect()
        assert await send(500) == 200
        await reader.readexactly(5)
        await declare(harness, 2, 300)
        other = await harness.connect()
        assert await send(500) == 431
        await declare(harness, 3, 40_000)
        reader, writer = other
        assert await send(30_000) == 200
        writer.close()

    run(scenario)


def test_an_upload_whose_head_arrives_in_parts_is_not_counted_as_a_head():
    async def scenario(harness):
        body = b"b" * 100_000
        reader, writer = await harness.connect()
        head = f"PUT /read/1 HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"X-Id: r1\r\n\r")
        await asyncio.sleep(0.05)
        writer.write(b"\n" + body)
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        writer.close()

    run(scenario)


def test_heads_without_end_take_little_memory():
    """Each of many connections sends a head slowly; the bound is for each of them."""

    async def scenario(harness):
        # Both ends of a connection are in this process.
        writers = [(await harness.connect())[1] for _ in range(200)]
        tracemalloc.start()
        try:
            for _ in range(10):
                for writer in writers:
                    writer.write(b"GET /read/1 HTTP/1.1\r\nX-A: " + b"a" * 4000)
                await asyncio.sleep(0.05)
            held, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        limit = LIMIT_BYTES + heads.MAX_REQUEST_LINE_BYTES
        assert held < len(writers) * 3 * limit
        for writer in writers:
            writer.close()

    run(scenario)


def test_trailers_without_end_close_the_connection():
    async def scenario(harness):
        reader, writer = await harness.connect()
        head = b"PUT /read/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + b"1\r\na\r\n0\r\n")
        with pytest.raises(ConnectionError):
            for _ in range(1000):
                writer.write(b"X-A: " + b"a" * 4000 + b"\r\n")
                await writer.drain()
                await asyncio.sleep(0)
            await reader.readexactly(1)
            raise ConnectionResetError

    run(scenario)
