"""Selection of targets with free slots by probes right before a request."""

import asyncio
import math
import random
import time

from coltsfootchute import balancing, verdicts
from coltsfootchute.entry import requests, samplers

__all__ = ["Placer"]

# Interval between probes of different targets. A slot of a busy target becomes free
# within some ten milliseconds.
PAUSE_S = 0.015
# Minimum time for which a request waits for a target with free slots.
MIN_PATIENCE_S = 0.03
# Time for which a request waits that can no longer meet its latency objective, or that
# has none.
LATE_PATIENCE_S = 0.15
# Multiple of the typical response time that is reserved for an answer in time.
ROOM_FACTOR = 1.2
# Fraction of a target's slots that may be in use after a request was added: one slot
# in ten stays free, at least one. Targets slow down when nearly all slots are in use,
# and a load report is some milliseconds old when it is used.
OCCUPANCY = 0.9
# The same for requests that can no longer meet their objective: they leave free slots
# for requests that can.
LATE_OCCUPANCY = 0.6
# Further time for which a late request waits for a target below LATE_OCCUPANCY. During
# bursts of a few seconds, there is one within a second.
SPARE_PATIENCE_S = 0.8
# Multiple of the typical response time that a late request reserves for its answer.
LATE_ROOM = 2.0
# The same for hedges, which are sent only to targets with spare slots.
SPARE_OCCUPANCY = 0.55
# Maximum time per unit of work at a target, relative to the normal time. A slower
# target makes the answer late, so another is preferred while there is time to wait.
MAX_SLOWDOWN = 2.0


class Placer:
    """Selects a target with free slots for a request of a declared route.

    Parameters
    ----------
    sampler
        Probes targets.

    Notes
    -----
    Requests wait at the entry rather than in the queues of targets, because a request
    in the queue of a target cannot move to another target that becomes free. No
    request is sent to a target without a recent load report: a target that is busy or
    slow at the moment occupies a slot several times as long, and under overload such
    requests alone would keep the targets full. A request that can no longer meet its
    objective waits for a target below `LATE_OCCUPANCY`, and is refused as not run when
    too little time is left for its answer.
    """

    def __init__(self, sampler: samplers.Sampler):
        self._sampler = sampler

    async def place(self, call: requests.Call) -> balancing.AttemptToken:
        """Wait for a target with free slots and start an attempt there.

        Returns
        -------
        balancing.Token
            The started attempt.

        Raises
        ------
        RefusedError
            If no target is serving, or none has free slots in time.
        """
        pool = call.service.pool
        pool.deposit()
        now = time.monotonic()
        in_time_s = now + patience_s(call)
        last_s = call.deadline - LATE_ROOM * (pool.typical_response_s or 0.0)
        given_up_s = max(in_time_s, min(in_time_s + SPARE_PATIENCE_S, last_s))
        while True:
            probed = await self._sampler.sample(
                call.service, call.deadline, call.tried_target_ids
            )
            now = time.monotonic()
            is_last = now + PAUSE_S > given_up_s
            occupancy = OCCUPANCY if now + PAUSE_S <= in_time_s else LATE_OCCUPANCY
            max_pace = math.inf if is_last else MAX_SLOWDOWN
            view = pool.select_with_room(
                now, occupancy, call.tried_target_ids, max_pace
            )
            if view is not None:
                return pool.start_attempt(view, now)
            if not pool.is_serving:
                raise requests.refused(
                    verdicts.Reason.NO_TARGET, "no target is serving"
                )
            if is_last:
                raise requests.refused(
                    verdicts.Reason.QUEUE_FULL,
                    "no probed target had a free slot in time",
                )
            if not probed:
                await asyncio.sleep(PAUSE_S * random.uniform(0.7, 1.3))

    async def find(
        self, call: requests.Call, occupancy: float = SPARE_OCCUPANCY
    ) -> balancing.TargetView | None:
        """Probe some targets and return the best one with free slots, or None."""
        await self._sampler.sample(call.service, call.deadline, call.tried_target_ids)
        return call.service.pool.select_with_room(
            time.monotonic(), occupancy, call.tried_target_ids
        )


def is_late(call: requests.Call, now: float) -> bool:
    """Return whether the answer can no longer meet the latency objective."""
    if call.rule.objective_ms is None:
        return False
    usual_s = call.service.pool.typical_response_s or 0.0
    return call.age_s(now) + usual_s > call.rule.objective_ms / 1000


def patience_s(call: requests.Call) -> float:
    """Return how many seconds a request waits for a target with free slots."""
    now = time.monotonic()
    usual_s = call.service.pool.typical_response_s or 0.0
    left_s = call.deadline - now - usual_s
    if is_late(call, now) or call.rule.objective_ms is None:
        return max(0.0, min(LATE_PATIENCE_S, left_s))
    room_s = call.rule.objective_ms / 1000 - call.age_s(now) - ROOM_FACTOR * usual_s
    return max(0.0, min(max(MIN_PATIENCE_S, room_s), left_s))
