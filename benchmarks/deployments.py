"""Deployments and loads that `overloads` plays, as plain data."""

import dataclasses

__all__ = ["LOADS", "SERVICES", "Load", "Route", "Service"]

# Work is slower by this factor while more than this part of the slots is in use.
CROWDED_OCCUPANCY = 0.8
CROWDED_SLOWDOWN = 1.7
# Hosts are slower by this factor for spells of this mean length and share of the time.
SPELL_SLOWDOWN = 5.0
SPELL_S = 0.15
SPELL_SHARE = 0.3
STALL_S = 1.5
# Share of the requests with more work than others, and its factor.
LARGE_SHARE = 0.03
LARGE_FACTOR = 7.0


@dataclasses.dataclass(frozen=True)
class Route:
    """A route of a service; times are in seconds, `work_s` is the median."""

    name: str
    priority: int
    objective_s: float
    deadline_s: float
    value: float
    work_s: float
    share: float
    is_repeatable: bool = False


@dataclasses.dataclass(frozen=True)
class Service:
    """A service with its entries, targets and routes."""

    name: str
    entries: int
    targets: int
    slots: int
    queue: int
    routes: tuple[Route, ...]
    hangs: bool = False
    domains: int = 3
    fan_out: int = 2
    spell_share: float = SPELL_SHARE
    large_share: float = LARGE_SHARE

    @property
    def requests_per_s(self) -> float:
        """Requests per second that the slots can serve."""
        speed = max(n / self.crowding(n) for n in range(1, self.slots + 1))
        speed *= 1 - self.spell_share * (1 - 1 / SPELL_SLOWDOWN)
        shares = sum(route.share for route in self.routes)
        work_s = sum(r.work_s * r.share for r in self.routes) / shares
        work_s *= 1 + self.large_share * (LARGE_FACTOR - 1)
        return self.targets * speed / work_s

    def crowding(self, running: int) -> float:
        """Return the factor by which work is slower with this many requests."""
        is_crowded = running > CROWDED_OCCUPANCY * self.slots
        return CROWDED_SLOWDOWN if is_crowded else 1.0


@dataclasses.dataclass(frozen=True)
class Load:
    """Offered load as a part of what the slots can serve.

    Parameters
    ----------
    name
        Name of the load.
    level
        Steady part.
    burst_route, burst_factor, burst_s
        Route whose requests are multiplied by the factor for `burst_s`, in the middle
        of the run; none if empty.
    stall_share
        Share of the time in which a host does nothing and answers no probes, in stalls
        of 1.5 s.
    """

    name: str
    level: float
    burst_route: str = ""
    burst_factor: float = 2.5
    burst_s: float = 5.0
    stall_share: float = 0.0


_PAYOUTS = (
    Route("withdrawals", 0, 0.5, 5.0, 4.0, 0.12, 0.4),
    Route("uploads", 3, 4.0, 12.0, 1.0, 0.3, 0.6),
)
SERVICES = {
    service.name: service
    for service in (
        # 128 entries with targets of two slots: uploads and withdrawals share one.
        Service("payouts", 128, 24, 2, 4, _PAYOUTS, hangs=True),
        Service(
            "reads",
            128,
            48,
            2,
            4,
            (Route("reads", 1, 0.6, 6.0, 1.0, 0.15, 1.0, is_repeatable=True),),
            hangs=True,
        ),
        Service(
            "orders",
            128,
            40,
            2,
            4,
            (Route("submissions", 1, 0.8, 8.0, 2.0, 0.2, 1.0),),
            hangs=True,
        ),
        # 53 entries with targets of six slots that shed requests.
        Service(
            "smallest",
            53,
            16,
            6,
            12,
            (Route("dear", 0, 0.64, 6.0, 3.0, 0.25, 1.0, is_repeatable=True),),
            fan_out=3,
        ),
        Service(
            "largest",
            53,
            30,
            6,
            12,
            (Route("cheap", 0, 1.26, 8.0, 1.0, 0.35, 1.0, is_repeatable=True),),
            fan_out=3,
        ),
        # Deployments that are served well today.
        Service(
            "existing4",
            13,
            13,
            4,
            8,
            (
                Route("short", 0, 0.3, 3.0, 1.0, 0.06, 0.5, is_repeatable=True),
                Route("long", 0, 2.0, 8.0, 1.0, 0.06, 0.5),
            ),
            fan_out=3,
            spell_share=0.1,
        ),
        Service(
            "existing6",
            16,
            16,
            6,
            12,
            (Route("only", 0, 1.0, 6.0, 1.0, 0.15, 1.0, is_repeatable=True),),
            fan_out=3,
            spell_share=0.1,
        ),
    )
}
LOADS = {
    load.name: load
    for load in (
        *(Load(f"{level:g}", level) for level in (0.5, 0.7, 0.9, 1.0, 1.2)),
        *(Load(f"burst_{r}", 0.7, r) for r in ("uploads", "reads", "submissions")),
        Load("stalls", 0.5, stall_share=0.05),
        *(Load(f"burst_{r}", 0.7, r) for r in ("dear", "cheap", "long", "only")),
    )
}
