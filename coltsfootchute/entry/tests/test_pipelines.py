"""Guards against lost, mixed or late answers to requests that are sent ahead."""

import asyncio
import contextlib

import pytest

from coltsfootchute.entry import pipelines
from coltsfootchute.entry.tests import fakes, test_declared

READ = {"prefix": "/read/", "timeout_s": 5}
ORDER = {"prefix": "/order/", "guarantee": "at_most_once", "timeout_s": 5}
# Bound on a wait that does not end if a request is not served.
TIMEOUT_S = 5.0


class Script:
    """A script that answers each request with its path, when that is released."""

    def __init__(self, *held, close_delimited=()):
        self.released = {path: asyncio.Event() for path in held}
        self.close_delimited = close_delimited
        self.started = []
        self.left = []

    async def __call__(self, target, head, reader, writer):
        path = head.split()[1]
        self.started.append(path)
        if path in self.released and not await self._wait(path, reader):
            self.left.append(path)
            return "close"
        named = [line for line in head.split("\r\n") if line.startswith("X-Id")]
        lines = ["HTTP/1.1 200 OK", "X-Seal: 1", *named]
        if path in self.close_delimited:
            writer.write("\r\n".join([*lines, "", path]).encode())
            return "close"
        lines.append(f"Content-Length: {len(path)}")
        writer.write("\r\n".join([*lines, "", path]).encode())
        await writer.drain()

    async def _wait(self, path, reader):
        """Wait for the release; return False if the connection is closed first."""
        released = asyncio.ensure_future(self.released[path].wait())
        closed = asyncio.ensure_future(reader.read(1))
        done, pending = await asyncio.wait(
            [released, closed], return_when=asyncio.FIRST_COMPLETED
        )
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        return released in done


