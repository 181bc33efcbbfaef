"""Selection of targets with free slots by probes right before a request."""

import asyncio
import math
import random
import time

from coltsfootchute import balancing, verdicts
from coltsfootchute.entry import pools, requests, samplers

__all__ = ["Placer"]

# Interval between probes of different targets. A slot of a busy target becomes free
# within some ten milliseconds.
PROBE_INTERVAL_S = 0.015
# Minimum time for which a request waits for a target with free slots.
MIN_WAIT_S = 0.03
# Time for which a request waits that can no longer meet its latency objective, or that
# has none.
LATE_WAIT_S = 0.15
# Multiple of the typical response time that is reserved for an answer in time.
ANSWER_TIME_FACTOR = 1.2
# Fraction of a target's slots that may be in use after a request was added: one slot
# in ten stays free, at least one. Targets slow down when nearly all slots are in use,
# and a load report is some milliseconds old when it is used.
MAX_OCCUPANCY = 0.9
# The same for requests that can no longer meet their objective: they leave free slots
# for requests that can.
MAX_LATE_OCCUPANCY = 0.6
# Further time for which a late request waits for a target below MAX_LATE_OCCUPANCY.
# During bursts of a few seconds, there is one within a second.
EXTRA_LATE_WAIT_S = 0.8
# Multiple of the typical response time that a late request reserves for its answer.
LATE_ANSWER_TIME_FACTOR = 2.0
# Maximum occupancy for hedges, which are sent only to targets with spare slots.
MAX_HEDGE_OCCUPANCY = 0.55
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
    objective waits for a target below `MAX_LATE_OCCUPANCY`, and is refused as not run
    when too little time is left for its answer.
    """

    def __init__(self, sampler: samplers.Sampler):
        self._sampler = sampler

    async def place(self, call: requests.Call) -> balancing.AttemptToken:
        """Wait for a target with free slots and start an attempt there.

        Returns
        -------
        balancing.AttemptToken
            The started attempt.

        Raises
        ------
        RefusedError
            If no target is serving, or none has free slots in time.
        """
        pool = call.service.pool
        pool.deposit()
        now = time.monotonic()
        in_time_until_s = now + max_wait_s(call)
        latest_start_s = call.deadline - LATE_ANSWER_TIME_FACTOR * (
            pool.typical_response_s or 0.0
        )
        wait_until_s = max(
            in_time_until_s, min(in_time_until_s + EXTRA_LATE_WAIT_S, latest_start_s)
        )
        while True:
            probed = await self._sampler.sample(
                call.service, call.deadline, call.tried_target_ids
            )
            now = time.monotonic()
            is_last = now + PROBE_INTERVAL_S > wait_until_s
            occupancy = (
                MAX_OCCUPANCY
                if now + PROBE_INTERVAL_S <= in_time_until_s
                else MAX_LATE_OCCUPANCY
            )
            max_slowdown = math.inf if is_last else MAX_SLOWDOWN
            view = pool.select_with_room(
                now, occupancy, call.tried_target_ids, max_slowdown
            )
            if view is not None:
                return pool.start_attempt(view, now)
            if not pool.is_serving:
                raise requests.refused(
                    verdicts.Reason.NO_TARGET, "no target is serving"
                )
            refusal = pool.rest_refusal(now, wait_until_s)
            if refusal is not None:
                raise pools.RefusedError(refusal)
            if is_last:
                raise requests.refused(
                    verdicts.Reason.QUEUE_FULL,
                    "no probed target had a free slot in time",
                )
            if not probed:
                await asyncio.sleep(PROBE_INTERVAL_S * random.uniform(0.7, 1.3))

    async def find(
        self, call: requests.Call, occupancy: float = MAX_HEDGE_OCCUPANCY
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
    typical_s = call.service.pool.typical_response_s or 0.0
    return call.age_s(now) + typical_s > call.rule.objective_ms / 1000


def max_wait_s(call: requests.Call) -> float:
    """Return how many seconds a request waits for a target with free slots."""
    now = time.monotonic()
    typical_s = call.service.pool.typical_response_s or 0.0
    remaining_s = call.deadline - now - typical_s
    if is_late(call, now) or call.rule.objective_ms is None:
        return max(0.0, min(LATE_WAIT_S, remaining_s))
    spare_s = (
        call.rule.objective_ms / 1000 - call.age_s(now) - ANSWER_TIME_FACTOR * typical_s
    )
    return max(0.0, min(max(MIN_WAIT_S, spare_s), remaining_s))
