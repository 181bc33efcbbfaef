"""What an entry knows of one target."""

import dataclasses
import enum
import math
import random

from coltsfootchute import ids
from coltsfootchute.balancing import limits, loads

__all__ = [
    "AttemptKind",
    "AttemptToken",
    "Outcome",
    "Target",
    "TargetState",
    "TargetView",
]

# Share of the difference by which a slower or a faster response moves the
# latency estimate. A straggler has to show at once; a single fast response
# of a straggler proves little.
RISE = 0.5
FALL = 0.1
# An estimate that no response confirms is halved in this time, so that a
# target that was slow once is tried again.
IDLE_HALF_LIFE_S = 1.0
# Load reports are stale when they arrive; the load of other entries changes
# within milliseconds.
REPORT_HALF_LIFE_S = 0.01
# Pause after a shed request, in usual response times. The entries draw
# different ones, so that they don't return together.
SHED_PAUSE = (0.5, 1.5)
MAX_SHED_PAUSE_S = 0.1
# A report of a sampled target stands for its load for this long; neighbours on its
# machine change within some hundred milliseconds.
SAMPLE_FRESH_S = 0.05
# Weight of one attempt in the failure rate, and the time in which a rate that no
# attempt confirms is halved.
FAILURE_GAIN = 0.3
FAILURE_HALF_LIFE_S = 4.0
FAST_ERRORS = 3
EJECTION_S = 1.0
MAX_EJECTION_S = 30.0


class TargetState(enum.Enum):
    """State of a target in the register."""

    SERVING = "serving"
    DRAINING = "draining"
    SUSPECT = "suspect"


class AttemptKind(enum.Enum):
    """Why an attempt is made."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class Outcome(enum.Enum):
    """How an attempt ended, as far as selection is concerned."""

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
        State in the register.
    incarnation
        Increases at each start of the target.
    up_since_s
        Time of the announcement on the entry's monotonic clock.
    """

    target_id: ids.TargetId
    address: str
    failure_domain: ids.FailureDomain
    slots: int
    state: TargetState = TargetState.SERVING
    incarnation: int = 0
    up_since_s: float = -math.inf


@dataclasses.dataclass(slots=True, eq=False)
class AttemptToken:
    """An attempt in flight.

    Parameters
    ----------
    view
        View of the target that runs it.
    started_s
        Time at which it was sent.
    is_measured
        Whether its response time was counted already.
    is_open
        False after `Pool.finish_attempt`.
    """

    view: "TargetView"
    started_s: float
    is_measured: bool = False
    is_open: bool = True


