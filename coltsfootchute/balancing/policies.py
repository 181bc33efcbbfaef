"""Policies that select one of the eligible targets."""

import collections.abc
import operator
import random
import typing

from coltsfootchute import ids, registries
from coltsfootchute.balancing import views as views_

__all__ = ["POLICIES", "Policy", "without_slow"]

# Distance between two failure domains; a target nearby is preferred until its
# expected wait is longer by more than this.
DISTANCE_S = 0.0005
# A target that is slower than the median by more than this factor gets
# requests only after its estimate has decayed; they wait for another instead.
SLOW_FACTOR = 4.0
# In the expected time of an idle target at its usual pace.
UNKNOWN_PACE = 1.6
OVERDUE_PACE = 6.0
DOMAIN_COST = 0.3
# A failed attempt costs several usual response times.
FAILURE_COST = 6.0
# An answer to a probe takes a few milliseconds.
PROBE_OVERDUE_S = 0.025
# Targets slow down when nearly all of their slots are in use.
CROWDED = 0.8
CROWDED_FACTOR = 1.5
# Response times of single requests scatter by about this factor.
TOLERATED_SLOWNESS = 2.5
UNKNOWN_LATENCY_S = 0.1


class Policy(typing.Protocol):
    """Selection among eligible views; one object per pool.

    Attributes
    ----------
    waits_for_fast
        Whether a request rather waits than goes to a much slower target.
    """

    waits_for_fast: bool

    def __init__(self, failure_domain: ids.FailureDomain): ...

    def select(
        self,
        views: collections.abc.Sequence[views_.TargetView],
        now: float,
        rng: random.Random,
    ) -> views_.TargetView | None:
        """Return one of the views; None if there are none."""


POLICIES: registries.Registry[type[Policy]] = registries.Registry("policy")


@POLICIES.register("random")
class RandomChoice:
    """Any target. O(1)."""

    waits_for_fast = False

    def __init__(self, failure_domain: ids.FailureDomain):
        pass

    def select(self, views, now, rng):
        """Return a random view."""
        return views[int(rng.random() * len(views))] if views else None


@POLICIES.register("round_robin")
class RoundRobin:
    """Each target in turn. O(1)."""

    waits_for_fast = False

    def __init__(self, failure_domain: ids.FailureDomain):
        self._turn: int | None = None

    def select(self, views, now, rng):
        """Return the next view, from a random start."""
        if not views:
            return None
        if self._turn is None:
            self._turn = rng.randrange(len(views))
        self._turn += 1
        return views[self._turn % len(views)]


@POLICIES.register("least_in_flight")
class LeastInFlight:
    """The target with the fewest requests of this entry. O(n)."""

    waits_for_fast = False

    def __init__(self, failure_domain: ids.FailureDomain):
        pass

    def select(self, views, now, rng):
        """Return the view with the fewest requests, ties at random."""
        in_flight = operator.attrgetter("in_flight")
        return min(_rotated(views, rng), key=in_flight, default=None)


@POLICIES.register("two_choices")
class TwoChoices:
    """The less loaded of two random targets. O(1).

    References
    ----------
    Mitzenmacher, "The power of two choices in randomized load balancing",
    IEEE Transactions on Parallel and Distributed Systems, 2001.
    """

    waits_for_fast = False

    def __init__(self, failure_domain: ids.FailureDomain):
        pass

    def select(self, views, now, rng):
        """Return the view with fewer requests of a random pair."""
        if len(views) < 2:
            return views[0] if views else None
        first = int(rng.random() * len(views))
        second = int(rng.random() * (len(views) - 1))
        one, other = views[first], views[second + (second >= first)]
        return one if one.in_flight <= other.in_flight else other


@POLICIES.register("expected_wait")
class ExpectedWait:
    """The target with the least expected time to respond. O(n).

    Notes
    -----
    The expected time is the latency estimate times the service rounds ahead:
    one, plus the requests in progress over the slots.
    """

    waits_for_fast = True

    def __init__(self, failure_domain: ids.FailureDomain):
        self._failure_domain = failure_domain

    def select(self, views, now, rng):
        """Return the view with the least expected wait."""
        best, best_s = None, 0.0
        for view in _rotated(views, rng):
            load = view.in_flight + view.others_load(now)
            wait_s = view.latency_s(now) * (1 + load / view.slots)
            if view.target.failure_domain != self._failure_domain:
                wait_s += DISTANCE_S
            if best is None or wait_s < best_s:
                best, best_s = view, wait_s
        return best


@POLICIES.register("sampled")
class Sampled:
    """The target with the least expected time by reports that are still fresh. O(n).

    Notes
    -----
    The entry probes a few candidates before it selects. A target without a fresh
    report is expected to be as loaded as targets are on average; one that leaves a
    probe unanswered, or whose responses were far slower than those of the others,
    is avoided. Another failure domain costs bytes between domains, so it has to be
    faster by a part of the usual time.
    """

    waits_for_fast = False

    def __init__(self, failure_domain: ids.FailureDomain):
        self._failure_domain = failure_domain

    def select(self, views, now, rng):
        """Return the view with the least expected time."""
        if not views:
            return None
        known = sorted(view.latency_s(now) for view in views)
        usual_s = known[len(known) // 2] or UNKNOWN_LATENCY_S
        return min(
            _rotated(views, rng), key=lambda view: self._expected(view, usual_s, now)
        )

    def _expected(self, view, usual_s, now):
        if view.is_sampled(now):
            load, pace = view.sampled_load(), view.sampled_slowdown
        else:
            load, pace = view.in_flight + view.others_load(now), UNKNOWN_PACE
        if now - view.probe_sent_s > PROBE_OVERDUE_S:
            pace = max(pace, OVERDUE_PACE)
        rounds = 1 + max(0.0, load + 1 - view.slots) / view.slots
        if load + 1 > view.slots * CROWDED:
            rounds *= CROWDED_FACTOR
        slowness = max(1.0, view.latency_s(now) / usual_s / TOLERATED_SLOWNESS)
        expected = pace * rounds * slowness
        expected *= 1 + FAILURE_COST * view.failure_rate(now)
        if view.target.failure_domain != self._failure_domain:
            expected += DOMAIN_COST
        return expected


def without_slow(
    views: collections.abc.Sequence[views_.TargetView],
    peers: collections.abc.Sequence[views_.TargetView],
    now: float,
) -> list[views_.TargetView]:
    """Return the views that are not far slower than the median.

    Parameters
    ----------
    views
        Eligible views.
    peers
        All views in use, at least one, those at their limit included.
    now
        Time.

    Notes
    -----
    O(n log n). At least half of the peers are at most as slow as the median;
    one of them serves the request when its attempt in flight ends.
    """
    known = sorted(view.latency_s(now) for view in peers)
    limit_s = SLOW_FACTOR * known[(len(known) - 1) // 2]
    return [view for view in views if view.latency_s(now) <= limit_s]


def _rotated(views, rng):
    """Start a scan anywhere, so that entries don't agree on ties."""
    start = int(rng.random() * len(views))
    return views[start:] + views[:start]