def request(path, method="GET", body=b"", *headers):
    lines = [f"{method} {path} HTTP/1.1", "Host: x", f"X-Id: {path}", *headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader):
    """Return status, body and whether the connection stays open."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    status = int(head.split()[1])
    if "transfer-encoding: chunked" in head:
        body = await fakes.read_body(head, reader)
    else:
        length = head.partition("content-length: ")[2].partition("\r\n")[0]
        body = await reader.readexactly(int(length))
    return status, body.decode(), "connection: close" not in head


def run(scenario, script, **options):
    async def bounded(harness):
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await harness.connect()
            with contextlib.closing(writer):
                await scenario(harness, reader, writer)

    options = {"routes": (READ, ORDER), **options}
    test_declared.run_declared(bounded, script, **options)


def test_requests_sent_ahead_run_side_by_side_and_are_answered_in_order():
    """One slow answer must not hold up the work for the requests behind it."""
    script = Script("/read/1", "/read/2")

    async def scenario(harness, reader, writer):
        paths = [f"/read/{n}" for n in range(1, 5)]
        writer.write(b"".join(map(request, paths)))
        await fakes.wait_until(lambda: set(script.started) == set(paths))
        script.released["/read/2"].set()
        script.released["/read/1"].set()
        got = [await read_answer(reader) for _ in paths]
        assert got == [(200, path, True) for path in paths]

    run(scenario, script)


def test_a_request_that_must_not_repeat_is_not_run_ahead():
    """If an earlier answer closes the connection, the caller takes it as not read."""
    script = Script("/read/1")

    async def scenario(harness, reader, writer):
        writer.write(request("/read/1") + request("/order/2", "POST", b"one"))
        writer.write(request("/read/3"))
        await fakes.wait_until(lambda: script.started)
        await asyncio.sleep(0.1)
        assert script.started == ["/read/1"]
        script.released["/read/1"].set()
        got = [await read_answer(reader) for _ in range(3)]
        assert [body for _, body, _ in got] == ["/read/1", "/order/2", "/read/3"]

    run(scenario, script)


def test_the_number_of_requests_that_are_run_ahead_is_bounded():
    script = Script("/read/0")

    async def scenario(harness, reader, writer):
        paths = [f"/read/{n}" for n in range(40)]
        writer.write(b"".join(map(request, paths)))
        await fakes.wait_until(lambda: len(script.started) == 9)
        await asyncio.sleep(0.1)
        assert len(script.started) == 9
        script.released["/read/0"].set()
        got = [(await read_answer(reader))[1] for _ in paths]
        assert got == paths

    run(scenario, script)


def test_requests_run_ahead_are_cancelled_when_the_caller_leaves():
    script = Script("/read/1", "/read/2")

    async def scenario(harness, reader, writer):
        writer.write(request("/read/1") + request("/read/2"))
        await fakes.wait_until(lambda: len(script.started) == 2)
        writer.transport.abort()
        await fakes.wait_until(lambda: set(script.left) == {"/read/1", "/read/2"})
        assert not harness.entry._calls.in_progress

    run(scenario, script)


def test_an_answer_of_unknown_length_does_not_drop_the_requests_behind_it():
    """They have been passed on, so the connection must stay open for the answers."""
    script = Script("/read/1", close_delimited=("/read/1",))

    async def scenario(harness, reader, writer):
        writer.write(request("/read/1") + request("/read/2"))
        await fakes.wait_until(lambda: len(script.started) == 2)
        script.released["/read/1"].set()
        assert await read_answer(reader) == (200, "/read/1", True)
        assert await read_answer(reader) == (200, "/read/2", True)

    run(scenario, script)


def test_nothing_behind_a_request_that_closes_its_connection_is_run():
    script = Script("/read/1")

    async def scenario(harness, reader, writer):
        writer.write(request("/read/1", "GET", b"", "Connection: close"))
        writer.write(request("/read/2"))
        await fakes.wait_until(lambda: script.started)
        await asyncio.sleep(0.1)
        script.released["/read/1"].set()
        assert await read_answer(reader) == (200, "/read/1", False)
        assert await reader.read() == b""
        assert script.started == ["/read/1"]

    run(scenario, script)


@pytest.mark.parametrize("is_one_part", [True, False])
def test_a_malformed_request_does_not_drop_the_answers_before_it(is_one_part):
    script = Script()

    async def scenario(harness, reader, writer):
        writer.write(request("/read/1") + request("/read/2"))
        if not is_one_part:
            await asyncio.sleep(0.1)
        writer.write(b"GET /read/3 HTTP/1.1\r\nbad header\r\n\r\n")
        assert await read_answer(reader) == (200, "/read/1", True)
        assert await read_answer(reader) == (200, "/read/2", True)
        assert (await reader.readline()).split()[1] == b"400"

    run(scenario, script)


@pytest.mark.parametrize("is_body_complete", [True, False])
def test_a_refused_body_does_not_drop_or_run_what_is_behind_it(is_body_complete):
    """The rest of a body must not be read as a request, nor a request be dropped."""
    script = Script()
    sent = request("/order/1", "POST", b"x" * 7_000)

    async def scenario(harness, reader, writer):
        harness.control.declare(2, READ, ORDER, limits={"max_body_bytes": 10})
        view = harness.entry.view
        await fakes.wait_until(
            lambda: view.routes.declaration.limits.max_body_bytes == 10
        )
        if is_body_complete:
            writer.write(sent + request("/read/2"))
            assert (await read_answer(reader))[::2] == (413, True)
            assert await read_answer(reader) == (200, "/read/2", True)
            return
        writer.write(sent[:-10])
        assert (await read_answer(reader))[::2] == (413, False)
        writer.write(sent[-10:] + request("/read/2"))
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        assert script.started == []

    run(scenario, script)


def test_a_stop_answers_every_request_that_was_passed_on():
    """Those that were not passed on are not read, and their callers send them again."""
    script = Script("/read/1", "/read/2")

    async def scenario(harness, reader, writer):
        writer.write(request("/read/1") + request("/read/2"))
        await fakes.wait_until(lambda: len(script.started) == 2)
        stopping = asyncio.ensure_future(harness.entry.stop())
        await fakes.wait_until(lambda: harness.entry._calls.closes_connections)
        writer.write(request("/read/3"))
        await asyncio.sleep(0.1)
        for released in script.released.values():
            released.set()
        assert await read_answer(reader) == (200, "/read/1", True)
        assert await read_answer(reader) == (200, "/read/2", False)
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        assert "/read/3" not in script.started
        await stopping

    run(scenario, script, stop_s=3.0)


def test_a_reload_changes_nothing_for_requests_in_progress():
    script = Script("/read/1")

    async def scenario(harness, reader, writer):
        writer.write(request("/read/1") + request("/read/2"))
        await fakes.wait_until(lambda: len(script.started) == 2)
        harness.entry.reload(harness.settings())
        script.released["/read/1"].set()
        assert await read_answer(reader) == (200, "/read/1", True)
        assert await read_answer(reader) == (200, "/read/2", True)

    run(scenario, script)


def test_a_target_is_free_while_its_answer_waits_for_its_turn():
    """A response that is in memory must not count as a request in progress."""
    script = Script("/read/1")

    async def scenario(harness, reader, writer):
        writer.write(request("/read/1") + request("/read/2"))
        await fakes.wait_until(lambda: len(script.started) == 2)
        views = harness.entry.services.by_name["shop"].pool.all_views
        await fakes.wait_until(lambda: sum(v.in_flight for v in views) == 1)
        script.released["/read/1"].set()
        assert await read_answer(reader) == (200, "/read/1", True)
        assert await read_answer(reader) == (200, "/read/2", True)
        await fakes.wait_until(lambda: not sum(v.in_flight for v in views))

    run(scenario, script)


def test_a_response_that_is_ready_is_delivered_after_its_time_limit():
    """Only the requests before it are late; it must not be replaced by a failure."""
    script = Script("/read/1")

    async def scenario(harness, reader, writer):
        writer.write(request("/read/1"))
        writer.write(request("/read/2", "GET", b"", "X-Deadline: 300"))
        await fakes.wait_until(lambda: len(script.started) == 2)
        await asyncio.sleep(0.5)
        script.released["/read/1"].set()
        assert await read_answer(reader) == (200, "/read/1", True)
        assert await read_answer(reader) == (200, "/read/2", True)

    run(scenario, script)


def test_the_number_of_requests_run_ahead_on_all_connections_is_bounded(monkeypatch):
    monkeypatch.setattr(pipelines, "MAX_ALL_EARLY_REQUESTS", 3)
    script = Script("/read/0")

    async def scenario(harness, reader, writer):
        second_reader, second = await harness.connect()
        for each in (writer, second):
            each.write(b"".join(request(path) for path in ("/read/0", "/read/1") * 2))
        await fakes.wait_until(lambda: len(script.started) >= 5)
        await asyncio.sleep(0.1)
        # Two requests have their turn, and three of the others may run.
        assert len(script.started) == 5
        script.released["/read/0"].set()
        for each in (reader, second_reader):
            got = [(await read_answer(each))[1] for _ in range(4)]
            assert got == ["/read/0", "/read/1"] * 2
        await fakes.wait_until(lambda: not harness.entry._calls_server.early_requests)
        second.close()

    run(scenario, script)
