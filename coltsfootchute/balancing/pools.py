"""Target selection, retry budget and request queue of a service in an entry."""

import collections.abc
import itertools
import random

from coltsfootchute import ids, verdicts
from coltsfootchute.balancing import (
    admissions,
    budgets,
    ejections,
    hangs,
    hedges,
    loads,
    policies,
    probes,
    quarantines,
    response_times,
    slow_starts,
    statements,
    target_sets,
    urgencies,
    views,
    wait_outcomes,
)

__all__ = ["Pool"]

# Interval at which selection is repeated for a request that waits for a faster target.
RESELECT_INTERVAL_S = 0.005
NO_TARGET_DETAIL = "no target is serving"
# Times after which refused callers return, as multiples of the first end of a rest.
RETURN_FACTORS = (1.05, 1.5)
# Smoothing factors of the typical response time for a slower and for a faster response.
# Faster responses weigh more, so that the slow responses of an overload do not become
# the typical ones.
TYPICAL_RISE_GAIN = 0.03
TYPICAL_FALL_GAIN = 0.06


class Pool(target_sets.TargetSet):
    """Selection, limits, budgets and queue of one service in one entry.

    Retries and hedges are not queued: without a target that has room they are not sent.

    Parameters
    ----------
    service
        Name of the service.
    settings
        Settings from the section or the declaration.
    failure_domain
        Failure domain of the entry.
    slots_share
        Fraction of each target's slots that this entry may use, above 0 and at most
        1; normally 1 divided by the number of serving entries.
    rng
        Random number generator.

    Attributes
    ----------
    admission : admissions.AdmissionQueue
        The queue. The daemon calls `admission.withdraw` when a caller disconnects.
    probes : probes.ProbeShares
        Probe time leased from the leader.
    crashes : quarantines.CrashGuard
        Crash counts and quarantines of the service.

    Raises
    ------
    coltsfootchute.errors.RegistryError
        If the policy in `settings` is unknown.

    Notes
    -----
    A daemon calls a pool as follows. `start_attempt` is called directly after `admit`
    or `select`.

    1. On each feed message: `update_targets`, `update_settings`,
       `update_share`. On a response that states it: `mark_draining`, `rest`.
    2. On a request: ``admitted = pool.admit(priority, deadline_s, now)``. If the
       result is a view: ``token = pool.start_attempt(view, now)`` and send the request.
       If it is a ticket: wait until it is granted or refused. If it is a refusal:
       answer with it.
    3. When the request is written only some time after the start, for example after
       a claim: `restart_timer`. On the response head: `record_response`. At the end
       of each attempt, on every path and exactly once: `finish_attempt`.
    4. After each `finish_attempt`, and at `next_wake(now)`: `start_queued`, whose
       tickets are granted, and then `pop_refused`, whose tickets are
       refused. A grant whose caller has disconnected is finished as `CANCELLED`.
    5. A repeatable request without a response head after `hedge_delay` may be
       hedged: ``view = pool.select(now, exclude=tried, kind=HEDGE)``. If there
       is a view and `may_hedge()` is true: `start_attempt`. The same holds for a retry,
       with `may_retry()`. Both take a token, so they are called last, directly
       before `start_attempt`.
    """

    def __init__(
        self,
        service: ids.ServiceName,
        settings: target_sets.PoolSettings,
        failure_domain: ids.FailureDomain,
        slots_share: float,
        rng: random.Random,
        *,
        stated: statements.Statements | None = None,
        starts: slow_starts.SlowStarts | None = None,
    ):
        super().__init__(
            settings, failure_domain, slots_share, rng, stated=stated, starts=starts
        )
        self.service = service
        wait_s = settings.queue_wait_s
        self.admission = admissions.AdmissionQueue(settings.queue_length, wait_s)
        self.crashes = quarantines.CrashGuard()
        self._budget = budgets.TokenBudget(
            settings.retry_budget_percent,
            settings.retry_burst,
            is_full=not settings.shares_burst,
        )
        self._hedge_delay = hedges.HedgeDelay()
        self.response_times = response_times.ResponseTimes()
        self.urgencies = urgencies.Urgencies()
        self.wait_outcomes = wait_outcomes.WaitOutcomes()
        # Typical response time in seconds; None before the first response.
        self.typical_response_s: float | None = None

    @property
    def retry_tokens(self) -> float:
        """Number of retries and hedges that the budget allows at present."""
        return self._budget.tokens

    def update_settings(self, settings: target_sets.PoolSettings) -> None:
        """Apply new settings and keep the measurements."""
        if settings.policy != self._settings.policy:
            policy = policies.POLICIES[settings.policy]
            self._policy = policy(self._failure_domain)
        self._budget.change(settings.retry_budget_percent, settings.retry_burst)
        self.admission.change(settings.queue_length, settings.queue_wait_s)
        self._settings = settings
        self._samples.change(settings.samples_per_s * len(self._views))
        self._apply_rules(settings)

    def admit(
        self, priority: int, deadline_s: float, now: float, is_first: bool = True
    ) -> views.TargetView | admissions.Ticket | verdicts.Refusal:
        """Select a target for a new request, or queue or refuse it.

        Parameters
        ----------
        priority
            Priority from the rule; a larger one is more important.
        deadline_s
            Time in seconds by which the request must be answered.
        now
            Time in seconds.
        is_first
            Whether this is the first call for the request; only then it adds to the
            retry budget.

        Returns
        -------
        views.TargetView, admissions.Ticket or verdicts.Refusal
            A refusal has the verdict `NOT_RUN`.
        """
        if is_first:
            self.deposit()
        if now >= deadline_s:
            return admissions.refusal(
                verdicts.Reason.DEADLINE,
                "the deadline passed before the request was admitted",
            )
        if not len(self.admission):
            view = self.select(now)
            if view is not None:
                return view
        if not self.is_serving:
            return admissions.refusal(verdicts.Reason.NO_TARGET, NO_TARGET_DETAIL)
        refusal = self.rest_refusal(
            now, min(deadline_s, now + self._settings.queue_wait_s)
        )
        if refusal is not None:
            return refusal
        service_s = self._typical_latency_s(now)
        interval_s = service_s / self._capacity(now)
        return self.admission.offer(priority, deadline_s, now, service_s, interval_s)

    def rest_refusal(self, now: float, until_s: float) -> verdicts.Refusal | None:
        """Refuse a request if all targets hang, or want no requests for too long.

        Parameters
        ----------
        now
            Time in seconds.
        until_s
            Time in seconds until which the request can wait for a target.

        Returns
        -------
        verdicts.Refusal or None
            None if a target is available before. The callers of several refusals are
            asked to return at different times.
        """
        end_s = self.hang_end_s(now)
        if end_s is not None:
            return hangs.refusal(end_s - now, self._rng)
        end_s = self.rest_end_s(now)
        if end_s is None or end_s <= until_s:
            return None
        remaining_s = end_s - now
        return verdicts.Refusal(
            verdicts.Verdict.NOT_RUN,
            verdicts.Reason.TARGETS_AT_REST,
            f"all targets have asked for no requests for {remaining_s:.1f} s",
            retry_after_s=remaining_s * self._rng.uniform(*RETURN_FACTORS),
        )

    def deposit(self) -> None:
        """Add the part of a token that one request earns to the retry budget."""
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
            Time in seconds.
        exclude
            Targets that this request has tried.
        kind
            Kind of the attempt. For a hedge, a failure domain that was not tried is
            preferred.

        Returns
        -------
        views.TargetView or None
            None if no target is eligible, or if the request should wait because only
            much slower targets have room.
        """
        self._restore_excess(now)
        found = self._eligible(now, exclude)
        if kind is views.AttemptKind.HEDGE and exclude:
            tried = [self._views[i] for i in exclude if i in self._views]
            domains = {view.target.failure_domain for view in tried}
            found = [
                v for v in found if v.target.failure_domain not in domains
            ] or found
        found = self.prefer_cold(found, now, exclude)
        chosen = self._policy.select(found, now, self._rng)
        # A retry can't wait in the queue, so a slow target is better than none.
        may_wait = kind is not views.AttemptKind.RETRY and self._policy.waits_for_fast
        if chosen is None or not may_wait:
            return chosen
        hedge_delay_s = self._hedge_delay.delay_s()
        if hedge_delay_s is None or chosen.latency_s(now) <= hedge_delay_s:
            return chosen
        # While a serving target is eligible, suspect ones get no requests, so only
        # targets of the same state are compared. One at rest won't get the request
        # either, and its estimate decreases while it is idle.
        peers = [
            view
            for view in self._in_use()
            if not view.is_ejected(now) and not view.is_at_rest(now)
        ]
        peers = [v for v in peers if v.is_serving() == chosen.is_serving()]
        fast = policies.without_slow(found, peers, now)
        if len(fast) == len(found):
            return chosen
        return self._policy.select(fast, now, self._rng)

    def restart_timer(self, token: views.AttemptToken, now: float) -> None:
        """Measure the response time from now, when the request is written late."""
        token.view.restart_timer(token, now)

    def record_response(
        self,
        token: views.AttemptToken,
        now: float,
        load: loads.LoadReport | None = None,
    ) -> None:
        """Record the response time, at the head of a response that is no error."""
        if token.is_measured or not token.is_open:
            return
        token.is_measured = True
        response_s = now - token.started_s
        token.view.record_response_time(response_s, now)
        if self.typical_response_s is None:
            self.typical_response_s = response_s
        difference_s = response_s - self.typical_response_s
        self.typical_response_s += difference_s * (
            TYPICAL_RISE_GAIN if difference_s > 0 else TYPICAL_FALL_GAIN
        )
        self._hedge_delay.record(response_s)
        self.overdue.record(response_s)
        self.response_times.record(token.route, response_s / token.load_factor)
        if load is not None:
            token.view.record_load(load, now)

    def finish_attempt(
        self,
        token: views.AttemptToken,
        outcome: views.Outcome,
        now: float,
        load: loads.LoadReport | None = None,
    ) -> None:
        """End an attempt and record its outcome; a second call has no effect."""
        if not token.is_open:
            return
        view = token.view
        if outcome is views.Outcome.OK:
            self.record_response(token, now, load)
        token.is_open = False
        if outcome is not views.Outcome.CANCELLED:
            view.record_outcome(outcome is views.Outcome.OK, now)
        if outcome not in (views.Outcome.OK, views.Outcome.CANCELLED):
            self._record_failure(token, outcome, now)
        view.remove_attempt(token)
        if token.is_overdue or token.is_trial:
            view.hang.record_end(token.is_overdue, token.is_trial, now, self._rng)
        elif not token.is_answered and outcome in views.UNFINISHED_OUTCOMES:
            self._record_unanswered(token, now)
        if outcome in views.UNFINISHED_OUTCOMES and not token.is_measured:
            view.record_abandoned(now - token.started_s, now)
        if outcome is views.Outcome.OK:
            view.limit.record_response(view.in_flight)
            view.record_success()
        elif load is not None:
            view.record_load(load, now)

    def start_queued(self, now: float) -> list[admissions.Grant]:
        """Start the queued requests for which a target has room."""
        granted = []
        while len(self.admission):
            view = self.select(now)
            ticket = self.admission.pop(now) if view is not None else None
            if ticket is None:
                break
            granted.append(admissions.Grant(ticket, self.start_attempt(view, now)))
        return granted

    def pop_refused(
        self, now: float
    ) -> list[tuple[admissions.Ticket, verdicts.Refusal]]:
        """Remove the queued requests that can't be served any more.

        Returns
        -------
        list of tuple
            Each removed ticket with its refusal.
        """
        if self.is_serving:
            return self.admission.pop_expired(now)
        return self.admission.pop_all(verdicts.Reason.NO_TARGET, NO_TARGET_DETAIL)

    def next_wake(self, now: float) -> float | None:
        """Return the time of the next `start_queued` and `pop_refused`.

        This is the time at which a queued request expires, the ejection or pause of a
        target ends, or a cold one may get a request; None while the queue is empty. If
        a target has room but the policy waits for a faster one, the time is at most
        `RESELECT_INTERVAL_S` from now: the latency estimate of an idle target decreases
        with time, without an event.
        """
        expiry_s = self.admission.next_expiry()
        if expiry_s is None:
            return None
        end_times_s = itertools.chain.from_iterable(
            (
                view.paused_until_s,
                view.ejected_until_s,
                view.rest_until_s,
                self.gate.next_token_s(view.target, now),
            )
            for view in self._in_use()
        )
        eligible_s = min(
            (time_s for time_s in end_times_s if time_s > now), default=expiry_s
        )
        if self._eligible(now, ()):
            eligible_s = min(eligible_s, now + RESELECT_INTERVAL_S)
        return min(expiry_s, eligible_s)

    def hedge_delay(self, now: float) -> float | None:
        """Return the delay in seconds before a hedge, or None for no hedge."""
        return self._hedge_delay.delay_s()

    def may_retry(self) -> bool:
        """Take a token for a retry; return False if there is none."""
        return self._budget.take()

    def may_hedge(self) -> bool:
        """Take a token for a hedge; return False if the hedge must not be sent.

        No hedges are sent while requests wait in the queue.
        """
        return not len(self.admission) and self._budget.take()

    def begin_probe(
        self, target_id: ids.TargetId, now: float, lease_now: float
    ) -> probes.ProbePermit | None:
        """Reserve time to probe a target that has not responded recently.

        Parameters
        ----------
        target_id
            The target to probe.
        now
            Seconds of the clock of the responses.
        lease_now
            Seconds of the clock of the leases, which also runs while the host is
            suspended.

        Returns
        -------
        probes.ProbePermit or None
            None if the target is not registered, responded recently, or has too
            little probe time left.
        """
        view = self._views.get(target_id)
        if view is None:
            return None
        return self.probes.begin(target_id, view.last_response_s, now, lease_now)

    def end_probe(
        self, permit: probes.ProbePermit, spent_s: float, is_ok: bool, now: float
    ) -> None:
        """Record the end of a probe, including an aborted one."""
        self.probes.end(permit, spent_s)
        view = self._views.get(permit.target_id)
        if view is not None and is_ok:
            view.last_response_s = now

    def _record_failure(self, token, outcome, now) -> None:
        view = token.view
        if outcome is views.Outcome.SHED:
            view.record_shed(now, self._rng)
            return
        took_s = now - token.started_s
        if not view.record_error(outcome, took_s) or view.is_ejected(now):
            return
        in_use = self._in_use()
        if view in in_use and ejections.may_eject(in_use, now):
            view.eject(now)
