"""State that an entry keeps about each target."""

import dataclasses
import enum
import math
import random

from coltsfootchute import ids
from coltsfootchute.balancing import hangs, limits, loads

__all__ = [
    "AttemptKind",
    "AttemptToken",
    "Outcome",
    "Target",
    "TargetState",
    "TargetView",
]

# Smoothing factors of the latency estimate for a slower and for a faster response.
# A straggler must be detected at once, but one fast response of a straggler is little
# evidence that it has recovered.
RISE_GAIN = 0.5
FALL_GAIN = 0.1
# Without new responses the latency estimate is halved in this time, so that a target
# that was slow is tried again.
IDLE_HALF_LIFE_S = 1.0
# Half-life of the load from other entries in a report: that load changes within
# milliseconds, so a report is out of date soon after it arrives.
REPORT_HALF_LIFE_S = 0.01
# Pause after a shed request, as a multiple of the estimated response time. Each entry
# draws a random value, so that they don't all resume at the same time.
SHED_PAUSE_FACTORS = (0.5, 1.5)
MAX_SHED_PAUSE_S = 0.1
# A load report counts as current for this long. The load on the target's host changes
# within a few hundred milliseconds.
REPORT_MAX_AGE_S = 0.05
# Weight of one attempt in the failure rate, and the time in which the rate is halved
# without new attempts.
FAILURE_GAIN = 0.3
FAILURE_HALF_LIFE_S = 4.0
FAST_ERRORS = 3
EJECTION_S = 1.0
MAX_EJECTION_S = 30.0


class TargetState(enum.Enum):
    """State of a target in the register, or that its failure domain is evacuated."""

    SERVING = "serving"
    DRAINING = "draining"
    SUSPECT = "suspect"
    EVACUATED = "evacuated"


class AttemptKind(enum.Enum):
    """Why an attempt is made."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class Outcome(enum.Enum):
    """Outcome of an attempt, as needed for selection."""

    OK = "ok"
    ERROR = "error"
    SHED = "shed"
    CONNECTION_FAILED = "connection_failed"
    CONNECTION_LOST = "connection_lost"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


FAST_ERROR_OUTCOMES = frozenset(
    {Outcome.ERROR, Outcome.CONNECTION_FAILED, Outcome.CONNECTION_LOST}
)
UNFINISHED_OUTCOMES = frozenset({Outcome.CANCELLED, Outcome.TIMEOUT})


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target as the feed describes it.

    Parameters
    ----------
    target_id, address, failure_domain
        As announced.
    slots
        Requests that the target runs at the same time.
    state
        State in the register; evacuated, whatever that is, while its failure domain is.
    incarnation
        Number that increases with each start of the target.
    up_since_s
        Time of the announcement on the entry's monotonic clock, in seconds.
    warm_up_s
        Time in seconds after the announcement for which the target is cold; 0 if it
        is not stated.
    announced_ms
        Unix time of the announcement.
    """

    target_id: ids.TargetId
    address: str
    failure_domain: ids.FailureDomain
    slots: int
    state: TargetState = TargetState.SERVING
    incarnation: int = 0
    up_since_s: float = -math.inf
    warm_up_s: float = 0.0
    announced_ms: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class AttemptToken:
    """An attempt in flight.

    Parameters
    ----------
    view
        View of the target that runs it.
    started_s
        Time in seconds at which it was sent.
    is_measured
        Whether its response time was measured already.
    is_open
        False after `Pool.finish_attempt`.
    is_answered
        Whether the head of a response has arrived.
    is_overdue, is_trial
        Whether it is overdue, and whether its target hung when it started.
    is_cold
        Whether its target was cold when it started.
    missing_s
        Time in seconds of the first load report that did not count it; else infinite.
    route
        Name of the route of the request.
    load_factor
        How much longer the request was expected to take than at an idle target.
    """

    view: "TargetView"
    started_s: float
    is_measured: bool = False
    is_open: bool = True
    is_answered: bool = False
    is_overdue: bool = False
    is_trial: bool = False
    is_cold: bool = False
    missing_s: float = math.inf
    route: str = ""
    load_factor: float = 1.0


