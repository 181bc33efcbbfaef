"""Load reports of a stand-in target, which can be delayed or falsified."""

import collections

import msgspec

__all__ = ["Load", "LoadReporter", "format_orca"]


class Load(msgspec.Struct, frozen=True):
    """The load of a target at one time.

    Parameters
    ----------
    in_flight
        Number of requests that hold a slot or wait for one.
    slots
        Maximum number of requests that the target runs at the same time.
    """

    in_flight: int
    slots: int

    @property
    def utilization(self) -> float:
        """Return the ratio of the requests in flight to the slots."""
        return self.in_flight / self.slots


class LoadReporter:
    """Reports the load of an earlier time, multiplied by a factor.

    Parameters
    ----------
    lag_s
        Age of the reported load in s; 0 reports the current load.
    factor
        Factor of the reported requests in flight; 1 reports the actual number.
    """

    def __init__(self, lag_s: float = 0.0, factor: float = 1.0):
        self._lag_s = lag_s
        self._factor = factor
        self._history: collections.deque[tuple[float, Load]] = collections.deque()

    def record(self, load: Load, now: float) -> None:
        """Record the load at the monotonic time `now` in s.

        Records that no later report needs are removed.
        """
        self._history.append((now, load))
        report_time_s = now - self._lag_s
        while len(self._history) > 1 and self._history[1][0] <= report_time_s:
            self._history.popleft()

    def report(self, now: float) -> Load | None:
        """Return the load to report at `now`, or None if no record is old enough."""
        report_time_s = now - self._lag_s
        eligible = [load for time, load in self._history if time <= report_time_s]
        if not eligible:
            return None
        in_flight = round(eligible[-1].in_flight * self._factor)
        return Load(in_flight=in_flight, slots=eligible[-1].slots)


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
