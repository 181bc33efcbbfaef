"""State of the entry for each service: rules, targets and queued requests."""

import asyncio
import bisect
import dataclasses
import random
import time
import weakref

from coltsfootchute import (
    balancing,
    declarations,
    ids,
    sections,
    settings,
    verdicts,
)
from coltsfootchute.entry import forwards, watches
from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["Service", "Services"]

_STATES = {
    coltsfootchute_pb2.TARGET_STATE_SERVING: balancing.TargetState.SERVING,
    coltsfootchute_pb2.TARGET_STATE_DRAINING: balancing.TargetState.DRAINING,
    coltsfootchute_pb2.TARGET_STATE_SUSPECT: balancing.TargetState.SUSPECT,
}
# Fraction of the retry burst that is divided among the entries. The rest covers entries
# that start or stop before the others learn of it.
BURST_FRACTION = 0.8
AdmissionResult = balancing.AttemptToken | verdicts.Refusal


class Service:
    """A service as the handling of calls needs it; updated only on changes.

    Parameters
    ----------
    name
        The service.
    rule_table
        Compiled rules of the section in force.
    pool
        Pool of its targets.
    """

    def __init__(self, name: str, rule_table: sections.RuleTable, pool: balancing.Pool):
        self.name = name
        self.rule_table = rule_table
        self.pool = pool
        self.endpoints: dict[str, forwards.Endpoint] = {}
        # Path at which targets of a declared service report their load; else empty.
        self.health_path = ""
        # The service as declared; None for one that only has a section.
        self.declared: declarations.Service | None = None
        # Whether a crash was seen here or learned from control. Only then are crash
        # digests computed.
        self.has_crashes = False
        self._longest_deadlines_ms: dict[str, int] = {}
        self._queued: dict[balancing.Ticket, asyncio.Future[AdmissionResult]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def section(self) -> sections.Section:
        """The section in force."""
        return self.rule_table.section

    def record_deadline(self, rule: str, requested_ms: int) -> int:
        """Record a requested deadline, and return the longest of its rule, in ms."""
        longest = max(requested_ms, self._longest_deadlines_ms.get(rule, 0))
        self._longest_deadlines_ms[rule] = longest
        return longest

    def endpoint(self, address: str) -> forwards.Endpoint:
        """Return the prepared address of a target."""
        found = self.endpoints.get(address)
        if found is None:
            found = self.endpoints[address] = forwards.Endpoint(address)
        return found

    async def admit(
        self, priority: int, deadline_s: float, now: float, is_first: bool = True
    ) -> balancing.AttemptToken:
        """Wait for a target and start an attempt there.

        Returns
        -------
        balancing.AttemptToken
            The started attempt.

        Raises
        ------
        RefusedError
            If there is no target, or the queue refuses the request.
        """
        admitted = self.pool.admit(priority, deadline_s, now, is_first)
        if isinstance(admitted, balancing.TargetView):
            return self.pool.start_attempt(admitted, now)
        if isinstance(admitted, balancing.Ticket):
            return await self._wait(admitted)
        raise RefusedError(admitted)

    async def readmit(self, priority: int, deadline_s: float) -> balancing.AttemptToken:
        """Wait for a target again with a request that was admitted before.

        Raises
        ------
        RefusedError
            If the queue refuses the request.
        """
        now = time.monotonic()
        view = None if self._queued else self.pool.select(now)
        if view is not None:
            return self.pool.start_attempt(view, now)
        return await self.admit(priority, deadline_s, now, is_first=False)

    async def _wait(self, ticket: balancing.Ticket) -> balancing.AttemptToken:
        fut = asyncio.get_running_loop().create_future()
        self._queued[ticket] = fut
        self._refuse_expired()
        try:
            admitted = await fut
        except asyncio.CancelledError:
            self._cancel_wait(ticket, fut)
            raise
        if isinstance(admitted, verdicts.Refusal):
            raise RefusedError(admitted)
        return admitted

    def _cancel_wait(
        self, ticket: balancing.Ticket, fut: asyncio.Future[AdmissionResult]
    ) -> None:
        self._queued.pop(ticket, None)
        self.pool.admission.withdraw(ticket)
        granted = fut.done() and not fut.cancelled()
        if granted and isinstance(fut.result(), balancing.AttemptToken):
            self.finish(fut.result(), balancing.Outcome.CANCELLED)

    def finish(
        self,
        token: balancing.AttemptToken,
        outcome: balancing.Outcome,
        load: balancing.LoadReport | None = None,
    ) -> None:
        """Record the end of an attempt and start queued requests."""
        now = time.monotonic()
        self.pool.finish_attempt(token, outcome, now, load)
        if self._queued:
            self.start_queued()

    def start_queued(self) -> None:
        """Start queued requests for which a target has a free slot."""
        now = time.monotonic()
        for grant in self.pool.start_queued(now):
            fut = self._queued.pop(grant.ticket, None)
            if fut is None or fut.done():
                self.pool.finish_attempt(grant.token, balancing.Outcome.CANCELLED, now)
            else:
                fut.set_result(grant.token)
        self._refuse_expired()

    def _refuse_expired(self) -> None:
        for ticket, refusal in self.pool.pop_refused(time.monotonic()):
            fut = self._queued.pop(ticket, None)
            if fut is not None and not fut.done():
                fut.set_result(refusal)
        self._schedule_start()

    def _schedule_start(self) -> None:
        """Call `start_queued` again when a request expires or a target's pause ends."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_s = self.pool.next_wake(time.monotonic())
        if due_s is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due_s, self.start_queued)


class RefusedError(Exception):
    """The entry refused a request.

    Parameters
    ----------
    refusal
        Verdict, reason and detail.
    """

    def __init__(self, refusal: verdicts.Refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


class Services:
    """All services, updated from the view of the replicated state.

    Parameters
    ----------
    view
        View of the replicated state.
    failure_domain
        Failure domain of this entry.
    retries
        Limit on retries and hedges of declared services, over all entries.
    samples
        Limit on probes before requests of declared services, over all entries.
    hangs
        When requests of declared services are overdue.
    name
        Name of this entry.
    states_cold
        Whether targets can state in their answers that they are cold.
    """

    def __init__(
        self,
        view: watches.View,
        failure_domain: str,
        retries: settings.RetrySettings | None = None,
        samples: settings.SampleSettings | None = None,
        hangs: settings.HangSettings | None = None,
        *,
        name: str = "",
        states_cold: bool = False,
    ):
        self._name = name
        self._hangs = hangs or settings.HangSettings()
        self._samples = samples or settings.SampleSettings()
        self._view = view
        self._retries = retries or settings.RetrySettings()
        self._failure_domain = ids.FailureDomain(failure_domain)
        self._rng = random.Random()
        self._entries = 1
        self.statements = balancing.statements.Statements()
        self.slow_starts = balancing.slow_starts.SlowStarts(
            self._rng, states_cold=states_cold
        )
        self.by_name: dict[str, Service] = {}
        # Services that are no longer in the state, as long as calls hold them.
        self._retired: weakref.WeakValueDictionary[str, Service] = (
            weakref.WeakValueDictionary()
        )

    def refresh(self, names: set[str]) -> None:
        """Update the named services after a feed message.

        Notes
        -----
        Requests that were accepted for a service that has been removed may still be
        sent to its targets, but only to those that are serving at that time.
        """
        for name in names:
            table = self._view.rule_tables.get(name)
            if table is not None:
                self._refresh(name, table)
                continue
            service = self.by_name.pop(name, None) or self._retired.get(name)
            if service is not None:
                self._retired[name] = service
                self._update_targets(service)

    def all_services(self) -> list[Service]:
        """Return all services, also those that only calls in progress hold."""
        return [*self.by_name.values(), *self._retired.values()]

    def update_slot_shares(self) -> None:
        """Divide the targets' slots among the entries that are serving."""
        stopping = coltsfootchute_pb2.INSTANCE_STATE_STOPPING
        known = self._view.instances.values()
        serving = sum(i.state != stopping for i in known)
        self.slow_starts.entries.record(serving, time.monotonic())
        names = sorted(self._view.instances)
        position = bisect.bisect_left(names, self._name)
        is_known = position < len(names) and names[position] == self._name
        self.slow_starts.position = position if is_known else None
        entries = max(1, serving)
        if entries == self._entries:
            return
        self._entries = entries
        for service in self.by_name.values():
            service.pool.update_settings(
                self._pool_settings(service.section, service.name)
            )
            service.pool.update_share(self._slots_share(service.section))

    def _slots_share(self, section: sections.Section) -> float:
        """Return the fraction of the targets' slots that this entry may use.

        An entry that is not among the entries of the service still gets calls from
        callers with an outdated list of addresses, and uses the same fraction for
        them. If targets are probed before requests, their load reports are the limit.
        """
        if self._uses_probes(section):
            return 1.0
        return 1 / min(self._entries, section.entries or self._entries)

    def apply_quarantine(self, quarantine: coltsfootchute_pb2.Quarantine) -> None:
        """Apply a quarantine record from the replicated log."""
        service = self.by_name.get(quarantine.service)
        if service is None:
            return
        service.has_crashes = True
        if quarantine.removed:
            service.pool.crashes.remove_record(quarantine.digest)
            return
        now = time.monotonic()
        target_ids = {ids.TargetId(t) for t in quarantine.target_ids}
        service.pool.crashes.apply_record(
            quarantine.digest, target_ids, quarantine.active, now
        )

    def _refresh(self, name: str, table: sections.RuleTable) -> None:
        service = self.by_name.get(name) or self._retired.pop(name, None)
        declared = self._view.declared_services.get(name)
        if service is None:
            service = Service(name, table, self._pool(name, table))
        elif service.rule_table is not table or service.declared != declared:
            service.rule_table = table
            service.pool.update_settings(self._pool_settings(table.section, name))
            service.pool.update_share(self._slots_share(table.section))
        self.by_name[name] = service
        service.declared = declared
        service.health_path = self._view.health_paths.get(name, "")
        if self._view.routes is not None:
            service.pool.urgencies.declare(self._view.routes.ranks.get(name, ()))
        self._update_targets(service)

    def _update_targets(self, service: Service) -> None:
        now = time.monotonic()
        evacuated = self._view.evacuated
        targets = [
            _target(t, now, is_evacuated=t.failure_domain in evacuated)
            for t in self._view.targets_of(service.name)
        ]
        service.pool.update_targets(targets, now)
        used = {t.address for t in targets}
        for address in service.endpoints.keys() - used:
            del service.endpoints[address]
        service.start_queued()

    def _pool(self, name: str, table: sections.RuleTable) -> balancing.Pool:
        return balancing.Pool(
            ids.ServiceName(name),
            self._pool_settings(table.section, name),
            self._failure_domain,
            self._slots_share(table.section),
            self._rng,
            stated=self.statements,
            starts=self.slow_starts,
        )

    def _uses_probes(self, section: sections.Section) -> bool:
        # Only declared services have no rules.
        return not section.rules and self._samples.per_target_s > 0

    def _policy(self, section: sections.Section) -> str:
        if not self._uses_probes(section):
            return section.policy
        return "sampled_near" if self._samples.placement == "ranked" else "sampled"

    def _pool_settings(
        self, section: sections.Section, name: str
    ) -> balancing.PoolSettings:
        if section.rules:
            return _pool_settings(section)
        # Until the list of entries is known, this entry accumulates at most one retry
        # token.
        known = max(len(self._view.instances), self._entries)
        burst = self._retries.burst * BURST_FRACTION / known if known > 1 else 1.0
        declared = self._view.declared_services.get(name)
        return dataclasses.replace(
            _pool_settings(section),
            slow_start_s=declared.slow_start_s if declared else 0.0,
            ramp_per_s=declared.ramp_per_s if declared else 0.0,
            overdue_factor=self._hangs.factor,
            overdue_min_s=self._hangs.min_s,
            retry_budget_percent=self._retries.percent,
            retry_burst=max(1.0, burst),
            shares_burst=True,
            policy=self._policy(section),
            samples_per_s=self._samples.per_target_s / self._entries,
            placement=self._samples.placement,
        )


def _pool_settings(section: sections.Section) -> balancing.PoolSettings:
    return balancing.PoolSettings(
        policy=section.policy,
        retry_budget_percent=section.retry_budget_percent,
        queue_length=section.queue.length,
        queue_wait_s=section.queue.wait_ms / 1000,
    )


def _target(
    target: coltsfootchute_pb2.Target, now: float, *, is_evacuated: bool
) -> balancing.Target:
    state = _STATES[target.state]
    age_s = max(0.0, time.time() - target.announced_ms / 1000)
    return balancing.Target(
        target_id=ids.TargetId(target.target_id),
        address=target.address,
        failure_domain=ids.FailureDomain(target.failure_domain),
        slots=target.slots,
        state=balancing.TargetState.EVACUATED if is_evacuated else state,
        incarnation=target.incarnation,
        up_since_s=now - age_s,
        warm_up_s=target.warm_up_ms / 1000,
        announced_ms=target.announced_ms,
    )
