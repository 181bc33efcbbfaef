"""Guards against a queued request that nothing wakes."""

import asyncio
import json
import random
import time

from coltsfootchute import balancing, sections
from coltsfootchute.entry import pools

SECTION = {
    "rules": [
        {
            "name": "read",
            "methods": ["GET"],
            "path": "/**",
            "repeatable": True,
            "deadline_ms": 1000,
        }
    ]
}
PAUSE_S = 0.05
WAIT_S = 30.0


def make_service():
    pool = balancing.Pool(
        "s",
        balancing.PoolSettings("two_choices", 10, 64, WAIT_S),
        "fd-a",
        1.0,
        random.Random(1),
    )
    pool.update_targets([balancing.Target("t1", "127.0.0.1:1", "fd-a", 4)], 0.0)
    table = sections.RuleTable(sections.parse(json.dumps(SECTION)))
    return pools.Service("s", table, pool)


async def admitted_after_pause(service):
    now = time.monotonic()
    service.pool.all_views[0].closed_until_s = now + PAUSE_S
    async with asyncio.timeout(WAIT_S / 3):
        return await service.admit(5, now + WAIT_S, now)


def test_a_queued_request_starts_when_the_pause_of_a_target_ends():
    # No attempt is in flight, so no end of an attempt wakes the request.
    service = make_service()
    token = asyncio.run(admitted_after_pause(service))
    assert token.view.target.target_id == "t1"
