"""Faults of a stand-in target: slow, paused by its neighbours, or failing fast."""

import random
import typing

import msgspec

__all__ = ["FailFast", "Faults", "Noise", "Straggle"]


class Straggle(msgspec.Struct, frozen=True):
    """Multiply the service time for a time.

    Parameters
    ----------
    factor
        Multiplies the service time.
    for_s
        Duration in s.
    """

    factor: float
    for_s: float


class Noise(msgspec.Struct, frozen=True):
    """Pause all work for short times, as a noisy neighbour does.

    Parameters
    ----------
    gap_s
        Mean time between two pauses in s, exponentially distributed.
    shortest_s, longest_s
        Bounds of the length of a pause in s.
    for_s
        Duration in s.
    """

    gap_s: float
    shortest_s: float
    longest_s: float
    for_s: float


class FailFast(msgspec.Struct, frozen=True):
    """Answer work with status 500 at once, without running it.

    Parameters
    ----------
    for_s
        Duration in s.
    """

    for_s: float


class Faults:
    """The faults that a target has at present.

    Parameters
    ----------
    rng
        Source of the pauses.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._factor = 1.0
        self._straggles_until = 0.0
        self._fails_until = 0.0
        self._pauses: list[tuple[float, float]] = []

    def apply(self, fault: Straggle | Noise | FailFast, now: float) -> None:
        """Start a fault at a time in s."""
        if isinstance(fault, Straggle):
            self._factor = fault.factor
            self._straggles_until = now + fault.for_s
        elif isinstance(fault, FailFast):
            self._fails_until = now + fault.for_s
        else:
            self._pauses = list(self._draw(fault, now))

    def fails(self, now: float) -> bool:
        """Tell whether work fails at once."""
        return now < self._fails_until

    def end_of(self, service_s: float, now: float) -> float:
        """Return when work ends that starts now and takes a time in s."""
        if now < self._straggles_until:
            service_s *= self._factor
        end = now + service_s
        for start, stop in self._pauses:
            if start < end and stop > now:
                end += stop - max(start, now)
        return end

    def _draw(self, noise: Noise, now: float) -> typing.Iterator[tuple[float, float]]:
        at = now + self._rng.expovariate(1 / noise.gap_s)
        while at < now + noise.for_s:
            stop = at + self._rng.uniform(noise.shortest_s, noise.longest_s)
            yield at, stop
            at = stop + self._rng.expovariate(1 / noise.gap_s)
