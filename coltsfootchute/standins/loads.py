"""Load reports of a stand-in target: honest, late or misleading."""

import collections

import msgspec

__all__ = ["Load", "LoadReporter", "format_orca"]


class Load(msgspec.Struct, frozen=True):
    """The load of a target at one time.

    Parameters
    ----------
    in_flight
        Requests that hold a slot or wait for one.
    slots
        Requests that the target runs at once.
    """

    in_flight: int
    slots: int

    @property
    def utilization(self) -> float:
        """Return the requests in flight over the slots."""
        return self.in_flight / self.slots


class LoadReporter:
    """Reports a load as it was some time ago, multiplied by a factor.

    Parameters
    ----------
    lag_s
        Age of the reported load in s; 0 reports the present load.
    factor
        Multiplies the reported requests in flight; 1 is honest.
    """

    def __init__(self, lag_s: float = 0.0, factor: float = 1.0):
        self._lag_s = lag_s
        self._factor = factor
        self._history: collections.deque[tuple[float, Load]] = collections.deque()

    def observe(self, load: Load, now: float) -> None:
        """Note the load at a time in s; drops what no later report needs."""
        self._history.append((now, load))
        due = now - self._lag_s
        while len(self._history) > 1 and self._history[1][0] <= due:
            self._history.popleft()

    def report(self, now: float) -> Load | None:
        """Return the load to report, or None if none is old enough."""
        due = now - self._lag_s
        old = [load for time, load in self._history if time <= due]
        if not old:
            return None
        in_flight = round(old[-1].in_flight * self._factor)
        return Load(in_flight=in_flight, slots=old[-1].slots)


def format_orca(load: Load, requests_per_s: float) -> str:
    """Return the value of the ``endpoint-load-metrics`` header.

    References
    ----------
    Open Request Cost Aggregation (ORCA), native HTTP text encoding.

    Examples
    --------
    >>> format_orca(Load(in_flight=3, slots=4), 10.0)
    'TEXT application_utilization=0.75, rps_fractional=10.0, named_metrics.in_flight=3'
    """
    metrics = {
        "application_utilization": round(load.utilization, 4),
        "rps_fractional": round(requests_per_s, 3),
        "named_metrics.in_flight": load.in_flight,
    }
    return "TEXT " + ", ".join(f"{name}={value}" for name, value in metrics.items())
