"""Rules of the soak of workspaces, evacuations, cold and hanging targets.

Each rule takes a record of a run and returns a text for each violation.
"""

import bisect
import collections
import dataclasses
import itertools
import pathlib
import typing

from coltsfootchute import registries, verdicts
from coltsfootchute.standins import arrivals, records, targets

__all__ = ["RULES", "Evacuation", "Limit", "Record", "Sent", "Version"]

RULES = registries.Registry("rule of the soak of hard load")
# An accepted change is in force everywhere after this time.
IN_FORCE_BOUND_S = 3.0
EVACUATION_BOUND_S = 5.0
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20.0
# Time after which a request that hangs is overdue: longer than the longest work at a
# cold target with a full queue, and shorter than the timeouts of the requests.
OVERDUE_S = 1.5
# Statuses that callers of declared routes take as "not run".
NOT_RUN_STATUSES = frozenset({401, 404, 408, 421, 429, 503})
# Time beyond its timeout after which a request must have ended.
LATE_S = 1.5


class Version(typing.NamedTuple):
    """A version of the declaration: when it was sent and accepted, and its keys."""

    sent_s: float
    accepted_s: float
    holders: dict[str, str]


class Evacuation(typing.NamedTuple):
    """An evacuation: when its start was accepted and its end was sent."""

    domain: str
    accepted_s: float
    ended_s: float


class Limit(typing.NamedTuple):
    """Declared limit of a workspace, and whether it never offers nearly as much."""

    rate_per_s: float
    burst: float
    is_quiet: bool = False


@dataclasses.dataclass
class Sent:
    """A request of a caller and its outcome; times are Unix times in s."""

    request_id: str
    entry: str
    key: str
    is_public: bool
    is_write: bool
    timeout_s: float
    began_s: float
    ended_s: float = 0.0
    status: int = 0
    verdict: verdicts.Verdict = verdicts.Verdict.MAY_HAVE_RUN
    reason: str = ""


@dataclasses.dataclass
class Record:
    """What was observed in a run.

    Parameters
    ----------
    sent, arrived, runs
        Requests of callers, and what targets recorded of them.
    versions, evacuations
        Changes of operators in the order in which they were accepted.
    limits
        Limits of the workspaces that have one.
    domains
        Failure domain of each target.
    disturbances
        Unix times between which processes were down or frozen.
    logs
        Files with the output of all processes.
    """

    sent: list[Sent] = dataclasses.field(default_factory=list)
    arrived: list[arrivals.Arrival] = dataclasses.field(default_factory=list)
    runs: list[records.Run] = dataclasses.field(default_factory=list)
    versions: list[Version] = dataclasses.field(default_factory=list)
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
    limits: dict[str, Limit] = dataclasses.field(default_factory=dict)
    domains: dict[str, str] = dataclasses.field(default_factory=dict)
    disturbances: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    logs: list[pathlib.Path] = dataclasses.field(default_factory=list)

    def summary(self) -> dict[str, typing.Any]:
        """Return how often something happened that rules apply to."""
        return {
            "statuses": dict(collections.Counter(s.status for s in self.sent)),
            "versions": len(self.versions),
            "evacuations": len(self.evacuations),
            "cold": sum(a.is_cold for a in self.arrived),
            "over_ramp": sum(a.is_over_ramp for a in self.arrived),
            "hung": sum(a.is_hung for a in self.arrived),
        }

    def is_disturbed(self, from_s: float, until_s: float) -> bool:
        """Return whether processes were down or frozen between two times."""
        return any(a < until_s and from_s < b for a, b in self.disturbances)

    def holders(self, sent: Sent) -> set[str | None]:
        """Return the workspaces that may have held the key of a request."""
        nexts = [v.accepted_s for v in self.versions[1:]] + [float("inf")]
        return {
            version.holders.get(sent.key)
            for version, next_s in zip(self.versions, nexts, strict=True)
            if version.sent_s <= sent.ended_s
            and sent.began_s <= next_s + IN_FORCE_BOUND_S
        }


@RULES.register("answers")
def check_answers(record: Record) -> list[str]:
    """Check that requests end in time, writes run once, and refusals are true."""
    counts = collections.Counter(run.request_id for run in record.runs)
    problems = []
    for sent in record.sent:
        if sent.is_write and counts[sent.request_id] > 1:
            problems.append(f"a write ran {counts[sent.request_id]} times: {sent}")
        is_refused = sent.verdict is verdicts.Verdict.NOT_RUN
        if counts[sent.request_id] and (is_refused or sent.status in NOT_RUN_STATUSES):
            problems.append(f"ran though refused as not run: {sent}")
        if record.is_disturbed(sent.began_s, sent.ended_s):
            continue
        if not sent.status or sent.ended_s > sent.began_s + sent.timeout_s + LATE_S:
            problems.append(f"no answer in time: {sent}")
    return problems


