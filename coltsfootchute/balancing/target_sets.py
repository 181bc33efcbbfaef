"""The targets of one service, and which of them are eligible for a request."""

import collections.abc
import dataclasses
import math
import random

from coltsfootchute import ids
from coltsfootchute.balancing import (
    budgets,
    ejections,
    limits,
    policies,
    probes,
    samples,
    slow_starts,
    start_rules,
    statements,
    views,
)

__all__ = ["PoolSettings", "TargetSet"]

# Within this time several requests probe targets, and a probe times out within half of
# it. If no target has reported its load for longer, the targets can't be probed.
REPORT_TIMEOUT_S = 1.0
# For targets with at most so many slots, the occupancy is rounded to whole slots.
MAX_ROUNDED_SLOTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """Settings of a pool, from a section or the declaration.

    Parameters
    ----------
    policy
        Name of the selection policy in `policies.POLICIES`.
    retry_budget_percent
        Retries and hedges as a percentage of the requests, 0 to 100.
    queue_length, queue_wait_s
        Largest number of requests in the admission queue, and their longest wait.
    retry_burst
        Retries and hedges that this entry may send beyond the percentage.
    shares_burst
        Whether `retry_burst` is this entry's part of a burst that all entries share.
    samples_per_s
        Probes per second and target that this entry may send before requests.
    slow_start_s, ramp_per_s
        Time for which a target is cold after its start, and the requests per second
        that it tolerates meanwhile from all entries together; a ramp of 0 is no limit.
    overdue_factor, overdue_min_s
        A request is overdue after this multiple of the 99th percentile of the response
        times, and not before this time in seconds; a factor of 0 turns this off.
    placement
        Name of the placement in `placements.PLACEMENTS` for requests that wait at the
        entry for a probed target.
    """

    policy: str = "expected_wait"
    retry_budget_percent: float = 10.0
    queue_length: int = 64
    queue_wait_s: float = 0.2
    retry_burst: float = budgets.MAX_TOKENS
    shares_burst: bool = False
    samples_per_s: float = 0.0
    slow_start_s: float = 0.0
    ramp_per_s: float = 0.0
    overdue_factor: float = 0.0
    overdue_min_s: float = 0.0
    placement: str = "objective"


