"""Guards against requests that cold targets get from a running entry."""

import asyncio
import json
import time

import pytest

from coltsfootchute import declarations
from coltsfootchute.entry.tests import fakes, test_declared

ROUTE = {"prefix": "/read/", "timeout_s": 2, "name": "read", "host": "x"}
ROUTE |= {"guarantee": "repeatable", "shares": [{"service": "shop"}]}
SHOP = {"name": "shop", "health_path": "/health"}
ENTRIES = 20


def states(cold=None, slowdown=100):
    """Return a script whose answers state its slowdown in percent and its cold time."""
    headers = f"{test_declared.SEALED}X-Load: 0,0,8,{slowdown}\r\n"
    return test_declared.echo(headers=headers + (f"X-Cold: {cold}\r\n" if cold else ""))


def requests_at(target):
    return sum("/health" not in head for head in target.heads)


def run(scenario, *scripts, count=ENTRIES, **service):
    async def with_ramp(harness):
        control = harness.control
        document = {"version": 1, "routes": [ROUTE], "services": [SHOP | service]}
        packed = declarations.pack(json.dumps(document))
        control.publish(declaration=fakes.pb.Declaration(version=1, packed=packed))
        names = ["e1", *(f"e{n}" for n in range(2, count + 1))][:count]
        control.feed.set_instances([fakes.pb.Instance(name=name) for name in names])
        starts = harness.entry.services.slow_starts
        await fakes.wait_until(lambda: harness.entry.view.routes is not None)
        if count:
            await fakes.wait_until(lambda: starts.entries.current(time.monotonic()))
            assert starts.position == 0
        await scenario(harness)

    headers = {**test_declared.NAMES, "cold": "X-Cold"}
    samples = {"per_target_s": 1000, "wait_s": 0.05}
    fakes.run(with_ramp, *scripts, headers=headers, samples=samples)


async def send_all(harness, number=40):
    for _ in range(number):
        answer = await test_declared.send_request(harness)
        assert answer.status == 200, answer.body
        # Within the limit on probes.
        await asyncio.sleep(0.02)


# Ramp, the statement of the second target, and whether its requests are limited.
STATED = {
    "cold": (2.5, "60000", True),
    "warm": (2.5, "0", False),
    "invalid": (2.5, "soon", False),
    "no ramp": (0.0, "60000", False),
}


@pytest.mark.parametrize(
    ("ramp", "cold", "is_limited"), STATED.values(), ids=list(STATED)
)
def test_a_target_that_states_that_it_is_cold_gets_few_requests(ramp, cold, is_limited):
    async def scenario(harness):
        await send_all(harness)
        target = harness.targets[1]
        known = requests_at(target)
        await send_all(harness)
        # The entry's part of the ramp is one request in 8 s.
        assert (requests_at(target) - known <= 1) is is_limited
        metrics = harness.entry.metrics
        assert bool(metrics.statements.labels("cold").value) is (cold == "60000")
        assert metrics.cold_attempts.labels("shop").value <= is_limited

    run(scenario, states(slowdown=150), states(cold), ramp_per_s=ramp)


@pytest.mark.parametrize("registered_ms", [0, 60_000])
@pytest.mark.parametrize("count", [0, 1, ENTRIES])
def test_a_target_that_joined_gets_few_requests(count, registered_ms):
    """Without the number of entries, each of them would send as if it were alone."""

    async def scenario(harness):
        fields = {"announced_ms": int(time.time() * 1000), "warm_up_ms": registered_ms}
        await harness.add("t1", states(), **fields)
        await fakes.wait_until(lambda: "t1" in harness.entry.view.targets)
        await send_all(harness)
        sent = requests_at(harness.targets[1])
        if not registered_ms:
            # It could state in the answers to probes that it is cold.
            assert sent
        else:
            assert sent <= {0: 0, 1: 4, ENTRIES: 1}[count]

    run(scenario, states(slowdown=150), count=count, ramp_per_s=2.5, slow_start_s=60)
