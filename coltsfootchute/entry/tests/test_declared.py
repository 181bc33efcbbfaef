"""Guards against wrong handling of requests on declared routes."""

import asyncio
import time

import pytest

from coltsfootchute.entry import daemons, pools
from coltsfootchute.entry.tests import fakes

NAMES = {
    "deadline": "X-Deadline",
    "load": "X-Load",
    "load_format": "counts",
    "request_id": "X-Id",
    "expected_target": "X-Target",
    "seal": "X-Seal",
    "not_run": "X-Not-Run",
}
READ = {"prefix": "/read/", "timeout_s": 2}
ORDER = {"prefix": "/order/", "guarantee": "at_most_once", "timeout_s": 1}
SEALED = "X-Seal: 1\r\n"


def echo(body=b"hello", headers=SEALED, status="200 OK", before=b""):
    """Return a script whose response repeats the id of the request."""

    async def script(target, head, reader, writer):
        await fakes.read_body(head, reader)
        named = [line for line in head.split("\r\n") if line.startswith("X-Id")]
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *named]
        text = "\r\n".join(lines) + f"\r\n{headers}\r\n"
        writer.write(before + text.encode() + body)
        await writer.drain()

    return script


def run_declared(
    scenario, *scripts, routes=(READ, ORDER), services=("shop",), **options
):
    async def with_declaration(harness):
        harness.control.declare(1, *routes, services=services)
        await fakes.wait_until(lambda: harness.entry.view.routes is not None)
        await scenario(harness)

    fakes.run(with_declaration, *scripts, headers=NAMES, **options)


def send_request(harness, path="/read/1", method="GET", body=b"", **headers):
    return harness.send(method, path, body, **{"X_Id": "r1", **headers})


def test_the_longest_prefix_of_the_host_selects_the_route():
    """A request must not reach the service of a shorter prefix."""

    async def scenario(harness):
        harness.control.target(harness.targets[1], services=["deep"])
        harness.control.target(harness.targets[0], services=["shop"])
        await fakes.wait_until(
            lambda: (
                {t.services[0] for t in harness.entry.view.targets.values()}
                == {"shop", "deep"}
            )
        )
        assert (await send_request(harness, "/read/deep/1")).body == b"deep"
        assert (await send_request(harness, "/read/other")).body == b"shop"
        assert (await send_request(harness, "/elsewhere/")).status == 404

    deep = {"prefix": "/read/deep/", "shares": [{"service": "deep"}]}
    run_declared(
        scenario,
        echo(b"shop"),
        echo(b"deep"),
        routes=(READ, deep),
        services=("shop", "deep"),
    )


def test_an_entry_without_a_declaration_answers_not_run():
    """A restarted entry must not answer 404 for routes that it does not know yet."""

    async def scenario():
        harness = fakes.EntryHarness()
        await harness.control.start()
        harness.control.feed.cluster_id = ""
        harness.entry = daemons.Daemon(
            harness.settings(headers=NAMES, retry_after_s=0.2)
        )
        await harness.entry.start()
        try:
            answer = await send_request(harness)
            assert (answer.status, answer.headers["retry-after"]) == (503, "0.2")
            waiting = asyncio.ensure_future(send_request(harness))
            await asyncio.sleep(0.1)
            harness.control.feed.cluster_id = "c1"
            harness.control.declare(1, READ)
            # The routes are known, but no target is.
            assert (await waiting).refusal == "not_run no_target 503"
        finally:
            await harness.stop()

    asyncio.run(scenario())


def test_an_at_most_once_request_needs_no_key_and_runs_once():
    async def scenario(harness):
        lost = await send_request(harness, "/order/1", "POST", b"one")
        assert (lost.status, lost.refusal[:12]) == (502, "may_have_run")
        assert sum(len(t.heads) for t in harness.targets) == 1
        assert not harness.control.claims

    run_declared(scenario, fakes.close_after(), fakes.close_after())


def test_a_refused_order_is_sent_to_another_target():
    shed = echo(status="503 -", headers="X-Not-Run: 1\r\n")

    async def scenario(harness):
        for _ in range(4):
            answer = await send_request(harness, "/order/1", "POST", b"one")
            assert answer.status in {200, 503}
        assert any(len(target.heads) for target in harness.targets[1:])

    run_declared(scenario, shed, echo())


@pytest.mark.parametrize("status", ["421 -", "503 -"])
def test_a_single_target_that_did_not_run_the_request_gives_503(status):
    """A refusal as not run must be true, and say when to retry."""

    async def scenario(harness):
        answer = await send_request(harness, "/order/1", "POST", b"one")
        assert (answer.status, answer.headers["retry-after"]) == (503, "0.1")

    script = echo(status=status, headers="X-Not-Run: 1\r\n")
    run_declared(scenario, script, retry_after_s=0.1)


def test_the_request_names_the_target_and_the_time_left():
    async def scenario(harness):
        assert (await send_request(harness, X_Deadline="700")).status == 200
        lines = harness.targets[0].heads[0].split("\r\n")
        named = dict(line.split(": ", 1) for line in lines[1:] if line)
        assert named["X-Target"] == "t0"
        assert named["X-Id"] == "r1"
        assert 0 < int(named["X-Deadline"]) <= 700

    run_declared(scenario, echo())


def test_an_answer_to_an_earlier_request_is_skipped():
    """A late second response to a request must not reach the next caller."""
    extra = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Id: old\r\nX-Seal: 1\r\n\r\nold"

    async def scenario(harness):
        answer = await send_request(harness)
        assert (answer.status, answer.body) == (200, b"hello")

    run_declared(scenario, echo(before=extra))


