"""The daemon of the control role: start, background tasks and planned stop."""

import asyncio
import math
import random
import socket
import typing

import grpclib.server
import uvloop
from loguru import logger

from coltsfootchute import (
    agreement,
    background,
    cancellations,
    errors,
    expositions,
    logs,
    settings,
    signals,
)
from coltsfootchute.control import (
    accounts,
    cores,
    feeds,
    joins,
    links,
    maintenance,
    services,
)
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Daemon", "run"]

MAINTENANCE_INTERVAL_S = 1.0
# Replacing a member that lost its disk takes three membership changes, and the next
# disk may be lost seconds later.
MEMBERSHIP_INTERVAL_S = 0.2
# Pause after a proposed change, in which it is usually committed. The change that
# follows is urgent: between the promotion of a new voter and the removal of the one
# that it replaces, the cluster bears one loss less.
MEMBERSHIP_STEP_S = 0.03
TRANSFER_TIMEOUT_S = 3.0
TRANSFER_POLL_S = 0.02
LEAVE_TIMEOUT_S = 2.0
FLUSH_TIMEOUT_S = 1.0
# Time for watchers to receive the end of the feed before their streams are cut.
FEED_CLOSE_WAIT_S = 0.2
# Upper bounds of the steps of a stop, as fractions of the time left for it.
TRANSFER_FRACTION = 0.4
LEAVE_FRACTION = 0.2
FEED_CLOSE_FRACTION = 0.1
FLUSH_FRACTION = 0.2


