"""Guards against a declaration that control never receives."""

import asyncio
import random
import time

import pytest

from coltsfootchute import declarations, errors
from coltsfootchute.entry import clients, operations, watches
from coltsfootchute.entry.tests import fakes
from coltsfootchute.standins import links
from coltsfootchute.state.tests import test_declarations

ROUTES = 1540
TRANSFER_S = 1.5
ATTEMPTS = 6
# Operators expect an acknowledgement within this time.
ACK_S = 4.0


class FrozenControl(fakes.FakeControl):
    """A control instance that accepts connections and replies to nothing."""

    async def Declare(self, stream):  # noqa: N802
        await asyncio.Event().wait()


async def attempt(ops, declared, submitted):
    """Submit a declaration once; return whether it was acknowledged."""
    try:
        await ops.submit_declaration(declared, submitted)
    except errors.ColtsfootchuteError:
        return False
    return True


def test_a_declaration_that_is_sent_again_goes_on_over_a_slow_link():
    """Operators wait 1 s, so each attempt has to get further than the last one."""
    declared = test_declarations.declaration_of(ROUTES, random.Random(7))
    submitted = declarations.encode(declared).encode()

    async def scenario():
        control = fakes.FakeControl()
        await control.start()
        async with links.Link(control.address) as link:
            client = clients.ControlClient([link.address])
            await client.call("Report", fakes.pb.ReportRequest())
            link.limit_rate(2 * len(submitted) / TRANSFER_S, links.Direction.FORWARD)
            ops = operations.Operations(watches.View(), client, fakes.pb.Instance)
            done = [await attempt(ops, declared, submitted) for _ in range(ATTEMPTS)]
            await client.close()
        await control.stop()
        assert any(done), f"declaration not in force after {ATTEMPTS} attempts"

    asyncio.run(scenario())


def test_a_frozen_leader_does_not_hold_up_a_large_declaration():
    """The attempts share one transfer, which must turn to another instance in time."""
    declared = test_declarations.declaration_of(ROUTES, random.Random(7))
    submitted = declarations.encode(declared).encode()

    async def scenario():
        frozen, other = FrozenControl(), fakes.FakeControl()
        for control in (frozen, other):
            await control.start()
        client = clients.ControlClient([frozen.address, other.address])
        ops = operations.Operations(watches.View(), client, fakes.pb.Instance)
        async with asyncio.timeout(ACK_S):
            while not await attempt(ops, declared, submitted):
                pass
        assert other.declared.version == declared.version
        await client.close()
        for control in (frozen, other):
            await control.stop()

    asyncio.run(scenario())


RAMP = declarations.Service(name="shop", ramp_per_s=2.5)
# Service, registered and reported time in ms for which the target is cold, and whether
# the report is committed. The target was announced 10 s ago.
COLD_REPORTS = {
    "cold again": (RAMP, 0, 8000, True),
    "cold for longer": (RAMP, 15_000, 9000, True),
    "warm earlier": (RAMP, 15_000, 0, True),
    "as registered": (RAMP, 15_000, 4900, False),
    "warm as registered": (RAMP, 3000, 0, False),
    "no ramp": (declarations.Service(name="shop"), 0, 8000, False),
}


@pytest.mark.parametrize(
    ("service", "registered_ms", "reported_ms", "is_committed"),
    COLD_REPORTS.values(),
    ids=list(COLD_REPORTS),
)
def test_a_report_of_another_cold_time_reaches_the_register(
    service, registered_ms, reported_ms, is_committed
):
    """Other entries would send a target that is cold again all of its requests."""
    fields = {"target_id": "t1", "incarnation": 1, "address": "127.0.0.1:9"}
    fields |= {"services": ["shop"], "slots": 2}
    announced_ms = int(time.time() * 1000) - 10_000
    known = fakes.pb.Target(
        **fields, announced_ms=announced_ms, warm_up_ms=registered_ms
    )
    declared = declarations.Declaration(version=1, services=[service], routes=[])
    view = watches.View()
    view.targets["t1"] = known
    view.routes = declarations.RouteTable(declared)

    async def scenario():
        control = fakes.FakeControl()
        await control.start()
        client = clients.ControlClient([control.address], 0.1)
        ops = operations.Operations(view, client, fakes.pb.Instance)
        reported = fakes.pb.Target(**fields, warm_up_ms=reported_ms)
        await ops.report_target(reported)
        assert len(control.commands) == is_committed
        await client.close()
        await control.stop()

    asyncio.run(scenario())
