"""The control role: start, running, and the graceful stop."""

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
    cancellations,
    errors,
    expositions,
    logs,
    settings,
    signals,
)
from coltsfootchute.control import (
    cores,
    feeds,
    joins,
    links,
    maintenance,
    services,
)
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Daemon", "run"]

DUTY_INTERVAL_S = 1.0
# A lost disk is replaced in three steps; the next may be lost seconds later.
MEMBERSHIP_INTERVAL_S = 0.2
TRANSFER_TIMEOUT_S = 3.0
POLL_S = 0.02
FLUSH_TIMEOUT_S = 1.0
# Watchers get this long to take the end of the feed before their streams are cut.
FEED_END_S = 0.2
# Parts of the time that is left for a stop which each of these may take.
TRANSFER_PART = 0.4
FEED_END_PART = 0.1
FLUSH_PART = 0.2


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
        Times of the replicated log.
    rng
        Source of election timeouts and jitter.

    Attributes
    ----------
    failed
        Future that gets the exception after which the instance can't go on.
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
        self._proposing: set[asyncio.Task] = set()
        self._metrics = None
        self._stopped = False
        self._stop_began_s = 0.0

    async def start(self) -> None:
        """Open the data folder and listen.

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
            address=_address(self._sock),
            failure_domain=cfg.instance.failure_domain,
        )
        self.core = cores.Core(
            identity,
            store,
            self._rng,
            self._timing,
            on_failure=self._report_failure,
            reopen=self._reopen_store,
        )
        self.maintenance = maintenance.Maintenance(
            self.core, feeds.clock(), cfg.control.lease_s
        )
        self.joiner = joins.Joiner(self.core, cfg.control.initial, cfg.control.may_form)
        self.control = services.ControlService(self.core, self.maintenance)
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
        ]
        if cfg.control.metrics is not None:
            await self._start_metrics(cfg.control.metrics)
        logger.info("control: listens on {}", identity.address)

    def _open_store(self) -> agreement.FileStore:
        return agreement.FileStore(self.cfg.control.data, self.cfg.instance.name)

    def _reopen_store(self) -> agreement.FileStore:
        store = self._open_store()
        if store.member_id != self.core.identity.member_id:
            # A vote under the old id could contradict one that was lost.
            store.close()
            raise errors.DamagedStoreError("the folder lost its identity")
        try:
            store.rewrite(store.saved)
        except errors.SyncError:
            store.close()
            raise
        return store

    async def _start_metrics(self, address: str) -> None:
        # aiohttp and prometheus_client cost memory that control does without.
        from coltsfootchute.control import metrics

        host, port = links.split_address(address)
        self._metrics = metrics.MetricsServer(self.control.status, self.core.feed)
        await self._metrics.start(host, port)

    def exposition(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        # prometheus_client costs memory that control does without until then.
        from coltsfootchute.control import metrics

        return metrics.exposition(self.control.status)

    @property
    def address(self) -> str:
        """Address of the peer listener."""
        return self.core.identity.address

    def _report_failure(self, exc: BaseException) -> None:
        logger.opt(exception=exc).critical("control: can't go on: {!r}", exc)
        if not self.failed.done():
            self.failed.set_exception(exc)
            self.failed.exception()  # Read also if nobody waits for it.

    async def _join(self) -> None:
        await self.joiner.run()
        if self.joiner.formed_here:
            # In a new cluster no instance was known before.
            self.maintenance.publish_instances_from_s = feeds.clock()
        await self.joiner.keep_membership()

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(DUTY_INTERVAL_S)
            try:
                for command in self.maintenance.run(feeds.clock()):
                    self._propose(command)
            except Exception as exc:
                self._report_failure(exc)
                return

    async def _advance_membership(self) -> None:
        while True:
            await asyncio.sleep(MEMBERSHIP_INTERVAL_S)
            try:
                self.maintenance.advance_membership()
            except Exception as exc:
                self._report_failure(exc)
                return

    def _propose(self, command: pb.Command) -> None:
        task = asyncio.create_task(self._propose_quietly(command))
        self._proposing.add(task)
        task.add_done_callback(self._proposing.discard)

    async def _propose_quietly(self, command: pb.Command) -> None:
        try:
            await self.core.propose(command)
        except errors.AgreementError as exc:
            # What is still due is proposed again.
            logger.debug("control: own command not committed: {}", exc)

    def reload(self, cfg: settings.Settings) -> None:
        """Apply changed settings; only the instances to join can change."""
        if cfg.control is not None:
            self.joiner.change_initial(cfg.control.initial)

    async def stop(self, end_s: float | None = None) -> None:
        """Transfer the leadership, end the feeds, then close everything.

        Parameters
        ----------
        end_s
            Time of the loop at which the process has to have ended; None without a
            bound.
        """
        if self._stopped:
            return
        self._stopped = True
        self._stop_began_s = feeds.clock()
        left_s = math.inf
        if end_s is not None:
            left_s = max(0.0, end_s - asyncio.get_running_loop().time())
        self._step("stopping", leads=self.core.replica.is_leader)
        await self._transfer(min(TRANSFER_TIMEOUT_S, TRANSFER_PART * left_s))
        self._step("ends the feeds", watchers=self.core.feed.watchers)
        self.core.feed.close()
        feed_end_s = min(FEED_END_S, FEED_END_PART * left_s)
        await asyncio.sleep(feed_end_s if self.core.feed.watchers else 0)
        self._step("feeds ended", watchers=self.core.feed.watchers)
        await cancellations.end_all([*self._tasks, *self._proposing])
        try:
            async with asyncio.timeout(min(FLUSH_TIMEOUT_S, FLUSH_PART * left_s)):
                await self.core.links.flush()
        except TimeoutError:
            logger.debug("control: messages to a peer that is down were dropped")
        self._step("messages to peers sent")
        await self._close()

    def _step(self, message: str, **fields: typing.Any) -> None:
        age_s = round(feeds.clock() - self._stop_began_s, 3)
        logs.log_event("control", message, since_stop_s=age_s, **fields)

    async def _close(self) -> None:
        self.core.close()
        await self.core.links.stop()
        self._step("links closed")
        if self._metrics is not None:
            await self._metrics.stop()
        self._server.close()
        self._step("takes no more calls")
        await self._server.wait_closed()
        self.core.store.close()
        self._step("stopped")

    async def _transfer(self, limit_s: float) -> None:
        """Hand the leadership to another voter, if there is one."""
        deadline_s = feeds.clock() + limit_s
        while self.core.replica.is_leader and feeds.clock() < deadline_s:
            try:
                self.core.transfer()
            except errors.AgreementError as exc:
                logger.info("agreement: no transfer of the leadership: {}", exc)
                return
            await asyncio.sleep(POLL_S)


def _bind(address: str) -> socket.socket:
    host, port = links.split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server((host, port), family=family)


def _address(sock: socket.socket) -> str:
    host, port = sock.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


async def _serve(cfg: settings.Settings) -> None:
    daemon = Daemon(cfg)
    await daemon.start()
    listener = expositions.Listener(cfg.metrics)
    await listener.start([daemon.exposition])
    stop = signals.stop_requested(asyncio.get_running_loop())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait([stopping, daemon.failed], return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if daemon.failed.done():
        raise daemon.failed.exception()
    await daemon.stop()
    await listener.stop()


def run(cfg: settings.Settings) -> None:
    """Run the control role until SIGTERM or SIGINT; SIGINT after that ends at once.

    Parameters
    ----------
    cfg
        Settings with a `control` part.

    Raises
    ------
    coltsfootchute.errors.ColtsfootchuteError
        If the role can't start, or must not go on.
    """
    logs.configure(cfg)
    uvloop.run(_serve(cfg))
