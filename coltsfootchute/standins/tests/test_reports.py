"""Guards against a demo that passes although a call was cut, lost or run twice."""

import pytest

from coltsfootchute import verdicts
from coltsfootchute.standins import callers, records, reports

RAN = verdicts.Verdict.RAN
NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


def outcome(*attempt_verdicts, key="k", status=200, **faults):
    call = callers.Call("POST", "/", repeatable=not key)
    attempts = tuple(
        callers.Attempt("a", verdict, status, "", 0.0, 0.01, **faults)
        for verdict in attempt_verdicts
    )
    return callers.Outcome(call, key or "q", key, attempts)


def runs(count, **fields):
    run = records.Run("t1", "k", "k", "POST", "/", 100.0, **fields)
    return [run] * count


@pytest.mark.parametrize(
    ("found", "ran", "violations"),
    [
        (outcome(RAN), runs(1), []),
        (outcome(NOT_RUN, RAN), runs(1), []),
        (outcome(RAN), runs(2), ["run_twice"]),
        (outcome(RAN), [], ["false_verdicts"]),
        (outcome(NOT_RUN), runs(1), ["lost", "false_verdicts"]),
        (outcome(MAY_HAVE_RUN), runs(1), ["lost"]),
        (outcome(MAY_HAVE_RUN, RAN, status=0), runs(1), ["cut"]),
        (outcome(RAN, cut=True), runs(1), ["cut"]),
        (outcome(RAN, wrong=True), runs(1), ["wrong"]),
        (outcome(NOT_RUN, key=""), [], ["lost", "lost_repeatable"]),
        (outcome(RAN), runs(1, draining=True), ["late_runs"]),
    ],
)
def test_each_violation_is_counted(found, ran, violations):
    assert (
        reports.check_outcomes([found], ran, drained_s=96.0).violations(killed=False)
        == violations
    )


def test_kill_allows_cut_and_lost_calls_but_no_second_run():
    found = [outcome(MAY_HAVE_RUN, status=0), outcome(NOT_RUN, key="")]
    findings = reports.check_outcomes(found, runs(2))
    assert findings.violations(killed=True) == ["lost_repeatable", "run_twice"]
