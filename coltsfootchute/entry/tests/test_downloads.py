"""Guards against large answers that are cut short, repeated or held in memory."""

import asyncio
import socket

import pytest

from coltsfootchute.entry import requests, stops
from coltsfootchute.entry.tests import fakes, test_declared

SIZE = 4 << 20
# More than the buffers of the kernel on all sockets together.
LARGE_SIZE = 64 << 20
PART = 1 << 16
BUFFERED = requests.BUFFERED_RESPONSE_BYTES
# Bound on the bytes of one answer in the process of the entry.
MAX_HELD_BYTES = 1 << 20


class Download:
    """A script that sends a large body in parts, and may end it early."""

    def __init__(self, size=SIZE, ends_after=None, release=None):
        self.size = size
        self.ends_after = size if ends_after is None else ends_after
        self.release = release
        self.sent = 0
        self.was_closed = asyncio.Event()

    async def __call__(self, target, head, reader, writer):
        line = next(h for h in head.split("\r\n") if h.startswith("X-Id"))
        lines = ["HTTP/1.1 200 OK", f"Content-Length: {self.size}", "X-Seal: 1", line]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        sent = 0
        try:
            while sent < self.ends_after:
                if self.release is not None and sent >= self.size // 2:
                    await self.release.wait()
                part = b"x" * min(PART, self.ends_after - sent)
                writer.write(part)
                sent += len(part)
                self.sent = max(self.sent, sent)
                await writer.drain()
        except ConnectionError:
            self.was_closed.set()
            return "close"
        return "close" if self.ends_after < self.size else None


async def open_slow_caller(harness):
    """Send a request on a connection with a small receive buffer, and read nothing."""
    host, _, port = harness.entry.calls_address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 14)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (host, int(port)))
    lines = ["GET /read/1 HTTP/1.1", "Host: x", "X-Id: slow", "", ""]
    await loop.sock_sendall(sock, "\r\n".join(lines).encode())
    return sock


def run(scenario, *scripts, timeout_s=5, **options):
    route = {"prefix": "/read/", "timeout_s": timeout_s, "attempts": 3}
    options = {"retries": {"percent": 100}, **options}
    test_declared.run_declared(scenario, *scripts, routes=(route,), **options)


def test_a_large_answer_arrives_whole():
    async def scenario(harness):
        answer = await test_declared.send_request(harness)
        assert (answer.status, len(answer.body)) == (200, SIZE)

    run(scenario, Download())


@pytest.mark.parametrize("ends_after", [0, PART, BUFFERED - 1])
def test_an_answer_that_ends_before_any_byte_was_sent_on_is_repeated(ends_after):
    async def scenario(harness):
        bodies = [
            (await test_declared.send_request(harness, X_Id=f"r{n}")).body
            for n in range(4)
        ]
        assert {len(body) for body in bodies} == {SIZE}
        assert harness.targets[0].heads

    run(scenario, Download(ends_after=ends_after), Download())


def test_an_answer_that_ends_after_its_first_bytes_is_visibly_broken():
    """It must not be continued with bytes of another response, nor look complete."""
    scripts = [Download(ends_after=SIZE // 2) for _ in range(2)]

    async def scenario(harness):
        with pytest.raises(ConnectionResetError):
            await test_declared.send_request(harness)
        assert sum(len(target.heads) for target in harness.targets) == 1

    run(scenario, *scripts)


def test_a_caller_that_reads_slowly_holds_up_neither_memory_nor_other_callers():
    script, other = Download(LARGE_SIZE), Download()

    async def scenario(harness):
        sock = await open_slow_caller(harness)
        sent = -1
        while sent != script.sent:
            sent = script.sent
            await asyncio.sleep(0.1)
        assert 0 < sent < LARGE_SIZE
        server = harness.entry._calls_server
        held = stops.unsent_bytes(stops.transports_of(server))
        assert 0 < held < MAX_HELD_BYTES
        harness.targets[0].script = other
        answer = await test_declared.send_request(harness)
        assert (answer.status, len(answer.body)) == (200, SIZE)
        sock.close()

    run(scenario, script)


def test_a_target_is_released_when_a_slow_caller_reaches_its_time_limit():
    script = Download(LARGE_SIZE)

    async def scenario(harness):
        sock = await open_slow_caller(harness)
        async with asyncio.timeout(5):
            await script.was_closed.wait()
        sock.close()

    run(scenario, script, timeout_s=0.5)


@pytest.mark.parametrize("is_released", [True, False])
def test_a_stop_during_a_large_answer_finishes_it_or_breaks_it_visibly(is_released):
    release = asyncio.Event()

    async def scenario(harness):
        sending = asyncio.ensure_future(test_declared.send_request(harness))
        target = harness.targets[0]
        await fakes.wait_until(lambda: target.script.sent >= SIZE // 2)
        stopping = asyncio.ensure_future(harness.entry.stop())
        await asyncio.sleep(0.1)
        if is_released:
            release.set()
            assert len((await sending).body) == SIZE
        else:
            with pytest.raises(ConnectionResetError):
                await sending
        await stopping

    run(scenario, Download(release=release), stop_s=2.0, timeout_s=20)
