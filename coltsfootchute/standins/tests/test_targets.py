"""Guards against a stand-in target that misses a run, which would hide a second run."""

import asyncio
import contextlib
import hashlib
import random
import subprocess
import sys
import time

import aiohttp
import aiohttp.web
import pytest

from coltsfootchute import verdicts
from coltsfootchute.standins import (
    announcers,
    arrivals,
    faults,
    fleets,
    keys,
    loads,
    records,
    targets,
)


@contextlib.asynccontextmanager
async def serving(app):
    runner = aiohttp.web.AppRunner(app, handler_cancellation=True)
    await runner.setup()
    await aiohttp.web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()


def with_target(options, scenario):
    async def run():
        target = targets.Target(options)
        async with (
            serving(target.make_app()) as url,
            aiohttp.ClientSession() as session,
        ):
            await scenario(target, session, url)

    asyncio.run(run())


def test_every_run_is_echoed_and_recorded_in_memory_and_in_the_file(tmp_path):
    path = tmp_path / "runs.jsonl"
    headers = {verdicts.KEY_HEADER: "k1", targets.REQUEST_ID_HEADER: "q1"}

    async def scenario(target, session, url):
        for _ in range(2):
            async with session.post(f"{url}/a", data=b"x", headers=headers) as resp:
                answer = await resp.json()
        assert answer["request_id"] == "q1"
        assert answer["body_sha256"] == hashlib.sha256(b"x").hexdigest()
        async with session.get(f"{url}/-/runs") as resp:
            assert [run["key"] for run in await resp.json()] == ["k1", "k1"]

    with_target(targets.Options(service_ms=1, runs=path), scenario)
    runs = records.read_runs([path])
    assert records.runs_per_key(runs) == {"k1": 2}
    assert records.read_unfinished([path]) == []


def test_full_target_sheds_without_a_run():
    async def scenario(target, session, url):
        async def get():
            async with session.get(f"{url}/a") as resp:
                return resp.status, resp.headers.get(verdicts.VERDICT_HEADER)

        results = await asyncio.gather(*(get() for _ in range(5)))
        assert results.count((503, "not_run")) == 3
        assert len(target.run_log.runs) == 2

    with_target(targets.Options(slots=2, service_ms=300, sigma=0), scenario)


def test_cancelled_request_frees_its_slot():
    async def scenario(target, session, url):
        with pytest.raises(TimeoutError):
            await session.get(f"{url}/a", timeout=aiohttp.ClientTimeout(total=0.2))

        async def is_free():
            async with session.get(f"{url}/-/load") as resp:
                return (await resp.json())["in_flight"] == 0

        await fleets.wait_until(is_free, "the slot is free", 5)
        assert len(target.run_log.runs) == 1

    with_target(targets.Options(slots=1, service_ms=60_000, sigma=0), scenario)


def test_drain_marks_later_responses():
    async def scenario(target, session, url):
        async with session.get(f"{url}/a") as resp:
            assert verdicts.DRAINING_HEADER not in resp.headers
        async with session.post(f"{url}/-/drain") as resp:
            assert resp.status == 200
        async with session.get(f"{url}/a") as resp:
            assert resp.headers[verdicts.DRAINING_HEADER] == "1"
        async with session.get(f"{url}/-/health") as resp:
            assert (await resp.json())["state"] == "serving", (
                "health is reported with a delay"
            )

    with_target(targets.Options(service_ms=1, lag_s=60), scenario)


def test_cold_and_straggling_targets_take_longer():
    options = targets.Options(service_ms=10, sigma=0, cold_s=10, cold_factor=3)
    target = targets.Target(options)
    start = time.monotonic()
    assert target.service_time_s(start) == pytest.approx(0.03, rel=0.05)
    assert target.service_time_s(start + 20) == pytest.approx(0.01)


def test_crash_header_ends_the_process_after_its_run_is_recorded(tmp_path):
    path = tmp_path / "runs.jsonl"
    args = [sys.executable, "-m", targets.__name__, "--runs", str(path)]
    with subprocess.Popen(args, stdout=subprocess.PIPE, text=True) as popen:
        url = f"http://{popen.stdout.readline().strip()}/a"

        async def crash():
            async with aiohttp.ClientSession() as session:
                await session.get(url, headers={targets.CRASH_HEADER: "1"})

        with pytest.raises(aiohttp.ClientError):
            asyncio.run(crash())
        assert popen.wait(10) == targets.CRASH_EXIT_CODE
    assert len(records.read_runs([path])) == 1
    assert len(records.read_unfinished([path])) == 1


