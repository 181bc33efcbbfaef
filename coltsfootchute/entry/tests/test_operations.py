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


def test_a_declaration_that_is_sent_again_goes_on_over_a_slow_link():
    """Operators wait 1 s, so each attempt has to get further than the last one."""
    declared = test_declarations.declaration_of(ROUTES, random.Random(7))
    submitted = declarations.encode(declared).encode()

    async def attempt(ops):
        try:
            await ops.submit_declaration(declared, submitted)
        except errors.ColtsfootchuteError:
            return False
        return True

    async def scenario():
        control = fakes.FakeControl()
        await control.start()
        async with links.Link(control.address) as link:
            client = clients.ControlClient([link.address])
            await client.call("Report", fakes.pb.ReportRequest())
            link.limit_rate(2 * len(submitted) / TRANSFER_S, links.Direction.FORWARD)
            ops = operations.Operations(watches.View(), client, fakes.pb.Instance)
            done = [await attempt(ops) for _ in range(ATTEMPTS)]
            await client.close()
        await control.stop()
        assert any(done), f"declaration not in force after {ATTEMPTS} attempts"

    asyncio.run(scenario())
