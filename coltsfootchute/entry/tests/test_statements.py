"""Guards against requests to targets that have stated that they want none."""

import asyncio
import time

import pytest

from coltsfootchute.entry.tests import fakes, test_declared

ROUTES = [
    {"prefix": "/read/", "timeout_s": 4, "objective_s": 2},
    {"prefix": "/once/", "guarantee": "at_most_once", "timeout_s": 4},
]
LEAVING = "Coltsfootchute-Draining: 1\r\n"
SHED = "503 Service Unavailable"
SAMPLES = {"per_target_s": 1000, "wait_s": 0.05}


def states(headers="", status="200 OK", body=b"hello", cut=False):
    """Return a script whose responses state something; probes are answered plainly."""

    async def script(target, head, reader, writer):
        load = f"X-Load: 0,0,4\r\n{test_declared.SEALED}"
        if "/health" in head:
            return await test_declared.echo(headers=load)(target, head, reader, writer)
        echo = test_declared.echo(body, load + headers, status)
        if not cut:
            return await echo(target, head, reader, writer)
        await echo(target, head, reader, CutWriter(writer))
        return "close"

    return script


class CutWriter:
    """Writer that drops the last byte of each response."""

    def __init__(self, writer):
        self._writer = writer

    def write(self, data):
        self._writer.write(data[:-1])

    async def drain(self):
        await self._writer.drain()


def requests_at(target):
    return sum("/health" not in head for head in target.heads)


def run(scenario, *scripts, uses_probes=True, routes=ROUTES, **options):
    samples = SAMPLES if uses_probes else {"per_target_s": 0}
    test_declared.run_declared(
        scenario, *scripts, routes=routes, samples=samples, **options
    )


STATEMENTS = {
    "success": states(LEAVING),
    "error": states(LEAVING, "500 Internal Server Error"),
    "shed": states(LEAVING + "X-Not-Run: 1\r\n", SHED),
    "not found": states(LEAVING, "404 Not Found"),
    "cut": states(LEAVING, cut=True),
}


@pytest.mark.parametrize("uses_probes", [False, True])
@pytest.mark.parametrize("script", STATEMENTS.values(), ids=list(STATEMENTS))
def test_a_target_that_says_it_leaves_gets_no_more_requests(script, uses_probes):
    """Its report was late, so the feed said that it was serving."""

    async def scenario(harness):
        leaver, stayer = harness.targets
        while not requests_at(leaver):
            await test_declared.send_request(harness, "/once/1", "POST", b"one")
        # The same incarnation is registered again, by a late report.
        harness.control.publish(removed_target_id="t0")
        harness.control.target(leaver)
        harness.control.target(stayer, slots=9)
        targets = harness.entry.view.targets
        await fakes.wait_until(lambda: targets["t1"].slots == 9)
        count = requests_at(leaver)
        answers = [await test_declared.send_request(harness) for _ in range(20)]
        assert {answer.status for answer in answers} == {200}
        assert requests_at(leaver) == count == 1
        # A new start of the target is used at once.
        leaver.script = states()
        harness.control.target(leaver, incarnation=2)
        await fakes.wait_until(lambda: targets["t0"].incarnation == 2)
        for _ in range(40):
            await test_declared.send_request(harness)
        assert requests_at(leaver) > count

    run(scenario, script, states(), uses_probes=uses_probes)


@pytest.mark.parametrize("status", ["200 OK", SHED])
def test_a_target_that_says_so_to_a_probe_gets_no_requests(status):
    async def leaving_health(target, head, reader, writer):
        headers = f"X-Load: 0,0,4\r\n{LEAVING}{test_declared.SEALED}"
        return await test_declared.echo(headers=headers, status=status)(
            target, head, reader, writer
        )

    async def scenario(harness):
        leaver = harness.targets[0]
        await test_declared.send_request(harness)
        service = harness.entry.services.by_name["shop"]
        view = next(v for v in service.pool.all_views if v.target.target_id == "t0")
        while not view.is_draining:
            await test_declared.send_request(harness)
        count = requests_at(leaver)
        for _ in range(20):
            assert (await test_declared.send_request(harness)).status == 200
        assert requests_at(leaver) == count

    run(scenario, leaving_health, states())