class TargetSet(start_rules.StartRules):
    """Views of the targets of a service, and selection among them.

    `pools.Pool` adds the budgets and the queue.

    Parameters
    ----------
    settings
        Settings from the section or the declaration.
    failure_domain
        Failure domain of the entry.
    slots_share
        Fraction of each target's slots that this entry may use.
    rng
        Random number generator.
    stated
        Statements of targets, which all services of an entry share; None for own ones.
    starts
        Coldness of targets, which all services share; None for an own one.
    """

    def __init__(
        self,
        settings: PoolSettings,
        failure_domain: ids.FailureDomain,
        slots_share: float,
        rng: random.Random,
        *,
        stated: statements.Statements | None = None,
        starts: slow_starts.SlowStarts | None = None,
    ):
        super().__init__(starts or slow_starts.SlowStarts(rng))
        self._statements = stated or statements.Statements()
        self.probes = probes.ProbeShares()
        self._settings = settings
        self._failure_domain = failure_domain
        self._slots_share = slots_share
        self._rng = rng
        self._policy = policies.POLICIES[settings.policy](failure_domain)
        self._samples = samples.SampleBudget(0.0)
        self._views: dict[ids.TargetId, views.TargetView] = {}
        # Time of the first probe since the last load report.
        self._first_probe_s = -math.inf
        self._in_use_changed = False
        self._apply_rules(settings)

    def _apply_rules(self, settings: PoolSettings) -> None:
        self.gate.change(settings.slow_start_s, settings.ramp_per_s)
        self.overdue.change(settings.overdue_factor, settings.overdue_min_s)

    @property
    def rng(self) -> random.Random:
        """Random number generator of the pool."""
        return self._rng

    @property
    def placement(self) -> str:
        """Name of the placement of requests that wait at the entry."""
        return self._settings.placement

    @property
    def all_views(self) -> list[views.TargetView]:
        """Views of all targets, for status and metrics."""
        return list(self._views.values())

    def update_share(self, slots_share: float) -> None:
        """Apply a new fraction of the slots, after an entry joined or left."""
        self._slots_share = slots_share
        for view in self._views.values():
            view.limit.set_maximum(limits.max_limit(view.slots, slots_share))

    def update_targets(
        self, targets: collections.abc.Iterable[views.Target], now: float
    ) -> None:
        """Apply the list of targets that are registered for this service.

        A new incarnation of a target gets a new view without measurements. Attempts
        at targets that were removed still end normally.
        """
        registered = {target.target_id: target for target in targets}
        for removed in self._views.keys() - registered.keys():
            del self._views[removed]
            self.probes.forget(removed)
        self._in_use_changed = True
        typical_s = self._typical_latency_s(now)
        for target_id, target in registered.items():
            self.gate.register(target, now)
            view = self._views.get(target_id)
            if view is None or view.target.incarnation != target.incarnation:
                maximum = limits.max_limit(target.slots, self._slots_share)
                view = views.TargetView(target, maximum, typical_s)
                view.is_draining = self._statements.is_leaving(target)
                rest_until_s = self._statements.rest_until_s(target)
                if rest_until_s > now:
                    view.rest(rest_until_s)
                self._views[target_id] = view
            else:
                self._update_view(view, target)
        self._samples.change(self._settings.samples_per_s * len(self._views))

    def probe_candidates(
        self,
        count: int,
        now: float,
        exclude: collections.abc.Collection[ids.TargetId] = (),
        leave: float = 0.0,
        also: views.TargetView | None = None,
    ) -> list[views.TargetView]:
        """Return the targets to probe before a request is sent.

        Parameters
        ----------
        count
            Largest number of targets to return.
        now
            Time in seconds.
        exclude
            Targets that this request has tried.
        leave
            Part of the probe rate limit that is left to other requests, 0 to 1.
        also
            A target that is probed before all others.

        Notes
        -----
        These are random eligible targets that have neither a fresh load report nor an
        unanswered probe. All but one are from the entry's own failure domain if it has
        enough. Each takes a token of the probe rate limit; fewer targets are returned
        while few tokens are left.

        Cold targets that may get a request are asked first, and at most one target
        that may not be cold any more, or may no longer hang.
        """
        if self._first_probe_s <= self._last_report_s():
            self._first_probe_s = now
        count = self._samples.scale_count(count, now)
        found = self._without_report(self._eligible(now, exclude), now)
        cold = [] if exclude else self._cold(found, now)
        doubtful = self._without_report(self._doubtful(now, exclude), now)
        first = [*doubtful[: 1 if found else count], *cold][:count]
        found = [view for view in found if view not in first and view not in cold]
        domain = self._failure_domain
        near = [v for v in found if v.target.failure_domain == domain]
        far = [v for v in found if v.target.failure_domain != domain]
        near_count = max(0, count - 1 - len(first))
        chosen = [*first, *near[:near_count], *far, *near[near_count:]][:count]
        if also is not None and also.probe_sent_s == math.inf:
            chosen = [also, *chosen]
        return chosen[: self._samples.take(len(chosen), now, leave)]

    def mark_draining(self, target: views.Target) -> None:
        """Exclude an incarnation of a target from selection."""
        for view in self._views_of(target):
            view.is_draining = True
            self._in_use_changed = True

    def rest(self, target: views.Target, until_s: float) -> None:
        """Exclude an incarnation of a target from selection until a time."""
        for view in self._views_of(target):
            view.rest(until_s)

    def _views_of(self, target: views.Target) -> list[views.TargetView]:
        """Return the view of an incarnation of a target, if it is registered."""
        view = self._views.get(target.target_id)
        if view is None or view.target.incarnation != target.incarnation:
            return []
        return [view]

    def rest_end_s(self, now: float) -> float | None:
        """Return when the first target ends its rest; None unless all are at rest."""
        in_use = self._in_use()
        if not in_use or not all(view.is_at_rest(now) for view in in_use):
            return None
        return min(view.rest_until_s for view in in_use)

    @property
    def is_serving(self) -> bool:
        """Whether any target is serving or suspect, even if it has no room."""
        return bool(self._in_use())

    def select_with_room(
        self,
        now: float,
        occupancy: float,
        exclude: collections.abc.Collection[ids.TargetId] = (),
        max_slowdown: float = math.inf,
        *,
        rounds: bool = False,
    ) -> views.TargetView | None:
        """Select a target whose fresh load report shows a free slot.

        Parameters
        ----------
        now
            Time in seconds.
        occupancy
            Largest fraction of the slots that may be in use, this request included.
        exclude
            Targets that this request has tried.
        max_slowdown
            Targets that report a larger slowdown are left out.
        rounds
            Whether the occupancy is rounded to whole slots at small targets.

        Returns
        -------
        views.TargetView or None
            None if no target with a fresh report has room. Targets without a fresh
            report are considered only if no target has reported for `REPORT_TIMEOUT_S`.

        Notes
        -----
        A target that is selected without a report is on average as busy and as slow as
        all targets. Once the targets are full, requests sent without a report are
        enough to keep them full.
        """
        self._restore_excess(now)
        eligible = self._eligible(now, exclude)
        found = [
            view
            for view in eligible
            if view.has_fresh_report(now)
            and view.sampled_load() + 1 <= _most_requests(occupancy, view.slots, rounds)
            and view.sampled_slowdown <= max_slowdown
        ]
        if not found and not self.is_reporting(now):
            found = [view for view in eligible if not view.has_fresh_report(now)]
        found = self.prefer_cold(found, now, exclude)
        return self._policy.select(found, now, self._rng)

    def reported_views(
        self, now: float, exclude: collections.abc.Collection[ids.TargetId] = ()
    ) -> list[views.TargetView]:
        """Return the eligible targets with a fresh load report.

        Parameters
        ----------
        now
            Time in seconds.
        exclude
            Targets that this request has tried.
        """
        self._restore_excess(now)
        return [v for v in self._eligible(now, exclude) if v.has_fresh_report(now)]

    def choose(
        self, found: collections.abc.Sequence[views.TargetView], now: float
    ) -> views.TargetView | None:
        """Return the one of the targets that the policy selects."""
        return self._policy.select(found, now, self._rng)

    def is_reporting(self, now: float) -> bool:
        """Tell whether a target reported, or probing began, in `REPORT_TIMEOUT_S`."""
        return now - max(self._last_report_s(), self._first_probe_s) <= REPORT_TIMEOUT_S

    def _last_report_s(self) -> float:
        """Return the time of the last load report of any target."""
        return max((v.last_report_s for v in self._views.values()), default=-math.inf)

    def _eligible(self, now, exclude) -> list[views.TargetView]:
        has_rules = self.gate.is_active(now) or self.overdue.is_on
        available = [
            view
            for target_id, view in self._views.items()
            if view.has_room(now)
            and not view.is_ejected(now)
            and target_id not in exclude
            and (not has_rules or self._may_start(view, now))
        ]
        serving = [view for view in available if view.is_serving()]
        return serving or [view for view in available if view.is_suspect()]

    def _may_start(self, view: views.TargetView, now: float) -> bool:
        """Tell whether neither a hang nor the ramp of a cold target forbids a start."""
        needs_report = self._settings.samples_per_s > 0
        if view.hang.is_hanging and not view.hang.allows(now, needs_report):
            return False
        return not self.gate.is_active(now) or self.gate.allows(view.target, now)

    def _doubtful(self, now, exclude) -> list[views.TargetView]:
        """Return targets that get no request unless a probe shows that they may."""
        if not (self.gate.is_active(now) or self.overdue.is_on):
            return []
        return [
            view
            for target_id, view in self._views.items()
            if self._is_doubtful(view, now)
            and target_id not in exclude
            and (view.is_serving() or view.is_suspect())
            and not view.is_at_rest(now)
        ]

    def _without_report(self, found, now) -> list[views.TargetView]:
        """Return the views that may be probed, in random order."""
        unknown = [
            view
            for view in found
            if not view.has_fresh_report(now) and view.probe_sent_s == math.inf
        ]
        self._rng.shuffle(unknown)
        return unknown

    def hang_end_s(self, now: float) -> float | None:
        """Return when the first target may get a trial request.

        Returns
        -------
        float or None
            Seconds; None unless all targets in use hang. It is `now` if that depends
            on an overdue request or on a load report.
        """
        in_use = self._in_use()
        if not in_use or not all(view.hang.is_hanging for view in in_use):
            return None
        return max(now, min(view.hang.trial_after_s for view in in_use))

    def take_probe(self, view: views.TargetView, now: float) -> bool:
        """Take a token for one probe of a target, unless it is being probed."""
        return view.probe_sent_s == math.inf and bool(self._samples.take(1, now))

    def _in_use(self) -> list[views.TargetView]:
        return [v for v in self._views.values() if v.is_serving() or v.is_suspect()]

    def _restore_excess(self, now: float) -> None:
        if self._in_use_changed:
            self._in_use_changed = False
            ejections.restore_excess(self._in_use(), now)

    def _update_view(self, view: views.TargetView, target: views.Target) -> None:
        view.target = target
        if max(1, target.slots) != view.slots:
            view.slots = max(1, target.slots)
            view.limit.set_maximum(limits.max_limit(view.slots, self._slots_share))

    def _typical_latency_s(self, now: float) -> float:
        latencies_s = sorted(view.latency_s(now) for view in self._views.values())
        return latencies_s[len(latencies_s) // 2] if latencies_s else 0.0

    def _capacity(self, now: float) -> int:
        usable = (v for v in self._views.values() if not v.is_ejected(now))
        return max(1, sum(view.limit.current() for view in usable))


def _most_requests(occupancy: float, slots: int, rounds: bool) -> float:
    """Return the largest number of requests that may be at a target.

    Examples
    --------
    >>> [_most_requests(0.9, slots, True) for slots in (1, 2, 4)]
    [1, 2, 3.6]
    >>> _most_requests(0.9, 2, False), _most_requests(0.6, 2, True)
    (1.8, 1)
    """
    if rounds and slots <= MAX_ROUNDED_SLOTS:
        return max(1, round(occupancy * slots))
    return max(1.0, occupancy * slots)
