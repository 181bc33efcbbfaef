"""Estimates for the design size from the measured slopes."""

import dataclasses
import itertools
import math

__all__ = ["DESIGN_SIZE", "DesignSize", "Estimate", "Results", "placements"]

US_PER_S = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class DesignSize:
    """The size designed for (`docs/design.md`, section 1), with its assumptions.

    Parameters
    ----------
    utilization
        Share of a core that the calls of an entry may use while nothing has failed.
        The loss of one of four failure domains raises it by a third.
    caller_connections
        Connections of callers at one entry; an assumption.
    address_queries_per_s
        Address queries/s of all callers: 10,000 callers, each of which asks once in
        the 5 s for which it keeps an answer; an assumption.
    """

    targets: int = 860
    services: int = 22
    calls_per_s: float = 100_000
    depth: int = 12
    added_p99_ms: float = 0.59
    changes_per_day: int = 600
    in_force_s: float = 3.0
    regions: int = 2
    domains: int = 4
    members: int = 5
    most_members: int = 8
    node_core_share: float = 0.011
    node_kib: float = 32 * 1024
    node_bytes_per_s: float = 4096
    utilization: float = 0.5
    caller_connections: int = 500
    address_queries_per_s: float = 2000
    slots: int = 4
    renew_s: float = 10.0
    renew_batch_s: float = 5.0
    report_s: float = 5.0
    retention_s: float = 3600
    keep_s: float = 5.0

    @property
    def changes_per_s(self) -> float:
        """Return the mean rate of changes in changes/s."""
        return self.changes_per_day / 86_400

    def renew_messages_per_s(self, entries: float) -> float:
        """Return how many messages/s with renewals the leader receives.

        An entry sends at most one in each `renew_batch_s`.
        """
        return min(self.targets / self.renew_s, entries / self.renew_batch_s)


DESIGN_SIZE = DesignSize()


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """A value computed from measurements.

    Parameters
    ----------
    value
        The value.
    is_extrapolated
        Whether it was computed for a size outside of the measured range.
    """

    value: float
    is_extrapolated: bool = False

    def __add__(self, other: "Estimate") -> "Estimate":
        return Estimate(
            self.value + other.value, self.is_extrapolated or other.is_extrapolated
        )

    def times(self, factor: float) -> "Estimate":
        """Return the estimate multiplied by a factor."""
        return Estimate(self.value * factor, self.is_extrapolated)

    def text(self, digits: int = 2) -> str:
        """Return the rounded value, with a dagger if it is extrapolated.

        Parameters
        ----------
        digits
            Number of significant digits.
        """
        mark = "†" if self.is_extrapolated else ""
        magnitude = math.floor(math.log10(abs(self.value))) if self.value else 0
        places = max(0, digits - 1 - magnitude)
        return f"{round(self.value, digits - 1 - magnitude):,.{places}f}{mark}"


