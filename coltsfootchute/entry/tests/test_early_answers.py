"""Guards against a response to an unfinished upload that wrongly looks complete."""

import asyncio
import socket
import struct

import pytest
import uvloop

from coltsfootchute.entry import requests
from coltsfootchute.entry.tests import fakes, test_declared

ROUTES = ({"prefix": "/once/", "guarantee": "at_most_once", "timeout_s": 5},)
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: 1\r\n\r\n"
UPLOAD = b"2000\r\n" + bytes(0x2000) + b"\r\n"
# More than can be sent to another target, so that the entry streams the upload.
UPLOAD_PARTS = requests.REPLAY_BYTES // 0x2000 + 8
# The first size is read ahead of the answer, the second one is streamed.
SIZES = (1000, 2 * requests.BUFFERED_RESPONSE_BYTES)
NO_LINGER = struct.pack("ii", 1, 0)


async def upload(harness, end=b"0\r\n\r\n", until=None):
    """Send an upload in parts; return the answer's bytes, and whether it was reset."""
    reader, writer = await harness.connect()

    async def write():
        writer.write(b"PUT /once/1 HTTP/1.1\r\nHost: x\r\nX-Id: r1\r\n")
        writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(UPLOAD_PARTS):
            writer.write(UPLOAD)
            await writer.drain()
        if until is not None:
            await until.wait()
        writer.write(end)

    writing = asyncio.create_task(write())
    raw = b""
    try:
        while raw[:12] in (b"", b"HTTP/1.1 200") and (
            part := await reader.read(1 << 16)
        ):
            raw += part
    except ConnectionResetError:
        return raw, True
    finally:
        writing.cancel()
        writer.close()
    return raw, False


def check_incomplete(raw, was_reset):
    """Check that an answer is a failure, or that it does not look complete."""
    if not raw.startswith(b"HTTP/1.1 200"):
        return
    assert was_reset or b"\r\n\r\n" not in raw or b"chunked" in raw
    assert not raw.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("read_bytes", [1, requests.REPLAY_BYTES])
@pytest.mark.parametrize("delay_s", [0.0, 0.002])
def test_a_response_that_is_reset_during_the_upload_is_not_complete(
    monkeypatch, runner, size, read_bytes, delay_s
):
    """The target answers at once with no length, and resets with the upload unread."""
    monkeypatch.setattr(asyncio, "run", runner)

    async def reset(target, head, reader, writer):
        await reader.readexactly(read_bytes)
        writer.write(HEAD + bytes(size))
        await writer.drain()
        await asyncio.sleep(delay_s)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        writer.transport.abort()
        return "close"

    async def scenario(harness):
        for _ in range(3):
            check_incomplete(*await upload(harness, UPLOAD_PARTS * UPLOAD))

    test_declared.run_declared(scenario, reset, routes=ROUTES)


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("size", SIZES)
def test_a_response_is_not_complete_if_the_upload_fails(monkeypatch, runner, size):
    """The entry itself closes the connection to the target when it can't go on."""
    monkeypatch.setattr(asyncio, "run", runner)
    limits = {"max_body_bytes": UPLOAD_PARTS * len(UPLOAD)}
    has_answered = asyncio.Event()

    async def answer_and_read_on(target, head, reader, writer):
        await reader.read(1)
        writer.write(HEAD + bytes(size))
        await writer.drain()
        has_answered.set()
        while await reader.read(1 << 16):
            pass
        return "close"

    async def scenario(harness):
        harness.control.declare(2, *ROUTES, limits=limits)
        await fakes.wait_until(
            lambda: harness.entry.view.routes.declaration.version == 2
        )
        check_incomplete(
            *await upload(harness, 2 * UPLOAD_PARTS * UPLOAD, has_answered)
        )

    test_declared.run_declared(scenario, answer_and_read_on, routes=ROUTES)


def test_an_early_response_that_the_target_ends_is_complete():
    """Guards against rejecting each response that ends with its connection."""

    async def answer(target, head, reader, writer):
        await fakes.read_body(head, reader)
        writer.write(HEAD + b"whole")
        await writer.drain()
        return "close"

    async def scenario(harness):
        raw, was_reset = await upload(harness)
        assert raw.startswith(b"HTTP/1.1 200") and raw.endswith(b"whole")
        assert not was_reset

    test_declared.run_declared(scenario, answer, routes=ROUTES)
