"""Random plans of faults for soak runs."""

import dataclasses
import random

__all__ = ["LINK_KINDS", "PLANNED_KINDS", "Fault", "Sizes", "draw"]

# Faults of links: to control, from callers to entries, and from entries to targets.
LINK_KINDS = ("cut", "delay", "reset", "narrow", "silence")
# Planned work on an entry, and a target that is slow.
PLANNED_KINDS = ("stop", "stop", "reload", "settings", "slow")

# Bounds of the length of a fault. They let a restart, an election and the expiry of a
# lease overlap.
SHORTEST_S, LONGEST_S = 0.3, 4.0
# A planned stop of an entry lasts until callers have new addresses and the requests in
# progress have ended.
STOP_S = 12.0
# Time that a restarted process needs until it serves.
RESTART_S = 2.0


@dataclasses.dataclass(frozen=True)
class Sizes:
    """Size of a soak run: numbers of processes and faults, and times.

    Parameters
    ----------
    control, entries, targets
        Numbers of processes.
    faults, link_faults, planned
        Numbers of faults of processes and of links to control, of links of callers
        and targets, and of planned changes.
    length_s
        Time in s in which faults begin.
    stop_s
        Bound of a planned stop of an entry in s, None without one.
    """

    control: int = 3
    entries: int = 3
    targets: int = 6
    faults: int = 8
    link_faults: int = 0
    planned: int = 0
    length_s: float = 15.0
    stop_s: float | None = None


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault, or planned work.

    Parameters
    ----------
    kind
        Name in `runs.FAULTS`.
    at_s, for_s
        Start, counted from the start of the run, and length in s.
    names
        Processes that are affected. For a fault of links: the entry whose links to
        control are affected, or ``front`` and an entry for the link from callers to
        it, or ``back`` and a target for the link from entries to it.
    detail
        Direction of a cut, or ``signal`` for planned work with a further signal.
    """

    kind: str
    at_s: float
    for_s: float
    names: tuple[str, ...]
    detail: str = ""

    def is_on(self, at_s: float) -> bool:
        """Tell whether the fault, or the restart after it, is in progress at a time."""
        return self.at_s <= at_s < self.at_s + self.for_s + RESTART_S

    def overlaps(self, other: "Fault") -> bool:
        """Tell whether both faults, or the restarts after them, overlap in time."""
        end, other_end = (f.at_s + f.for_s + RESTART_S for f in (self, other))
        return self.at_s < other_end and other.at_s < end


def draw(seed: int, sizes: Sizes) -> list[Fault]:
    """Return the faults of a seed in the order of their start.

    Notes
    -----
    Faults may overlap as long as one entry and half of the targets are not affected,
    so that a caller that resends is served in the end. All control instances may be
    down at once.
    """
    rng = random.Random(seed)
    plan: list[Fault] = []
    for _ in range(20 * sizes.faults):
        if len(plan) < sizes.faults:
            fault = _draw_fault(rng, sizes)
            if _is_allowed(fault, plan, sizes):
                plan.append(fault)
    # A second random generator, so that the faults above depend on the seed alone.
    rng = random.Random(f"{seed} more")
    wanted = len(plan) + sizes.link_faults + sizes.planned
    for _ in range(20 * (wanted - len(plan))):
        if len(plan) < wanted:
            is_link = wanted - len(plan) > sizes.planned
            fault = (_draw_link if is_link else _draw_planned)(rng, sizes)
            if _is_allowed(fault, plan, sizes):
                plan.append(fault)
    return sorted(plan, key=lambda fault: fault.at_s)


def _draw_fault(rng: random.Random, sizes: Sizes) -> Fault:
    kind = rng.choice(
        ["kill", "kill", "pause", "stop", "kill_control", "cut", "delay", "reset"]
    )
    counts = {"c": sizes.control, "e": sizes.entries, "t": sizes.targets}
    role = rng.choice("cet")
    if kind in ("stop", "cut", "delay", "reset"):
        role = "e"
    names = (f"{role}{rng.randint(1, counts[role])}",)
    if kind == "kill_control":
        names = tuple(f"c{number}" for number in range(1, sizes.control + 1))
    for_s = STOP_S if kind == "stop" else rng.uniform(SHORTEST_S, LONGEST_S)
    detail = rng.choice(["", "forward", "backward"])
    return Fault(kind, rng.uniform(0, sizes.length_s), for_s, names, detail)


def _draw_link(rng: random.Random, sizes: Sizes) -> Fault:
    kind = rng.choice(LINK_KINDS)
    front = f"front e{rng.randint(1, sizes.entries)}"
    back = f"back t{rng.randint(1, sizes.targets)}"
    for_s = rng.uniform(SHORTEST_S, LONGEST_S)
    detail = rng.choice(["", "forward", "backward"])
    names = (rng.choice([front, back]),)
    return Fault(kind, rng.uniform(0, sizes.length_s), for_s, names, detail)


def _draw_planned(rng: random.Random, sizes: Sizes) -> Fault:
    kind = rng.choice(PLANNED_KINDS)
    entry, target = rng.randint(1, sizes.entries), rng.randint(1, sizes.targets)
    name = f"t{target}" if kind == "slow" else f"e{entry}"
    for_s = rng.uniform(SHORTEST_S, LONGEST_S)
    if kind == "stop":
        for_s = sizes.stop_s or STOP_S
    detail = rng.choice(["", "signal"])
    return Fault(kind, rng.uniform(0, sizes.length_s), for_s, (name,), detail)


def _is_allowed(fault: Fault, plan: list[Fault], sizes: Sizes) -> bool:
    if _is_harmless(fault):
        return True
    at_once = [o for o in plan if o.overlaps(fault) and _occupies(o)]
    affected = {_process(name) for other in at_once for name in other.names}
    own = {_process(name) for name in fault.names}
    if affected & own:
        return False
    affected |= own
    entries = sum(name.startswith("e") for name in affected)
    targets = sum(name.startswith("t") for name in affected)
    return entries < sizes.entries and targets <= sizes.targets // 2


def _is_harmless(fault: Fault) -> bool:
    """Tell whether resent calls still reach all processes during a fault."""
    if fault.kind in LINK_KINDS:
        return not fault.names[0].startswith("back ")
    return fault.kind in ("reload", "settings", "slow")


def _occupies(fault: Fault) -> bool:
    """Tell whether a fault excludes others of the same processes."""
    # Resets are harmless but count as well; otherwise the plans of all seeds change.
    return fault.kind == "reset" or not _is_harmless(fault)


def _process(name: str) -> str:
    return name.rpartition(" ")[2]
