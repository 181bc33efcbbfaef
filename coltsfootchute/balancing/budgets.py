"""Token budget that bounds retries and hedges."""

__all__ = ["MAX_TOKENS", "TokenBudget"]

MAX_TOKENS = 10.0
# Tokens are sums of hundredths; without the tolerance ten additions of 0.1
# would stay just below one token.
ROUNDING = 1e-9


class TokenBudget:
    """Tokens earned by requests and taken by retries and hedges.

    Parameters
    ----------
    percent
        Retries and hedges over requests, 0 to 100.
    burst
        Most tokens held.
    is_full
        Whether the first tokens are there at the start. An entry that shares a bound
        with others starts empty, since it may have spent its part before a restart.

    Notes
    -----
    In any span with n requests at most ``burst + n * percent / 100`` tokens are
    taken. A budget of 0 percent never holds a token.
    """

    __slots__ = ("_burst", "_earned", "_tokens")

    def __init__(self, percent: float, burst: float = MAX_TOKENS, is_full: bool = True):
        self._earned = percent / 100
        self._burst = burst
        self._tokens = burst if percent > 0 and is_full else 0.0

    @property
    def tokens(self) -> float:
        """Tokens held."""
        return self._tokens

    def change(self, percent: float, burst: float = MAX_TOKENS) -> None:
        """Apply new bounds; tokens within them are kept unless they are 0 percent."""
        self._earned = percent / 100
        self._burst = burst
        self._tokens = min(self._tokens, burst)
        if percent <= 0:
            self._tokens = 0.0

    def deposit(self) -> None:
        """Count a request."""
        self._tokens = min(self._burst, self._tokens + self._earned)

    def available(self) -> bool:
        """Tell whether a retry or hedge may be sent."""
        return self._tokens >= 1 - ROUNDING

    def take(self) -> bool:
        """Take a token for a retry or hedge; False if there is none."""
        if not self.available():
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True
