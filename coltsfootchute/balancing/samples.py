"""Rate of probes that an entry sends to sample the load of targets."""

__all__ = ["SampleBudget"]


class SampleBudget:
    """Bound on the probes of one service from one entry.

    Parameters
    ----------
    per_s
        Probes a second.

    Notes
    -----
    A token bucket that holds the probes of one second. The rates of all entries
    add up to the agreed rate of the targets, so no lease is needed.
    """

    __slots__ = ("_at", "_per_s", "_tokens")

    def __init__(self, per_s: float):
        self._per_s = per_s
        self._tokens = per_s
        self._at: float | None = None

    def change(self, per_s: float) -> None:
        """Apply a new rate."""
        self._per_s = per_s
        unused = self._at is None
        self._tokens = per_s if unused else min(self._tokens, per_s)

    def scale(self, wanted: int, now: float) -> int:
        """Return how many probes to use for one request, at least one.

        A request with fewer probes is served better than one that follows a request
        with many and has none.
        """
        self._earn(now)
        if not self._per_s:
            return 1
        part = 2 * self._tokens / self._per_s
        return max(1, min(wanted, round(wanted * part)))

    def _earn(self, now: float) -> None:
        if self._at is not None:
            earned = (now - self._at) * self._per_s
            self._tokens = min(self._per_s, self._tokens + max(0.0, earned))
        self._at = now

    def take(self, wanted: int, now: float) -> int:
        """Take tokens for some probes.

        Parameters
        ----------
        wanted
            Number of probes.
        now
            Time in seconds.

        Returns
        -------
        int
            How many may be sent.
        """
        self._earn(now)
        granted = min(wanted, int(self._tokens))
        self._tokens -= granted
        return granted
