"""Cold starts of a stand-in target, with a limit on requests that it checks."""

import collections

__all__ = ["ColdStart"]

# A cold target tolerates the declared requests per second times the first number, plus
# the second one, in any second.
RAMP_FACTOR, RAMP_SLACK = 1.5, 8.0
WINDOW_S = 1.0


class ColdStart:
    """Whether a target is cold, and how many requests it then got.

    Parameters
    ----------
    cold_s
        Time in s for which it is cold after its start; 0 if it is never cold.
    factor
        Factor of the service time at first; it decreases linearly to 1.
    ramp_per_s
        Declared requests per second while it is cold; 0 for no limit.
    now
        Monotonic time of the start in s.

    Examples
    --------
    >>> cold = ColdStart(10.0, 3.0, 2.0, now=0.0)
    >>> cold.slowdown(5.0), cold.remaining_s(12.0)
    (2.0, 0.0)
    >>> [cold.exceeds(1.0) for _ in range(12)].count(True)
    1
    """

    def __init__(self, cold_s: float, factor: float, ramp_per_s: float, now: float):
        self._factor = factor
        self._limit = ramp_per_s * RAMP_FACTOR + RAMP_SLACK if ramp_per_s else None
        self._recent: collections.deque[float] = collections.deque()
        self.restart(cold_s, now)

    def restart(self, cold_s: float, now: float) -> None:
        """Become cold for a time in s."""
        self._length_s = cold_s
        self._until_s = now + cold_s

    def remaining_s(self, now: float) -> float:
        """Return for how many seconds the target is still cold."""
        return max(0.0, self._until_s - now)

    def slowdown(self, now: float) -> float:
        """Return the factor of the service time."""
        if not self._length_s:
            return 1.0
        return 1 + (self._factor - 1) * self.remaining_s(now) / self._length_s

    def exceeds(self, now: float) -> bool:
        """Count a request; return whether it exceeds the limit of a cold target."""
        if self._limit is None or not self.remaining_s(now):
            self._recent.clear()
            return False
        while self._recent and self._recent[0] <= now - WINDOW_S:
            self._recent.popleft()
        self._recent.append(now)
        return len(self._recent) > self._limit