class Results:
    """The measurements of `benchmarks.slopes`.

    Parameters
    ----------
    data
        The content of `docs/capacity.json`.
    """

    def __init__(self, data: dict):
        self.data = data

    def get(self, key: str):
        """Return the data under a dotted key."""
        found = self.data
        for part in key.split("."):
            found = found[part]
        return found

    def slope(self, key: str) -> Estimate:
        """Return the slope of a fitted line."""
        return Estimate(self.get(key)["slope"])

    def at(self, key: str, size: float) -> Estimate:
        """Return the value of the fitted line at a size, and at least 0."""
        found = self.get(key)
        is_extrapolated = not found["sizes"][0] <= size <= found["sizes"][-1]
        value = found["intercept"] + found["slope"] * size
        return Estimate(max(0.0, value), is_extrapolated)

    def growth(self, key: str, size: float) -> Estimate:
        """Return the value of the fitted line at a size, without its intercept."""
        found = self.get(key)
        return Estimate(found["slope"] * size, size > found["sizes"][-1])

    def at_highest_size(self, key: str) -> tuple[float, float]:
        """Return the largest measured size and the median value at that size."""
        found = self.get(key)
        return found["sizes"][-1], found["medians"][-1]

    def call_us(self, kind: str, process: str = "entry") -> Estimate:
        """Return processor time in µs per call at the highest measured rate."""
        rate, used = self.at_highest_size(f"calls.{kind}.{process}")
        return Estimate(used / rate)

    def max_utilization_within(self, limit_ms: float) -> float | None:
        """Return the highest measured utilization with an added p99 up to a limit.

        Returns
        -------
        float or None
            None if the added p99 is above the limit at each measured utilization.
        """
        within_limit = [
            point["utilization"]
            for point in self.get("latency.points")
            if point["added_p99_ms"] <= limit_ms
        ]
        return max(within_limit, default=None)

    def entries(self, size: DesignSize, utilization: float) -> Estimate:
        """Return how many entry processes the calls need at a utilization."""
        needed = size.calls_per_s * self.call_us("small").value / US_PER_S / utilization
        return Estimate(math.ceil(needed))

    def startup_kib(self, role: str) -> Estimate:
        """Return the resident memory in KiB of a role that has just started."""
        found = self.get(f"imports.started.{role}")
        return Estimate(found["anonymous"] + found["file"])

    def control(
        self, role: str, name: str, size: DesignSize, entries: float
    ) -> Estimate:
        """Return processor time (us/s) or bytes per second of a control instance.

        Parameters
        ----------
        role
            ``leader`` or ``follower``.
        name
            ``cpu`` or ``bytes``.
        size
            The design size.
        entries
            Number of entries, spread evenly over the control instances.
        """
        parts = [
            self.at(f"rest.members.{role}.{name}", size.members),
            self.growth(f"rest.watchers.{role}.{name}", entries / size.members),
            self.growth(f"work.reports.{role}.{name}", entries / size.report_s),
            self.growth(f"work.changes.{role}.{name}", size.changes_per_s),
            self.report_cost_per_change(role, name, entries).times(size.changes_per_s),
        ]
        if role == "leader":
            messages = size.renew_messages_per_s(entries)
            parts.append(self.growth(f"work.renew_messages.{role}.{name}", messages))
        return sum(parts, Estimate(0.0))

    def report_cost_per_change(self, role: str, name: str, entries: float) -> Estimate:
        """Return what the entries' reports after one change cost (us or bytes)."""
        found = self.at(f"news.{role}.{name}", entries)
        return found.times(1000) if name == "cpu" else found

    def control_kib(self, size: DesignSize, entries: float) -> Estimate:
        """Return the resident memory in KiB of a control instance without claims.

        It includes the changes of one day with their sections, outcomes, log and
        snapshot.
        """
        return (
            self.startup_kib("control")
            + self.growth("state.control.targets", size.targets)
            + self.at("restart.snapshots.kib", size.changes_per_day)
            + self.growth("rest.watchers.leader.memory", entries / size.members)
        )

    def entry_state_kib(self, size: DesignSize) -> Estimate:
        """Return the memory in KiB of an entry's replicated state and pools."""
        return self.growth("state.entry.targets", size.targets) + self.growth(
            "state.entry.services", size.services
        )

    def entry_kib(self, size: DesignSize) -> Estimate:
        """Return the resident memory of an entry in KiB."""
        return (
            self.startup_kib("entry")
            + self.entry_state_kib(size)
            + self.growth("connections", size.caller_connections)
        )

    def claims_per_s(self, utilization: float) -> Estimate:
        """Return the claims/s, each with its settlement, that one leader can process.

        Parameters
        ----------
        utilization
            Share of a core that the leader may use for them.
        """
        return Estimate(utilization * US_PER_S / self.call_us("claim", "leader").value)

    def claims_that_fit(self, kib: float) -> Estimate:
        """Return how many claims fit into an amount of memory in KiB."""
        return Estimate(kib / self.slope("state.control.claims").value)

    def full_view_bytes(self, size: DesignSize) -> Estimate:
        """Return the size of a full view of the feed in bytes."""
        return self.growth("state.full_view.targets", size.targets) + self.growth(
            "state.full_view.services", size.services
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Distribution of voters over failure domains.

    The first half of the domains is region 1, the second half is region 2.

    Parameters
    ----------
    voters
        Number of voters in each failure domain.
    """

    voters: tuple[int, ...]

    @property
    def quorum(self) -> int:
        """Return the number of voters that make a quorum."""
        return sum(self.voters) // 2 + 1

    @property
    def regions(self) -> tuple[int, int]:
        """Return the number of voters in each region."""
        half = len(self.voters) // 2
        return sum(self.voters[:half]), sum(self.voters[half:])

    def survives_domains(self) -> bool:
        """Return whether a quorum remains after the loss of any failure domain."""
        return sum(self.voters) - max(self.voters) >= self.quorum

    def survives_domain_and_voter(self) -> bool:
        """Return whether a quorum remains without any failure domain and one voter."""
        return sum(self.voters) - max(self.voters) - 1 >= self.quorum

    def quorate_region(self) -> int | None:
        """Return the region (1 or 2) that has a quorum without the other."""
        quorate = [n for n, votes in enumerate(self.regions, 1) if votes >= self.quorum]
        return quorate[0] if quorate else None


def placements(voters: int, domains: int) -> list[Placement]:
    """Return the placements that keep a quorum after the loss of any failure domain.

    Placements that differ only in the order of the domains in a region, or in the
    order of the regions, are returned once.
    """
    seen, found = set(), []
    for counts in itertools.product(range(voters, -1, -1), repeat=domains):
        if sum(counts) != voters:
            continue
        half = domains // 2
        shape = (
            frozenset({tuple(sorted(counts[:half])), tuple(sorted(counts[half:]))}),
            tuple(sorted(counts)),
        )
        placement = Placement(counts)
        if shape not in seen and placement.survives_domains():
            seen.add(shape)
            found.append(placement)
    return found
