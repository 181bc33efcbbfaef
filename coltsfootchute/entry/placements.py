"""Selection of targets with free slots by probes right before a request."""

import asyncio
import math
import random
import time

from coltsfootchute import balancing, verdicts
from coltsfootchute.balancing import placements, second_attempts
from coltsfootchute.entry import pools, requests, samplers

__all__ = ["MAX_HEDGE_OCCUPANCY", "MAX_OCCUPANCY", "Placer", "waiting_of"]

# Maximum occupancy for retries.
MAX_OCCUPANCY = placements.MAX_OCCUPANCY
# Maximum occupancy for hedges, which are sent only to targets with spare slots.
MAX_HEDGE_OCCUPANCY = 0.55
# Interval at which a call that may be hedged checks whether its first attempt ended.
POLL_S = 0.02


class Placer:
    """Selects a target with free slots for a request of a declared route.

    Parameters
    ----------
    sampler
        Probes targets.

    Notes
    -----
    The decisions are in `balancing.placements`; this class probes and waits.
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
        waiting = waiting_of(call, now)
        placement = placements.make(pool, waiting, now)
        while True:
            probed = await self._sampler.sample(
                call.service,
                call.deadline,
                call.tried_target_ids,
                placement.left_probes,
            )
            now = time.monotonic()
            found = placement.step(now)
            if isinstance(found, verdicts.Refusal):
                raise pools.RefusedError(found)
            if found is not None:
                return placements.start(pool, waiting, found, now)
            if not probed:
                jitter = random.uniform(0.7, 1.3)
                await asyncio.sleep(placements.PROBE_INTERVAL_S * jitter)

    async def find(
        self, call: requests.Call, occupancy: float = MAX_HEDGE_OCCUPANCY
    ) -> balancing.TargetView | None:
        """Probe some targets and return the best one with free slots, or None."""
        await self._sampler.sample(call.service, call.deadline, call.tried_target_ids)
        return call.service.pool.select_with_room(
            time.monotonic(), occupancy, call.tried_target_ids
        )

    def start(
        self, call: requests.Call, view: balancing.TargetView, now: float
    ) -> balancing.AttemptToken:
        """Start an attempt of a call at a target."""
        return placements.start(call.service.pool, waiting_of(call, now), view, now)

    def hedge_delay_s(self, call: requests.Call, now: float) -> float | None:
        """Return after how many seconds to look for a hedge; None for no hedge."""
        pool = call.service.pool
        if pool.placement != "ranked":
            return call.hedge_delay(now)
        typical_s = placements.typical_s(pool, waiting_of(call, now))
        return second_attempts.check_interval_s(typical_s)

    async def find_hedge(
        self, call: requests.Call, first: balancing.AttemptToken
    ) -> balancing.TargetView | None:
        """Return the target of a hedge; None if there is none or it is not needed.

        Parameters
        ----------
        call
            A repeatable call.
        first
            Its first attempt. Its target is probed until a hedge gains or it ends.
        """
        pool = call.service.pool
        if pool.placement != "ranked":
            return await self.find(call)
        attempt = call.attempts[-1]
        check_s = -math.inf
        # A response with a server error ends the attempt before its token is closed.
        while first.is_open and attempt.message is None:
            now = time.monotonic()
            if now >= check_s:
                view = await self._check_first(call, first)
                if view is not None:
                    return view
                check_s = now + self.hedge_delay_s(call, now)
            await asyncio.sleep(POLL_S)
        return None

    async def _check_first(
        self, call: requests.Call, first: balancing.AttemptToken
    ) -> balancing.TargetView | None:
        """Return the target of a hedge if it gains now."""
        pool, tried = call.service.pool, call.tried_target_ids
        await self._sampler.sample(call.service, call.deadline, tried, 0.0, first.view)
        now = time.monotonic()
        if not second_attempts.gains(first, now):
            return None
        return pool.select_with_room(now, MAX_HEDGE_OCCUPANCY, tried)


def waiting_of(call: requests.Call, now: float) -> placements.Waiting:
    """Return what the placement of a call depends on."""
    objective_ms = call.rule.objective_ms
    return placements.Waiting(
        route=call.rule.name,
        rank=call.rank,
        objective_s=None if objective_ms is None else objective_ms / 1000,
        asked_s=now - call.age_s(now),
        deadline_s=call.deadline,
        is_repeatable=call.rule.repeatable,
        tried=call.tried_target_ids,
    )
