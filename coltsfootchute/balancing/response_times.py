"""Response times of the routes of a service, at the load that a target will have.

The load that this answers: routes of very different work share a service, and a few
requests in a hundred take several times the usual work. One typical response time for
all of them lets requests with a short objective give up before they start, and a
multiple of a mean reserves too much for the many and too little for the few.
"""

import bisect
import collections
import math

__all__ = ["ResponseTimes", "load_factor", "uncrowded_slots", "useful_slots"]

# Number of recent response times that are kept for a route: half a minute of an entry
# with one request a second. A declaration may have more than a thousand routes.
MAX_SAMPLES = 32
# With fewer response times of a route, those of the whole service are used.
MIN_SAMPLES = 3
# Requests are slower by this factor while more than this part of the slots is in use.
CROWDED_OCCUPANCY = 0.8
CROWDED_SLOWDOWN = 1.7
# Time for which a host stays slow after it stated so, on average. A long request ends
# at normal speed, so the stated slowdown does not apply to all of its work.
SLOW_SPELL_S = 0.15


class ResponseTimes:
    """Recent response times of each route, divided by the load factor at their start.

    Notes
    -----
    `record` is O(log n) apart from shifting a list of `MAX_SAMPLES`.
    """

    def __init__(self):
        self._recent: dict[str, collections.deque[float]] = {}
        self._sorted: dict[str, list[float]] = {}

    def record(self, route: str, response_s: float) -> None:
        """Add a response time in seconds at an idle target of normal speed."""
        for name in {route, ""}:
            recent = self._recent.setdefault(name, collections.deque())
            ordered = self._sorted.setdefault(name, [])
            if len(recent) >= MAX_SAMPLES:
                del ordered[bisect.bisect_left(ordered, recent.popleft())]
            recent.append(response_s)
            bisect.insort(ordered, response_s)

    def median_s(self, route: str, most_s: float = math.inf) -> float:
        """Return the median of the route in seconds; 0 before any response.

        Parameters
        ----------
        route
            Name of the route.
        most_s
            Largest result while the route has few response times of its own.
        """
        ordered = self._sorted.get(route, [])
        if len(ordered) >= MIN_SAMPLES:
            return ordered[len(ordered) // 2]
        ordered = self._sorted.get("", [])
        return min(most_s, ordered[len(ordered) // 2]) if ordered else 0.0


def uncrowded_slots(slots: int) -> int:
    """Return how many requests a target runs at full speed.

    Examples
    --------
    >>> [uncrowded_slots(slots) for slots in (1, 2, 4, 6)]
    [1, 1, 3, 4]
    """
    return max(1, int(CROWDED_OCCUPANCY * slots))


def useful_slots(slots: int) -> int:
    """Return how many slots of a target requests may take.

    More than `uncrowded_slots` only if the target then ends more requests per second in
    spite of its lower speed: two requests at a crowded target with two slots take less
    time than one after the other, but five at one with six slots take more.

    Examples
    --------
    >>> [useful_slots(slots) for slots in (1, 2, 4, 6)]
    [1, 2, 3, 4]
    """
    pays = slots / CROWDED_SLOWDOWN > uncrowded_slots(slots)
    return slots if pays else uncrowded_slots(slots)


def load_factor(work_s: float, load: float, slots: int, slowdown: float) -> float:
    """Return how much longer a request takes than at an idle target of normal speed.

    Parameters
    ----------
    work_s
        Response time at such a target in seconds.
    load
        Requests at the target, this one included.
    slots
        Requests that it runs at the same time.
    slowdown
        Time that work takes on its host now, divided by the normal time.

    Examples
    --------
    >>> load_factor(0.1, 1, 2, 1.0), load_factor(0.1, 2, 2, 1.0)
    (1.0, 1.7)
    >>> round(load_factor(1.0, 1, 2, 5.0), 2)
    1.12
    """
    factor = CROWDED_SLOWDOWN if load > CROWDED_OCCUPANCY * slots else 1.0
    factor *= 1 + max(0.0, load - slots) / slots
    if slowdown <= 1 or work_s <= 0:
        return factor
    extra_s = min(work_s * (slowdown - 1), SLOW_SPELL_S * (1 - 1 / slowdown))
    return factor * (1 + extra_s / work_s)
