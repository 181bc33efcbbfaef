"""Placement of requests that wait at an entry for a target with free slots.

A placement decides after each round of probes whether a request starts at a target,
waits for the next round, or is refused. The load that it answers is a service whose
slots are nearly all in use: requests wait at the entry rather than in the queues of
targets, because a request in the queue of a target cannot move to another target that
becomes free.
"""

import collections.abc
import dataclasses
import math
import typing

from coltsfootchute import ids, registries, verdicts
from coltsfootchute.balancing import (
    pools,
    response_times,
    retry_times,
    views,
    wait_outcomes,
)

__all__ = ["PLACEMENTS", "PROBE_INTERVAL_S", "Placement", "Waiting", "make"]

# Interval between probes of different targets. A slot of a busy target becomes free
# within some ten milliseconds.
PROBE_INTERVAL_S = 0.015
# Minimum time for which a request waits for a target with free slots.
MIN_WAIT_S = 0.03
# Time for which a request waits that can no longer meet its latency objective, or that
# has none.
LATE_WAIT_S = 0.15
# Multiple of the typical response time that is reserved for an answer in time.
ANSWER_TIME_FACTOR = 1.2
# Fraction of a target's slots that may be in use after a request was added: one slot
# in ten stays free, at least one. Targets slow down when nearly all slots are in use,
# and a load report is some milliseconds old when it is used.
MAX_OCCUPANCY = 0.9
# The same for requests that can no longer meet their objective: they leave free slots
# for requests that can.
MAX_LATE_OCCUPANCY = 0.6
# Further time for which a late request waits for a target below MAX_LATE_OCCUPANCY.
# During bursts of a few seconds, there is one within a second.
EXTRA_LATE_WAIT_S = 0.8
# Multiple of the typical response time that a late request reserves for its answer.
LATE_ANSWER_TIME_FACTOR = 2.0
# Maximum time per unit of work at a target, relative to the normal time. A slower
# target makes the answer late, so another is preferred while there is time to wait.
MAX_SLOWDOWN = 2.0
# Part of its objective that a route takes at most while it is not measured. An entry
# with 3 requests a second sees some routes once in several seconds; with the time of
# the service in its place, withdrawals beside uploads lost a third of their value.
MAX_UNMEASURED_PART = 0.4
# Part of the probes that requests leave to more urgent ones. Patient requests probe for
# seconds; with 0, urgent ones lost a fifth of their value for lack of probes. With 0.8,
# callers of which most are in less urgent workspaces lost a tenth.
LEFT_PROBES = 0.5
# Part of the probed targets with a free slot above which requests wait for a fast one
# rather than start at a target that is slow or becomes crowded.
MIN_ROOM_TO_WAIT = 0.2
# Part of its spare time for which a request waits for a fast target.
FAST_WAIT_PART = 0.5
# Part of the probed targets with a free slot above which late requests are started.
MIN_ROOM_FOR_LATE = 0.5


@dataclasses.dataclass(slots=True)
class Waiting:
    """A request that waits for a target.

    Parameters
    ----------
    route
        Name of its route.
    rank
        Lower ranks are more urgent.
    objective_s
        Time in seconds within which an answer is most useful; None if not stated.
    asked_s
        Time at which the caller first sent the request, in seconds.
    deadline_s
        Time by which it must be answered, in seconds.
    is_repeatable
        Whether it may run more than once.
    tried
        Targets that it is not sent to again.
    """

    route: str
    rank: tuple[int, int]
    objective_s: float | None
    asked_s: float
    deadline_s: float
    is_repeatable: bool = False
    tried: collections.abc.Collection[ids.TargetId] = ()


class Placement(typing.Protocol):
    """Decisions about one waiting request."""

    def __init__(self, pool: pools.Pool, waiting: Waiting, now: float): ...

    @property
    def left_probes(self) -> float:
        """Part of the probe rate limit that is left to other requests, 0 to 1."""

    def step(self, now: float) -> views.TargetView | verdicts.Refusal | None:
        """Return the target to start at or a refusal; None to wait and probe again."""


PLACEMENTS: registries.Registry[type[Placement]] = registries.Registry("placement")


def make(pool: pools.Pool, waiting: Waiting, now: float) -> Placement:
    """Return the placement of a request by the settings of its pool."""
    return PLACEMENTS[pool.placement](pool, waiting, now)


