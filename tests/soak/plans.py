"""Faults of a soak run, drawn from a seed."""

import dataclasses
import random

__all__ = ["Fault", "Sizes", "draw"]

# Enough for a restart, an election and the end of a lease to overlap.
SHORTEST_S, LONGEST_S = 0.3, 4.0
# A planned stop of an entry lasts until callers have new addresses and requests ended.
STOP_S = 12.0
# A process that was started again needs this long until it serves.
RESTART_S = 2.0


@dataclasses.dataclass(frozen=True)
class Sizes:
    """Numbers of processes by role, and the time with faults in s."""

    control: int = 3
    entries: int = 3
    targets: int = 6
    faults: int = 8
    length_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault.

    Parameters
    ----------
    kind
        Name in `runs.FAULTS`.
    at_s, for_s
        Start and length in s.
    names
        Processes, or the entry whose links to control are concerned.
    detail
        Direction of a cut.
    """

    kind: str
    at_s: float
    for_s: float
    names: tuple[str, ...]
    detail: str = ""

    def overlaps(self, other: "Fault") -> bool:
        """Tell whether both are in force or being repaired at some time."""
        end, other_end = (f.at_s + f.for_s + RESTART_S for f in (self, other))
        return self.at_s < other_end and other.at_s < end


def draw(seed: int, sizes: Sizes) -> list[Fault]:
    """Return the faults of a seed in the order of their start.

    Notes
    -----
    Faults overlap as long as one entry and half of the targets are untouched, so that
    a caller that resends is served in the end. All control instances may be down.
    """
    rng = random.Random(seed)
    plan: list[Fault] = []
    for _ in range(20 * sizes.faults):
        if len(plan) < sizes.faults:
            fault = _draw_one(rng, sizes)
            if _fits(fault, plan, sizes):
                plan.append(fault)
    return sorted(plan, key=lambda fault: fault.at_s)


def _draw_one(rng: random.Random, sizes: Sizes) -> Fault:
    kind = rng.choice(
        ["kill", "kill", "pause", "stop", "herd", "cut", "delay", "reset"]
    )
    counts = {"c": sizes.control, "e": sizes.entries, "t": sizes.targets}
    role = rng.choice("cet")
    if kind in ("stop", "cut", "delay", "reset"):
        role = "e"
    names = (f"{role}{rng.randint(1, counts[role])}",)
    if kind == "herd":
        names = tuple(f"c{number}" for number in range(1, sizes.control + 1))
    for_s = STOP_S if kind == "stop" else rng.uniform(SHORTEST_S, LONGEST_S)
    detail = rng.choice(["", "forward", "backward"])
    return Fault(kind, rng.uniform(0, sizes.length_s), for_s, names, detail)


def _fits(fault: Fault, plan: list[Fault], sizes: Sizes) -> bool:
    if fault.kind in ("cut", "delay", "reset"):
        return True
    at_once = [o for o in plan if o.overlaps(fault) and o.kind not in ("cut", "delay")]
    touched = {name for other in at_once for name in other.names}
    if touched & set(fault.names):
        return False
    touched |= set(fault.names)
    entries = sum(name.startswith("e") for name in touched)
    targets = sum(name.startswith("t") for name in touched)
    return entries < sizes.entries and targets <= sizes.targets // 2
