"""Rate limit on the probes that ask targets for their load before a request."""

__all__ = ["SampleBudget"]


class SampleBudget:
    """Rate limit on the probes that one entry sends to the targets of one service.

    Parameters
    ----------
    per_s
        Probes per second.

    Notes
    -----
    A token bucket with a capacity of one second's probes. The rates of all
    entries add up to the configured rate of the targets, so the entries need no
    lease from the leader.
    """

    __slots__ = ("_per_s", "_refilled_s", "_tokens")

    def __init__(self, per_s: float):
        self._per_s = per_s
        self._tokens = per_s
        self._refilled_s: float | None = None

    def change(self, per_s: float) -> None:
        """Apply a new rate."""
        self._per_s = per_s
        is_new = self._refilled_s is None
        self._tokens = per_s if is_new else min(self._tokens, per_s)

    def scale_count(self, wanted: int, now: float) -> int:
        """Return how many probes to send for one request, at least one.

        The number is reduced when the bucket is less than half full. A request with few
        probes is served better than one that has no probe because the request before
        it took all tokens.
        """
        self._refill(now)
        if not self._per_s:
            return 1
        fraction = 2 * self._tokens / self._per_s
        return max(1, min(wanted, round(wanted * fraction)))

    def _refill(self, now: float) -> None:
        if self._refilled_s is not None:
            added = (now - self._refilled_s) * self._per_s
            self._tokens = min(self._per_s, self._tokens + max(0.0, added))
        self._refilled_s = now

    def take(self, wanted: int, now: float, leave: float = 0.0) -> int:
        """Take one token per probe.

        Parameters
        ----------
        wanted
            Number of probes that the request would send.
        now
            Time in seconds.
        leave
            Part of the capacity that is left to other requests, 0 to 1.

        Returns
        -------
        int
            Number of probes that may be sent, at most `wanted`.
        """
        self._refill(now)
        granted = min(wanted, max(0, int(self._tokens - leave * self._per_s)))
        self._tokens -= granted
        return granted
