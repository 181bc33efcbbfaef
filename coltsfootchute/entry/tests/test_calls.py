"""Guards against wrong verdicts, repeated requests, mixed or incomplete answers."""

import asyncio

import aiohttp
import pytest

from coltsfootchute import verdicts
from coltsfootchute.entry.tests import fakes

HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"
_LONG_QUEUE = {"length": 64, "wait_ms": 5000}
SHED = "Coltsfootchute-Verdict: not_run\r\n"


def test_repeatable_requests_are_forwarded_on_a_kept_connection():
    async def scenario(harness):
        for _ in range(3):
            answer = await harness.send("GET", "/shop/items/1?a=b", Connection="close")
            assert (answer.status, answer.body) == (200, b"hello")
        assert harness.targets[0].connections == 1
        head = harness.targets[0].heads[0]
        assert head.startswith("GET /items/1?a=b HTTP/1.1\r\n")
        assert "Coltsfootchute-Depth: 1\r\n" in head
        assert "Coltsfootchute-Attempts-Left: 0\r\n" in head
        assert "Coltsfootchute-Deadline-Ms: " in head
        assert "connection:" not in head.lower()

    fakes.run(scenario, fakes.respond())


def test_a_claimed_request_uses_a_new_connection_and_is_settled():
    async def scenario(harness):
        for _ in range(2):
            answer = await harness.order()
            assert (answer.status, answer.body) == (200, b"hello")
        await fakes.wait_until(lambda: len(harness.control.settlements) == 2)
        assert harness.targets[0].connections == 2
        claim, settled = harness.control.claims[0], harness.control.settlements[0]
        assert (settled.key, settled.attempt_id) == (claim.key, claim.attempt_id)
        assert not settled.released
        assert settled.answer.body == b"hello"

    fakes.run(scenario, fakes.respond())


_LOST = "may_have_run connection_lost 502"


@pytest.mark.parametrize(
    ("script", "refusal"),
    [
        (fakes.close_after(), _LOST),
        (fakes.close_after(reset=True), _LOST),
        (fakes.close_after(b"HTTP/1.1 2"), _LOST),
        (fakes.close_after(b"noise\r\n\r\n"), _LOST),
        (fakes.respond(status="503 -", headers=SHED), "not_run target_shed 503"),
    ],
)
def test_the_verdict_of_each_failure_of_a_single_target(script, refusal):
    async def scenario(harness):
        answer = await harness.order()
        assert answer.refusal == refusal
        assert len(harness.targets[0].heads) == 1
        released = refusal.startswith("not_run")
        await fakes.wait_until(lambda: len(harness.control.settlements) == released)
        assert all(s.released for s in harness.control.settlements)

    fakes.run(scenario, script)


def test_a_refused_connection_is_not_run_and_retried_at_another_target():
    async def scenario(harness):
        dead = fakes.FakeTarget("dead", None)
        await dead.start()
        await dead.stop()
        harness.control.target(dead, slots=100)
        await fakes.wait_until(lambda: "dead" in harness.entry.view.targets)
        for _ in range(6):
            assert (await harness.order()).status == 200
        assert len(harness.targets[0].heads) == 6
        await harness.targets[0].stop()
        answer = await harness.order()
        assert answer.refusal == "not_run connection_failed 502"
        await fakes.wait_until(lambda: harness.control.settlements[-1].released)

    fakes.run(scenario, fakes.respond())


def test_retries_after_failed_connections_need_no_budget():
    """A killed target must not cause refusals after hedges used the retry budget."""

    async def scenario(harness):
        for name in ("dead1", "dead2"):
            dead = fakes.FakeTarget(name, None)
            await dead.start()
            await dead.stop()
            harness.control.target(dead, slots=100)
        await fakes.wait_until(lambda: "dead2" in harness.entry.view.targets)
        for _ in range(6):
            assert (await harness.send("GET", "/shop/items/1")).status == 200

    fakes.run(scenario, fakes.respond(), section={"retry_budget_percent": 0})


