"""Token bucket that limits retries and hedges to a percentage of the requests."""

__all__ = ["MAX_TOKENS", "TokenBudget"]

MAX_TOKENS = 10.0
# Floating-point tolerance: the sum of ten additions of 0.1 is slightly below 1.
TOLERANCE = 1e-9


class TokenBudget:
    """Token bucket: a request adds part of a token, a retry or hedge takes one.

    Parameters
    ----------
    percent
        Retries and hedges as a percentage of the requests, 0 to 100.
    burst
        Largest number of tokens held.
    is_full
        Whether the bucket is full at the start. An entry that shares a burst with
        other entries starts with an empty bucket, because it may have used its part
        of the burst before a restart.

    Notes
    -----
    During any period with n requests, at most ``burst + n * percent / 100`` tokens
    are taken. A budget of 0 percent never holds a token.
    """

    __slots__ = ("_burst", "_tokens", "_tokens_per_request")

    def __init__(self, percent: float, burst: float = MAX_TOKENS, is_full: bool = True):
        self._tokens_per_request = percent / 100
        self._burst = burst
        self._tokens = burst if percent > 0 and is_full else 0.0

    @property
    def tokens(self) -> float:
        """Number of tokens held at present."""
        return self._tokens

    def change(self, percent: float, burst: float = MAX_TOKENS) -> None:
        """Apply a new percentage and burst.

        Tokens up to the new burst are kept, unless the percentage is 0.
        """
        self._tokens_per_request = percent / 100
        self._burst = burst
        self._tokens = min(self._tokens, burst)
        if percent <= 0:
            self._tokens = 0.0

    def deposit(self) -> None:
        """Add the part of a token that one request earns."""
        self._tokens = min(self._burst, self._tokens + self._tokens_per_request)

    def available(self) -> bool:
        """Tell whether at least one token is left."""
        return self._tokens >= 1 - TOLERANCE

    def take(self) -> bool:
        """Take a token for a retry or hedge; return False if there is none."""
        if not self.available():
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True