def test_a_success_without_the_seal_is_not_forwarded():
    async def scenario(harness):
        answer = await send_request(harness)
        assert (answer.status, answer.refusal[:12]) == (502, "may_have_run")

    run_declared(scenario, echo(headers=""))


def test_a_read_is_retried_after_an_incomplete_response():
    """A caller must get a complete answer if one target closed its connection."""
    broken = fakes.close_after(
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Seal: 1\r\n\r\nhalf"
    )

    async def scenario(harness):
        answers = [await send_request(harness) for _ in range(4)]
        assert {(a.status, a.body) for a in answers} == {(200, b"hello")}
        assert harness.targets[0].heads

    run_declared(scenario, broken, echo(), retries={"percent": 100})


def test_attempts_bound_the_targets_of_one_request():
    async def scenario(harness):
        assert (await send_request(harness)).status == 502
        assert sum(len(t.heads) for t in harness.targets) == 2

    run_declared(scenario, *[fakes.close_after()] * 4)


def test_a_read_is_answered_at_the_timeout_of_its_route():
    """A caller must not wait longer than the declared timeout of the route."""
    silent = asyncio.Event()

    async def scenario(harness):
        started = time.monotonic()
        answer = await send_request(harness, "/quick/1", X_Deadline="5000")
        assert answer.status == 504
        assert time.monotonic() - started < 2

    quick = {"prefix": "/quick/", "timeout_s": 0.2, "attempts": 1}
    run_declared(scenario, fakes.respond(before=silent), routes=(quick,))


def test_a_stop_finishes_requests_and_ends_in_time():
    """A planned stop must neither cut off a request nor exceed its time limit."""
    release = asyncio.Event()

    async def scenario(harness):
        running = asyncio.ensure_future(send_request(harness))
        await fakes.wait_until(lambda: harness.targets[0].heads)
        started = time.monotonic()
        stopping = asyncio.ensure_future(harness.entry.stop())
        await asyncio.sleep(0.1)
        release.set()
        answer = await running
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        await stopping
        assert time.monotonic() - started < 3

    slow = fakes.respond(before=release, headers=SEALED)
    run_declared(scenario, slow, stop_s=3)


def test_a_probe_finds_the_idle_target():
    """A request must not be sent to a target that is slow at the moment."""

    def reporting(slowdown):
        async def script(target, head, reader, writer):
            load = f"X-Load: 0,0,8,{slowdown}\r\n"
            await echo(headers=SEALED + load)(target, head, reader, writer)

        return script

    async def scenario(harness):
        for _ in range(8):
            assert (await send_request(harness)).status == 200
        runs = [
            [h for h in t.heads if h.startswith("GET /read/")] for t in harness.targets
        ]
        probes = [h for t in harness.targets for h in t.heads if "/health" in h]
        assert (len(runs[0]), len(runs[1])) == (0, 8)
        assert probes
        assert not any("X-Id" in head for head in probes)

    samples = {"per_target_s": 1000, "wait_s": 1}
    run_declared(scenario, reporting(500), reporting(100), samples=samples)


def test_a_service_without_load_reports_is_served():
    """Targets without load reports must not count as busy permanently."""

    async def scenario(harness):
        for _ in range(3):
            assert (await send_request(harness)).status == 200

    samples = {"per_target_s": 1000, "wait_s": 1}
    run_declared(scenario, echo(), samples=samples)


def test_the_burst_of_retries_is_divided_among_the_entries():
    """All entries together must not exceed the limit on retries and hedges."""

    async def scenario(harness):
        harness.control.feed.set_instances(
            [fakes.pb.Instance(name=f"e{n}", peer_address="x:1") for n in range(10)]
        )
        await fakes.wait_until(lambda: len(harness.entry.view.instances) == 10)
        pool = harness.entry.services.by_name["shop"].pool
        assert pool._settings.retry_burst == 50 * pools.BURST_FRACTION / 10

    run_declared(scenario, echo(), retries={"percent": 20, "burst": 50})


def test_a_restarted_entry_has_no_accumulated_retries():
    """Entries that restart together must not exceed the limit on retries."""

    async def scenario(harness):
        for target in harness.targets:
            harness.control.target(target, services=["lone"])
        pool = harness.entry.services.by_name["lone"].pool
        await fakes.wait_until(lambda: len(pool.all_views) == 2)
        assert (await send_request(harness)).status == 502
        assert sum(len(t.heads) for t in harness.targets) == 1
        assert (pool.retry_tokens, pool._settings.retry_burst) == (0.2, 1.0)

    retries = {"percent": 20, "burst": 50}
    lost = [fakes.close_after()] * 2
    run_declared(scenario, *lost, retries=retries, services=("lone",))


def test_reports_are_sent_to_the_watched_instance():
    """A frozen leader must not prevent an entry from reporting to control."""

    async def scenario(harness):
        silent = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = silent.sockets[0].getsockname()[1]
        client = harness.entry.client
        client._leader = f"127.0.0.1:{port}"
        harness.control.reports.clear()
        started = time.monotonic()
        await harness.entry._send_report()
        assert time.monotonic() - started < daemons.REPORT_TIMEOUT_S / 2
        assert [report.name for report in harness.control.reports] == ["e1"]
        silent.close()

    run_declared(scenario, echo())


def test_new_control_instances_are_learned_from_the_feed():
    """An entry must find control after all instances in its settings are gone."""

    async def scenario(harness):
        known = harness.control.address
        harness.control.feed.set_control_addresses([known, "127.0.0.1:9"])
        await fakes.wait_until(lambda: len(harness.entry.view.control_addresses) == 2)
        assert harness.entry.client._addresses == [known, "127.0.0.1:9"]
        assert harness.entry._watcher._control == [known, "127.0.0.1:9"]

    run_declared(scenario, echo(), follow_members=True)
