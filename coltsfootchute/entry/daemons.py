"""Daemon of the entry role, which starts and stops all of its components."""

import asyncio
import contextlib
import time
import typing

import grpclib.server
import loguru

from coltsfootchute import background, cancellations, errors, logs, settings
from coltsfootchute.control import feeds
from coltsfootchute.entry import (
    accounts,
    apis,
    calls,
    clients,
    crashes,
    descriptions,
    forwards,
    keys,
    listeners,
    measurements,
    metrics,
    operators,
    overdue_requests,
    placements,
    pools,
    samplers,
    schedules,
    statements,
    stops,
    watches,
)
from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["Daemon"]

# Connections that look idle are closed only after this time, because a request may
# already be on its way to the entry.
IDLE_GRACE_S = 0.2
# Time limit for requests in progress from operators and targets.
API_TIMEOUT_S = 30.0
REPORT_CHECK_INTERVAL_S = 0.5
REPORT_MAX_INTERVAL_S = 1.5
REPORT_TIMEOUT_S = 1.0
SHUTDOWN_TIMEOUT_S = 0.05


class Daemon:
    """The entry role of one instance.

    Parameters
    ----------
    cfg
        Settings of the instance, with the entry role.
    extend
        Adds routes to the `api` listener.

    Notes
    -----
    `start` and `stop` run on the event loop of the code that calls them, so that the
    control role can run in the same process.
    """

    def __init__(self, cfg: settings.Settings, extend: apis.Extension | None = None):
        self._cfg = cfg
        entry = cfg.entry
        name = cfg.instance.name
        self.metrics = metrics.Metrics()
        self.view = watches.View(self._on_feed_message)
        self.client = clients.ControlClient(entry.control, entry.renew_s)
        self.services = pools.Services(
            self.view,
            cfg.instance.failure_domain,
            entry.retries,
            entry.samples,
            entry.hangs,
            name=name,
            states_cold=entry.headers.cold is not None,
        )
        self.feed = feeds.Feed()
        self._watcher = watches.Watcher(
            self.view, name, entry.control, cfg.instance.failure_domain
        )
        self._api = apis.Api(
            view=self.view,
            client=self.client,
            teams=operators.Operators(entry.operators),
            meters=self.metrics,
            own_instance=self.own_instance,
            keep_s=entry.keep_s,
            failure_domains=cfg.failure_domains,
        )
        self._instance = coltsfootchute_pb2.Instance(
            name=name,
            failure_domain=cfg.instance.failure_domain,
            start_ms=int(time.time() * 1000),
        )
        self.accounts = accounts.Accounts(
            self.view,
            entry.quotas,
            name=name,
            start_ms=self._instance.start_ms,
            owners=entry.control,
            meters=self.metrics,
        )
        self._stop = stops.Stop(self.metrics)
        self._calls: calls.Calls | None = None
        self._forwarder: forwards.Forwarder | None = None
        self._sampler: samplers.Sampler | None = None
        self._calls_server: listeners.Server | None = None
        self._listener: asyncio.Server | None = None
        self._api_server: listeners.AppServer | None = None
        self._api_listeners: list[asyncio.Server] = []
        self._extend = extend
        self._peer_server: grpclib.server.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def calls_address(self) -> str:
        """Address of the `calls` listener, once started."""
        return self._instance.calls_address

    @property
    def api_address(self) -> str:
        """Address of the `api` listener, once started."""
        return self._instance.api_address

    @property
    def peer_address(self) -> str:
        """Address of the `peer` listener, once started."""
        return self._instance.peer_address

    def own_instance(self) -> coltsfootchute_pb2.Instance:
        """Return the description of this instance with its current state."""
        self._instance.stale = self.view.is_stale(watches.clock())
        self._instance.revision = self.view.revision
        return self._instance

    def exposition(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return self._api.exposition()

    async def start(self) -> None:
        """Open the listeners and start the background tasks.

        Raises
        ------
        OSError
            If the address of a listener is in use.
        """
        entry = self._cfg.entry
        self._forwarder = forwards.Forwarder(entry.headers.request_id)
        recorder = statements.Recorder(
            self.services, entry.headers, entry.max_rest_s, self.metrics
        )
        self._sampler = samplers.Sampler(
            self._forwarder, entry.samples, entry.headers, recorder
        )
        samples = entry.samples.per_target_s > 0
        self._calls = calls.Calls(
            view=self.view,
            services=self.services,
            forwarder=self._forwarder,
            claims=keys.Claims(self.client, self._cfg.instance.name),
            reporter=crashes.CrashReporter(self.client),
            meters=self.metrics,
            stop=self._stop,
            recorder=recorder,
            placer=placements.Placer(self._sampler) if samples else None,
            accounts=self.accounts,
            names=entry.headers,
            retry_after_s=entry.retry_after_s,
            watch=(
                overdue_requests.Watch(self._sampler, self.metrics)
                if entry.hangs.factor
                else None
            ),
        )
        self._instance.peer_address = await self._start_peer(entry.peer)
        self._instance.api_address = await self._start_api(entry.api)
        if entry.calls is not None:
            self._instance.calls_address = await self._start_calls(entry.calls)
        name = self._cfg.instance.name
        prober = measurements.Prober(
            self.services, self._forwarder, self.client, name, self.metrics
        )
        loops = [self._watcher.run, prober.run]
        if entry.calls is not None:
            loops += [self._report_periodically, self.accounts.run]
        self._tasks = [
            asyncio.ensure_future(background.keep_running(loop)) for loop in loops
        ]
        loguru.logger.info("entry: listening for calls at {}", self.calls_address)

    async def _start_peer(self, address: str) -> str:
        host, port = listeners.split_address(address)
        self._peer_server = grpclib.server.Server([feeds.FeedService(self.feed)])
        await self._peer_server.start(host, port)
        return listeners.bound_address(self._peer_server._server, address)

    async def _start_api(self, address: str) -> str:
        app = self._api.application()
        if self._extend is not None:
            self._extend(app, self._api)
        self._api_server = listeners.AppServer(app)
        for listen_address in filter(None, [address, self._cfg.entry.directory]):
            self._api_listeners.append(
                await listeners.listen(self._api_server, listen_address)
            )
        return listeners.bound_address(self._api_listeners[0], address)

    async def _start_calls(self, address: str) -> str:
        self._calls_server = listeners.Server(
            self._calls.handle, self._calls.may_run_early, self.view.max_head_bytes
        )
        self._listener = await listeners.listen(self._calls_server, address)
        return listeners.bound_address(self._listener, address)

    async def stop(self, end_s: float | None = None) -> None:
        """Stop gracefully, without cutting off requests that end in time.

        Parameters
        ----------
        end_s
            Time of the event loop by which the process has to have ended; by default
            `stop_s` of the settings, counted from now.

        Notes
        -----
        The entry reports that it is stopping, so that callers no longer get its
        address. It accepts requests until callers have replaced the addresses that
        they cached, answers the requests in progress, and closes all connections.
        """
        began_s = asyncio.get_running_loop().time()
        stop_s = self._cfg.entry.stop_s
        if end_s is not None:
            stop_s = max(0.0, end_s - began_s)
        schedule = schedules.plan(stop_s, self._cfg.entry.keep_s)
        self._stop.begin(**schedule._asdict(), **self._progress_fields())
        self._instance.state = coltsfootchute_pb2.INSTANCE_STATE_STOPPING
        async with asyncio.TaskGroup() as group:
            calls_task = group.create_task(
                self._stop_calls(began_s, schedule, stop_s is not None)
            )
            # The `api` listener stays open meanwhile, so that monitoring can read the
            # state of the stop while calls are in progress.
            await asyncio.wait(
                [calls_task], timeout=_remaining_s(began_s + schedule.api_s)
            )
            await self._stop_api(began_s, schedule)
        settle_s = min(
            schedules.SETTLE_TIMEOUT_S, _remaining_s(began_s + schedule.settle_s)
        )
        await self.client.drain(settle_s)
        self._stop.log_step("settlements sent", **self._progress_fields())
        transports = stops.transports_of(self._calls_server)
        await self.abort()
        unsent = stops.unsent_bytes(transports)
        self._stop.log_step("stopped", cut=self._stop.cut_count, unsent_bytes=unsent)

    def _progress_fields(self) -> dict[str, int]:
        """Return what a stop still waits for, as fields of a log line."""
        transports = stops.transports_of(self._calls_server)
        return {
            "in_progress": self._calls.in_progress if self._calls else 0,
            "connections": len(transports),
            "unsent_bytes": stops.unsent_bytes(transports),
        }

    async def _stop_calls(
        self, began_s: float, schedule: schedules.Schedule, is_bounded: bool
    ) -> None:
        if self._listener is None:
            return
        if is_bounded:
            # Callers that do not know of the stop yet keep using their connections.
            # From now on, each answer closes its connection.
            self._calls.closes_connections = True
        self._calls.cap_deadlines(began_s + schedule.finish_s)
        try:
            await self._send_report()
        except errors.ColtsfootchuteError as exc:
            loguru.logger.warning("entry: could not report the stop: {}", exc)
        await asyncio.sleep(_remaining_s(began_s + schedule.accept_s))
        await listeners.read_arrived()
        self._calls.refuse_new()
        self._listener.close()
        self._stop.log_step("accepts no more connections", **self._progress_fields())
        await asyncio.sleep(IDLE_GRACE_S)
        await listeners.read_arrived()
        closed = self._calls_server.close_idle()
        self._stop.log_step(
            "closes idle connections", idle=closed, **self._progress_fields()
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(began_s + schedule.deliver_s):
                await self._calls_server.wait_closed()
        message = "requests remain" if self._calls.in_progress else "requests finished"
        self._stop.log_step(message, **self._progress_fields())

    async def _stop_api(self, began_s: float, schedule: schedules.Schedule) -> None:
        if self._api_server is None:
            return
        now_s = asyncio.get_running_loop().time()
        self._api_server.set_deadline(
            min(began_s + schedule.finish_s, now_s + API_TIMEOUT_S)
        )
        await listeners.read_arrived()
        for listener in self._api_listeners:
            listener.close()
        await asyncio.sleep(IDLE_GRACE_S)
        await listeners.read_arrived()
        closed = self._api_server.close_idle()
        open_now = len(self._api_server.connections)
        self._stop.log_step("api closes idle connections", idle=closed, api=open_now)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(began_s + schedule.deliver_s):
                await self._api_server.wait_closed()
        self._stop.log_step("api requests finished")

    async def abort(self) -> None:
        """Close everything at once; requests in progress are cut off."""
        await cancellations.cancel_and_wait(self._tasks)
        self._tasks = []
        if self._listener is not None:
            self._listener.close()
        self._stop.begin_cut()
        if self._calls_server is not None:
            await self._calls_server.shutdown(SHUTDOWN_TIMEOUT_S)
            self._stop.log_step("caller connections closed", cut=self._stop.cut_count)
        for listener in self._api_listeners:
            listener.close()
        if self._api_server is not None:
            await self._api_server.shutdown(SHUTDOWN_TIMEOUT_S)
            self._stop.log_step("api listener closed")
        self.feed.close()
        if self._sampler is not None:
            await self._sampler.close()
            self._stop.log_step("probes cancelled")
        if self._peer_server is not None:
            self._peer_server.close()
            await self._peer_server.wait_closed()
            self._stop.log_step("peer listener closed")
        if self._forwarder is not None:
            await self._forwarder.close()
            self._stop.log_step("connections to targets closed")
        await self.client.close()

    def _on_feed_message(
        self, message: coltsfootchute_pb2.FeedMessage, changed_services: set[str]
    ) -> None:
        if message.control_addresses:
            addresses = list(message.control_addresses)
            self.feed.set_control_addresses(addresses)
            if self._cfg.entry.follow_members:
                self.change_control(addresses)
        self.services.refresh(changed_services)
        self.accounts.refresh()
        if message.has_instances:
            self.services.update_slot_shares()
            self.feed.set_instances(list(message.instances))
        if not message.full:
            self._log_changes(message)
        for change in message.changes:
            if change.WhichOneof("body") == "quarantine":
                self.services.apply_quarantine(change.quarantine)
        self._publish(message)

    def _log_changes(self, message: coltsfootchute_pb2.FeedMessage) -> None:
        for change in message.changes:
            kind = change.WhichOneof("body")
            fields = {"revision": change.revision}
            if kind == "target":
                target, state = change.target, descriptions.state_name(change.target)
                fields |= {"target": target.target_id, "address": target.address}
                fields |= {"services": list(target.services), "state": state}
            elif kind == "removed_target_id":
                fields["target"] = change.removed_target_id
            elif kind == "declaration":
                fields["version"] = change.declaration.version
            elif kind == "evacuation":
                fields["failure_domain"] = change.evacuation.failure_domain
                fields["ended"] = change.evacuation.ended
            logs.log_event("feed", f"received {kind}", **fields)

    def reload(self, cfg: settings.Settings) -> None:
        """Apply changed settings; only the addresses of control can change.

        Once the feed has named the control instances, those of the settings are used
        only if none of the others responds.
        """
        if cfg.entry is not None:
            self._watcher.change_seeds(cfg.entry.control)
            if not (cfg.entry.follow_members and self.view.control_addresses):
                self.change_control(cfg.entry.control)

    def change_control(self, addresses: list[str]) -> None:
        """Replace the addresses of the control instances."""
        self.client.change_addresses(addresses)
        self.accounts.change_owners(addresses)
        self._watcher.change_control(addresses)

    def _publish(self, message: coltsfootchute_pb2.FeedMessage) -> None:
        self.feed.cluster_id = self.view.cluster_id
        if message.full:
            self.feed.replace(list(message.changes), message.revision)
        else:
            known = self.feed.revision
            newer = [c for c in message.changes if c.revision > known]
            self.feed.publish(newer, message.revision)
        if self.view.proof_at > 0:
            self.feed.set_proof(self.view.proof_at)

    async def _report_periodically(self) -> None:
        reported: tuple[typing.Any, ...] | None = None
        reported_at = 0.0
        while True:
            instance = self.own_instance()
            content = (instance.revision, instance.stale, instance.state)
            due = time.monotonic() - reported_at >= REPORT_MAX_INTERVAL_S
            if content != reported or due:
                try:
                    await self._send_report()
                except errors.ColtsfootchuteError as exc:
                    loguru.logger.debug("entry: could not report the state: {}", exc)
                else:
                    reported, reported_at = content, time.monotonic()
            await asyncio.sleep(REPORT_CHECK_INTERVAL_S)

    async def _send_report(self) -> None:
        request = coltsfootchute_pb2.ReportRequest(instance=self.own_instance())
        await self.client.report(request, self._watcher.source, REPORT_TIMEOUT_S)


def _remaining_s(until_s: float) -> float:
    return max(0.0, until_s - asyncio.get_running_loop().time())
