"""Probes of idle targets, within the shares of probe time that control leases."""

import asyncio
import time

import loguru
import multidict

from coltsfootchute import balancing, errors, verdicts
from coltsfootchute.entry import attempts, clients, forwards, metrics, pools, watches
from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["Prober"]

PROBE_INTERVAL_S = 0.5
# A new share is requested only after the lease of the last one has also ended at the
# leader.
LEASE_INTERVAL_S = 10.0
LEASE_TIMEOUT_S = 1.0
# Timers of the event loop fire late, so a probe times out after this part of its time
# limit; otherwise it could overspend its share.
TIMEOUT_FRACTION = 0.7
# RFC 9110, section 9.3.7: `OPTIONS *` asks for no resource and serves as a no-op.
PROBE_REQUEST_LINE = "OPTIONS * HTTP/1.1"


class Prober:
    """Probes targets that have sent no response within the last second.

    Parameters
    ----------
    services
        The services and their pools.
    forwarder
        Connections to targets.
    client
        The Control client.
    entry_name
        Name of this instance.
    meters
        Metrics, which count the time spent on probes.

    Notes
    -----
    No share is requested and no probe is sent while no section has a measuring
    budget.
    """

    def __init__(
        self,
        services: pools.Services,
        forwarder: forwards.Forwarder,
        client: clients.ControlClient,
        entry_name: str,
        meters: metrics.Metrics,
    ):
        self._services = services.by_name
        self._forwarder = forwarder
        self._client = client
        self._entry_name = entry_name
        self._meters = meters
        self._lease_requested_s = float("-inf")

    async def run(self) -> None:
        """Lease shares and probe until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            measured_services = [
                s
                for s in self._services.values()
                if s.section.measuring_budget_ms_per_s > 0
            ]
            if not measured_services:
                continue
            if watches.clock() - self._lease_requested_s >= LEASE_INTERVAL_S:
                await self._lease_shares(measured_services)
            await asyncio.gather(*self._due_probes(measured_services))

    async def _lease_shares(self, measured_services: list[pools.Service]) -> None:
        # A target of several services has a single share, used by the first pool.
        pools_by_target: dict[str, balancing.Pool] = {}
        for service in measured_services:
            for view in service.pool.all_views:
                pools_by_target.setdefault(view.target.target_id, service.pool)
        request = coltsfootchute_pb2.LeaseProbesRequest(
            entry=self._entry_name, target_ids=list(pools_by_target)
        )
        requested_s = self._lease_requested_s = watches.clock()
        try:
            reply = await self._client.call("LeaseProbes", request, LEASE_TIMEOUT_S)
        except errors.ColtsfootchuteError as exc:
            loguru.logger.debug("entry: could not lease probe time: {}", exc)
            return
        for share in reply.shares:
            pools_by_target[share.target_id].probes.set_lease(
                share.target_id,
                share.probe_time_us / 1e6,
                share.lease_ms / 1e3,
                requested_s,
            )

    def _due_probes(self, measured_services: list[pools.Service]):
        now, lease_now = time.monotonic(), watches.clock()
        for service in measured_services:
            for view in service.pool.all_views:
                permit = service.pool.begin_probe(view.target.target_id, now, lease_now)
                if permit is not None:
                    yield self._probe(service, view, permit)

    async def _probe(
        self,
        service: pools.Service,
        view: balancing.TargetView,
        permit: balancing.ProbePermit,
    ) -> None:
        limit_s = permit.limit_s
        address = view.target.address
        attempt = attempts.Attempt()
        headers = multidict.CIMultiDict({"Host": address})
        headers[verdicts.DEADLINE_HEADER] = str(int(limit_s * 1000))
        is_ok = False
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(limit_s * TIMEOUT_FRACTION):
                endpoint = service.endpoint(address)
                await self._forwarder.probe(
                    attempt, endpoint, PROBE_REQUEST_LINE, headers
                )
            is_ok = attempt.message.code < 500
        except (TimeoutError, attempts.AttemptError, attempts.TruncatedError) as exc:
            loguru.logger.debug("entry: probe of {} failed: {!r}", address, exc)
        finally:
            attempt.finish()
            now = time.monotonic()
            spent_s = now - started_s
            service.pool.end_probe(permit, spent_s, is_ok, now)
            self._meters.probe_seconds.labels(service.name).inc(spent_s)
            if spent_s > limit_s:
                # The probe took longer than allowed, so the rest of the share is not
                # used.
                service.pool.probes.forget(permit.target_id)
