"""Checkers of recorded histories.

Each checker returns a list of texts, one for each violation that it found.
"""

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

    `invoked` and `returned` are times in s. `result` is the revision after an
    accepted change, ``-1 - revision`` after a conflict, a pair of revision and
    document of a read, or None if unknown.
    """

    kind: str
    section: str
    invoked: float
    returned: float = math.inf
    expected: int = 0
    document: str = ""
    result: typing.Any = None


class Vote(typing.NamedTuple):
    """A vote that a member granted; voter and candidate are member ids."""

    voter: str
    term: int
    candidate: str


class Run(typing.NamedTuple):
    """A run of a request at a target; `request` is the key if there is one."""

    request: str
    target: str
    at_s: float
    caller: str


class Write(typing.NamedTuple):
    """A request that an entry wrote to its connection to a target."""

    request: str
    target: str
    entry: str
    at_s: float


class ViewSample(typing.NamedTuple):
    """Revisions of the log and of the sections in the view of an entry."""

    entry: str
    at_s: float
    revision: int
    sections: dict[str, int]


class Probe(typing.NamedTuple):
    """A probe of a target, and the part of the budget that it spent."""

    target: str
    at_s: float
    spent_s: float


@dataclasses.dataclass
class Answer:
    """The answer that a caller received.

    `verdict` is empty for the response of a target, and if the connection ended
    without a response. `invoked` and `returned` are times in s.
    """

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
    is_cut_by_target: bool = False


@dataclasses.dataclass
class History:
    """The record of one run of a scenario, for the checkers.

    Parameters
    ----------
    operations
        Changes and reads of sections.
    resend_results
        Request id, first result and later result of each resent change.
    reads
        Documents by section and revision; no checker uses them.
    votes
        Votes in the order in which they were sent.
    leaders
        Member id of the first leader of each term.
    terms_with_two_leaders
        Terms in which a second member became leader.
    committed
        Log entries by index, as the first member applied them.
    rewritten_log_entries
        Index and instance wherever a member applied another log entry than that.
    unsynced_sends
        Number of messages that an instance sent while its disk had unsynced data.
    votes_before_disk_loss
        For each member id whose disk was lost, the length of `votes` at that time.
    view_samples
        Revisions in the views of entries, in the order of time.
    accepted
        Time in s, section and revision of each accepted change.
    unreachable
        Start of the names of entries, and start and end in s, of each span of time
        in which these entries could not be reached.
    runs, writes, answers, probes
        What was recorded at targets, entries and callers.
    at_most_once
        Keys of the requests that must not run twice.
    drains
        Times in s at which drains of a target were accepted.
    stops
        Name, start and end in s of each planned stop.
    probe_budget_s
        Time for probes in s that is allowed for each target and second.
    """

    operations: list[Operation] = dataclasses.field(default_factory=list)
    resend_results: list[tuple[str, typing.Any, typing.Any]] = dataclasses.field(
        default_factory=list
    )
    reads: list[dict[str, dict[int, str]]] = dataclasses.field(default_factory=list)
    votes: list[Vote] = dataclasses.field(default_factory=list)
    leaders: dict[int, str] = dataclasses.field(default_factory=dict)
    terms_with_two_leaders: list[int] = dataclasses.field(default_factory=list)
    committed: dict[int, bytes] = dataclasses.field(default_factory=dict)
    rewritten_log_entries: list[tuple[int, str]] = dataclasses.field(
        default_factory=list
    )
    unsynced_sends: int = 0
    votes_before_disk_loss: dict[str, int] = dataclasses.field(default_factory=dict)
    view_samples: list[ViewSample] = dataclasses.field(default_factory=list)
    accepted: list[tuple[float, str, int]] = dataclasses.field(default_factory=list)
    unreachable: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list
    )
    runs: list[Run] = dataclasses.field(default_factory=list)
    writes: list[Write] = dataclasses.field(default_factory=list)
    answers: list[Answer] = dataclasses.field(default_factory=list)
    at_most_once: set[str] = dataclasses.field(default_factory=set)
    drains: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    stops: list[tuple[str, float, float]] = dataclasses.field(default_factory=list)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    probe_budget_s: float = 0.0


def check_register(operations):
    """Check that the operations on each section are linearizable.

    The algorithm is that of Wing and Gong with a memo of visited states: O(2^n) at
    worst, near linear for the few operations that overlap here.
    """
    problems = []
    by_section = collections.defaultdict(list)
    for operation in operations:
        by_section[operation.section].append(operation)
    for section, in_section in by_section.items():
        in_section.sort(key=lambda o: o.invoked)
        if not _is_linearizable(in_section):
            problems.append(f"no order explains the operations on {section}")
    return problems


def _is_linearizable(operations):
    # Sets of operations are bit masks; a state is a pair of revision and document.
    all_done = (1 << len(operations)) - 1
    unknown = sum(1 << n for n, o in enumerate(operations) if o.result is None)
    pending, visited = [(0, (0, ""))], set()
    while pending:
        done, state = pending.pop()
        if (done | unknown) == all_done:
            return True
        if (done, state) in visited:
            continue
        visited.add((done, state))
        left = [(n, o) for n, o in enumerate(operations) if not done >> n & 1]
        first_return = min(o.returned for _, o in left)
        for n, operation in left:
            if operation.invoked <= first_return:
                for after in _apply(operation, state):
                    # An operation of unknown result that changes nothing can as
                    # well be left out of the order.
                    if operation.result is None and after == state:
                        continue
                    pending.append((done | 1 << n, after))
    return False


def _apply(operation, state):
    """Return the states after an operation; none if they contradict its result."""
    revision, _ = state
    if operation.kind == "read":
        return [state] if operation.result in (None, state) else []
    matches = operation.expected == revision
    result = revision + 1 if matches else -1 - revision
    if operation.result not in (None, result):
        return []
    return [(revision + 1, operation.document) if matches else state]


def check_resends(results):
    """Check that a resend with the same request id gets the first outcome."""
    return [f"{r}: {a} then {b}" for r, a, b in results if a != b]


def check_durability(operations, final):
    """Check that the accepted changes are in the final sections."""
    problems = []
    for o in operations:
        if o.kind != "change" or o.result is None or o.result <= 0:
            continue
        kept = final.get(o.section, {})
        if max(kept, default=0) < o.result:
            problems.append(f"revision {o.result} of {o.section} vanished")
        elif kept.get(o.result, o.document) != o.document:
            problems.append(f"revision {o.result} of {o.section} changed")
    return problems


def check_agreement(history):
    """Check votes and leaders per term, committed log entries, and syncs."""
    problems, candidates = [], {}
    for number, (voter, term, candidate) in enumerate(history.votes):
        if candidates.setdefault((voter, term), candidate) != candidate:
            problems.append(f"two votes of {voter} in term {term}")
        if number >= history.votes_before_disk_loss.get(voter, math.inf):
            problems.append(f"vote in term {term} of {voter}, whose disk is lost")
    problems += [f"two leaders in term {t}" for t in history.terms_with_two_leaders]
    problems += [
        f"committed log entry {index} changed at {name}"
        for index, name in history.rewritten_log_entries
    ]
    if history.unsynced_sends:
        problems.append(f"{history.unsynced_sends} messages sent before the sync")
    return problems


def check_monotonic(samples):
    """Check that no entry goes back to an older revision, of log or section."""
    problems, last = [], {}
    for sample in samples:
        before = last.get(sample.entry)
        last[sample.entry] = sample
        if before is None:
            continue
        if sample.revision < before.revision:
            problems.append(
                f"{sample.entry} went back from revision {before.revision} to "
                f"{sample.revision}"
            )
        for name, revision in before.sections.items():
            if sample.sections.get(name, 0) < revision:
                problems.append(
                    f"{sample.entry} went back from revision {revision} of {name}"
                )
    return problems


def check_in_force(accepted, samples, unreachable, entries):
    """Check that each reachable entry has an accepted change within the bound."""
    problems = []
    for at_s, section, revision in accepted:
        for entry in entries:
            started_s = min(
                (s.at_s for s in samples if s.entry == entry), default=math.inf
            )
            if started_s > at_s or _was_unreachable(entry, at_s, unreachable):
                continue
            in_time = any(
                s.entry == entry
                and s.at_s <= at_s + IN_FORCE_BOUND_S
                and s.sections.get(section, 0) >= revision
                for s in samples
            )
            if not in_time:
                problems.append(f"revision {revision} of {section} late at {entry}")
    return problems


def _was_unreachable(entry, at_s, unreachable):
    return any(
        entry.startswith(name) and start_s <= at_s + IN_FORCE_BOUND_S and at_s <= end_s
        for name, start_s, end_s in unreachable
    )


def check_at_most_once(runs, keys):
    """Check that a request that is not repeatable runs at most once."""
    counts = collections.Counter(r.request for r in runs if r.request in keys)
    return [f"{key} ran {count} times" for key, count in counts.items() if count > 1]


def check_not_run(answers, runs):
    """Check that a request answered with "not run" ran neither before nor after."""
    ran = {r.caller for r in runs}
    return [
        f"{a.name} was answered not_run and ran"
        for a in answers
        if a.verdict == "not_run" and a.name in ran
    ]


def check_answers(answers):
    """Check that a response belongs to its request and is whole or visibly cut."""
    problems = []
    for a in answers:
        if a.verdict or a.status != 200:
            continue
        if not a.is_whole:
            continue  # The caller sees that the connection ended early.
        if not a.body.startswith(a.request + " ") or not a.body.endswith(" HTTP/1.1"):
            problems.append(f"{a.name} got {a.body!r} for request {a.request}")
    return problems


def check_replays(answers, runs):
    """Check that a replayed response is that of the run of its key."""
    ran = {r.request for r in runs}
    return [
        f"{a.name} got a replayed answer {a.body!r} that is of no run of {a.request}"
        for a in answers
        if a.is_replayed and (a.request not in ran or not a.body.startswith(a.request))
    ]


def check_stops(answers, stops):
    """Check that a planned stop cuts and refuses no request."""
    return [
        f"{a.name} was cut or refused by the planned stop of {name}"
        for name, start_s, end_s in stops
        for a in answers
        if a.entry == name
        and start_s <= a.returned <= end_s
        and not a.is_cut_by_target
        and (not a.is_whole or a.reason == "stopping")
    ]


def check_drains(drains, writes):
    """Check that a draining target gets no new work after the bound."""
    return [
        f"{w.target} got {w.request} {w.at_s - drained_s:.2f} s after its drain"
        for w in writes
        for drained_s in drains.get(w.target, ())
        if w.at_s > drained_s + DRAIN_BOUND_S
    ]


def check_probes(probes, budget_s):
    """Check that probes never spend more than their budget.

    The budget is leased in shares of one lease time. In a window of any length, no
    more shares can be spent than the number of lease times that it touches.
    """
    problems, by_target = [], collections.defaultdict(list)
    for probe in probes:
        by_target[probe.target].append(probe)
    for target, of_target in by_target.items():
        of_target.sort(key=lambda p: p.at_s)
        for first, start in enumerate(of_target):
            spent_s = 0.0
            for probe in of_target[first:]:
                spent_s += probe.spent_s
                leases = math.floor((probe.at_s - start.at_s) / PROBE_LEASE_S + 0.9) + 1
                if spent_s > leases * budget_s * PROBE_LEASE_S + 1e-6:
                    problems.append(f"{target}: {spent_s:.3f} s in {leases} leases")
                    break
    return problems


def check_all(history, final, entries):
    """Run every checker on a whole history."""
    return [
        *check_register(history.operations),
        *check_resends(history.resend_results),
        *check_durability(history.operations, final),
        *check_agreement(history),
        *check_monotonic(history.view_samples),
        *check_in_force(
            history.accepted, history.view_samples, history.unreachable, entries
        ),
        *check_at_most_once(history.runs, history.at_most_once),
        *check_not_run(history.answers, history.runs),
        *check_answers(history.answers),
        *check_replays(history.answers, history.runs),
        *check_stops(history.answers, history.stops),
        *check_drains(history.drains, history.writes),
        *check_probes(history.probes, history.probe_budget_s),
    ]