class Daemon:
    """A control instance in the running event loop.

    Parameters
    ----------
    cfg
        Settings with a `control` part.
    sock
        A bound socket for the peer listener; by default one is bound to the
        address in the settings.
    timing
        Timeouts and sizes of the replicated log; by default they follow from the
        election timeout in the settings.
    rng
        Source of randomness for election timeouts and jitter.

    Attributes
    ----------
    failed
        Future that raises the exception if the instance fails and must end.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        sock: socket.socket | None = None,
        timing: agreement.Timing | None = None,
        rng: random.Random | None = None,
    ):
        self.cfg = cfg
        self._sock = sock
        self._timing = timing or agreement.Timing.from_election_timeout(
            cfg.control.election_s
        )
        self._rng = rng or random.Random()
        self._tasks: list[asyncio.Task] = []
        self._proposal_tasks: set[asyncio.Task] = set()
        self._metrics = None
        self._stopped = False
        self._stop_start_s = 0.0

    async def start(self) -> None:
        """Open the data folder, listen, and start the background tasks.

        Raises
        ------
        coltsfootchute.errors.StoreError
            If the data folder is damaged or in use.
        OSError
            If the address can't be bound.
        """
        cfg = self.cfg
        self.failed: asyncio.Future = asyncio.get_running_loop().create_future()
        if self._sock is None:
            self._sock = _bind(cfg.control.peer)
        store = self._open_store()
        identity = agreement.Identity(
            member_id=store.member_id,
            name=cfg.instance.name,
            address=_bound_address(self._sock),
            failure_domain=cfg.instance.failure_domain,
        )
        self.core = cores.Core(
            identity,
            store,
            self._rng,
            self._timing,
            on_failure=self._report_failure,
            reopen=self._reopen_store,
            tolerated_losses=cfg.control.wanted_losses(),
        )
        self.maintenance = maintenance.Maintenance(
            self.core, feeds.clock(), cfg.control.lease_s
        )
        self.joiner = joins.Joiner(self.core, cfg.control.initial, cfg.control.may_form)
        self.accounts = accounts.Accounts(
            self.core, self.maintenance, cfg.control.quotas
        )
        self.control = services.ControlService(
            self.core, self.maintenance, self.accounts
        )
        handlers = [
            services.PeerService(self.core, self.joiner),
            self.control,
            feeds.FeedService(self.core.feed),
        ]
        config = links.CHANNEL_CONFIG
        self._server = grpclib.server.Server(handlers, config=config)
        await self._server.start(sock=self._sock)
        self.core.start()
        self._tasks = [
            asyncio.create_task(self._join()),
            asyncio.create_task(self._run_maintenance()),
            asyncio.create_task(self._advance_membership()),
            asyncio.create_task(background.keep_running(self.accounts.run)),
        ]
        if cfg.control.metrics is not None:
            await self._start_metrics(cfg.control.metrics)
        logger.info("control: listening on {}", identity.address)

    def _open_store(self) -> agreement.FileStore:
        return agreement.FileStore(self.cfg.control.data, self.cfg.instance.name)

    def _reopen_store(self) -> agreement.FileStore:
        store = self._open_store()
        if store.member_id != self.core.identity.member_id:
            # A vote under the old id could contradict an earlier one that is lost.
            store.close()
            raise errors.DamagedStoreError(
                "the data folder has another member id than before the failed write: "
                f"{store.member_id} in place of {self.core.identity.member_id}"
            )
        try:
            store.rewrite(store.saved)
        except errors.SyncError:
            store.close()
            raise
        return store

    async def _start_metrics(self, address: str) -> None:
        # Imported late: without metrics, control saves the memory of aiohttp and
        # prometheus_client.
        from coltsfootchute.control import metrics

        host, port = links.split_address(address)
        self._metrics = metrics.MetricsServer(self.control.status, self.core.feed)
        await self._metrics.start(host, port)

    def exposition(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        # Imported late, to save the memory of prometheus_client until the first use.
        from coltsfootchute.control import metrics

        return metrics.exposition(self.control.status)

    @property
    def address(self) -> str:
        """Address of the peer listener."""
        return self.core.identity.address

    def _report_failure(self, exc: BaseException) -> None:
        logger.opt(exception=exc).critical("control: fatal error: {!r}", exc)
        if not self.failed.done():
            self.failed.set_exception(exc)
            self.failed.exception()  # Marks it as retrieved if no task waits for it.

    async def _join(self) -> None:
        await self.joiner.run()
        if self.joiner.has_formed:
            # A new cluster has no earlier entries, so the list is complete at once.
            self.maintenance.publish_instances_from_s = feeds.clock()
        await self.joiner.rejoin_if_removed()

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            try:
                for command in self.maintenance.run(feeds.clock()):
                    self._propose_in_background(command)
            except Exception as exc:
                self._report_failure(exc)
                return

    async def _advance_membership(self) -> None:
        is_changing = False
        while True:
            await asyncio.sleep(
                MEMBERSHIP_STEP_S if is_changing else MEMBERSHIP_INTERVAL_S
            )
            try:
                is_changing = self.maintenance.advance_membership()
            except Exception as exc:
                self._report_failure(exc)
                return

    def _propose_in_background(self, command: pb.Command) -> None:
        task = asyncio.create_task(self._propose_or_log(command))
        self._proposal_tasks.add(task)
        task.add_done_callback(self._proposal_tasks.discard)

    async def _propose_or_log(self, command: pb.Command) -> None:
        try:
            await self.core.propose(command)
        except errors.AgreementError as exc:
            # Maintenance proposes it again if it is still due.
            logger.debug("control: maintenance command not committed: {}", exc)

    def reload(self, cfg: settings.Settings) -> None:
        """Apply changed settings; only the initial members can change."""
        if cfg.control is not None:
            self.joiner.set_initial_members(cfg.control.initial)

    async def stop(self, end_s: float | None = None) -> None:
        """Transfer the leadership, leave if spare, and close the feed and the rest.

        Parameters
        ----------
        end_s
            Time of the event loop by which the process has to end; None without a
            bound.
        """
        if self._stopped:
            return
        self._stopped = True
        self._stop_start_s = feeds.clock()
        left_s = math.inf
        if end_s is not None:
            left_s = max(0.0, end_s - asyncio.get_running_loop().time())
        self._log_step("stopping", leads=self.core.replica.is_leader)
        await self._transfer(min(TRANSFER_TIMEOUT_S, TRANSFER_FRACTION * left_s))
        await self.joiner.leave(min(LEAVE_TIMEOUT_S, LEAVE_FRACTION * left_s))
        self._log_step("closing the feed", watchers=self.core.feed.watcher_count)
        self.core.feed.close()
        self.control.close()
        feed_close_s = min(FEED_CLOSE_WAIT_S, FEED_CLOSE_FRACTION * left_s)
        await asyncio.sleep(feed_close_s if self.core.feed.watcher_count else 0)
        self._log_step("feed closed", watchers=self.core.feed.watcher_count)
        await cancellations.cancel_and_wait([*self._tasks, *self._proposal_tasks])
        try:
            async with asyncio.timeout(min(FLUSH_TIMEOUT_S, FLUSH_FRACTION * left_s)):
                await self.core.links.flush()
        except TimeoutError:
            logger.debug("control: peers did not accept all messages; dropped the rest")
        self._log_step("peer messages sent or dropped")
        await self._close()

    def _log_step(self, message: str, **fields: typing.Any) -> None:
        age_s = round(feeds.clock() - self._stop_start_s, 3)
        logs.log_event("control", message, since_stop_s=age_s, **fields)

    async def _close(self) -> None:
        self.core.close()
        await self.core.links.stop()
        self._log_step("peer links closed")
        if self._metrics is not None:
            await self._metrics.stop()
        self._server.close()
        self._log_step("listener closed")
        await self._server.wait_closed()
        self.core.store.close()
        self._log_step("stopped")

    async def _transfer(self, timeout_s: float) -> None:
        """Transfer the leadership to another voter, if one is up."""
        deadline_s = feeds.clock() + timeout_s
        while self.core.replica.is_leader and feeds.clock() < deadline_s:
            try:
                self.core.transfer()
            except errors.AgreementError as exc:
                logger.info("agreement: leadership not transferred: {}", exc)
                return
            await asyncio.sleep(TRANSFER_POLL_S)


def _bind(address: str) -> socket.socket:
    host, port = links.split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server((host, port), family=family)


def _bound_address(sock: socket.socket) -> str:
    host, port = sock.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


async def _serve(cfg: settings.Settings) -> None:
    daemon = Daemon(cfg)
    await daemon.start()
    listener = expositions.Listener(cfg.metrics)
    await listener.start([daemon.exposition])
    stop = signals.handle_stop_signals(asyncio.get_running_loop())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait([stopping, daemon.failed], return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if daemon.failed.done():
        raise daemon.failed.exception()
    await daemon.stop()
    await listener.stop()


def run(cfg: settings.Settings) -> None:
    """Run the control role until SIGTERM or SIGINT.

    A SIGINT during the stop ends the process at once.

    Parameters
    ----------
    cfg
        Settings with a `control` part.

    Raises
    ------
    coltsfootchute.errors.ColtsfootchuteError
        If the role can't start, or fails later.
    """
    logs.configure(cfg)
    uvloop.run(_serve(cfg))