@PLACEMENTS.register("objective")
class ObjectivePlacement:
    """Wait as long as the latency objective allows, whatever the rank.

    Notes
    -----
    No request is sent to a target without a recent load report: a target that is busy
    or slow at the moment occupies a slot several times as long, and under overload such
    requests alone would keep the targets full. A request that can no longer meet its
    objective waits for a target below `MAX_LATE_OCCUPANCY`, and is refused as not run
    when too little time is left for its answer.
    """

    left_probes = 0.0
    rounds_slots = False

    def __init__(self, pool: pools.Pool, waiting: Waiting, now: float):
        self._pool, self._waiting = pool, waiting
        self._in_time_until_s = now + max_wait_s(waiting, pool.typical_response_s, now)
        latest_start_s = waiting.deadline_s - LATE_ANSWER_TIME_FACTOR * (
            pool.typical_response_s or 0.0
        )
        self._wait_until_s = max(
            self._in_time_until_s,
            min(self._in_time_until_s + EXTRA_LATE_WAIT_S, latest_start_s),
        )

    def step(self, now):
        """Return the target with the lowest cost that has a free slot."""
        is_last = now + PROBE_INTERVAL_S > self._wait_until_s
        is_in_time = now + PROBE_INTERVAL_S <= self._in_time_until_s
        view = self._pool.select_with_room(
            now,
            MAX_OCCUPANCY if is_in_time else MAX_LATE_OCCUPANCY,
            self._waiting.tried,
            math.inf if is_last else MAX_SLOWDOWN,
            rounds=self.rounds_slots,
        )
        return view or refusal(self._pool, now, self._wait_until_s, is_last)


@PLACEMENTS.register("whole_slots")
class WholeSlotsPlacement(ObjectivePlacement):
    """As `ObjectivePlacement`, and with both slots of targets that have two.

    Notes
    -----
    The load that this answers: targets with two slots, most of which run a request. One
    slot in ten that stays free is half of such a target, and a second request there was
    measured to take as long as the first one.
    """

    rounds_slots = True


def start(
    pool: pools.Pool, waiting: Waiting, view: views.TargetView, now: float
) -> views.AttemptToken:
    """Start an attempt of a request at a target."""
    work_s = typical_s(pool, waiting)
    load = view.sampled_load() + 1
    token = pool.start_attempt(view, now)
    token.route = waiting.route
    token.load_factor = response_times.load_factor(
        work_s, load, view.slots, view.sampled_slowdown
    )
    return token


def typical_s(pool: pools.Pool, waiting: Waiting) -> float:
    """Return the typical response time of a route at an idle target, in seconds.

    Until the entry has measured the route, this is that of the service, but no more
    than a part of the objective, which was declared for what the route can achieve.
    """
    most_s = math.inf
    if waiting.objective_s is not None:
        most_s = MAX_UNMEASURED_PART * waiting.objective_s
    return pool.response_times.median_s(waiting.route, most_s)


def refusal(
    pool: pools.Pool,
    now: float,
    until_s: float,
    is_last: bool,
    retry_after_s: float | None = None,
) -> verdicts.Refusal | None:
    """Refuse a request that no target can take until a time; None to wait."""
    if not pool.is_serving:
        return not_run(verdicts.Reason.NO_TARGET, "no target is serving")
    at_rest = pool.rest_refusal(now, until_s)
    if at_rest is None and is_last:
        return not_run(
            verdicts.Reason.QUEUE_FULL,
            "no probed target had a free slot in time",
            retry_after_s,
        )
    return at_rest


def not_run(
    reason: verdicts.Reason, detail: str, retry_after_s: float | None = None
) -> verdicts.Refusal:
    """Return the refusal of a request that has not run."""
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN, reason, detail, retry_after_s=retry_after_s
    )


def max_wait_s(waiting: Waiting, typical_s: float | None, now: float) -> float:
    """Return how many seconds a request waits for a target with free slots.

    Parameters
    ----------
    waiting
        The request.
    typical_s
        Typical response time of the service in seconds; None if not known.
    now
        Time in seconds.
    """
    typical_s = typical_s or 0.0
    remaining_s = waiting.deadline_s - now - typical_s
    age_s = now - waiting.asked_s
    objective_s = waiting.objective_s
    if objective_s is None or age_s + typical_s > objective_s:
        return max(0.0, min(LATE_WAIT_S, remaining_s))
    spare_s = objective_s - age_s - ANSWER_TIME_FACTOR * typical_s
    return max(0.0, min(max(MIN_WAIT_S, spare_s), remaining_s))