def test_a_retry_after_a_failed_connection_waits_for_a_busy_target():
    release = asyncio.Event()

    async def scenario(harness):
        busy = asyncio.ensure_future(harness.send("GET", "/shop/items/1"))
        await fakes.wait_until(lambda: harness.targets[0].heads)
        dead = fakes.FakeTarget("dead", None)
        await dead.start()
        await dead.stop()
        harness.control.target(dead, slots=100)
        await fakes.wait_until(lambda: "dead" in harness.entry.view.targets)
        (view,) = [
            view
            for view in harness.entry.services.by_name["shop"].pool.all_views
            if view.target.target_id != "dead"
        ]
        view.limit.set_maximum(1)
        waiting = asyncio.ensure_future(harness.send("GET", "/shop/items/2"))
        admission = harness.entry.services.by_name["shop"].pool.admission
        await fakes.wait_until(lambda: len(admission) or waiting.done())
        assert not waiting.done()
        release.set()
        assert (await busy).status == (await waiting).status == 200

    fakes.run(scenario, fakes.respond(before=release), section={"queue": _LONG_QUEUE})


def _written_twice(harness):
    return sum(len(target.heads) for target in harness.targets) > 1


async def _order_at_two_failing_targets(harness):
    answer = await harness.order()
    assert answer.refusal.startswith("may_have_run")
    return _written_twice(harness)


def test_a_request_that_may_have_run_is_not_sent_again():
    async def scenario(harness):
        assert not await _order_at_two_failing_targets(harness)

    fakes.run(scenario, fakes.close_after(), fakes.close_after())


def test_the_check_of_repeated_requests_detects_a_wrong_verdict(monkeypatch):
    """The check must fail if every verdict allows a retry."""
    monkeypatch.setattr(
        verdicts.Verdict, "allows_retry", lambda self, *, repeatable: True
    )

    async def scenario(harness):
        assert await _order_at_two_failing_targets(harness)

    fakes.run(scenario, fakes.close_after(), fakes.close_after())


async def _once_then_close(target, head, reader, writer):
    script = fakes.close_after() if len(target.heads) > 1 else fakes.respond()
    return await script(target, head, reader, writer)


@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_the_http_client_does_not_resend_a_request(method):
    async def scenario(harness):
        assert (await harness.send("GET", "/shop/items/1")).status == 200
        answer = await harness.send(method, "/shop/items/1", b"x")
        assert answer.refusal == _LOST
        assert (len(harness.targets[0].heads), harness.targets[0].connections) == (2, 1)

    fakes.run(scenario, _once_then_close)


def test_the_check_of_the_http_client_detects_its_automatic_retry():
    """The session of aiohttp resends idempotent methods on a kept-alive connection."""

    async def scenario(harness):
        url = f"http://{harness.targets[0].address}/"
        async with aiohttp.ClientSession() as session:
            await (await session.get(url)).read()
            with pytest.raises(aiohttp.ServerDisconnectedError):
                await session.get(url)
        assert len(harness.targets[0].heads) == 3

    fakes.run(scenario, _once_then_close)


def test_a_repeatable_request_is_repeated_with_its_body_within_the_budget():
    async def scenario(harness):
        answers = [await harness.send("PUT", "/shop/items/1", b"data") for _ in "abc"]
        assert [a.status for a in answers] == [200] * 3
        healthy = next(t for t in harness.targets if t.bodies)
        assert healthy.bodies == [b"data"] * 3

    fakes.run(scenario, fakes.close_after(), fakes.respond())

    async def without_budget(harness):
        answers = [await harness.send("GET", "/shop/items/1") for _ in range(8)]
        assert {a.status for a in answers} == {200, 502}

    section = {"retry_budget_percent": 0}
    scripts = fakes.close_after(), fakes.respond()
    fakes.run(without_budget, *scripts, section=section)


