"""Which requests are overdue, and which targets hang and get no further ones."""

import enum
import math
import random

from coltsfootchute import verdicts
from coltsfootchute.balancing import hedges, loads

__all__ = ["Evidence", "Hang", "OverdueCheck", "mark_missing", "refusal"]

QUANTILE = 0.99
# A load report says nothing about requests that started shortly before it was asked
# for: 60 KB take 0.25 s on a link of 2 Mbit/s.
SENDING_S = 0.5
# A request that a load report does not count is overdue after this time, because its
# response may be on its way.
CONFIRM_S = 0.25
# Pause before the next trial request after one without an answer; doubled each time.
TRIAL_PAUSE_S = 1.0
MAX_TRIAL_PAUSE_S = 30.0
TRIAL_FACTORS = (1.0, 1.5)
# Minimum time after which callers return that were refused because all targets hang,
# and the factors that spread their returns.
RETURN_S = 0.5
RETURN_FACTORS = (1.05, 1.5)
# A report older than this does not allow a trial request.
REPORT_MAX_AGE_S = 1.0


class Evidence(enum.Enum):
    """Why a request counts as overdue."""

    TIME = "time"
    LOAD = "load"


class Hang:
    """Whether one target hangs, as one entry sees it.

    Notes
    -----
    A target hangs from an overdue request on, unless it has answered another request
    since that one was sent, until it answers one. The same holds once requests that
    were abandoned, for example for a hedge, have waited as long in all. After the
    overdue requests have ended, a load report with a free slot allows a trial request.
    O(1).
    """

    __slots__ = (
        "_answered_s",
        "_counted_s",
        "_ended_s",
        "_failed_trials",
        "_in_trial",
        "_overdue",
        "_reported_s",
        "_waited_s",
        "is_hanging",
        "trial_after_s",
    )

    def __init__(self):
        self.is_hanging = False
        # No trial request is sent before this time.
        self.trial_after_s = -math.inf
        self._answered_s = -math.inf
        self._ended_s = -math.inf
        # Time waited without an answer, and until when it was counted.
        self._waited_s = 0.0
        self._counted_s = -math.inf
        self._reported_s = -math.inf
        self._overdue = 0
        self._in_trial = False
        self._failed_trials = 0

    def record_overdue(self, started_s: float) -> bool:
        """Record an overdue request; return whether the target hangs from now on."""
        self._overdue += 1
        if self.is_hanging or self._answered_s >= started_s:
            return False
        self._begin()
        return True

    def record_abandoned(
        self, started_s: float, now: float, limit_s: float | None
    ) -> bool:
        """Record a request that ended without an answer, before it was overdue.

        Parameters
        ----------
        started_s, now
            Times in seconds at which it started and ended.
        limit_s
            Age in seconds of an overdue request; None if not known.

        Returns
        -------
        bool
            Whether the target hangs from now on.
        """
        since_s = max(started_s, self._counted_s)
        if self._answered_s >= started_s or self.is_hanging:
            return False
        self._waited_s += now - since_s
        self._counted_s = now
        if limit_s is None or self._waited_s < limit_s:
            return False
        self._ended_s = now
        self._begin()
        return True

    def _begin(self) -> None:
        self.is_hanging = True
        self._reported_s = -math.inf

    def record_answer(self, now: float) -> bool:
        """Record the head of any response; return whether this ends the hang."""
        self._answered_s = now
        self._waited_s = 0.0
        was_hanging, self.is_hanging = self.is_hanging, False
        self._failed_trials = 0
        return was_hanging

    def record_end(
        self, is_overdue: bool, is_trial: bool, now: float, rng: random.Random
    ) -> None:
        """Record the end of an attempt that was overdue or a trial."""
        self._ended_s = now
        # A report from before the end does not allow a trial.
        self._reported_s = -math.inf
        self._overdue -= is_overdue
        if not is_trial:
            return
        self._in_trial = False
        if self.is_hanging:
            pause_s = TRIAL_PAUSE_S * 2.0**self._failed_trials
            self._failed_trials = min(self._failed_trials + 1, 10)
            pause_s = min(MAX_TRIAL_PAUSE_S, pause_s) * rng.uniform(*TRIAL_FACTORS)
            self.trial_after_s = now + pause_s

    def record_probe(self, has_free_slot: bool, asked_s: float, now: float) -> None:
        """Record a load report that was asked for at a time."""
        if asked_s >= self._ended_s and has_free_slot:
            self._reported_s = now

    def start(self) -> bool:
        """Record the start of an attempt; return whether it is a trial."""
        if not self.is_hanging:
            return False
        self._in_trial = True
        self._reported_s = -math.inf
        return True

    def is_due(self, now: float) -> bool:
        """Tell whether a trial is due, apart from a report with a free slot."""
        has_pending = self._overdue or self._in_trial
        return self.is_hanging and not has_pending and now >= self.trial_after_s

    def allows(self, now: float, needs_report: bool) -> bool:
        """Tell whether a request may be sent to the target.

        Parameters
        ----------
        now
            Time in seconds.
        needs_report
            Whether a trial needs a load report. Without probes there is none, and
            a pause after the end of the overdue request takes its place.
        """
        if not self.is_hanging:
            return True
        if not self.is_due(now):
            return False
        if needs_report:
            return now - self._reported_s <= REPORT_MAX_AGE_S
        return now - self._ended_s >= TRIAL_PAUSE_S