@RULES.register("keys")
def check_keys(record: Record) -> list[str]:
    """Check that keys and workspaces are those of a version that was in force."""
    stated = collections.defaultdict(list)
    for arrival in record.arrived:
        stated[arrival.request_id].append(arrival.workspaces)
    problems = []
    for sent in record.sent:
        if record.is_disturbed(sent.began_s - IN_FORCE_BOUND_S, sent.ended_s):
            continue
        holders = record.holders(sent)
        allowed = [[name] if name else [] for name in holders]
        if not sent.is_public:
            allowed = [names for names in allowed if names]
        problems += [
            f"workspace {names} in place of {holders}: {sent}"
            for names in stated[sent.request_id]
            if names not in allowed
        ]
        if sent.status == 401 and (sent.is_public or None not in holders):
            problems.append(f"refused though the key was held: {sent}")
    return problems


@RULES.register("secrecy")
def check_secrecy(record: Record) -> list[str]:
    """Check that no key reaches a target or a log."""
    prefix = targets.KEY_PREFIX.encode()
    problems = [f"a key reached a target: {a}" for a in record.arrived if a.leaked]
    return problems + [
        f"a key is in {path.name}"
        for path in record.logs
        if prefix in path.read_bytes()
    ]


@RULES.register("allotments")
def check_allotments(record: Record) -> list[str]:
    """Check the limit in any window, and that nobody below it is refused."""
    names = {a.request_id: a.workspaces for a in record.arrived}
    times = collections.defaultdict(list)
    for run in record.runs:
        for name in names.get(run.request_id, ()):
            times[name].append(run.time_s)
    problems = []
    for name, limit in record.limits.items():
        allowed = (limit.rate_per_s * WINDOW_S + limit.burst) * (1 + OVERAGE) + SLACK
        starts = sorted(times[name])
        most = max(
            (
                bisect.bisect_left(starts, s + WINDOW_S) - i
                for i, s in enumerate(starts)
            ),
            default=0,
        )
        if most > allowed:
            problems.append(
                f"{name}: {most} runs in {WINDOW_S:g} s, {allowed:g} allowed"
            )
    for sent in record.sent:
        limits = [record.limits.get(name or "") for name in record.holders(sent)]
        may_be_over = any(limit and not limit.is_quiet for limit in limits)
        is_disturbed = record.is_disturbed(sent.began_s - WINDOW_S, sent.ended_s)
        if sent.status == 429 and not may_be_over and not is_disturbed:
            problems.append(f"refused below the limit: {sent}")
    return problems


@RULES.register("evacuations")
def check_evacuations(record: Record) -> list[str]:
    """Check that targets in an evacuated domain get no requests after the bound."""
    return [
        f"{arrival.time_s - accepted_s:.2f} s after that of {domain}: {arrival}"
        for domain, accepted_s, ended_s in record.evacuations
        for arrival in record.arrived
        if record.domains[arrival.target] == domain
        and accepted_s + EVACUATION_BOUND_S < arrival.time_s < ended_s
    ]


@RULES.register("ramps")
def check_ramps(record: Record) -> list[str]:
    """Check that cold targets found no request beyond their limit."""
    over = collections.Counter(a.target for a in record.arrived if a.is_over_ramp)
    return [
        f"{target} got {count} requests beyond its ramp"
        for target, count in over.items()
    ]


@RULES.register("hangs")
def check_hangs(record: Record) -> list[str]:
    """Check that an entry sends nothing to a target that has not answered in time.

    A request that is answered, or whose wait has ended, allows another one.
    """
    pairs = collections.defaultdict(list)
    for arrival in record.arrived:
        pairs[arrival.target, arrival.entry].append(arrival)
    problems = []
    for of_pair in pairs.values():
        answered = sorted(a.ended_s for a in of_pair if a.end is arrivals.End.ANSWERED)
        for hung, later in itertools.product(
            [a for a in of_pair if a.is_hung], of_pair
        ):
            ended_s = hung.ended_s or float("inf")
            if not hung.time_s + OVERDUE_S < later.time_s < ended_s:
                continue
            first = bisect.bisect_right(answered, hung.time_s)
            if first == len(answered) or answered[first] >= later.time_s:
                problems.append(f"sent while {hung.request_id} is overdue: {later}")
    return problems