@pytest.mark.parametrize("headers", [{}, {"Coltsfootchute_Attempts_Left": "0"}])
def test_no_retry_without_attempts_left_or_beyond_the_replay_buffer(headers):
    body = b"x" if headers else b"x" * 200_000

    async def scenario(harness):
        answer = await harness.send("PUT", "/shop/items/1", body, **headers)
        assert answer.refusal.startswith("may_have_run")
        assert sum(len(t.heads) for t in harness.targets) == 1

    async def read_and_close(target, head, reader, writer):
        await fakes.read_body(head, reader)
        return "close"

    fakes.run(scenario, read_and_close, read_and_close)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("reset", [False, True])
def test_a_truncated_answer_never_looks_complete(chunked, reset):
    text = HALF
    if chunked:
        text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"

    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(b"POST /shop/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n")
        writer.write(f"Idempotency-Key: {fakes.uuid7()}\r\n\r\n".encode())
        raw = b""
        with pytest.raises(ConnectionResetError):
            while part := await reader.read(1000):
                raw += part
        assert not raw.endswith(b"0\r\n\r\n")
        assert len(harness.targets[0].heads) == 1
        assert not harness.control.settlements
        writer.close()

    fakes.run(scenario, fakes.close_after(text, reset))


def test_answers_of_two_requests_are_never_mixed():
    """Bytes after a complete response must not become part of another answer."""

    async def twice(target, head, reader, writer):
        script = fakes.respond(head.split()[1].encode())
        await script(target, head, reader, writer)
        await script(target, head, reader, writer)

    async def scenario(harness):
        for number in range(5):
            answer = await harness.send("GET", f"/shop/items/{number}")
            assert answer.body in {f"/items/{number}".encode(), answer.body[:0]}
            assert answer.status in {200, 502}

    fakes.run(scenario, twice)


def test_the_late_response_of_a_hedged_request_reaches_no_caller():
    first_heads = []
    late = asyncio.Event()

    async def slow_if_first(target, head, reader, writer):
        first_heads.append(target)
        if len(first_heads) > 1:
            return await fakes.respond(b"fast")(target, head, reader, writer)
        await fakes.respond(b"late", before=late)(target, head, reader, writer)
        return "close"

    async def scenario(harness):
        pool = harness.entry.services.by_name["shop"].pool
        for _ in range(200):
            pool._hedge_delay.record(0.002)
        answer = await harness.send("GET", "/shop/hedged")
        assert answer.body == b"fast"
        assert len({target.name for target in first_heads}) == 2
        await fakes.wait_until(lambda: not any(v.in_flight for v in pool.all_views))
        late.set()
        await fakes.wait_until(lambda: first_heads[0].closed_connections)
        for _ in range(20):
            assert (await harness.send("GET", "/shop/hedged")).body == b"fast"

    fakes.run(scenario, slow_if_first, slow_if_first)


def test_a_disconnected_caller_cancels_the_request_at_the_target():
    never = asyncio.Event()

    async def scenario(harness):
        _, writer = await harness.connect()
        writer.write(b"GET /shop/items/1 HTTP/1.1\r\nHost: x\r\n\r\n")
        await fakes.wait_until(lambda: harness.targets[0].heads)
        pool = harness.entry.services.by_name["shop"].pool
        assert pool.all_views[0].in_flight == 1
        writer.close()
        await fakes.wait_until(lambda: pool.all_views[0].in_flight == 0)

    fakes.run(scenario, fakes.respond(before=never))


def test_the_deadline_bounds_the_whole_call():
    never = asyncio.Event()

    async def scenario(harness):
        late = {"Coltsfootchute_Deadline_Ms": "700"}
        answer = await harness.order(**late)
        assert answer.refusal == "may_have_run target_timeout 504"
        assert not harness.control.settlements
        harness.control.may_reply.clear()
        answer = await harness.order(**late)
        assert answer.refusal == "not_run deadline 504"
        harness.control.may_reply.set()
        await fakes.wait_until(lambda: len(harness.control.settlements) == 1)
        assert harness.control.settlements[0].released

    fakes.run(scenario, fakes.respond(before=never))


