"""Guards against requests that reach a failure domain after its evacuation started."""

import asyncio
import time

import pytest

from coltsfootchute import balancing
from coltsfootchute.entry.tests import fakes, test_declared

pb = fakes.pb


def requests_at(target):
    return sum("/health" not in head for head in target.heads)


def unless_probe(script):
    """Return a script that answers probes at once and runs another one otherwise."""

    async def run(target, head, reader, writer):
        chosen = test_declared.echo() if "/health" in head else script
        return await chosen(target, head, reader, writer)

    return run


async def slow(target, head, reader, writer):
    await asyncio.sleep(0.2)
    await test_declared.echo()(target, head, reader, writer)


async def evacuate(harness, domain="fd-a", ended=False):
    body = pb.Evacuation(failure_domain=domain, ended=ended)
    harness.control.publish(evacuation=body)
    revision = harness.control.feed.revision
    await fakes.wait_until(lambda: harness.entry.view.revision == revision)


# Scripts of the target that stays in use, by the kind of attempt that follows there.
SCRIPTS = {
    "first": test_declared.echo(),
    "retry": unless_probe(fakes.close_after()),
    "hedge": unless_probe(slow),
}


def run_kind(kind, uses_probes, scenario):
    """Run a scenario in which attempts of a kind would use a target of fd-a."""

    async def located(harness):
        for target, domain in zip(harness.targets, ("fd-a", "fd-b"), strict=True):
            harness.control.target(target, failure_domain=domain)
        await evacuate(harness)
        delay = harness.entry.services.by_name["shop"].pool._hedge_delay
        for _ in range(200 if kind == "hedge" else 0):
            delay.record(0.002)
        await scenario(harness)

    samples = {"per_target_s": 1000 if uses_probes else 0, "wait_s": 0.05}
    read = {"prefix": "/read/", "timeout_s": 2, "attempts": 3}
    test_declared.run_declared(
        located,
        test_declared.echo(),
        SCRIPTS[kind],
        routes=(read,),
        retries={"percent": 100, "burst": 100},
        samples=samples,
    )


def check_no_request(kind, uses_probes):
    async def scenario(harness):
        for _ in range(4):
            await test_declared.send_request(harness)
        left, used = map(requests_at, harness.targets)
        assert (left, used) == (0, 4), "a request reached the evacuated target"
        await evacuate(harness, ended=True)
        for _ in range(8):
            await test_declared.send_request(harness)
        assert requests_at(harness.targets[0]), "no request returned after the end"

    run_kind(kind, uses_probes, scenario)


@pytest.mark.parametrize("uses_probes", [False, True])
@pytest.mark.parametrize("kind", SCRIPTS)
def test_no_attempt_of_any_kind_goes_to_an_evacuated_target(kind, uses_probes):
    check_no_request(kind, uses_probes)


@pytest.mark.parametrize("kind", SCRIPTS)
def test_the_check_detects_attempts_at_an_evacuated_target(kind, monkeypatch):
    """The rule is broken only for one kind of attempt, which must take place."""
    select = balancing.Pool.select

    def broken(pool, now, exclude=(), used=balancing.AttemptKind.FIRST):
        with monkeypatch.context() as patch:
            if used.value == kind:
                patch.setattr(balancing.TargetView, "is_serving", lambda view: True)
            return select(pool, now, exclude, used)

    monkeypatch.setattr(balancing.Pool, "select", broken)
    with pytest.raises(AssertionError, match="reached the evacuated target"):
        check_no_request(kind, uses_probes=False)


@pytest.mark.parametrize("uses_probes", [False, True])
@pytest.mark.parametrize("other", [None, "fd-b"])
def test_a_waiting_request_goes_elsewhere_or_is_refused(uses_probes, other):
    """Requests that were queued or waited for a free slot must not be sent there."""
    may_answer = asyncio.Event()

    async def busy(target, head, reader, writer):
        load = f"X-Load: {requests_at(target)},0,1\r\n{test_declared.SEALED}"
        if "/health" not in head:
            await may_answer.wait()
        await test_declared.echo(headers=load)(target, head, reader, writer)

    async def scenario(harness):
        harness.control.target(harness.targets[0], slots=1)
        revision = harness.control.feed.revision
        await fakes.wait_until(lambda: harness.entry.view.revision == revision)
        first = asyncio.ensure_future(test_declared.send_request(harness))
        await fakes.wait_until(lambda: requests_at(harness.targets[0]) == 1)
        waiting = asyncio.ensure_future(test_declared.send_request(harness))
        await fakes.wait_until(lambda: harness.entry._calls.in_progress == 2)
        if other:
            await harness.add("t1", test_declared.echo(b"t1"), failure_domain=other)
            await asyncio.wait([waiting], timeout=0 if uses_probes else 0.05)
        await evacuate(harness)
        began_s = time.monotonic()
        answer = await waiting
        assert time.monotonic() - began_s < 1
        refusal = "not_run no_target 503"
        assert (answer.body == b"t1") if other else (answer.refusal == refusal)
        may_answer.set()
        assert (await first).status == 200, "a request in progress was cut"
        assert requests_at(harness.targets[0]) == 1

    samples = {"per_target_s": 1000 if uses_probes else 0, "wait_s": 0.05}
    read = {"prefix": "/read/", "timeout_s": 20, "objective_s": 10, "attempts": 1}
    test_declared.run_declared(scenario, busy, routes=(read,), samples=samples)
