"""The targets of one service, as one entry selects among them."""

import collections.abc
import dataclasses
import itertools
import math
import random

from coltsfootchute import ids, verdicts
from coltsfootchute.balancing import (
    admissions,
    budgets,
    ejections,
    hedges,
    limits,
    loads,
    policies,
    probes,
    quarantines,
    samples,
    views,
)

__all__ = ["Pool", "PoolSettings"]

# How often a request that waits for a faster target is looked at again.
SLOW_WAIT_S = 0.005
# Weights of a slower and a faster response in the usual response time. It follows the
# faster half, so that overload does not pass for the usual state.
USUAL_RISE = 0.03
USUAL_FALL = 0.06


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


class Pool:
    """Selection, limits, budgets and queue of one service in one entry.

    Retries and hedges don't queue: they use a target that has room, or none.

    Parameters
    ----------
    service
        The service.
    settings
        From its section.
    failure_domain
        Of the entry.
    slots_share
        The entry's share of each target's slots, above 0 and at most 1;
        usually one over the number of serving entries.
    rng
        Source of randomness.

    Attributes
    ----------
    admission : admissions.Admission
        The queue. The daemon calls `admission.withdraw` when a caller leaves.
    probes : probes.ProbeShares
        Leased probe time.
    crashes : quarantines.CrashGuard
        Crash digests of the service.

    Raises
    ------
    coltsfootchute.errors.RegistryError
        If the policy is unknown.

    Notes
    -----
    A daemon calls a pool as follows, `started` right after `admit` or `select`.

    1. On each feed message: `update_targets`, `update_settings`,
       `update_share`. On a response with the draining header: `draining`.
    2. On a request: ``admitted = pool.admit(priority, deadline_s, now)``. A
       view: ``token = pool.started(view, now)`` and send. A ticket: wait for
       its grant or refusal. A refusal: answer with it.
    3. When the request is written later than it was started, for example after
       a claim: `sent`. On the response head: `responded`. At the end of each
       attempt, on every path and exactly once: `finished`.
    4. After each `finished`, and at `next_wake(now)`: `grants`, which wakes
       tickets, and then `admission.expired`, which refuses them. A grant whose
       caller has left is finished as `CANCELLED`.
    5. A repeatable request without a response head after `hedge_delay` may be
       hedged: ``view = pool.select(now, exclude=tried, kind=HEDGE)``. If there
       is a view and `may_hedge()` is true: `started`. A retry likewise with
       `may_retry()`. Both take a token, so they are called last, immediately
       before `started`.
    """

    def __init__(
        self,
        service: ids.ServiceName,
        settings: PoolSettings,
        failure_domain: ids.FailureDomain,
        slots_share: float,
        rng: random.Random,
    ):
        self.service = service
        wait_s = settings.queue_wait_s
        self.admission = admissions.Admission(settings.queue_length, wait_s)
        self.probes = probes.ProbeShares()
        self.crashes = quarantines.CrashGuard()
        self._settings = settings
        self._failure_domain = failure_domain
        self._slots_share = slots_share
        self._rng = rng
        self._policy = policies.POLICIES[settings.policy](failure_domain)
        self._budget = budgets.TokenBudget(
            settings.retry_budget_percent,
            settings.retry_burst,
            is_full=not settings.shares_burst,
        )
        self._hedge_delay = hedges.HedgeDelay()
        self._samples = samples.SampleBudget(0.0)
        # Usual response time of a target with room; None before the first response.
        self.usual_s: float | None = None
        self._views: dict[ids.TargetId, views.TargetView] = {}
        self._in_use_changed = False

    @property
    def retry_tokens(self) -> float:
        """Retries and hedges that the budget allows at the moment."""
        return self._budget.tokens

    @property
    def all_views(self) -> list[views.TargetView]:
        """Views of all targets, for status and metrics."""
        return list(self._views.values())

    def update_settings(self, settings: PoolSettings) -> None:
        """Apply a new revision of the section; measurements are kept."""
        if settings.policy != self._settings.policy:
            policy = policies.POLICIES[settings.policy]
            self._policy = policy(self._failure_domain)
        self._budget.change(settings.retry_budget_percent, settings.retry_burst)
        self.admission.change(settings.queue_length, settings.queue_wait_s)
        self._settings = settings
        self._samples.change(settings.samples_per_s * len(self._views))

    def update_share(self, slots_share: float) -> None:
        """Apply a new share, when entries come or go."""
        self._slots_share = slots_share
        for view in self._views.values():
            view.limit.rebound(limits.share_of(view.slots, slots_share))

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

    def candidates(
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
        count = self._samples.scale(count, now)
        found = [
            view
            for view in self._eligible(now, exclude)
            if not view.is_sampled(now) and view.probed_s == math.inf
        ]
        self._rng.shuffle(found)
        domain = self._failure_domain
        near = [v for v in found if v.target.failure_domain == domain]
        far = [v for v in found if v.target.failure_domain != domain]
        chosen = [*near[: count - 1], *far, *near[count - 1 :]][:count]
        return chosen[: self._samples.take(len(chosen), now)]

    def draining(self, target_id: ids.TargetId) -> None:
        """Send no new work to a target until its next incarnation."""
        if target_id in self._views:
            self._views[target_id].is_draining = True
            self._in_use_changed = True

    def admit(
        self, priority: int, deadline_s: float, now: float, is_first: bool = True
    ) -> views.TargetView | admissions.Ticket | verdicts.Refusal:
        """Decide on a new request: a target, a place in the queue, or neither.

        Parameters
        ----------
        priority
            From the rule; larger is more important.
        deadline_s
            Time by which the request must be answered.
        now
            Time.
        is_first
            Whether the request was not admitted before; only then it earns a part
            of a retry.

        Returns
        -------
        views.TargetView, admissions.Ticket or verdicts.Refusal
            A refusal has the verdict `NOT_RUN`.
        """
        if is_first:
            self.deposit()
        if now >= deadline_s:
            return admissions.refusal(
                verdicts.Reason.DEADLINE, "the deadline has passed"
            )
        if not len(self.admission):
            view = self.select(now)
            if view is not None:
                return view
        if not self._in_use():
            return admissions.refusal(verdicts.Reason.NO_TARGET, "no target is serving")
        service_s = self._typical_latency_s(now)
        interval_s = service_s / self._capacity(now)
        return self.admission.offer(priority, deadline_s, now, service_s, interval_s)

    def deposit(self) -> None:
        """Count a request, which earns a part of a retry."""
        self._budget.deposit()

    @property
    def is_serving(self) -> bool:
        """Whether any target takes requests, with or without room."""
        return bool(self._in_use())

    def select_with_room(
        self,
        now: float,
        occupancy: float,
        exclude: collections.abc.Collection[ids.TargetId] = (),
        max_pace: float = math.inf,
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
        max_pace
            Targets on machines that are slower at the moment are left out.

        Returns
        -------
        views.TargetView or None
            None if no target with a fresh report has room. One without a report
            counts if the pace does not matter or no probe is left.
        """
        self._restore_excess(now)
        eligible = self._eligible(now, exclude)
        found = [
            view
            for view in eligible
            if view.is_sampled(now)
            and view.sampled_load() + 1 <= max(1.0, occupancy * view.slots)
            and view.sampled_pace <= max_pace
        ]
        if not found:
            found = [view for view in eligible if not view.is_sampled(now)]
            if found and max_pace < math.inf and self._samples.has(now):
                return None
        return self._policy.select(found, now, self._rng)

    def select(
        self,
        now: float,
        exclude: collections.abc.Collection[ids.TargetId] = (),
        kind: views.AttemptKind = views.AttemptKind.FIRST,
    ) -> views.TargetView | None:
        """Select a target.

        Parameters
        ----------
        now
            Time.
        exclude
            Targets that this request has tried.
        kind
            A hedge prefers a failure domain that was not tried.

        Returns
        -------
        views.TargetView or None
            None if no target is eligible.
        """
        self._restore_excess(now)
        found = self._eligible(now, exclude)
        if kind is views.AttemptKind.HEDGE and exclude:
            tried = [self._views[i] for i in exclude if i in self._views]
            domains = {view.target.failure_domain for view in tried}
            found = [
                v for v in found if v.target.failure_domain not in domains
            ] or found
        chosen = self._policy.select(found, now, self._rng)
        # A retry can't wait in the queue; a slow target is better than none.
        may_wait = kind is not views.AttemptKind.RETRY and self._policy.waits_for_fast
        if chosen is None or not may_wait:
            return chosen
        usual_s = self._hedge_delay.delay_s()
        if usual_s is None or chosen.latency_s(now) <= usual_s:
            return chosen
        # Suspect targets take no part while a serving one is eligible.
        peers = [view for view in self._in_use() if not view.is_ejected(now)]
        peers = [v for v in peers if v.is_serving() == chosen.is_serving()]
        fast = policies.without_slow(found, peers, now)
        if len(fast) == len(found):
            return chosen
        return self._policy.select(fast, now, self._rng)

    def started(self, view: views.TargetView, now: float) -> views.Token:
        """Count an attempt; each token must reach `finished`."""
        return view.started(now)

    def sent(self, token: views.Token, now: float) -> None:
        """Measure the attempt from now on, when it is written with a delay."""
        token.view.resent(token, now)

    def responded(
        self, token: views.Token, now: float, load: loads.LoadReport | None = None
    ) -> None:
        """Measure the response time at the head of a response that is no error."""
        if token.is_measured or not token.is_open:
            return
        token.is_measured = True
        response_s = now - token.started_s
        token.view.measured(response_s, now)
        if self.usual_s is None:
            self.usual_s = response_s
        gap_s = response_s - self.usual_s
        self.usual_s += gap_s * (USUAL_RISE if gap_s > 0 else USUAL_FALL)
        self._hedge_delay.record(response_s)
        if load is not None:
            token.view.reported(load, now)

    def finished(
        self,
        token: views.Token,
        outcome: views.Outcome,
        now: float,
        load: loads.LoadReport | None = None,
    ) -> None:
        """Count the end of an attempt; a second call has no effect."""
        if not token.is_open:
            return
        view = token.view
        if outcome is views.Outcome.OK:
            self.responded(token, now, load)
        token.is_open = False
        if outcome is not views.Outcome.CANCELLED:
            view.judged(outcome is views.Outcome.OK, now)
        if outcome not in (views.Outcome.OK, views.Outcome.CANCELLED):
            self._failed(token, outcome, now)
        view.released(token)
        if outcome in views.UNFINISHED_OUTCOMES and not token.is_measured:
            view.unfinished(now - token.started_s, now)
        if outcome is views.Outcome.OK:
            view.limit.completed(view.in_flight)
            view.succeeded()
        elif load is not None:
            view.reported(load, now)

    def grants(self, now: float) -> list[admissions.Grant]:
        """Start queued requests for which a target has room."""
        granted = []
        while len(self.admission):
            view = self.select(now)
            ticket = self.admission.pop(now) if view is not None else None
            if ticket is None:
                break
            granted.append(admissions.Grant(ticket, view.started(now)))
        return granted

    def next_wake(self, now: float) -> float | None:
        """Return when `grants` and `admission.expired` are due without an event.

        That is when a queued request expires, or when a target's ejection or
        pause ends; None while nothing waits. While a target has room and the
        policy waits for a faster one, it is soon, because only the passing of
        time lowers the estimate of an idle target.
        """
        expiry_s = self.admission.next_expiry()
        if expiry_s is None:
            return None
        times_s = itertools.chain.from_iterable(
            (view.closed_until_s, view.ejected_until_s) for view in self._in_use()
        )
        opening_s = min(
            (time_s for time_s in times_s if time_s > now), default=expiry_s
        )
        if self._eligible(now, ()):
            opening_s = min(opening_s, now + SLOW_WAIT_S)
        return min(expiry_s, opening_s)

    def hedge_delay(self, now: float) -> float | None:
        """Return after how many seconds to hedge; None for not at all."""
        return self._hedge_delay.delay_s()

    def may_retry(self) -> bool:
        """Take a token for a retry; False forbids the retry."""
        return self._budget.take()

    def may_hedge(self) -> bool:
        """Take a token for a hedge; False forbids the hedge.

        Requests that wait for a target come before hedges.
        """
        return not len(self.admission) and self._budget.take()

    def probe(self, target_id: ids.TargetId, now: float) -> probes.ProbePermit | None:
        """Return a permit to probe a quiet target, None if not needed or paid."""
        view = self._views.get(target_id)
        if view is None:
            return None
        return self.probes.begin(target_id, view.last_response_s, now)

    def probed(
        self, permit: probes.ProbePermit, spent_s: float, is_ok: bool, now: float
    ) -> None:
        """Apply the end of a probe, aborted ones included."""
        self.probes.end(permit, spent_s)
        view = self._views.get(permit.target_id)
        if view is not None and is_ok:
            view.last_response_s = now

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

    def _failed(self, token, outcome, now) -> None:
        view = token.view
        if outcome is views.Outcome.SHED:
            view.shed(now, self._rng)
            return
        took_s = now - token.started_s
        if not view.failed(outcome, took_s) or view.is_ejected(now):
            return
        in_use = self._in_use()
        if view in in_use and ejections.may_eject(in_use, now):
            view.eject(now)

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
            view.limit.rebound(limits.share_of(view.slots, self._slots_share))

    def _typical_latency_s(self, now: float) -> float:
        known = sorted(view.latency_s(now) for view in self._views.values())
        return known[len(known) // 2] if known else 0.0

    def _capacity(self, now: float) -> int:
        usable = (v for v in self._views.values() if not v.is_ejected(now))
        return max(1, sum(view.limit.current() for view in usable))
