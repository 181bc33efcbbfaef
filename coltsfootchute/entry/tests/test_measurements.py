"""Guards against probes that take more time than control has leased."""

import asyncio

import pytest

from coltsfootchute import balancing
from coltsfootchute.entry import measurements, watches
from coltsfootchute.entry.tests import fakes

SHARE_S = 0.1


@pytest.mark.parametrize("budget", [0, 10])
def test_probes_take_no_more_time_than_their_share(monkeypatch, budget):
    monkeypatch.setattr(measurements, "PROBE_INTERVAL_S", 0.005)

    async def slow(target, head, reader, writer):
        assert head.startswith("OPTIONS * HTTP/1.1\r\n")
        # Returns when the entry times the probe out and closes its connection.
        await reader.read(1)
        return "close"

    async def scenario(harness):
        if not budget:
            for _ in range(20):
                await asyncio.sleep(measurements.PROBE_INTERVAL_S)
            assert not harness.control.probe_requests
            return
        # The share is used up when no probe has arrived for many intervals.
        heads, previous = harness.targets[0].heads, -1
        while previous != len(heads) or not heads:
            previous = len(heads)
            for _ in range(40):
                await asyncio.sleep(measurements.PROBE_INTERVAL_S)
        least_s = balancing.probes.TYPICAL_PROBE_S * measurements.TIMEOUT_FRACTION
        assert len(heads) <= SHARE_S / least_s
        assert not harness.targets[1].heads
        assert len(harness.control.probe_requests) == 1
        # The counter lets operators compare the time spent with the budget.
        spent_s = harness.entry.metrics.probe_seconds.labels("shop").value
        assert 0 < spent_s <= SHARE_S

    section = {"measuring_budget_ms_per_s": budget}
    fakes.run(scenario, slow, slow, section=section)


def test_no_probe_is_sent_under_a_lease_that_ended_while_the_host_was_suspended(
    monkeypatch,
):
    """The steady clock stands still meanwhile, so it does not show the end."""
    monkeypatch.setattr(measurements, "PROBE_INTERVAL_S", 0.005)
    suspended_s = 0.0
    clock = watches.clock
    monkeypatch.setattr(watches, "clock", lambda: clock() + suspended_s)

    async def scenario(harness):
        nonlocal suspended_s
        heads, control = harness.targets[0].heads, harness.control
        await fakes.wait_until(lambda: heads)
        control.shares = []
        suspended_s = measurements.LEASE_INTERVAL_S
        sent = len(heads)
        await fakes.wait_until(lambda: len(control.probe_requests) > 1)
        for _ in range(40):
            await asyncio.sleep(measurements.PROBE_INTERVAL_S)
        # One probe may have been sent just before the clock changed.
        assert len(heads) <= sent + 1

    async def close(target, head, reader, writer):
        return "close"

    section = {"measuring_budget_ms_per_s": 10}
    fakes.run(scenario, close, section=section)
