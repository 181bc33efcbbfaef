"""Placement of requests on targets that have room, by probes right before."""

import asyncio
import math
import random
import time

from coltsfootchute import balancing, verdicts
from coltsfootchute.entry import requests, samplers

__all__ = ["Placer"]

# Pause before other targets are probed; a slot of a busy target becomes free within
# some ten milliseconds.
PAUSE_S = 0.015
# Shortest time for which a request looks for room.
MIN_PATIENCE_S = 0.03
# A request that can't meet its objective any more looks for room this long.
LATE_PATIENCE_S = 0.15
# Of the usual response time, what an answer within the objective needs.
ROOM_FACTOR = 1.2
# Part of a target's slots that may be in use after a request was added: one in ten is
# left, at least one. Targets slow down when nearly all are in use, and a report is some
# milliseconds old when it is used.
OCCUPANCY = 0.9
# For requests that can't meet their objective any more: they leave room for those
# that can.
LATE_OCCUPANCY = 0.6
# A late request looks for spare room this long; bursts of a few seconds leave some
# within a second.
SPARE_PATIENCE_S = 0.8
# Usual response times that a late request leaves for its answer.
LATE_ROOM = 2.0
# For hedges: only targets with spare slots.
SPARE_OCCUPANCY = 0.55
# A machine that is slower than this at the moment makes an answer late, so a request
# rather looks for another one while it has the time.
MAX_SLOWDOWN = 2.0


class Placer:
    """Finds a target with room for a request of a declared route.

    Parameters
    ----------
    sampler
        Probes targets.

    Notes
    -----
    Requests wait here rather than in the queues of targets: a queued request can't
    move to a target that becomes free. None is sent to a target without a fresh
    report, since a target that is busy or slow at the moment keeps a slot several
    times as long; in overload such requests alone would keep the targets full. One
    that can't meet its objective any more waits for spare room, and is refused as not
    run when no time is left for its answer.
    """

    def __init__(self, sampler: samplers.Sampler):
        self._sampler = sampler

    async def place(self, call: requests.Call) -> balancing.AttemptToken:
        """Wait for a target with room.

        Returns
        -------
        balancing.Token
            An attempt that counts as started.

        Raises
        ------
        RefusedError
            If there is no target, or none with room in time.
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
                    verdicts.Reason.QUEUE_FULL, "no probed target had room in time"
                )
            if not probed:
                await asyncio.sleep(PAUSE_S * random.uniform(0.7, 1.3))

    async def find(
        self, call: requests.Call, occupancy: float = SPARE_OCCUPANCY
    ) -> balancing.TargetView | None:
        """Probe some targets and return the best one with room, if there is one."""
        await self._sampler.sample(call.service, call.deadline, call.tried_target_ids)
        return call.service.pool.select_with_room(
            time.monotonic(), occupancy, call.tried_target_ids
        )


def is_late(call: requests.Call, now: float) -> bool:
    """Tell whether an answer can't meet the objective any more."""
    if call.rule.objective_ms is None:
        return False
    usual_s = call.service.pool.typical_response_s or 0.0
    return call.age_s(now) + usual_s > call.rule.objective_ms / 1000


def patience_s(call: requests.Call) -> float:
    """Return how long a request looks for room, in seconds."""
    now = time.monotonic()
    usual_s = call.service.pool.typical_response_s or 0.0
    left_s = call.deadline - now - usual_s
    if is_late(call, now) or call.rule.objective_ms is None:
        return max(0.0, min(LATE_PATIENCE_S, left_s))
    room_s = call.rule.objective_ms / 1000 - call.age_s(now) - ROOM_FACTOR * usual_s
    return max(0.0, min(max(MIN_PATIENCE_S, room_s), left_s))
