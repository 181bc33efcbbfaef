"""Tests of links that must not delay the stop of a control instance."""

import asyncio
import random

import grpclib.exceptions

from coltsfootchute.control import links

LIMIT_S = 2.0


def test_stop_ends_a_link_whose_stream_fails_on_cancellation():
    async def main():
        link = links.Link("127.0.0.1:1", random.Random(0))
        exchanging, cancelled = asyncio.Event(), asyncio.Event()

        async def fail_when_cancelled():
            exchanging.set()
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                if cancelled.is_set():
                    raise
                cancelled.set()
                raise grpclib.exceptions.StreamTerminatedError("lost") from None

        link._exchange = fail_when_cancelled
        await exchanging.wait()
        stopping = asyncio.ensure_future(link.stop())
        done, _ = await asyncio.wait({stopping}, timeout=LIMIT_S)
        stopping.cancel()
        assert cancelled.is_set()
        assert done, f"the link did not stop within {LIMIT_S} s"

    asyncio.run(main())
