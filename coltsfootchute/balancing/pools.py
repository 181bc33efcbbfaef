"""Selection, budgets and the queue of one service in one entry."""

import collections.abc
import itertools
import random

from coltsfootchute import ids, verdicts
from coltsfootchute.balancing import (
    admissions,
    budgets,
    ejections,
    hedges,
    loads,
    policies,
    probes,
    quarantines,
    target_sets,
    views,
)

__all__ = ["Pool"]

# How often a request that waits for a faster target is looked at again.
SLOW_WAIT_S = 0.005
# Weights of a slower and a faster response in the usual response time. It follows the
# faster half, so that overload does not pass for the usual state.
USUAL_RISE = 0.03
USUAL_FALL = 0.06


class Pool(target_sets.TargetSet):
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
    A daemon calls a pool as follows, `start_attempt` right after `admit` or `select`.

    1. On each feed message: `update_targets`, `update_settings`,
       `update_share`. On a response with the draining header: `mark_draining`.
    2. On a request: ``admitted = pool.admit(priority, deadline_s, now)``. A
       view: ``token = pool.started(view, now)`` and send. A ticket: wait for
       its grant or refusal. A refusal: answer with it.
    3. When the request is written later than it was started, for example after
       a claim: `sent`. On the response head: `record_response`. At the end of each
       attempt, on every path and exactly once: `finish_attempt`.
    4. After each `finish_attempt`, and at `next_wake(now)`: `start_queued`, which wakes
       tickets, and then `admission.expired`, which refuses them. A grant whose
       caller has left is finished as `CANCELLED`.
    5. A repeatable request without a response head after `hedge_delay` may be
       hedged: ``view = pool.select(now, exclude=tried, kind=HEDGE)``. If there
       is a view and `may_hedge()` is true: `start_attempt`. A retry likewise with
       `may_retry()`. Both take a token, so they are called last, immediately
       before `start_attempt`.
    """

    def __init__(
        self,
        service: ids.ServiceName,
        settings: target_sets.PoolSettings,
        failure_domain: ids.FailureDomain,
        slots_share: float,
        rng: random.Random,
    ):
        super().__init__(settings, failure_domain, slots_share, rng)
        self.service = service
        wait_s = settings.queue_wait_s
        self.admission = admissions.Admission(settings.queue_length, wait_s)
        self.crashes = quarantines.CrashGuard()
        self._budget = budgets.TokenBudget(
            settings.retry_budget_percent,
            settings.retry_burst,
            is_full=not settings.shares_burst,
        )
        self._hedge_delay = hedges.HedgeDelay()
        # Usual response time of a target with room; None before the first response.
        self.typical_response_s: float | None = None

    @property
    def retry_tokens(self) -> float:
        """Retries and hedges that the budget allows at the moment."""
        return self._budget.tokens

    def update_settings(self, settings: target_sets.PoolSettings) -> None:
        """Apply a new revision of the section; measurements are kept."""
        if settings.policy != self._settings.policy:
            policy = policies.POLICIES[settings.policy]
            self._policy = policy(self._failure_domain)
        self._budget.change(settings.retry_budget_percent, settings.retry_burst)
        self.admission.change(settings.queue_length, settings.queue_wait_s)
        self._settings = settings
        self._samples.change(settings.samples_per_s * len(self._views))

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

    def start_attempt(self, view: views.TargetView, now: float) -> views.AttemptToken:
        """Count an attempt; each token must reach `finish_attempt`."""
        return view.started(now)

    def sent(self, token: views.AttemptToken, now: float) -> None:
        """Measure the attempt from now on, when it is written with a delay."""
        token.view.resent(token, now)

    def record_response(
        self,
        token: views.AttemptToken,
        now: float,
        load: loads.LoadReport | None = None,
    ) -> None:
        """Measure the response time at the head of a response that is no error."""
        if token.is_measured or not token.is_open:
            return
        token.is_measured = True
        response_s = now - token.started_s
        token.view.measured(response_s, now)
        if self.typical_response_s is None:
            self.typical_response_s = response_s
        gap_s = response_s - self.typical_response_s
        self.typical_response_s += gap_s * (USUAL_RISE if gap_s > 0 else USUAL_FALL)
        self._hedge_delay.record(response_s)
        if load is not None:
            token.view.record_load(load, now)

    def finish_attempt(
        self,
        token: views.AttemptToken,
        outcome: views.Outcome,
        now: float,
        load: loads.LoadReport | None = None,
    ) -> None:
        """Count the end of an attempt; a second call has no effect."""
        if not token.is_open:
            return
        view = token.view
        if outcome is views.Outcome.OK:
            self.record_response(token, now, load)
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
            view.record_load(load, now)

    def start_queued(self, now: float) -> list[admissions.Grant]:
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
        """Return when `start_queued` and `admission.expired` are due without an event.

        That is when a queued request expires, or when a target's ejection or
        pause ends; None while nothing waits. While a target has room and the
        policy waits for a faster one, it is soon, because only the passing of
        time lowers the estimate of an idle target.
        """
        expiry_s = self.admission.next_expiry()
        if expiry_s is None:
            return None
        times_s = itertools.chain.from_iterable(
            (view.paused_until_s, view.ejected_until_s) for view in self._in_use()
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

    def begin_probe(
        self, target_id: ids.TargetId, now: float
    ) -> probes.ProbePermit | None:
        """Return a permit to probe a quiet target, None if not needed or paid."""
        view = self._views.get(target_id)
        if view is None:
            return None
        return self.probes.begin(target_id, view.last_response_s, now)

    def end_probe(
        self, permit: probes.ProbePermit, spent_s: float, is_ok: bool, now: float
    ) -> None:
        """Apply the end of a probe, aborted ones included."""
        self.probes.end(permit, spent_s)
        view = self._views.get(permit.target_id)
        if view is not None and is_ok:
            view.last_response_s = now

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
