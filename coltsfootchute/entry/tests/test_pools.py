"""Guards against queued requests that never start, and wrong shares of slots."""

import asyncio
import json
import random
import time
import types

from coltsfootchute import balancing, sections
from coltsfootchute.entry import pools
from coltsfootchute.entry.tests import fakes

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


def make_service(**fields):
    pool = balancing.Pool(
        "s",
        balancing.PoolSettings("two_choices", 10, 64, WAIT_S),
        "fd-a",
        1.0,
        random.Random(1),
    )
    pool.update_targets([balancing.Target("t1", "127.0.0.1:1", "fd-a", 4)], 0.0)
    table = sections.RuleTable(sections.parse(json.dumps(SECTION | fields)))
    return pools.Service("s", table, pool)


async def admit_after_pause(service):
    now = time.monotonic()
    service.pool.all_views[0].paused_until_s = now + PAUSE_S
    async with asyncio.timeout(WAIT_S / 3):
        return await service.admit(5, now + WAIT_S, now)


def test_a_queued_request_starts_when_the_pause_of_a_target_ends():
    # No attempt is in flight, so the end of an attempt does not start the request.
    service = make_service()
    token = asyncio.run(admit_after_pause(service))
    assert token.view.target.target_id == "t1"


def test_slots_are_shared_among_the_entries_of_the_service():
    # If slots were shared among all entries, the entries of the service could together
    # use only a part of them.
    instances = {name: fakes.pb.Instance(name=name) for name in "abcdefgh"}
    services = pools.Services(types.SimpleNamespace(instances=instances), "fd-a")
    services.by_name = {"s": make_service(entries=2), "t": make_service()}
    services.update_slot_shares()
    limits = {n: s.pool.all_views[0].limit.maximum for n, s in services.by_name.items()}
    assert limits == {"s": 3, "t": 1}