@PLACEMENTS.register("ranked")
class RankedPlacement:
    """Leave slots free for more urgent requests, and start what can still be in time.

    Notes
    -----
    The load that this answers: more requests than the slots can serve, of which some
    are more urgent than others, at many entries that each see few of them. The rules,
    in the order of their effect:

    1. A request reserves the response time of its own route, not of its service.
    2. A request that is less urgent than others of its service leaves one useful slot
       of each target free for them, and most of the probes.
    3. A target is made crowded only if that pays, and by requests that are answered in
       time there. Slow targets get requests only when there is no time or no room to
       wait for a fast one.
    4. A request that can't be in time any more is refused at once, unless half of the
       targets have free slots. Where most waiting is in vain, so are requests that
       found no slot within an eighth of their objective.
    5. In one entry, a free slot is left to the requests of a more urgent rank that wait
       for one, then to those that are not late, then to callers that have returned.
    """

    def __init__(self, pool: pools.Pool, waiting: Waiting, now: float):
        self._pool, self._waiting = pool, waiting
        pool.urgencies.record(waiting.rank, now)
        self._is_patient = pool.urgencies.has_more_urgent(waiting.rank, now)
        self._is_preferred = pool.urgencies.has_less_urgent(waiting.rank, now)
        self.left_probes = LEFT_PROBES if self._is_patient else 0.0
        self._work_s = typical_s(pool, waiting)
        if waiting.objective_s is None:
            self._end_s = now + LATE_WAIT_S + self._work_s
        else:
            self._end_s = waiting.asked_s + waiting.objective_s
        self._end_s = min(self._end_s, waiting.deadline_s)
        self._until_s = max(self._end_s - self._work_s, now + MIN_WAIT_S)
        spare_s = self._until_s - now
        objective_s = waiting.objective_s or spare_s
        # One probe interval is left for the refusal to be in time.
        self._early_s = now + wait_outcomes.EARLY_PART * objective_s - PROBE_INTERVAL_S
        self._waits_long = False
        # Sort key in this entry. Least slack first within a rank lost: at four slots,
        # routes with a long objective fell from 1.0 to 0.85 of their value.
        self.order = (
            waiting.rank,
            self._end_s - self._work_s < now,
            not retry_times.has_waited(now - waiting.asked_s, waiting.objective_s),
        )
        pool.urgencies.enter(self)
        self._settles_from_s = now + FAST_WAIT_PART * spare_s

    def step(self, now):
        """Return the best of the targets that answer in time."""
        outcomes, route = self._pool.wait_outcomes, self._waiting.route
        found = self._decide(now)
        if found is None and not self._waits_long and now >= self._early_s:
            self._waits_long = not outcomes.is_in_vain(route, self._pool.rng)
            if not self._waits_long:
                self._until_s = now
                found = self._refusal(now)
        elif found is not None and self._waits_long:
            outcomes.record(route, isinstance(found, views.TargetView))
        if found is not None:
            self._pool.urgencies.leave(self)
        return found

    def _decide(self, now):
        pool, waiting = self._pool, self._waiting
        fresh = pool.reported_views(now, waiting.tried)
        if fresh:
            free = sum(map(_is_uncrowded, fresh))
            pool.urgencies.record_room(free / len(fresh), now)
        elif not pool.is_reporting(now):
            view = pool.select_with_room(now, MAX_OCCUPANCY, waiting.tried)
            return view or self._refusal(now)
        is_late = now + self._work_s > self._end_s
        if is_late and pool.urgencies.room < MIN_ROOM_FOR_LATE:
            return self._refusal(now)
        expected_s = {
            view: self._expected_s(view)
            for view in fresh
            if self._may_use(view, now, is_late)
        }
        found = [
            view
            for view, time_s in expected_s.items()
            if is_late or now + time_s <= self._end_s
        ]
        if len(found) > pool.urgencies.count_ahead(self):
            if not self._is_preferred:
                # Less urgent requests warm up the targets that joined.
                found = pool.prefer_cold(found, now, self._waiting.tried)
            return pool.choose(found, now)
        return self._refusal(now)

    def _refusal(self, now):
        pool = self._pool
        return refusal(
            pool,
            now,
            self._until_s,
            now + PROBE_INTERVAL_S > self._until_s,
            retry_times.retry_after_s(
                self._waiting.objective_s, pool.urgencies.room, pool.rng
            ),
        )

    def _may_use(self, view, now, is_late):
        load = view.sampled_load() + 1
        settles = now >= self._settles_from_s
        settles = settles or self._pool.urgencies.room <= MIN_ROOM_TO_WAIT
        if load <= self._uncrowded_slots(view):
            return settles or view.sampled_slowdown <= MAX_SLOWDOWN
        if is_late or self._is_patient or not (settles or self._is_preferred):
            return False
        return load <= response_times.useful_slots(view.slots)

    def _uncrowded_slots(self, view):
        slots = response_times.uncrowded_slots(view.slots)
        is_reduced = (
            self._is_patient and response_times.useful_slots(view.slots) == slots
        )
        return max(1, slots - is_reduced)

    def _expected_s(self, view):
        load = view.sampled_load() + 1
        return self._work_s * response_times.load_factor(
            self._work_s, load, view.slots, view.sampled_slowdown
        )


def _is_uncrowded(view):
    slots = response_times.uncrowded_slots(view.slots)
    return view.sampled_load() + 1 <= slots
