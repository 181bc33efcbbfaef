"""Selection of targets with free slots by probes right before a request."""

import asyncio
import random
import time

from coltsfootchute import balancing, verdicts
from coltsfootchute.balancing import placements
from coltsfootchute.entry import pools, requests, samplers

__all__ = ["MAX_HEDGE_OCCUPANCY", "MAX_OCCUPANCY", "Placer", "waiting_of"]

# Maximum occupancy for retries.
MAX_OCCUPANCY = placements.MAX_OCCUPANCY
# Maximum occupancy for hedges, which are sent only to targets with spare slots.
MAX_HEDGE_OCCUPANCY = 0.55


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
