"""Hedge delay, computed from the recent response times of a service."""

import itertools
import math

__all__ = ["HedgeDelay", "early_delay_s"]

QUANTILE = 0.95
MIN_SAMPLES = 50
# All counts are halved when their total reaches this value, so that the quantile
# adapts to a change of the service within a few thousand responses.
MAX_SAMPLES = 2000
REFRESH_SAMPLES = 32
MIN_RESPONSE_S = 1e-4
BUCKETS_PER_DOUBLING = 8
# 160 buckets cover 0.1 ms to about 100 s with a relative error below 9 percent.
BUCKETS = 160
# Multiples of the typical response time: the time after which a response is late, and
# the time that a hedge needs.
HEDGE_DELAY_FACTOR = 1.15
HEDGE_TIME_FACTOR = 1.1


def early_delay_s(
    typical_s: float | None, remaining_s: float | None, usual_s: float | None
) -> float | None:
    """Return the delay of a hedge that can still meet the objective, in seconds.

    A hedge that starts late cannot meet the latency objective, and one that starts
    before the typical response time is unnecessary for most requests.

    Parameters
    ----------
    typical_s
        Typical response time of the service; None if not known.
    remaining_s
        Time until the end of the objective; None without an objective.
    usual_s
        Result without an objective or typical response time.
    """
    if remaining_s is None or typical_s is None:
        return usual_s
    return max(
        typical_s * HEDGE_DELAY_FACTOR, remaining_s - typical_s * HEDGE_TIME_FACTOR
    )


class HedgeDelay:
    """Quantile of recent response times, from a histogram with logarithmic buckets.

    Parameters
    ----------
    quantile
        Fraction of the responses that are faster, between 0 and 1.

    Notes
    -----
    `record` runs in amortized O(1) time; memory is constant.
    """

    __slots__ = ("_counts", "_delay_s", "_quantile", "_since_refresh", "_total")

    def __init__(self, quantile: float = QUANTILE):
        self._quantile = quantile
        self._counts = [0.0] * BUCKETS
        self._total = 0.0
        self._since_refresh = 0
        self._delay_s: float | None = None

    def record(self, response_s: float) -> None:
        """Add a response time to the histogram."""
        position = math.log2(max(response_s, MIN_RESPONSE_S) / MIN_RESPONSE_S)
        bucket = min(BUCKETS - 1, int(position * BUCKETS_PER_DOUBLING))
        self._counts[bucket] += 1
        self._total += 1
        self._since_refresh += 1
        if self._since_refresh >= REFRESH_SAMPLES:
            self._refresh()

    def delay_s(self) -> float | None:
        """Return the hedge delay in seconds, or None until enough responses arrived."""
        return self._delay_s

    def _refresh(self) -> None:
        self._since_refresh = 0
        if self._total >= MIN_SAMPLES:
            self._delay_s = self._quantile_s()
        if self._total >= MAX_SAMPLES:
            self._counts = [count / 2 for count in self._counts]
            self._total = sum(self._counts)

    def _quantile_s(self) -> float:
        rank = self._quantile * self._total
        sums = itertools.accumulate(self._counts)
        bucket = next(i for i, count in enumerate(sums) if count >= rank)
        return MIN_RESPONSE_S * 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING)