class TargetView:
    """State of one target as seen by one entry.

    Parameters
    ----------
    target
        The target.
    maximum
        Largest number of requests that this entry may have in flight at the target.
    latency_s
        Initial latency estimate in seconds.

    Notes
    -----
    All operations are O(1). Attempts in flight are kept in the order in which they
    started, so the first one is the oldest.
    """

    __slots__ = (
        "_attempts",
        "_consecutive_errors",
        "_ejection_level",
        "_failure_rate",
        "_failure_rate_s",
        "_in_flight_at_report",
        "_latency_s",
        "_latency_updated_s",
        "_others_load",
        "_report",
        "_reported_s",
        "ejected_until_s",
        "hang",
        "in_flight",
        "is_cautious",
        "is_draining",
        "last_report_s",
        "last_response_s",
        "limit",
        "paused_until_s",
        "probe_sent_s",
        "rest_until_s",
        "slots",
        "target",
    )

    def __init__(self, target: Target, maximum: int, latency_s: float = 0.0):
        self.target = target
        self.slots = max(1, target.slots)
        self.limit = limits.Limit(maximum)
        self.hang = hangs.Hang()
        self.in_flight = 0
        self.is_draining = False
        self.last_response_s = -math.inf
        self.paused_until_s = -math.inf
        # Until then the target wants no requests.
        self.rest_until_s = -math.inf
        # Whether only one request may be in flight, until a response.
        self.is_cautious = False
        self._attempts: dict[int, AttemptToken] = {}
        self._latency_s = latency_s
        self._latency_updated_s = -math.inf
        self._others_load = 0.0
        self._reported_s = -math.inf
        self._report = loads.LoadReport()
        self._in_flight_at_report = 0
        # Time of the last load report.
        self.last_report_s = -math.inf
        # Time at which the unanswered probe was sent; infinite without one.
        self.probe_sent_s = math.inf
        self._consecutive_errors = 0
        self._failure_rate = 0.0
        self._failure_rate_s = -math.inf
        self._ejection_level = 0
        self.ejected_until_s = -math.inf

    def start_attempt(self, now: float) -> AttemptToken:
        """Add an attempt in flight."""
        token = AttemptToken(self, now, is_trial=self.hang.start())
        self._attempts[id(token)] = token
        self.in_flight += 1
        return token

    def restart_timer(self, token: AttemptToken, now: float) -> None:
        """Restart the measurement of an attempt's response time."""
        if self._attempts.pop(id(token), None) is None:
            return
        token.started_s = now
        self._attempts[id(token)] = token

    def remove_attempt(self, token: AttemptToken) -> None:
        """Remove an attempt in flight; a second call has no effect."""
        if self._attempts.pop(id(token), None) is not None:
            self.in_flight -= 1

    def oldest_age_s(self, now: float) -> float:
        """Return the age in seconds of the oldest attempt in flight, 0 if none."""
        for token in self._attempts.values():
            return now - token.started_s
        return 0.0

    def latency_s(self, now: float) -> float:
        """Return the expected response time in seconds, without time in a queue.

        The age of the oldest attempt in flight is a lower bound of its response time,
        so a straggler is detected before it responds.
        """
        latency_s = self._latency_s
        idle_s = now - self._latency_updated_s
        if idle_s > IDLE_HALF_LIFE_S:
            latency_s *= 2.0 ** (1 - idle_s / IDLE_HALF_LIFE_S)
        for token in self._attempts.values():
            return max(latency_s, now - token.started_s)
        return latency_s

    def record_response_time(self, response_s: float, now: float) -> None:
        """Update the latency estimate with a response time."""
        self.last_response_s = now
        if self._latency_updated_s == -math.inf:
            self._latency_s = response_s
        else:
            difference = response_s - self._latency_s
            self._latency_s += difference * (RISE_GAIN if difference > 0 else FALL_GAIN)
        self._latency_updated_s = now

    def record_abandoned(self, waited_s: float, now: float) -> None:
        """Update the latency estimate with the age of an abandoned attempt.

        The response would have taken longer than this. Otherwise the estimate of a
        straggler would stay low while hedges answer its requests. Call this after
        `remove_attempt`, because the age of an attempt in flight raises the estimate.
        """
        if waited_s > self.latency_s(now):
            self._latency_s = waited_s
            self._latency_updated_s = now

    def record_load(self, report: loads.LoadReport, now: float) -> None:
        """Apply a load report.

        The entry's own requests are subtracted to get the load of other entries.
        """
        self._others_load = max(0.0, report.requests(self.slots) - self.in_flight)
        self._reported_s = now
        self._report = report
        self._in_flight_at_report = self.in_flight
        self.last_report_s = now

    def record_probe(
        self, report: loads.LoadReport, asked_s: float, now: float
    ) -> None:
        """Apply a load report that was asked for at a time in seconds."""
        self.record_load(report, now)
        hangs.mark_missing(self._attempts.values(), report, asked_s, now)
        self.hang.record_probe(self.sampled_load() < self.slots, asked_s, now)

    def has_fresh_report(self, now: float) -> bool:
        """Tell whether the last load report is current."""
        return now - self.last_report_s <= REPORT_MAX_AGE_S

    def sampled_load(self) -> float:
        """Return the load in the last report, plus this entry's change since then.

        Notes
        -----
        A report that arrives with a response includes that request. When the request
        ends, the load decreases by one as for any other request.
        """
        change = self.in_flight - self._in_flight_at_report
        return max(0.0, self._report.requests(self.slots) + change)

    @property
    def sampled_slowdown(self) -> float:
        """Slowdown in the last load report, 1 if not reported."""
        return 1.0 if self._report.slowdown is None else self._report.slowdown

    def others_load(self, now: float) -> float:
        """Return the load from other entries; a report loses weight with its age."""
        if self._others_load <= 0:
            return 0.0
        age_s = now - self._reported_s
        return self._others_load * 2.0 ** (-age_s / REPORT_HALF_LIFE_S)

    def record_outcome(self, is_ok: bool, now: float) -> None:
        """Update the failure rate with the outcome of an attempt."""
        rate = self.failure_rate(now)
        self._failure_rate = rate + FAILURE_GAIN * ((0.0 if is_ok else 1.0) - rate)
        self._failure_rate_s = now

    def failure_rate(self, now: float) -> float:
        """Return the fraction of recent attempts that failed, 0 to 1."""
        if not self._failure_rate:
            return 0.0
        age_s = now - self._failure_rate_s
        return self._failure_rate * 2.0 ** (-age_s / FAILURE_HALF_LIFE_S)

    def describe_load(self, now: float) -> str:
        """Return a text with the known load, for the log."""
        age_s = now - self.last_report_s
        text = "no load report"
        if math.isfinite(age_s):
            load = self._report.requests(self.slots)
            text = f"{load:g}/{self.slots} at slowdown {self.sampled_slowdown:g}"
            text = f"{text}, {age_s:.3f} s old"
        return f"{text}; {self.in_flight} in flight from this entry"

    def has_room(self, now: float) -> bool:
        """Tell whether another attempt fits the limit and no pause is in progress."""
        if now < self.paused_until_s or self.is_at_rest(now):
            return False
        if self.is_cautious and self.in_flight:
            return False
        age_s = now - self.target.up_since_s
        return self.in_flight < self.limit.current(age_s)

    def record_shed(self, now: float, rng: random.Random) -> None:
        """Lower the limit and start a pause after a request that the target shed.

        The pause is needed because the limit can't fall below 1: if there are more
        entries than the target has slots and queue places, one request from each
        entry is enough to overload it.
        """
        self.limit.record_shed(now)
        pause_s = self._latency_s * rng.uniform(*SHED_PAUSE_FACTORS)
        self.paused_until_s = now + min(pause_s, MAX_SHED_PAUSE_S)

    def rest(self, until_s: float) -> None:
        """Send no requests until a time, and then one before all others."""
        self.rest_until_s = max(self.rest_until_s, until_s)
        self.is_cautious = True

    def is_at_rest(self, now: float) -> bool:
        """Tell whether the target has asked for no requests at present."""
        return now < self.rest_until_s

    def is_serving(self) -> bool:
        """Tell whether the target is not suspect, draining or evacuated."""
        return self.target.state is TargetState.SERVING and not self.is_draining

    def is_suspect(self) -> bool:
        """Tell whether the target is suspect, so used only if no other is eligible."""
        return self.target.state is TargetState.SUSPECT and not self.is_draining

    def is_ejected(self, now: float) -> bool:
        """Tell whether the target is ejected at present."""
        return now < self.ejected_until_s

    def record_success(self) -> None:
        """Reset the error count after a success, and shorten the next ejection."""
        self._consecutive_errors = 0
        self._ejection_level = max(0, self._ejection_level - 1)
        self.is_cautious = False

    def record_error(self, outcome: Outcome, took_s: float) -> bool:
        """Count an error if it was fast.

        Returns
        -------
        bool
            True if the target should be ejected: it had `FAST_ERRORS` consecutive
            errors, none slower than its estimated response time. A failed connection
            counts whatever time it took.
        """
        if outcome not in FAST_ERROR_OUTCOMES:
            return False
        is_fast = took_s <= self._latency_s or self._latency_s <= 0
        if is_fast or outcome is Outcome.CONNECTION_FAILED:
            self._consecutive_errors += 1
        return self._consecutive_errors >= FAST_ERRORS

    def restore(self) -> None:
        """End the ejection."""
        self.ejected_until_s = -math.inf

    def eject(self, now: float) -> float:
        """Eject the target and return the end of the ejection.

        The duration doubles with each ejection, up to `MAX_EJECTION_S`.
        """
        duration_s = min(MAX_EJECTION_S, EJECTION_S * 2.0**self._ejection_level)
        self._ejection_level = min(self._ejection_level + 1, 10)
        # After the ejection, a single fast error is enough to eject it again.
        self._consecutive_errors = FAST_ERRORS - 1
        self.ejected_until_s = now + duration_s
        return self.ejected_until_s
