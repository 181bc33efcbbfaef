"""Guards against work that a target which no longer answers keeps from being done."""

import asyncio
import os
import time

import pytest

from coltsfootchute.entry.tests import fakes, test_declared

READ = {"prefix": "/read/", "timeout_s": 4, "attempts": 3}
ORDER = {"prefix": "/order/", "guarantee": "at_most_once", "timeout_s": 2}
HANGS = {"factor": 1.5, "min_s": 0.3}
SAMPLES = {"per_target_s": 1000, "wait_s": 0.05}


class Script:
    """Script of a target that hangs on demand and answers probes with its load.

    Attributes
    ----------
    hangs
        Whether requests get no answer any more.
    load
        Load report in the answers to probes.
    """

    def __init__(self, hangs=False, load="0,0,8"):
        self.hangs = hangs
        self.load = load
        self.requests = 0

    async def __call__(self, target, head, reader, writer):
        headers = f"{test_declared.SEALED}X-Load: {self.load}\r\n"
        if "/health" not in head:
            self.requests += 1
            if self.hangs:
                await reader.read()
                return "close"
        answer = test_declared.echo(headers=headers)
        return await answer(target, head, reader, writer)


def run(scenario, *scripts, uses_probes=True, **options):
    samples = SAMPLES if uses_probes else {"per_target_s": 0}
    options = {"hangs": HANGS, "retries": {"percent": 100, "burst": 100}, **options}
    test_declared.run_declared(
        scenario, *scripts, routes=(READ, ORDER), samples=samples, **options
    )


def pool_of(harness):
    return harness.entry.services.by_name["shop"].pool


def view_of(harness, name):
    views = pool_of(harness).all_views
    return next(v for v in views if v.target.target_id == name)


async def learn_response_times(harness, count=64):
    for _ in range(count):
        assert (await test_declared.send_request(harness)).status == 200
    assert pool_of(harness).overdue.limit_s() is not None


def order(harness):
    return test_declared.send_request(harness, "/order/1", "POST", b"one")


def read(harness):
    return test_declared.send_request(harness)


def count(harness, family, *labels):
    return getattr(harness.entry.metrics, family).labels("shop", *labels).value


@pytest.mark.parametrize("evidence", ["time", "load"])
def test_a_repeatable_request_goes_elsewhere(evidence):
    """It must not wait for its time limit at a target that lost it."""
    # The load is too high for hedges.
    bad, good = Script(), Script(load="6,0,8")

    async def scenario(harness):
        if evidence == "time":
            await learn_response_times(harness)
            # The report counts the request, as if the target had queued it.
            bad.load = "6,0,8"
        bad.hangs = True
        while not count(harness, "overdue_attempts", evidence):
            began_s = time.monotonic()
            assert (await read(harness)).status == 200
        assert 0.25 < time.monotonic() - began_s < 1.5
        assert count(harness, "overdue_attempts", evidence) == 1
        assert harness.entry.metrics.retries.labels("target_timeout").value == 1

    run(scenario, bad, good)


def test_an_order_is_held_until_its_time_limit():
    """The target may still run it, so neither a retry nor an early answer is safe."""
    bad, good = Script(), Script()

    async def scenario(harness):
        await learn_response_times(harness)
        bad.hangs = good.hangs = True
        before = bad.requests + good.requests
        began_s = time.monotonic()
        assert (await order(harness)).refusal == "may_have_run target_timeout 504"
        assert time.monotonic() - began_s >= 2
        assert bad.requests + good.requests == before + 1

    run(scenario, bad, good)


def test_a_target_that_hangs_gets_one_trial_after_a_report_with_free_slots():
    """It must neither get all requests again nor none for good."""
    bad, good = Script(), Script()

    async def scenario(harness):
        await learn_response_times(harness)
        bad.hangs = True
        while not view_of(harness, "t0").hang.is_hanging:
            await read(harness)
        bad.load = "8,0,8"
        requests = bad.requests
        for _ in range(30):
            assert (await read(harness)).status == 200
        assert bad.requests == requests
        # A probe that shows free slots is not an answer, but allows one request.
        bad.load = "0,0,8"
        while bad.requests == requests:
            assert (await read(harness)).status == 200
        for _ in range(10):
            assert (await read(harness)).status == 200
        assert bad.requests == requests + 1
        assert count(harness, "hangs", "trial") == 1
        bad.hangs = False
        await fakes.wait_until(lambda: view_of(harness, "t0").hang.is_due(_now()))
        while view_of(harness, "t0").hang.is_hanging:
            assert (await read(harness)).status == 200
        assert count(harness, "hangs", "ended") == 1

    run(scenario, bad, good)


def test_the_connection_of_an_overdue_request_is_not_used_again():
    """The target never answers anything more on it."""
    before = asyncio.Event()
    late = Script()

    async def answer_late(target, head, reader, writer):
        if "/health" not in head and late.hangs:
            await before.wait()
        return await test_declared.echo()(target, head, reader, writer)

    async def scenario(harness):
        await learn_response_times(harness)
        late.hangs = True
        sending = asyncio.ensure_future(read(harness))
        await fakes.wait_until(lambda: count(harness, "overdue_attempts", "time"))
        target = harness.targets[0]
        closed = target.closed_connections
        before.set()
        # No other target exists, so the late answer is better than none.
        assert (await sending).status == 200
        await fakes.wait_until(lambda: target.closed_connections == closed + 1)
        assert not view_of(harness, "t0").hang.is_hanging

    run(scenario, answer_late, uses_probes=False)


def test_while_all_targets_hang_memory_and_descriptors_are_bounded():
    """Requests that wait for nothing must not pile up, and others fail at once."""
    scripts = [Script() for _ in range(3)]

    async def scenario(harness):
        await learn_response_times(harness)
        for script in scripts:
            script.hangs = True
        loop = asyncio.get_running_loop()
        base, most, took_s, answers, tasks = _descriptors(), 0, [], [], set()

        async def send(make):
            began_s = loop.time()
            answers.append((await make(harness)).refusal)
            if answers[-1] == "not_run targets_hang 503":
                took_s.append(loop.time() - began_s)

        end_s = loop.time() + 6
        while loop.time() < end_s:
            for make in (read, order):
                tasks.add(asyncio.ensure_future(send(make)))
            await asyncio.sleep(0.02)
            tasks = {task for task in tasks if not task.done()}
            if end_s - loop.time() < 4:
                most = max(most, _descriptors() - base)
        await asyncio.gather(*tasks)
        # Requests of eight slots at three targets, each with two connections whose
        # ends are both in this process, and requests that are just refused.
        assert most <= 8 * 3 * 4 + 20
        assert len(took_s) > len(answers) / 2
        assert sorted(took_s)[len(took_s) * 9 // 10] <= 0.1
        assert {a for a in answers if a.startswith("ran")} == set()
        for script in scripts:
            script.hangs = False
        await fakes.wait_until(lambda: not pool_of(harness).all_views[0].in_flight)
        await asyncio.sleep(3)
        for _ in range(100):
            answer = await read(harness)
            await asyncio.sleep(0.02)
        assert answer.status == 200

    run(scenario, *scripts)


def test_without_the_setting_nothing_is_watched():
    async def scenario(harness):
        assert harness.entry._calls._watch is None
        assert not pool_of(harness).overdue.is_on

    run(scenario, Script(), hangs={})


def _now():
    return time.monotonic()


def _descriptors():
    return len(os.listdir("/proc/self/fd"))
