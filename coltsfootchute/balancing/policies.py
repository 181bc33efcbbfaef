"""Selection policies: each chooses one of the eligible targets."""

import collections.abc
import operator
import random
import typing

from coltsfootchute import ids, registries
from coltsfootchute.balancing import views as views_

__all__ = ["POLICIES", "Policy", "without_slow"]

# Network delay added to the expected wait of a target in another failure domain. A
# target in the entry's own domain is preferred unless its expected wait is longer by
# more than this.
CROSS_DOMAIN_DELAY_S = 0.0005
# A target whose latency estimate is more than this factor above the median gets no
# requests until its estimate has decayed; requests wait for another target instead.
MAX_LATENCY_RATIO = 4.0
# Multiples of the response time of an idle target at its normal speed: for a target
# without a fresh report, for one with an overdue probe, and what is added for a target
# in another failure domain.
UNKNOWN_SLOWDOWN = 1.6
OVERDUE_SLOWDOWN = 6.0
CROSS_DOMAIN_COST = 0.3
# The same for `sampled_near`, which only breaks ties between equally fast targets.
EQUAL_DOMAIN_COST = 0.02
# A failed attempt costs several typical response times.
FAILURE_COST = 6.0
# A target normally answers a probe within a few milliseconds.
PROBE_OVERDUE_S = 0.025
# Targets respond more slowly when nearly all of their slots are in use.
CROWDED_OCCUPANCY = 0.8
CROWDED_SLOWDOWN = 1.5
# The response times of individual requests normally vary by about this factor.
NORMAL_LATENCY_RATIO = 2.5
DEFAULT_LATENCY_S = 0.1


class Policy(typing.Protocol):
    """Policy that selects among eligible targets; each pool has its own object.

    Attributes
    ----------
    waits_for_fast
        Whether a request waits when only much slower targets have room.
    """

    waits_for_fast: bool

    def __init__(self, failure_domain: ids.FailureDomain): ...

    def select(
        self,
        views: collections.abc.Sequence[views_.TargetView],
        now: float,
        rng: random.Random,
    ) -> views_.TargetView | None:
        """Return one of the views, or None if `views` is empty."""


POLICIES: registries.Registry[type[Policy]] = registries.Registry("policy")


@POLICIES.register("random")
class RandomChoice:
    """Select a target at random. O(1)."""

    waits_for_fast = False

    def __init__(self, failure_domain: ids.FailureDomain):
        pass

    def select(self, views, now, rng):
        """Return a random view."""
        return views[int(rng.random() * len(views))] if views else None


@POLICIES.register("round_robin")
class RoundRobin:
    """Select the targets in turn. O(1)."""

    waits_for_fast = False

    def __init__(self, failure_domain: ids.FailureDomain):
        self._position: int | None = None

    def select(self, views, now, rng):
        """Return the next view; the first one is chosen at random."""
        if not views:
            return None
        if self._position is None:
            self._position = rng.randrange(len(views))
        self._position += 1
        return views[self._position % len(views)]


@POLICIES.register("least_in_flight")
class LeastInFlight:
    """Select the target with the fewest requests of this entry in flight. O(n)."""

    waits_for_fast = False

    def __init__(self, failure_domain: ids.FailureDomain):
        pass

    def select(self, views, now, rng):
        """Return the view with the fewest requests; ties are broken at random."""
        in_flight = operator.attrgetter("in_flight")
        return min(_rotated(views, rng), key=in_flight, default=None)


@POLICIES.register("two_choices")
class TwoChoices:
    """Select the less loaded of two random targets. O(1).

    References
    ----------
    Mitzenmacher, "The power of two choices in randomized load balancing",
    IEEE Transactions on Parallel and Distributed Systems, 2001.
    """

    waits_for_fast = False

    def __init__(self, failure_domain: ids.FailureDomain):
        pass

    def select(self, views, now, rng):
        """Return the one of two random views that has fewer requests in flight."""
        if len(views) < 2:
            return views[0] if views else None
        first = int(rng.random() * len(views))
        second = int(rng.random() * (len(views) - 1))
        one, other = views[first], views[second + (second >= first)]
        return one if one.in_flight <= other.in_flight else other


