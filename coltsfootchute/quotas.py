"""Limits on the requests of workspaces, as their owner and the entries compute them."""

import dataclasses

from coltsfootchute import declarations, settings

__all__ = ["Episodes", "Limit", "Pacer", "limits_of"]


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Limit on the requests of one workspace over all entries.

    Parameters
    ----------
    rate_per_s
        Requests per second.
    burst
        Requests beyond that at once.
    window_s
        Length of the sliding window of the tolerance, in seconds.
    tolerance
        Requests by which the limit may be exceeded within the window.
    """

    rate_per_s: float
    burst: float
    window_s: float
    tolerance: float

    @property
    def capacity(self) -> float:
        """Tokens of a full bucket: the burst and half of the tolerance."""
        return self.burst + self.tolerance / 2

    @property
    def bound(self) -> float:
        """Largest number of requests that may run within the window."""
        return self.rate_per_s * self.window_s + self.burst + self.tolerance


def limits_of(
    declaration: declarations.Declaration, cfg: settings.QuotaSettings
) -> dict[str, Limit]:
    """Return the limits of the workspaces that have one, by name.

    Parameters
    ----------
    declaration
        The declaration in force.
    cfg
        Tolerance of the limits.
    """
    return {
        workspace.name: Limit(
            workspace.rate_per_s,
            workspace.burst,
            cfg.window_s,
            cfg.overage * (workspace.rate_per_s * cfg.window_s + workspace.burst)
            + cfg.slack,
        )
        for workspace in declaration.workspaces or []
        if workspace.rate_per_s > 0
    }


class Pacer:
    """Limits how often messages are sent, on average and at once.

    Parameters
    ----------
    interval_s
        Average interval between messages, in seconds.
    burst
        Messages that may be sent early after a pause.
    gap_s
        Minimum interval between two messages, in seconds.

    Notes
    -----
    The first messages after a pause leave at once. A fixed interval would delay the
    first news of a surge by up to its length, and what is admitted meanwhile exceeds
    the limit.
    """

    __slots__ = ("_burst", "_credit", "_gap_s", "_interval_s", "_sent_s")

    def __init__(self, interval_s: float, burst: float, gap_s: float):
        self._interval_s = interval_s
        self._burst = burst
        self._gap_s = gap_s
        self._credit = burst
        self._sent_s = float("-inf")

    def due_s(self, now: float, is_urgent: bool = False) -> float:
        """Return the time in seconds at which the next message may be sent.

        Parameters
        ----------
        now
            Time in seconds.
        is_urgent
            Whether only the minimum interval applies.
        """
        wait_s = 0.0
        if not is_urgent:
            wait_s = max(0.0, 1 - self._credit_at(now)) * self._interval_s
        return max(now + wait_s, self._sent_s + self._gap_s)

    def record(self, now: float) -> None:
        """Count a message that is sent now."""
        self._credit = max(0.0, self._credit_at(now) - 1)
        self._sent_s = now

    def _credit_at(self, now: float) -> float:
        passed = max(0.0, now - self._sent_s) / self._interval_s
        return min(self._burst, self._credit + passed)


class Episodes:
    """Recognizes when refusals of a workspace begin and end, for log lines.

    Notes
    -----
    An episode ends after `QUIET_S` without a refusal, so that a workspace at its limit
    does not cause a line for each change.
    """

    QUIET_S = 5.0

    def __init__(self):
        self._open: dict[str, tuple[float, int]] = {}

    def record(self, name: str, now: float) -> bool:
        """Count a refusal; return whether an episode begins with it."""
        begins = name not in self._open
        _, count = self._open.get(name, (now, 0))
        self._open[name] = now, count + 1
        return begins

    def take_ended(self, now: float) -> list[tuple[str, int]]:
        """Return the names whose episodes have ended, with their refusals."""
        ended = [
            (name, count)
            for name, (last_s, count) in self._open.items()
            if now - last_s > self.QUIET_S
        ]
        for name, _ in ended:
            del self._open[name]
        return ended
