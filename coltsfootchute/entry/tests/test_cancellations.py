"""Guards against a stop that hangs because a task still runs after its cancellation."""

import asyncio

from coltsfootchute import errors
from coltsfootchute.entry import clients
from coltsfootchute.entry.tests import fakes

STOP_S = 1.0


def test_a_report_that_fails_as_it_is_cancelled_does_not_block_a_stop():
    async def scenario(harness):
        client = harness.entry.client
        report, waiting = client.report, asyncio.Event()

        async def fail_when_cancelled(*args):
            if waiting.is_set():
                return await report(*args)
            waiting.set()
            # The connection is lost at the same time as the task is cancelled.
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                raise errors.OutcomeUnknownError("the stream ended") from None

        client.report = fail_when_cancelled
        await waiting.wait()
        stopping = asyncio.ensure_future(harness.entry.stop())
        done, _ = await asyncio.wait({stopping}, timeout=3 * STOP_S)
        stopping.cancel()
        assert done, "the stop waits for a task that still runs after its cancellation"

    fakes.run(scenario, fakes.respond(), stop_s=STOP_S)


def test_a_settlement_that_fails_as_it_is_cancelled_does_not_block_a_close():
    async def scenario():
        client = clients.ControlClient(["127.0.0.1:1"])
        cancelled = asyncio.Event()

        async def fail_when_cancelled(*args, **kwargs):
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                if cancelled.is_set():
                    raise
                cancelled.set()
                raise errors.OutcomeUnknownError("the deadline ran out") from None

        client.call = fail_when_cancelled
        client.settle(fakes.pb.SettleCommand())
        await asyncio.sleep(0)
        closing = asyncio.ensure_future(client.close())
        done, _ = await asyncio.wait({closing}, timeout=STOP_S)
        closing.cancel()
        assert cancelled.is_set()
        assert done, "the close waits for a task that still runs after its cancellation"

    asyncio.run(scenario())