class TargetView:
    """State of a target in the memory of one entry.

    Parameters
    ----------
    target
        The target.
    share
        Largest number of requests in flight from this entry.
    latency_s
        First latency estimate.

    Notes
    -----
    All operations are O(1). Attempts are kept in the order of their start, so
    that the oldest one is the first.
    """

    __slots__ = (
        "_errors",
        "_estimated_s",
        "_failure_rate",
        "_judged_s",
        "_latency_s",
        "_reported",
        "_reported_s",
        "_running",
        "_sample",
        "_sample_in_flight",
        "_strikes",
        "ejected_until_s",
        "in_flight",
        "is_draining",
        "last_report_s",
        "last_response_s",
        "limit",
        "paused_until_s",
        "probe_sent_s",
        "slots",
        "target",
    )

    def __init__(self, target: Target, share: int, latency_s: float = 0.0):
        self.target = target
        self.slots = max(1, target.slots)
        self.limit = limits.Limit(share)
        self.in_flight = 0
        self.is_draining = False
        self.last_response_s = -math.inf
        self.paused_until_s = -math.inf
        self._running: dict[int, AttemptToken] = {}
        self._latency_s = latency_s
        self._estimated_s = -math.inf
        self._reported = 0.0
        self._reported_s = -math.inf
        self._sample = loads.LoadReport()
        self._sample_in_flight = 0
        # When the target told its load last.
        self.last_report_s = -math.inf
        # When the unanswered probe was sent.
        self.probe_sent_s = math.inf
        self._errors = 0
        self._failure_rate = 0.0
        self._judged_s = -math.inf
        self._strikes = 0
        self.ejected_until_s = -math.inf

    def started(self, now: float) -> AttemptToken:
        """Count an attempt."""
        token = AttemptToken(self, now)
        self._running[id(token)] = token
        self.in_flight += 1
        return token

    def resent(self, token: AttemptToken, now: float) -> None:
        """Measure an attempt from now on."""
        if self._running.pop(id(token), None) is None:
            return
        token.started_s = now
        self._running[id(token)] = token

    def released(self, token: AttemptToken) -> None:
        """Stop counting an attempt."""
        if self._running.pop(id(token), None) is not None:
            self.in_flight -= 1

    def oldest_age_s(self, now: float) -> float:
        """Return the age of the oldest attempt in flight, 0 without any."""
        for token in self._running.values():
            return now - token.started_s
        return 0.0

    def latency_s(self, now: float) -> float:
        """Return the expected response time without waiting.

        The age of the oldest attempt is a lower bound of its response time,
        so a straggler shows before it responds.
        """
        latency_s = self._latency_s
        idle_s = now - self._estimated_s
        if idle_s > IDLE_HALF_LIFE_S:
            latency_s *= 2.0 ** (1 - idle_s / IDLE_HALF_LIFE_S)
        for token in self._running.values():
            return max(latency_s, now - token.started_s)
        return latency_s

    def measured(self, response_s: float, now: float) -> None:
        """Apply a response time to the latency estimate."""
        self.last_response_s = now
        if self._estimated_s == -math.inf:
            self._latency_s = response_s
        else:
            gap = response_s - self._latency_s
            self._latency_s += gap * (RISE if gap > 0 else FALL)
        self._estimated_s = now

    def unfinished(self, waited_s: float, now: float) -> None:
        """Apply the time that an attempt ran before it was given up.

        Its response would have taken longer. Without this, a straggler whose
        requests are answered by hedges would keep a low estimate. Call it
        after the attempt is released, since its age raises the estimate.
        """
        if waited_s > self.latency_s(now):
            self._latency_s = waited_s
            self._estimated_s = now

    def record_load(self, report: loads.LoadReport, now: float) -> None:
        """Apply a load report; the entry's own requests are taken out."""
        self._reported = max(0.0, report.requests(self.slots) - self.in_flight)
        self._reported_s = now
        self._sample = report
        self._sample_in_flight = self.in_flight
        self.last_report_s = now

    def is_sampled(self, now: float) -> bool:
        """Tell whether the last report still stands for the target's load."""
        return now - self.last_report_s <= SAMPLE_FRESH_S

    def sampled_load(self) -> float:
        """Return the requests at the target by its last report and since then.

        Notes
        -----
        A report that came with a response counts that request; its end is taken
        off like the end of any other.
        """
        change = self.in_flight - self._sample_in_flight
        return max(0.0, self._sample.requests(self.slots) + change)

    @property
    def sampled_slowdown(self) -> float:
        """Time of work over the usual one, by the last report."""
        return 1.0 if self._sample.slowdown is None else self._sample.slowdown

    def others_load(self, now: float) -> float:
        """Return the requests of other entries, as far as still believed."""
        if self._reported <= 0:
            return 0.0
        age_s = now - self._reported_s
        return self._reported * 2.0 ** (-age_s / REPORT_HALF_LIFE_S)

    def judged(self, is_ok: bool, now: float) -> None:
        """Apply the end of an attempt to the failure rate."""
        rate = self.failure_rate(now)
        self._failure_rate = rate + FAILURE_GAIN * ((0.0 if is_ok else 1.0) - rate)
        self._judged_s = now

    def failure_rate(self, now: float) -> float:
        """Return the part of recent attempts that failed, 0 to 1."""
        if not self._failure_rate:
            return 0.0
        age_s = now - self._judged_s
        return self._failure_rate * 2.0 ** (-age_s / FAILURE_HALF_LIFE_S)

    def describe_load(self, now: float) -> str:
        """Return what is known of the load, for the log."""
        age_s = now - self.last_report_s
        seen = "never reported"
        if math.isfinite(age_s):
            load = self._sample.requests(self.slots)
            seen = f"{load:g}/{self.slots} at pace {self.sampled_slowdown:g}"
            seen = f"{seen}, {age_s:.3f} s old"
        return f"{seen}; {self.in_flight} own in flight"

    def has_room(self, now: float) -> bool:
        """Tell whether limit and pause after a shed allow another attempt."""
        if now < self.paused_until_s:
            return False
        age_s = now - self.target.up_since_s
        return self.in_flight < self.limit.current(age_s)

    def shed(self, now: float, rng: random.Random) -> None:
        """Lower the limit and pause after a request that the target shed.

        The limit can't go below 1. With more entries than a target has slots
        and queue places, one request of each entry would still overload it.
        """
        self.limit.shed(now)
        pause_s = self._latency_s * rng.uniform(*SHED_PAUSE)
        self.paused_until_s = now + min(pause_s, MAX_SHED_PAUSE_S)

    def is_serving(self) -> bool:
        """Tell whether the target takes new work and is not suspect."""
        return self.target.state is TargetState.SERVING and not self.is_draining

    def is_suspect(self) -> bool:
        """Tell whether the target is used only as a last resort."""
        return self.target.state is TargetState.SUSPECT and not self.is_draining

    def is_ejected(self, now: float) -> bool:
        """Tell whether the target is ejected."""
        return now < self.ejected_until_s

    def succeeded(self) -> None:
        """Count a response that is no error; ends the streak of errors."""
        self._errors = 0
        self._strikes = max(0, self._strikes - 1)

    def failed(self, outcome: Outcome, took_s: float) -> bool:
        """Count an error.

        Returns
        -------
        bool
            True if the target deserves ejection: it failed `FAST_ERRORS`
            times in a row faster than it usually responds. A refused
            connection counts at any speed.
        """
        if outcome not in FAST_ERROR_OUTCOMES:
            return False
        is_fast = took_s <= self._latency_s or self._latency_s <= 0
        if is_fast or outcome is Outcome.CONNECTION_FAILED:
            self._errors += 1
        return self._errors >= FAST_ERRORS

    def restore(self) -> None:
        """End the ejection."""
        self.ejected_until_s = -math.inf

    def eject(self, now: float) -> float:
        """Eject for a time that doubles with each ejection; return its end."""
        length_s = min(MAX_EJECTION_S, EJECTION_S * 2.0**self._strikes)
        self._strikes = min(self._strikes + 1, 10)
        # One error after the return is enough for the next ejection.
        self._errors = FAST_ERRORS - 1
        self.ejected_until_s = now + length_s
        return self.ejected_until_s
