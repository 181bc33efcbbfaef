"""Whether waiting for a free slot is in vain.

The load that this answers: a lasting overload, in which most of the requests that wait
are refused in the end. A refusal at once lets the caller return, or give up, before its
time is used up, and saves the probes of the wait.
"""

import random

__all__ = ["WaitOutcomes"]

# Part of its objective within which a request is refused if waiting is in vain.
EARLY_PART = 1 / 8
# Part of the waiting requests that must have been started for others to wait.
MIN_STARTED = 0.3
# Weight of one request, and part of the requests that wait in any case, to notice when
# waiting is worthwhile again.
GAIN = 0.2
TRIAL_PART = 0.1


class WaitOutcomes:
    """Part of the requests of each route that were started after a longer wait."""

    def __init__(self):
        self._started: dict[str, float] = {}

    def is_in_vain(self, route: str, rng: random.Random) -> bool:
        """Tell whether a request that has waited `EARLY_PART` should be refused."""
        is_trial = rng.random() < TRIAL_PART
        return not is_trial and self._started.get(route, 1.0) < MIN_STARTED

    def record(self, route: str, is_started: bool) -> None:
        """Record the result of a request that waited for longer."""
        started = self._started.get(route, 1.0)
        self._started[route] = started + GAIN * (is_started - started)