@POLICIES.register("expected_wait")
class ExpectedWait:
    """Select the target with the shortest expected response time. O(n).

    Notes
    -----
    The expected response time is ``latency * (1 + load / slots)``. The load is the
    number of requests in progress at the target, those of other entries included.
    """

    waits_for_fast = True

    def __init__(self, failure_domain: ids.FailureDomain):
        self._failure_domain = failure_domain

    def select(self, views, now, rng):
        """Return the view with the shortest expected response time."""
        best, best_s = None, 0.0
        for view in _rotated(views, rng):
            load = view.in_flight + view.others_load(now)
            wait_s = view.latency_s(now) * (1 + load / view.slots)
            if view.target.failure_domain != self._failure_domain:
                wait_s += CROSS_DOMAIN_DELAY_S
            if best is None or wait_s < best_s:
                best, best_s = view, wait_s
        return best


@POLICIES.register("sampled")
class Sampled:
    """Select by load reports, from probes sent before the request. O(n).

    Notes
    -----
    The entry probes a few targets before it selects. A target without a fresh report
    is assumed to be as loaded as targets are on average. A target that has not
    answered a probe in time, or whose responses were far slower than those of the
    others, is avoided. A request to another failure domain causes traffic between
    domains, so a target there is selected only if it is faster by `CROSS_DOMAIN_COST`.
    """

    waits_for_fast = False
    cross_domain_cost = CROSS_DOMAIN_COST

    def __init__(self, failure_domain: ids.FailureDomain):
        self._failure_domain = failure_domain

    def select(self, views, now, rng):
        """Return the view with the lowest expected cost."""
        if not views:
            return None
        latencies_s = sorted(view.latency_s(now) for view in views)
        median_s = latencies_s[len(latencies_s) // 2] or DEFAULT_LATENCY_S
        return min(
            _rotated(views, rng),
            key=lambda view: self._expected_cost(view, median_s, now),
        )

    def _expected_cost(self, view, median_s, now):
        if view.has_fresh_report(now):
            load, slowdown = view.sampled_load(), view.sampled_slowdown
        else:
            load, slowdown = view.in_flight + view.others_load(now), UNKNOWN_SLOWDOWN
        if now - view.probe_sent_s > PROBE_OVERDUE_S:
            slowdown = max(slowdown, OVERDUE_SLOWDOWN)
        rounds = 1 + max(0.0, load + 1 - view.slots) / view.slots
        if load + 1 > view.slots * CROWDED_OCCUPANCY:
            rounds *= CROWDED_SLOWDOWN
        latency_ratio = max(1.0, view.latency_s(now) / median_s / NORMAL_LATENCY_RATIO)
        cost = slowdown * rounds * latency_ratio
        cost *= 1 + FAILURE_COST * view.failure_rate(now)
        if view.target.failure_domain != self._failure_domain:
            cost += self.cross_domain_cost
        return cost


@POLICIES.register("sampled_near")
class SampledNear(Sampled):
    """Select by load reports, and among equally fast targets the nearest. O(n).

    Notes
    -----
    The load that this answers: hardly any target has a free slot. Then a preference for
    the own failure domain that outweighs a difference in speed costs callers more than
    the traffic between domains.
    """

    cross_domain_cost = EQUAL_DOMAIN_COST


def without_slow(
    views: collections.abc.Sequence[views_.TargetView],
    peers: collections.abc.Sequence[views_.TargetView],
    now: float,
) -> list[views_.TargetView]:
    """Return the views whose latency is not far above the median.

    Parameters
    ----------
    views
        Views of eligible targets.
    peers
        All views in use, including those at their limit; at least one.
    now
        Time in seconds.

    Notes
    -----
    O(n log n). At least half of the peers are no slower than the median. If all
    of them are at their limit, the request waits until an attempt at one of them
    ends.
    """
    latencies_s = sorted(view.latency_s(now) for view in peers)
    limit_s = MAX_LATENCY_RATIO * latencies_s[(len(latencies_s) - 1) // 2]
    return [view for view in views if view.latency_s(now) <= limit_s]


def _rotated(views, rng):
    """Rotate by a random offset, so that entries break ties differently."""
    start = int(rng.random() * len(views))
    return views[start:] + views[:start]
