"""The targets of one service, and which of them may get a request."""

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
    views,
)

__all__ = ["PoolSettings", "TargetSet"]

# Several requests probe targets in this time, and a probe is given up within half of
# it, so if no target has reported for longer, targets can't be probed.
UNMEASURED_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """The part of a section that selection needs.

    Parameters
    ----------
    policy
        Name in `policies.POLICIES`.
    retry_budget_percent
        Retries and hedges over requests, 0 to 100.
    queue_length, queue_wait_s
        Bounds of the admission queue.
    retry_burst
        Retries and hedges of this entry beyond the percentage.
    shares_burst
        Whether the burst is a part of one that all entries share.
    samples_per_s
        Probes per target and second that this entry may send before requests.
    """

    policy: str = "expected_wait"
    retry_budget_percent: float = 10.0
    queue_length: int = 64
    queue_wait_s: float = 0.2
    retry_burst: float = budgets.MAX_TOKENS
    shares_burst: bool = False
    samples_per_s: float = 0.0


class TargetSet:
    """Views of the targets of a service; `pools.Pool` adds budgets and the queue.

    Parameters
    ----------
    settings
        From the section or the declaration.
    failure_domain
        Of the entry.
    slots_share
        The entry's share of each target's slots.
    rng
        Source of randomness.
    """

    def __init__(
        self,
        settings: PoolSettings,
        failure_domain: ids.FailureDomain,
        slots_share: float,
        rng: random.Random,
    ):
        self.probes = probes.ProbeShares()
        self._settings = settings
        self._failure_domain = failure_domain
        self._slots_share = slots_share
        self._rng = rng
        self._policy = policies.POLICIES[settings.policy](failure_domain)
        self._samples = samples.SampleBudget(0.0)
        self._views: dict[ids.TargetId, views.TargetView] = {}
        # Time of the first probe since the last report.
        self._asked_s = -math.inf
        self._in_use_changed = False

    @property
    def all_views(self) -> list[views.TargetView]:
        """Views of all targets, for status and metrics."""
        return list(self._views.values())

    def update_share(self, slots_share: float) -> None:
        """Apply a new share, when entries come or go."""
        self._slots_share = slots_share
        for view in self._views.values():
            view.limit.set_maximum(limits.share_of(view.slots, slots_share))

    def update_targets(
        self, targets: collections.abc.Iterable[views.Target], now: float
    ) -> None:
        """Apply the register's targets of this service.

        A target with a new incarnation starts without history. Attempts on
        targets that left are still finished normally.
        """
        kept = {target.target_id: target for target in targets}
        for gone in self._views.keys() - kept.keys():
            del self._views[gone]
            self.probes.forget(gone)
        self._in_use_changed = True
        typical_s = self._typical_latency_s(now)
        for target_id, target in kept.items():
            view = self._views.get(target_id)
            if view is None or view.target.incarnation != target.incarnation:
                share = limits.share_of(target.slots, self._slots_share)
                self._views[target_id] = views.TargetView(target, share, typical_s)
            else:
                self._update_view(view, target)
        self._samples.change(self._settings.samples_per_s * len(self._views))

    def probe_candidates(
        self,
        count: int,
        now: float,
        exclude: collections.abc.Collection[ids.TargetId] = (),
    ) -> list[views.TargetView]:
        """Return targets to probe before a request is sent.

        Parameters
        ----------
        count
            Most targets to return.
        now
            Time.
        exclude
            Targets that this request has tried.

        Notes
        -----
        Random eligible targets without a fresh report or an open probe, all but one
        of them of the entry's own failure domain if there are enough. Takes from the
        budget, and asks fewer targets while little of it is left.
        """
        if self._asked_s <= self._reported_s():
            self._asked_s = now
        count = self._samples.scale(count, now)
        found = [
            view
            for view in self._eligible(now, exclude)
            if not view.is_sampled(now) and view.probe_sent_s == math.inf
        ]
        self._rng.shuffle(found)
        domain = self._failure_domain
        near = [v for v in found if v.target.failure_domain == domain]
        far = [v for v in found if v.target.failure_domain != domain]
        chosen = [*near[: count - 1], *far, *near[count - 1 :]][:count]
        return chosen[: self._samples.take(len(chosen), now)]

    def mark_draining(self, target_id: ids.TargetId) -> None:
        """Send no new work to a target until its next incarnation."""
        if target_id in self._views:
            self._views[target_id].is_draining = True
            self._in_use_changed = True

    @property
    def is_serving(self) -> bool:
        """Whether any target takes requests, with or without room."""
        return bool(self._in_use())

    def select_with_room(
        self,
        now: float,
        occupancy: float,
        exclude: collections.abc.Collection[ids.TargetId] = (),
        max_slowdown: float = math.inf,
    ) -> views.TargetView | None:
        """Select a target whose fresh report shows room.

        Parameters
        ----------
        now
            Time.
        occupancy
            Part of the slots that may be in use with the request added.
        exclude
            Targets that this request has tried.
        max_slowdown
            Targets on machines that are slower at the moment are left out.

        Returns
        -------
        views.TargetView or None
            None if no target with a fresh report has room. Targets without one
            count only if none has reported for a while.

        Notes
        -----
        A target that is chosen without a report is on average as busy and as slow
        as all targets. Once targets are full, such requests alone keep them full.
        """
        self._restore_excess(now)
        eligible = self._eligible(now, exclude)
        found = [
            view
            for view in eligible
            if view.is_sampled(now)
            and view.sampled_load() + 1 <= max(1.0, occupancy * view.slots)
            and view.sampled_slowdown <= max_slowdown
        ]
        if not found and not self._is_measured(now):
            found = [view for view in eligible if not view.is_sampled(now)]
        return self._policy.select(found, now, self._rng)

    def _reported_s(self) -> float:
        """Return when a target told its load last."""
        return max((v.last_report_s for v in self._views.values()), default=-math.inf)

    def _is_measured(self, now: float) -> bool:
        """Tell whether targets answer probes, as far as is known."""
        return now - max(self._reported_s(), self._asked_s) <= UNMEASURED_S

    def _eligible(self, now, exclude) -> list[views.TargetView]:
        open_views = [
            view
            for target_id, view in self._views.items()
            if view.has_room(now)
            and not view.is_ejected(now)
            and target_id not in exclude
        ]
        serving = [view for view in open_views if view.is_serving()]
        return serving or [view for view in open_views if view.is_suspect()]

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
            view.limit.set_maximum(limits.share_of(view.slots, self._slots_share))

    def _typical_latency_s(self, now: float) -> float:
        known = sorted(view.latency_s(now) for view in self._views.values())
        return known[len(known) // 2] if known else 0.0

    def _capacity(self, now: float) -> int:
        usable = (v for v in self._views.values() if not v.is_ejected(now))
        return max(1, sum(view.limit.current() for view in usable))
