"""Checkers of recorded histories: plain functions that return what is wrong."""

import collections
import dataclasses
import math
import typing

DRAIN_BOUND_S = 3.0
IN_FORCE_BOUND_S = 3.0
PROBE_LEASE_S = 10.0


@dataclasses.dataclass
class Operation:
    """A change (compare-and-swap) or a read of one section.

    `result` is the revision after an accepted change, ``-1 - revision`` after a
    conflict, a pair of revision and document of a read, or None if unknown.
    """

    kind: str
    section: str
    invoked: float
    returned: float = math.inf
    expected: int = 0
    document: str = ""
    result: typing.Any = None


class Vote(typing.NamedTuple):
    voter: str
    term: int
    candidate: str


class Run(typing.NamedTuple):
    request: str
    target: str
    at: float
    caller: str


class Write(typing.NamedTuple):
    request: str
    target: str
    entry: str
    at: float


class Seen(typing.NamedTuple):
    entry: str
    at: float
    revision: int
    sections: dict[str, int]


class Probe(typing.NamedTuple):
    target: str
    at: float
    spent_s: float


@dataclasses.dataclass
class Answer:
    """What a caller got; `verdict` is empty if the connection just ended."""

    name: str
    request: str
    verdict: str
    reason: str
    status: int
    body: str
    is_whole: bool
    invoked: float
    returned: float
    entry: str
    is_replayed: bool = False
    is_target_cut: bool = False


@dataclasses.dataclass
class History:
    operations: list[Operation] = dataclasses.field(default_factory=list)
    repeated: list[tuple[str, typing.Any, typing.Any]] = dataclasses.field(
        default_factory=list
    )
    reads: list[dict[str, dict[int, str]]] = dataclasses.field(default_factory=list)
    votes: list[Vote] = dataclasses.field(default_factory=list)
    leaders: dict[int, str] = dataclasses.field(default_factory=dict)
    second_leaders: list[int] = dataclasses.field(default_factory=list)
    committed: dict[int, bytes] = dataclasses.field(default_factory=dict)
    changed_entries: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    unsynced_sends: int = 0
    lost_ids: dict[str, int] = dataclasses.field(default_factory=dict)
    seen: list[Seen] = dataclasses.field(default_factory=list)
    accepted: list[tuple[float, str, int]] = dataclasses.field(default_factory=list)
    unreachable: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list
    )
    runs: list[Run] = dataclasses.field(default_factory=list)
    writes: list[Write] = dataclasses.field(default_factory=list)
    answers: list[Answer] = dataclasses.field(default_factory=list)
    once: set[str] = dataclasses.field(default_factory=set)
    drains: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    stops: list[tuple[str, float, float]] = dataclasses.field(default_factory=list)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    probe_budget_s: float = 0.0  # Per target and second.


def check_register(operations):
    """Search an order of the operations that a register could have run.

    Wing and Gong's search with a memo of visited states: O(2^n) at worst, near
    linear for the few operations that overlap here.
    """
    wrong = []
    by_section = collections.defaultdict(list)
    for operation in operations:
        by_section[operation.section].append(operation)
    for section, found in by_section.items():
        found.sort(key=lambda o: o.invoked)
        if not _has_order(found):
            wrong.append(f"no order explains the operations on {section}")
    return wrong


def _has_order(operations):
    everything = (1 << len(operations)) - 1
    unknown = sum(1 << n for n, o in enumerate(operations) if o.result is None)
    waiting, visited = [(0, (0, ""))], set()
    while waiting:
        done, state = waiting.pop()
        if (done | unknown) == everything:
            return True
        if (done, state) in visited:
            continue
        visited.add((done, state))
        left = [(n, o) for n, o in enumerate(operations) if not done >> n & 1]
        limit = min(o.returned for _, o in left)
        for n, operation in left:
            if operation.invoked <= limit:
                for after in _apply(operation, state):
                    # An unknown operation without effect may as well never happen.
                    if operation.result is None and after == state:
                        continue
                    waiting.append((done | 1 << n, after))
    return False


def _apply(operation, state):
    revision, _ = state
    if operation.kind == "read":
        return [state] if operation.result in (None, state) else []
    matches = operation.expected == revision
    result = revision + 1 if matches else -1 - revision
    if operation.result not in (None, result):
        return []
    return [(revision + 1, operation.document) if matches else state]


def check_repeats(repeated):
    """Check that a resend with the same request id gets the first outcome."""
    return [f"{r}: {a} then {b}" for r, a, b in repeated if a != b]


def check_kept(operations, final):
    """Check that accepted changes are in the final sections."""
    wrong = []
    for o in operations:
        if o.kind != "change" or o.result is None or o.result <= 0:
            continue
        kept = final.get(o.section, {})
        if max(kept, default=0) < o.result:
            wrong.append(f"revision {o.result} of {o.section} vanished")
        elif kept.get(o.result, o.document) != o.document:
            wrong.append(f"revision {o.result} of {o.section} changed")
    return wrong