def test_another_target_at_the_address_states_nothing_about_this_one():
    """Addresses of targets that left are used again."""

    async def scenario(harness):
        for _ in range(10):
            await test_declared.send_request(harness)
        views = harness.entry.services.by_name["shop"].pool.all_views
        assert not any(view.is_draining or view.rest_until_s > 0 for view in views)

    headers = f"{LEAVING}Retry-After: 9\r\n"
    run(scenario, states(headers, "421 Misdirected Request"), states())


@pytest.mark.parametrize("uses_probes", [False, True])
@pytest.mark.parametrize("resting", [1, 3, 4])
def test_targets_at_rest_get_no_requests_under_load(resting, uses_probes):
    """Each entry went on to send them requests, which they turned away."""
    rest_s, callers = 4.0, 4
    shed = states(f"Retry-After: {rest_s}\r\nX-Not-Run: 1\r\n", SHED)

    async def scenario(harness):
        loop = asyncio.get_running_loop()
        first_s, answers = {}, []

        async def call(until_s):
            while loop.time() < until_s:
                began_s = time.monotonic()
                answer = await test_declared.send_request(harness)
                answers.append((answer, time.monotonic() - began_s))
                for target in harness.targets:
                    if requests_at(target):
                        first_s.setdefault(target.name, loop.time())
                await asyncio.sleep(0.02)

        await asyncio.gather(*(call(loop.time() + 1.2) for _ in range(callers)))
        for target in harness.targets[:resting]:
            assert loop.time() - first_s[target.name] < rest_s
            # Those that were on their way when the first one was turned away.
            assert requests_at(target) <= callers
        refused = [answer for answer, _ in answers if answer.status != 200]
        assert max(took_s for _, took_s in answers) < 0.5
        if resting < 4:
            assert len(refused) <= callers * resting
            return
        assert {answer.status for answer in refused} == {503}
        late = [a for a in refused if a.refusal == "not_run targets_at_rest 503"]
        returns_s = {float(answer.headers["retry-after"]) for answer in late}
        assert len(returns_s) > len(late) / 2 > 50
        assert max(returns_s) <= 1.5 * 1.2 * rest_s

    scripts = [shed] * resting + [states()] * (4 - resting)
    routes = [{"prefix": "/read/", "timeout_s": 1, "objective_s": 0.1, "attempts": 4}]
    retries = {"percent": 100, "burst": 100}
    run(scenario, *scripts, uses_probes=uses_probes, routes=routes, retries=retries)


def test_the_only_target_is_used_again_after_its_rest():
    rest_s = 0.5

    async def scenario(harness):
        target = harness.targets[0]
        answer = await test_declared.send_request(harness)
        assert answer.refusal.endswith("503")
        target.script = states()
        # Within its deadline the request waits for the end of the rest.
        began_s = time.monotonic()
        answers = await asyncio.gather(
            *(test_declared.send_request(harness) for _ in range(5))
        )
        assert {answer.status for answer in answers} == {200}
        assert rest_s - 0.1 < time.monotonic() - began_s < 3 * rest_s

    run(scenario, states(f"Retry-After: {rest_s}\r\nX-Not-Run: 1\r\n", SHED))


@pytest.mark.parametrize("value", ["soon", "-1", "0", "1e3", ""])
def test_an_unreadable_time_to_rest_is_ignored(value):
    async def scenario(harness):
        await test_declared.send_request(harness)
        harness.targets[0].script = states()
        for _ in range(20):
            if (await test_declared.send_request(harness)).status == 200:
                return
            await asyncio.sleep(0.1)
        pytest.fail("the target is not used")

    run(scenario, states(f"Retry-After: {value}\r\nX-Not-Run: 1\r\n", SHED))
