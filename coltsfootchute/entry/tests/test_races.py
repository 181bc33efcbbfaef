"""Guards against a server error that hides the success of the other attempt."""

import asyncio
import types

import pytest

from coltsfootchute.entry import races


async def respond(code, delay_s):
    await asyncio.sleep(delay_s)
    attempt = types.SimpleNamespace(message=types.SimpleNamespace(code=code))
    return attempt, None


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        ((500, 0.02), (200, 0.04), 200),
        ((200, 0.04), (500, 0.01), 200),
        ((500, 0.02), (502, 0.04), 500),
        ((404, 0.02), (200, 0.04), 404),
        ((500, 0.001), (200, 0.0), 500),
    ],
)
def test_a_server_error_loses_to_a_hedge_that_succeeds(first, second, expected):
    """The last case ends before the hedge, and the caller of `run` may retry it."""
    discarded = []

    async def scenario():
        delay_s = 0.01
        winner, _ = await races.run(
            respond(*first),
            delay_s,
            lambda: respond(*second),
            lambda result: discarded.append(result[0].message.code),
        )
        await asyncio.sleep(0.05)
        return winner.message.code

    assert asyncio.run(scenario()) == expected
    assert expected not in discarded