def check_agreement(history):
    """Check votes and leaders per term, and that committed entries never differ."""
    wrong, known = [], {}
    for number, (voter, term, candidate) in enumerate(history.votes):
        if known.setdefault((voter, term), candidate) != candidate:
            wrong.append(f"two votes of {voter} in term {term}")
        if number >= history.lost_ids.get(voter, math.inf):
            wrong.append(f"vote of {voter}, whose disk is lost")
    wrong += [f"two leaders in term {term}" for term in history.second_leaders]
    wrong += [f"entry {i} changed at {who}" for i, who in history.changed_entries]
    if history.unsynced_sends:
        wrong.append("a message was sent before the sync")
    return wrong


def check_monotonic(seen):
    """Check that no entry goes back to an older revision, of log or section."""
    wrong, last = [], {}
    for now in seen:
        before = last.get(now.entry)
        last[now.entry] = now
        if before is None:
            continue
        if now.revision < before.revision:
            wrong.append(f"{now.entry} went back to revision {now.revision}")
        for name, revision in before.sections.items():
            if now.sections.get(name, 0) < revision:
                wrong.append(f"{now.entry} went back in section {name}")
    return wrong


def check_in_force(accepted, seen, unreachable, entries):
    """Check that each reachable entry has an accepted change within the bound."""
    wrong = []
    for at, section, revision in accepted:
        for entry in entries:
            started = min((s.at for s in seen if s.entry == entry), default=math.inf)
            if started > at or _was_unreachable(entry, at, unreachable):
                continue
            in_time = any(
                s.entry == entry
                and s.at <= at + IN_FORCE_BOUND_S
                and s.sections.get(section, 0) >= revision
                for s in seen
            )
            if not in_time:
                wrong.append(f"revision {revision} of {section} late at {entry}")
    return wrong


def _was_unreachable(entry, at, unreachable):
    return any(
        entry.startswith(name) and start <= at + IN_FORCE_BOUND_S and at <= end
        for name, start, end in unreachable
    )


def check_once(runs, once):
    """Check that a request that is not repeatable runs at most once."""
    counts = collections.Counter(r.request for r in runs if r.request in once)
    return [f"{key} ran {count} times" for key, count in counts.items() if count > 1]


def check_not_run(answers, runs):
    """Check that who is told "not run" was not run, before or after the answer."""
    ran = {r.caller for r in runs}
    return [
        f"{a.name} was told not_run and ran"
        for a in answers
        if a.verdict == "not_run" and a.name in ran
    ]


def check_answers(answers):
    """Check that a response belongs to its request and is whole or visibly cut."""
    wrong = []
    for a in answers:
        if a.verdict or a.status != 200:
            continue
        if not a.is_whole:
            continue  # The caller sees the end of the connection.
        if not a.body.startswith(a.request + " ") or not a.body.endswith(" HTTP/1.1"):
            wrong.append(f"{a.name} got {a.body!r}")
    return wrong


def check_replays(answers, runs):
    """Check that a replayed response is that of the run of its key."""
    ran = {r.request for r in runs}
    return [
        f"{a.name} got a replayed answer and never ran"
        for a in answers
        if a.is_replayed and (a.request not in ran or not a.body.startswith(a.request))
    ]


def check_stops(answers, stops):
    """Check that a planned stop cuts and refuses no request."""
    return [
        f"{a.name} was hurt by the planned stop of {name}"
        for name, start, end in stops
        for a in answers
        if a.entry == name
        and start <= a.returned <= end
        and not a.is_target_cut
        and (not a.is_whole or a.reason == "stopping")
    ]


def check_drains(drains, writes):
    """Check that a draining target gets no new work after the bound."""
    return [
        f"{w.target} got {w.request} {w.at - at:.2f} s after its drain"
        for w in writes
        for at in drains.get(w.target, ())
        if w.at > at + DRAIN_BOUND_S
    ]


def check_probes(probes, budget_s):
    """Check that measuring never takes more than its budget.

    The budget is leased in shares of one lease time. In a window of any length no
    more shares can be spent than lease times that it touches.
    """
    wrong, by_target = [], collections.defaultdict(list)
    for probe in probes:
        by_target[probe.target].append(probe)
    for target, found in by_target.items():
        found.sort(key=lambda p: p.at)
        for first, start in enumerate(found):
            spent = 0.0
            for probe in found[first:]:
                spent += probe.spent_s
                leases = math.floor((probe.at - start.at) / PROBE_LEASE_S + 0.9) + 1
                if spent > leases * budget_s * PROBE_LEASE_S + 1e-6:
                    wrong.append(f"{target}: {spent:.3f} s in {leases} leases")
                    break
    return wrong


def check_all(history, final, entries):
    """Run every checker that applies on a whole history."""
    return [
        *check_register(history.operations),
        *check_repeats(history.repeated),
        *check_kept(history.operations, final),
        *check_agreement(history),
        *check_monotonic(history.seen),
        *check_in_force(history.accepted, history.seen, history.unreachable, entries),
        *check_once(history.runs, history.once),
        *check_not_run(history.answers, history.runs),
        *check_answers(history.answers),
        *check_replays(history.answers, history.runs),
        *check_stops(history.answers, history.stops),
        *check_drains(history.drains, history.writes),
        *check_probes(history.probes, history.probe_budget_s),
    ]
