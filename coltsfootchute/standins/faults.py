"""Faults of a stand-in target: slow work, pauses and immediate failures."""

import random
import typing

import msgspec

__all__ = ["Cool", "FailFast", "Faults", "Hang", "Noise", "Straggle"]


class Straggle(msgspec.Struct, frozen=True):
    """Multiply the service time for a limited duration.

    Parameters
    ----------
    factor
        Factor of the service time.
    for_s
        Duration of the fault in s.
    """

    factor: float
    for_s: float


class Noise(msgspec.Struct, frozen=True):
    """Pause all work repeatedly, as a noisy neighbour on the same host does.

    Parameters
    ----------
    gap_s
        Mean time between two pauses in s; the times are exponentially distributed.
    shortest_s, longest_s
        Bounds of the duration of a pause in s; it is uniformly distributed.
    for_s
        Duration of the fault in s.
    """

    gap_s: float
    shortest_s: float
    longest_s: float
    for_s: float


class FailFast(msgspec.Struct, frozen=True):
    """Respond to each request with status 500 at once, without a run.

    Parameters
    ----------
    for_s
        Duration of the fault in s.
    """

    for_s: float


class Hang(msgspec.Struct, frozen=True):
    """Never respond to requests that arrive, as a target that is full may do.

    Parameters
    ----------
    for_s
        Duration of the fault in s.
    """

    for_s: float


class Cool(msgspec.Struct, frozen=True):
    """Become cold again without a restart.

    Parameters
    ----------
    for_s
        Time in s for which the target is cold.
    """

    for_s: float


class Faults:
    """The faults that are active at a target.

    Parameters
    ----------
    rng
        Source of randomness for the pauses.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._factor = 1.0
        self._straggles_until_s = 0.0
        self._fails_until_s = 0.0
        self._hangs_until_s = 0.0
        self._pauses: list[tuple[float, float]] = []

    def apply(self, fault: Straggle | Noise | FailFast | Hang, now: float) -> None:
        """Start a fault at the monotonic time `now` in s."""
        if isinstance(fault, Straggle):
            self._factor = fault.factor
            self._straggles_until_s = now + fault.for_s
        elif isinstance(fault, FailFast):
            self._fails_until_s = now + fault.for_s
        elif isinstance(fault, Hang):
            self._hangs_until_s = now + fault.for_s
        else:
            self._pauses = list(self._draw_pauses(fault, now))

    def is_failing(self, now: float) -> bool:
        """Return whether requests fail at once at the monotonic time `now` in s."""
        return now < self._fails_until_s

    def is_hanging(self, now: float) -> bool:
        """Return whether requests that arrive at `now` in s are never answered."""
        return now < self._hangs_until_s

    def completion_time_s(self, service_s: float, now: float) -> float:
        """Return the time in s at which work started at `now` ends.

        Parameters
        ----------
        service_s
            Service time without faults in s.
        now
            Monotonic time of the start in s.
        """
        if now < self._straggles_until_s:
            service_s *= self._factor
        end = now + service_s
        for start, stop in self._pauses:
            if start < end and stop > now:
                end += stop - max(start, now)
        return end

    def _draw_pauses(
        self, noise: Noise, now: float
    ) -> typing.Iterator[tuple[float, float]]:
        start = now + self._rng.expovariate(1 / noise.gap_s)
        while start < now + noise.for_s:
            stop = start + self._rng.uniform(noise.shortest_s, noise.longest_s)
            yield start, stop
            start = stop + self._rng.expovariate(1 / noise.gap_s)