class OverdueCheck:
    """Finds the overdue requests of one service.

    Notes
    -----
    A request is overdue after a multiple of the longest normal response time of the
    service, or when a load report of its target does not count it.
    """

    __slots__ = ("_factor", "_min_s", "_quantile")

    def __init__(self):
        self._quantile = hedges.HedgeDelay(QUANTILE)
        self._factor = 0.0
        self._min_s = 0.0

    def change(self, factor: float, min_s: float) -> None:
        """Apply settings; a factor of 0 turns the check off."""
        self._factor = factor
        self._min_s = min_s

    @property
    def is_on(self) -> bool:
        """Whether requests are checked."""
        return self._factor > 0

    def record(self, response_s: float) -> None:
        """Add a response time of the service."""
        if self.is_on:
            self._quantile.record(response_s)

    def limit_s(self) -> float | None:
        """Return the age in seconds of an overdue request; None if not known."""
        quantile_s = self._quantile.delay_s()
        if not self.is_on or quantile_s is None:
            return None
        return max(self._min_s, self._factor * quantile_s)

    def evidence(self, token, now: float) -> Evidence | None:
        """Return why an attempt is overdue, or None if it is not."""
        if not self.is_on or token.is_answered or not token.is_open:
            return None
        if now - token.missing_s >= CONFIRM_S:
            return Evidence.LOAD
        limit_s = self.limit_s()
        if limit_s is not None and now - token.started_s >= limit_s:
            return Evidence.TIME
        return None


def mark_missing(
    attempts, report: loads.LoadReport, asked_s: float, now: float
) -> None:
    """Compare the attempts in flight at a target with its load report.

    Parameters
    ----------
    attempts
        Tokens of this entry's attempts there, the oldest first.
    report
        The report.
    asked_s, now
        Times in seconds at which the report was asked for and received.

    Notes
    -----
    If the report counts fewer requests than this entry waits for, the target does not
    run or queue all of them. Those that started first are taken to be missing.
    """
    if report.in_flight is None:
        return
    known = [
        token
        for token in attempts
        if not token.is_answered and asked_s - token.started_s >= SENDING_S
    ]
    missing = len(known) - int(report.in_flight)
    for position, token in enumerate(known):
        if position >= missing:
            token.missing_s = math.inf
        elif token.missing_s == math.inf:
            token.missing_s = now


def refusal(remaining_s: float, rng: random.Random) -> verdicts.Refusal:
    """Return the refusal of a request while all targets hang.

    Parameters
    ----------
    remaining_s
        Time in seconds until the first trial request.
    rng
        Random number generator.
    """
    retry_after_s = max(RETURN_S, remaining_s) * rng.uniform(*RETURN_FACTORS)
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN,
        verdicts.Reason.TARGETS_HANG,
        "no target answers its requests",
        retry_after_s=retry_after_s,
    )
