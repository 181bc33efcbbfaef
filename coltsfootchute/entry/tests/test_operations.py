"""Guards against a declaration that control never receives."""

import asyncio
import random

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