_DEPTH = "Coltsfootchute_Depth"


@pytest.mark.parametrize(
    ("line", "headers", "refusal"),
    [
        ("GET /none/items/1", {}, "not_run no_service 404"),
        ("DELETE /shop/items/1", {}, "not_run no_rule 404"),
        ("GET /shop/items/../orders", {}, "not_run bad_request 400"),
        ("GET /shop/items/%2e%2E/a", {}, "not_run bad_request 400"),
        ("GET /shop/items/1", {_DEPTH: "13"}, "not_run too_deep 400"),
        ("GET /shop/items/1", {_DEPTH: "-1"}, "not_run bad_request 400"),
        ("POST /shop/orders", {}, "not_run key_required 400"),
        ("POST /shop/orders", {"Idempotency_Key": "a"}, "not_run key_malformed 400"),
        ("GET /shop/items/1", {}, "not_run no_target 503"),
    ],
)
def test_refusals_before_anything_is_sent(line, headers, refusal):
    async def scenario(harness):
        answer = await harness.send(*line.split(), **headers)
        assert answer.refusal == refusal
        assert ("retry-after" in answer.headers) == refusal.endswith("503")

    fakes.run(scenario)


def test_large_bodies_stream_both_ways_with_bounded_memory():
    size = 3 << 20

    async def echo(target, head, reader, writer):
        script = fakes.respond(await fakes.read_body(head, reader))
        return await script(target, "", reader, writer)

    async def scenario(harness):
        body = bytes(range(256)) * (size // 256)
        answer = await harness.send("PUT", "/shop/items/1", body)
        assert answer.body == body
        answer = await harness.send("PUT", "/shop/items/1", body + body)
        assert answer.refusal == "not_run body_too_large 413"

    fakes.run(scenario, echo)


def test_the_head_of_a_slow_response_is_sent_at_once():
    go = asyncio.Event()

    async def head_first(target, head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
        await go.wait()
        writer.write(b"rest")

    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(b"GET /shop/items/1 HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"200 OK" in await reader.readuntil(b"\r\n\r\n")
        go.set()
        assert await reader.readexactly(4) == b"rest"
        writer.close()

    fakes.run(scenario, head_first)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_chunked_uploads_and_answers_are_forwarded(version):
    async def chunked(target, head, reader, writer):
        target.bodies.append(await fakes.read_body(head, reader))
        assert "Expect" not in head
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if not head.startswith("HEAD"):
            writer.write(b"3\r\nabc\r\n0\r\n\r\n")

    async def scenario(harness):
        reader, writer = await harness.connect()
        head = f"PUT /shop/items/1 HTTP/{version}\r\nHost: x\r\nConnection: close\r\n"
        if version == "1.1":
            writer.write(f"{head}Transfer-Encoding: chunked\r\n".encode())
            writer.write(b"Expect: 100-continue\r\n\r\n")
            assert (
                await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            )
            part = b"x" * 0x10000
            writer.writelines([b"10000\r\n" + part + b"\r\n"] * 4 + [b"0\r\n\r\n"])
            body = part * 4
        else:
            body = b"data"
            writer.write(f"{head}Content-Length: 4\r\n\r\n".encode() + body)
        answer = fakes.Answer(await reader.read(-1))
        wire = b"abc" if version == "1.0" else b"3\r\nabc\r\n0\r\n\r\n"
        assert (answer.body, harness.targets[0].bodies) == (wire, [body])
        head = await harness.send("HEAD", "/shop/items/1")
        assert (head.status, head.body) == (200, b"")
        writer.close()

    fakes.run(scenario, chunked)
