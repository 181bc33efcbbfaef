"""Ranks that requests of one service have, and the free slots that it has.

The load that this answers: a burst of patient requests fills the slots of a service,
while a few urgent requests of another route or workspace share it. Each entry sees
some of the ranks; together they leave slots free for the most urgent ones without a
message.
"""

import collections.abc
import math
import typing
import weakref

__all__ = ["Urgencies"]

# A rank without a request for this long leaves no slots free for it.
MEMORY_S = 30.0
# Time constant of the share of probed targets that have a free slot.
ROOM_MEMORY_S = 1.0


class Ordered(typing.Protocol):
    """A waiting request; the one with the lowest `order` is served first."""

    order: tuple[tuple[int, int], bool]


class Urgencies:
    """Ranks of the requests of a service, and how many of its targets have room.

    Notes
    -----
    The ranks of routes are declared, because an entry with 3 requests a second may see
    none of an urgent route for several seconds. Those of workspaces are counted while
    their requests are seen.
    """

    def __init__(self):
        self._declared: frozenset[tuple[int, int]] = frozenset()
        self._seen_s: dict[tuple[int, int], float] = {}
        # A request that ends for another reason, such as its caller leaving, drops out
        # with its placement.
        self._waiting: weakref.WeakSet[Ordered] = weakref.WeakSet()
        self._room = 1.0
        self._room_s = -math.inf

    def record(self, rank: tuple[int, int], now: float) -> None:
        """Record a request of a rank."""
        self._seen_s[rank] = now

    def declare(self, priorities: collections.abc.Iterable[int]) -> None:
        """Apply the priorities of the routes that are declared for the service."""
        self._declared = frozenset((p, p) for p in priorities)

    def has_more_urgent(self, rank: tuple[int, int], now: float) -> bool:
        """Tell whether there are requests that are more urgent."""
        return any(other < rank for other in self._ranks(now))

    def has_less_urgent(self, rank: tuple[int, int], now: float) -> bool:
        """Tell whether there are requests that are less urgent."""
        return any(other > rank for other in self._ranks(now))

    def _ranks(self, now):
        recent = (r for r, seen in self._seen_s.items() if now - seen <= MEMORY_S)
        return self._declared.union(recent)

    def enter(self, waiting: Ordered) -> None:
        """Add a request that waits in this entry."""
        self._waiting.add(waiting)

    def leave(self, waiting: Ordered) -> None:
        """Remove a request that was started or refused."""
        self._waiting.discard(waiting)

    def count_ahead(self, waiting: Ordered) -> int:
        """Return how many waiting requests of this entry come before one."""
        return sum(other.order < waiting.order for other in self._waiting)

    def record_room(self, share: float, now: float) -> None:
        """Record the share of the probed targets that have a free slot, 0 to 1."""
        weight = 1 - math.exp(-max(0.02, min(1.0, now - self._room_s)) / ROOM_MEMORY_S)
        self._room += weight * (share - self._room)
        self._room_s = now

    @property
    def room(self) -> float:
        """Share of the recently probed targets that had a free slot, 0 to 1."""
        return self._room
