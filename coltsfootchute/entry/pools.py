"""What the entry has prepared per service: rules, targets, the queue."""

import asyncio
import dataclasses
import random
import time

from coltsfootchute import balancing, ids, sections, settings, verdicts
from coltsfootchute.entry import forwards, watches
from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["Service", "Services"]

_STATES = {
    coltsfootchute_pb2.TARGET_STATE_SERVING: balancing.TargetState.SERVING,
    coltsfootchute_pb2.TARGET_STATE_DRAINING: balancing.TargetState.DRAINING,
    coltsfootchute_pb2.TARGET_STATE_SUSPECT: balancing.TargetState.SUSPECT,
}
# Part of the burst that entries divide; the rest covers entries that come and go
# before the others know.
BURST_IN_USE = 0.8
Admitted = balancing.AttemptToken | verdicts.Refusal


class Service:
    """One service as the call path needs it; rebuilt only on changes.

    Parameters
    ----------
    name
        The service.
    table
        Compiled rules of the section in force.
    pool
        Selection among its targets.
    """

    def __init__(self, name: str, table: sections.RuleTable, pool: balancing.Pool):
        self.name = name
        self.rule_table = table
        self.pool = pool
        self.endpoints: dict[str, forwards.Endpoint] = {}
        # Path of a declared service that answers with the load of a target.
        self.health_path = ""
        # True once a crash was seen or learned: only then are digests computed.
        self.has_crashes = False
        self._deadlines_ms: dict[str, int] = {}
        self._waiting: dict[balancing.Ticket, asyncio.Future[Admitted]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def section(self) -> sections.Section:
        """The section in force."""
        return self.rule_table.section

    def longest_deadline(self, rule: str, asked_ms: int) -> int:
        """Return the longest deadline that callers of a rule have stated, in ms."""
        longest = max(asked_ms, self._deadlines_ms.get(rule, 0))
        self._deadlines_ms[rule] = longest
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
        """Wait for a target.

        Returns
        -------
        balancing.Token
            An attempt that counts as started.

        Raises
        ------
        RefusedError
            If the queue refuses the request.
        """
        admitted = self.pool.admit(priority, deadline_s, now, is_first)
        if isinstance(admitted, balancing.TargetView):
            return self.pool.start_attempt(admitted, now)
        if isinstance(admitted, balancing.Ticket):
            return await self._wait(admitted)
        raise RefusedError(admitted)

    async def readmit(self, priority: int, deadline_s: float) -> balancing.AttemptToken:
        """Wait for a target again, for a request that was admitted before.

        Raises
        ------
        RefusedError
            If the queue refuses the request.
        """
        now = time.monotonic()
        view = None if self._waiting else self.pool.select(now)
        if view is not None:
            return self.pool.start_attempt(view, now)
        return await self.admit(priority, deadline_s, now, is_first=False)

    async def _wait(self, ticket: balancing.Ticket) -> balancing.AttemptToken:
        fut = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = fut
        self._refuse_expired()
        try:
            admitted = await fut
        except asyncio.CancelledError:
            self._leave(ticket, fut)
            raise
        if isinstance(admitted, verdicts.Refusal):
            raise RefusedError(admitted)
        return admitted

    def _leave(self, ticket: balancing.Ticket, fut: asyncio.Future[Admitted]) -> None:
        self._waiting.pop(ticket, None)
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
        """Count the end of an attempt and release queued requests."""
        now = time.monotonic()
        self.pool.finish_attempt(token, outcome, now, load)
        if self._waiting:
            self.wake()

    def wake(self) -> None:
        """Start queued requests for which a target has room."""
        now = time.monotonic()
        for grant in self.pool.start_queued(now):
            fut = self._waiting.pop(grant.ticket, None)
            if fut is None or fut.done():
                self.pool.finish_attempt(grant.token, balancing.Outcome.CANCELLED, now)
            else:
                fut.set_result(grant.token)
        self._refuse_expired()

    def _refuse_expired(self) -> None:
        for ticket, refusal in self.pool.admission.pop_expired(time.monotonic()):
            fut = self._waiting.pop(ticket, None)
            if fut is not None and not fut.done():
                fut.set_result(refusal)
        self._set_timer()

    def _set_timer(self) -> None:
        """Wake up when a request expires, or a target takes work again."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_s = self.pool.next_wake(time.monotonic())
        if due_s is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due_s, self.wake)


class RefusedError(Exception):
    """The entry refuses a request.

    Parameters
    ----------
    refusal
        Verdict, reason and detail.
    """

    def __init__(self, refusal: verdicts.Refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


class Services:
    """All services, kept in step with the view of the replicated state.

    Parameters
    ----------
    view
        The view; its changes rebuild the services concerned.
    failure_domain
        Of this entry.
    retries
        Bound on second attempts of declared services, over all entries.
    samples
        Bound on probes before requests of declared services, over all entries.
    """

    def __init__(
        self,
        view: watches.View,
        failure_domain: str,
        retries: settings.RetrySettings | None = None,
        samples: settings.SampleSettings | None = None,
    ):
        self._samples = samples or settings.SampleSettings()
        self._view = view
        self._retries = retries or settings.RetrySettings()
        self._failure_domain = ids.FailureDomain(failure_domain)
        self._rng = random.Random()
        self._entries = 1
        self.by_name: dict[str, Service] = {}

    def refresh(self, names: set[str]) -> None:
        """Rebuild the named services after a feed message."""
        for name in names:
            table = self._view.rule_tables.get(name)
            if table is None:
                self.by_name.pop(name, None)
            else:
                self._refresh(name, table)

    def update_slot_shares(self) -> None:
        """Divide the targets' slots among the entries that are serving."""
        stopping = coltsfootchute_pb2.INSTANCE_STATE_STOPPING
        known = self._view.instances.values()
        entries = max(1, sum(i.state != stopping for i in known))
        if entries == self._entries:
            return
        self._entries = entries
        for service in self.by_name.values():
            service.pool.update_settings(self._pool_settings(service.section))
            service.pool.update_share(self._share(service.section))

    def _share(self, section: sections.Section) -> float:
        """Return the share of the targets' slots that an entry may use.

        An entry outside of the service's own still gets calls from callers with
        an older address response, and uses the same share for them. Where targets
        are probed right before, their reports bound what they get.
        """
        if self._probes(section):
            return 1.0
        return 1 / min(self._entries, section.entries or self._entries)

    def apply_quarantine(self, quarantine: coltsfootchute_pb2.Quarantine) -> None:
        """Apply a quarantine record of the log."""
        service = self.by_name.get(quarantine.service)
        if service is None:
            return
        service.has_crashes = True
        if quarantine.removed:
            service.pool.crashes.remove_record(quarantine.digest)
            return
        now = time.monotonic()
        known = {ids.TargetId(t) for t in quarantine.target_ids}
        service.pool.crashes.apply_record(
            quarantine.digest, known, quarantine.active, now
        )

    def _refresh(self, name: str, table: sections.RuleTable) -> None:
        service = self.by_name.get(name)
        if service is None:
            service = self.by_name[name] = Service(name, table, self._pool(name, table))
        elif service.rule_table is not table:
            service.rule_table = table
            service.pool.update_settings(self._pool_settings(table.section))
            service.pool.update_share(self._share(table.section))
        service.health_path = self._view.health_paths.get(name, "")
        now = time.monotonic()
        targets = [_target(t, now) for t in self._view.targets_of(name)]
        service.pool.update_targets(targets, now)
        used = {t.address for t in targets}
        for address in service.endpoints.keys() - used:
            del service.endpoints[address]
        service.wake()

    def _pool(self, name: str, table: sections.RuleTable) -> balancing.Pool:
        return balancing.Pool(
            ids.ServiceName(name),
            self._pool_settings(table.section),
            self._failure_domain,
            self._share(table.section),
            self._rng,
        )

    def _probes(self, section: sections.Section) -> bool:
        # Only declared services have no rules.
        return not section.rules and self._samples.per_target_s > 0

    def _pool_settings(self, section: sections.Section) -> balancing.PoolSettings:
        if section.rules:
            return _pool_settings(section)
        # Until the list of entries is known, an entry saves no retries up.
        known = max(len(self._view.instances), self._entries)
        burst = self._retries.burst * BURST_IN_USE / known if known > 1 else 1.0
        return dataclasses.replace(
            _pool_settings(section),
            retry_budget_percent=self._retries.percent,
            retry_burst=max(1.0, burst),
            shares_burst=True,
            policy="sampled" if self._probes(section) else section.policy,
            samples_per_s=self._samples.per_target_s / self._entries,
        )


def _pool_settings(section: sections.Section) -> balancing.PoolSettings:
    return balancing.PoolSettings(
        policy=section.policy,
        retry_budget_percent=section.retry_budget_percent,
        queue_length=section.queue.length,
        queue_wait_s=section.queue.wait_ms / 1000,
    )


def _target(target: coltsfootchute_pb2.Target, now: float) -> balancing.Target:
    age_s = max(0.0, time.time() - target.announced_ms / 1000)
    return balancing.Target(
        target_id=ids.TargetId(target.target_id),
        address=target.address,
        failure_domain=ids.FailureDomain(target.failure_domain),
        slots=target.slots,
        state=_STATES[target.state],
        incarnation=target.incarnation,
        up_since_s=now - age_s,
    )