def test_target_with_lost_lease_announces_itself_and_its_drain_again():
    sent = []

    async def handle(req):
        sent.append(req.path.removeprefix("/v1/targets"))
        is_lease_lost = (
            sent[-1] == "/t1/renew" and sent.count("") == 1 and "/t1/drain" in sent
        )
        status = 404 if is_lease_lost else 200
        return aiohttp.web.json_response({"renew_s": 0.02}, status=status)

    async def run():
        app = aiohttp.web.Application()
        app.router.add_post("/v1/targets{rest:.*}", handle)
        async with serving(app) as url, aiohttp.ClientSession() as session:
            announcement = announcers.Announcement("t1", 1, "a", "fd", ("s",), 4)
            api = url.removeprefix("http://")
            announcer = announcers.Announcer(announcement, [api], session)
            task = asyncio.create_task(announcer.run())

            async def is_announced(count):
                return sent.count("") >= count and sent[-1] == "/t1/renew"

            await fleets.wait_until(lambda: is_announced(1), "renewed", 5)
            await announcer.drain()
            await fleets.wait_until(lambda: is_announced(2), "renewed again", 5)
            task.cancel()
        second = sent.index("", 1)
        assert sent[second - 1 : second + 3] == [
            "/t1/renew",
            "",
            "/t1/drain",
            "/t1/renew",
        ]

    asyncio.run(run())


def test_reported_load_is_delayed_and_scaled():
    reporter = loads.LoadReporter(lag_s=5, factor=0.5)
    for second in range(10):
        reporter.record(loads.Load(in_flight=second, slots=4), float(second))
    assert reporter.report(4.0) is None
    assert reporter.report(9.0) == loads.Load(in_flight=2, slots=4)


def test_keys_contain_their_time_and_are_unique():
    rng = random.Random(1)
    found = [keys.uuid7(1_700_000_000_000, rng) for _ in range(100)]
    assert len(set(found)) == 100
    assert all(key.int >> 80 == 1_700_000_000_000 for key in found)
    assert all(key.version == 7 for key in found)


def test_faults_slow_work_pause_it_and_fail_it_without_a_run():
    now = 100.0
    active = faults.Faults(random.Random(1))
    active.apply(faults.Straggle(factor=10, for_s=1), now)
    assert active.completion_time_s(0.1, now) == pytest.approx(now + 1)
    assert active.completion_time_s(0.1, now + 2) == pytest.approx(now + 2.1)
    active.apply(faults.Noise(gap_s=0.01, shortest_s=1, longest_s=2, for_s=1), now + 3)
    assert now + 5 < active.completion_time_s(1.0, now + 3) < now + 7
    assert active.completion_time_s(0.1, now + 30) == pytest.approx(now + 30.1)

    async def scenario(target, session, url):
        async with session.post(f"{url}/-/fail", json={"for_s": 60}) as resp:
            assert resp.status == 200
        async with session.get(f"{url}/a") as resp:
            assert resp.status == 500
        assert target.run_log.runs == []

    with_target(targets.Options(), scenario)


async def _get(session, url, **headers):
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with session.get(f"{url}/a", headers=headers, timeout=timeout) as resp:
        return resp.status


def test_arrivals_are_recorded_with_workspace_and_leaks(tmp_path):
    """Guards against leaks and workspaces that the soak can't see."""
    path = tmp_path / "arrivals.jsonl"

    async def scenario(target, session, url):
        headers = {targets.WORKSPACE_HEADER: "w", targets.ENTRY_HEADER: "e1"}
        headers["Other"] = f"x {targets.KEY_PREFIX}1"
        assert await _get(session, url, **headers) == 200
        await session.post(f"{url}/-/hang", json={"for_s": 0.2})
        with pytest.raises(TimeoutError):
            await _get(session, url)
        assert await _get(session, url) == 200

    with_target(targets.Options(service_ms=1, arrivals=path), scenario)
    first, hung, third = arrivals.read_arrivals([path])
    assert (first.workspaces, first.entry, first.leaked) == (["w"], "e1", ["Other"])
    assert (hung.is_hung, hung.end) == (True, arrivals.End.CANCELLED)
    assert (third.is_hung, third.end) == (False, arrivals.End.ANSWERED)


def test_a_full_target_may_hang_and_serves_health_checks_meanwhile():
    """Guards against a target that sheds what the soak expects to hang."""

    async def scenario(target, session, url):
        sent = [asyncio.ensure_future(_get(session, url)) for _ in range(4)]
        await asyncio.sleep(0.1)
        async with session.get(f"{url}/-/health") as resp:
            assert "named_metrics.in_flight=2" in resp.headers[verdicts.LOAD_HEADER]
        results = await asyncio.gather(*sent, return_exceptions=True)
        assert results.count(200) == 2
        assert sum(isinstance(r, TimeoutError) for r in results) == 2

    options = targets.Options(
        slots=1, queue=1, service_ms=400, sigma=0, when_full="hang"
    )
    with_target(options, scenario)


def test_a_cold_target_states_its_time_and_counts_requests_over_its_limit():
    """Guards against a ramp that is exceeded without notice."""

    async def scenario(target, session, url):
        for _ in range(12):
            await _get(session, url)
        over = [arrival.is_over_ramp for arrival in target.arrival_log.arrivals]
        assert over == [False] * 9 + [True] * 3
        async with session.get(f"{url}/-/health") as resp:
            assert 19_000 < int(resp.headers[targets.COLD_HEADER]) <= 20_000
        await session.post(f"{url}/-/cool", json={"for_s": 0})
        async with session.get(f"{url}/-/health") as resp:
            assert resp.headers[targets.COLD_HEADER] == "0"
        await _get(session, url)
        assert not target.arrival_log.arrivals[-1].is_over_ramp

    options = targets.Options(slots=9, service_ms=1, cold_s=20, ramp_per_s=1)
    with_target(options, scenario)
