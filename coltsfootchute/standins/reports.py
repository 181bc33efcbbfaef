"""Compares the outcomes of calls with the runs that the targets recorded."""

import collections
import dataclasses
import itertools
import math
import typing

from coltsfootchute import verdicts
from coltsfootchute.standins import callers, records

__all__ = ["Findings", "check_outcomes", "outcome_rows", "percentile", "resend_rows"]

# Time after its announced drain within which a target may still get new requests.
DRAIN_GRACE_S = 3.0


@dataclasses.dataclass(frozen=True)
class Findings:
    """Numbers of events that must not happen.

    Parameters
    ----------
    cut
        Attempts whose connection was lost after they had been sent.
    wrong
        Complete responses that belong to another request.
    lost
        Calls without a response of a run, as far as the caller knows.
    lost_repeatable
        Lost calls that are repeatable.
    run_twice
        Keys that ran more than once.
    false_verdicts
        Keys that ran although their verdict is "not run", or did not run although
        the caller got a response of a run.
    late_runs
        Runs that started on a draining target more than `DRAIN_GRACE_S` after it
        announced its drain.
    """

    cut: int
    wrong: int
    lost: int
    lost_repeatable: int
    run_twice: int
    false_verdicts: int
    late_runs: int

    def violations(self, *, killed: bool) -> list[str]:
        """Return the names of the counts that must be 0 and are not.

        If a process was killed, `cut` and `lost` may be above 0: its connections
        are lost, and the outcome of a call that is not repeatable may stay unknown.
        """
        names = [field.name for field in dataclasses.fields(self)]
        if killed:
            names = [name for name in names if name not in {"cut", "lost"}]
        return [name for name in names if getattr(self, name)]


def check_outcomes(
    outcomes: typing.Sequence[callers.Outcome],
    runs: typing.Sequence[records.Run],
    drained_s: float = math.inf,
) -> Findings:
    """Compare the outcomes that callers saw with the runs of the targets.

    Parameters
    ----------
    outcomes
        Outcomes of all calls.
    runs
        Recorded runs of all targets.
    drained_s
        Unix time in s at which a target announced its drain.
    """
    attempts = list(itertools.chain.from_iterable(o.attempts for o in outcomes))
    counts = records.runs_per_key(runs)
    lost = [o for o in outcomes if o.verdict is not verdicts.Verdict.RAN]
    return Findings(
        cut=sum(a.cut or _has_no_response(a) for a in attempts),
        wrong=sum(a.wrong for a in attempts),
        lost=len(lost),
        lost_repeatable=sum(o.call.repeatable for o in lost),
        run_twice=sum(count > 1 for count in counts.values()),
        false_verdicts=sum(_has_false_verdict(o, counts) for o in outcomes if o.key),
        late_runs=sum(
            run.draining and run.time_s > drained_s + DRAIN_GRACE_S for run in runs
        ),
    )


def _has_no_response(attempt: callers.Attempt) -> bool:
    sent = attempt.verdict is verdicts.Verdict.MAY_HAVE_RUN
    return sent and attempt.status == 0


def _has_false_verdict(
    outcome: callers.Outcome, counts: collections.Counter[str]
) -> bool:
    ran = counts[outcome.key] > 0
    if outcome.verdict is verdicts.Verdict.RAN:
        return not ran
    return outcome.verdict is verdicts.Verdict.NOT_RUN and ran


def percentile(values: typing.Sequence[float], percent: float) -> float:
    """Return a percentile by the nearest-rank method; NaN for no values.

    Examples
    --------
    >>> percentile([4.0, 1.0, 3.0, 2.0], 50)
    2.0
    """
    if not values:
        return math.nan
    rank = max(1, math.ceil(len(values) * percent / 100))
    return sorted(values)[rank - 1]


def outcome_rows(outcomes: typing.Sequence[callers.Outcome]) -> list[list[object]]:
    """Return a row per kind of call and verdict with counts, p50 and p99 in ms."""
    groups: dict[tuple[str, str], list[callers.Outcome]] = collections.defaultdict(list)
    for outcome in outcomes:
        kind = "repeatable" if outcome.call.repeatable else "not repeatable"
        groups[kind, outcome.verdict.value].append(outcome)
    return [
        [
            kind,
            verdict,
            len(group),
            sum(len(o.attempts) - 1 for o in group),
            sum(o.attempts[-1].replayed for o in group),
            *(
                f"{percentile([o.latency_s for o in group], percent) * 1000:.1f}"
                for percent in (50, 99)
            ),
        ]
        for (kind, verdict), group in sorted(groups.items())
    ]


def resend_rows(outcomes: typing.Sequence[callers.Outcome]) -> list[list[object]]:
    """Return a row with a count per reason and status of the resent attempts."""
    failed = itertools.chain.from_iterable(o.attempts[:-1] for o in outcomes)
    counts = collections.Counter((a.reason, a.status) for a in failed)
    return [[reason, status, n] for (reason, status), n in counts.most_common()]
