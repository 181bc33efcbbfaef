"""The stream by which entries report the usage of workspaces and get throttles."""

import asyncio
import contextlib

import google.protobuf.message
import grpclib
import grpclib.exceptions
from loguru import logger

from coltsfootchute import cancellations, declarations, errors, logs, quotas, settings
from coltsfootchute.control import allotments, cores, feeds, maintenance
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Accounts", "throttle_pacer"]

# Half the time for which entries apply the last message.
SEND_INTERVAL_S = 0.5
TICK_S = 0.1
# No entry has begun to report for this time once those that restarted together have
# connected.
SETTLE_S = 0.2
INSTANCES_INTERVAL_S = 1.0
# Minimum interval between two checks for news, which cost time for each workspace.
CHECK_GAP_S = 0.02
_STREAM_ERRORS = (
    OSError,
    google.protobuf.message.DecodeError,
    grpclib.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
)


def throttle_pacer() -> quotas.Pacer:
    """Return the pace of messages: four a second on average, early after a pause."""
    return quotas.Pacer(0.25, burst=2, gap_s=0.02)


class _Connection:
    """Stream of one entry, and the task that receives its reports."""

    def __init__(self):
        self.receiver: asyncio.Future | None = None
        self.entry, self.start_ms = "", 0
        self.changed = asyncio.Event()


class Accounts:
    """Serves the decisions of an `allotments.Owner` to the entries that report to it.

    Parameters
    ----------
    core
        The replicated state, with the declaration in force.
    instances
        Maintenance, which knows the entries that run.
    cfg
        Tolerance of the limits.
    """

    def __init__(
        self,
        core: cores.Core,
        instances: maintenance.Maintenance,
        cfg: settings.QuotaSettings,
    ):
        self._core = core
        self._maintenance = instances
        self._cfg = cfg
        self.owner = allotments.Owner()
        self._connections: dict[_Connection, None] = {}
        self._has_connections = asyncio.Event()
        self._pacer = throttle_pacer()
        self._message = pb.Throttles()
        self._checked_s = self._listed_s = float("-inf")
        self._episodes = quotas.Episodes()
        self._is_closed = False

    async def run(self) -> None:
        """Keep the limits and the list of entries current, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(INSTANCES_INTERVAL_S):
                    await self._has_connections.wait()
            self._tick(feeds.clock())
            await asyncio.sleep(TICK_S)

    async def serve(self, stream) -> None:
        """Receive the reports of one entry until it ends the stream."""
        if self._is_closed:
            return
        connection = _Connection()
        self._connections[connection] = None
        self._has_connections.set()
        self._tick(feeds.clock())
        sender = asyncio.ensure_future(self._send(stream, connection))
        sender.add_done_callback(_log_failure)
        connection.receiver = asyncio.ensure_future(
            self._receive_all(stream, connection)
        )
        try:
            await asyncio.wait([connection.receiver])
        finally:
            self._leave(connection)
            await cancellations.cancel_and_wait([sender, connection.receiver])

    def close(self) -> None:
        """End all streams, so that entries turn to another owner at once."""
        self._is_closed = True
        for connection in self._connections:
            if connection.receiver is not None:
                connection.receiver.cancel()

    async def _receive_all(self, stream, connection: _Connection) -> None:
        with contextlib.suppress(*_STREAM_ERRORS):
            async for report in stream:
                self._receive(report, connection)

    def _leave(self, connection: _Connection) -> None:
        del self._connections[connection]
        if not self._connections:
            self._has_connections.clear()
        key = connection.entry, connection.start_ms
        # The entry may have opened another stream before this one ended.
        if all((c.entry, c.start_ms) != key for c in self._connections):
            self.owner.leave(*key, feeds.clock())

    def _receive(self, report: pb.UsageReport, connection: _Connection) -> None:
        now = feeds.clock()
        connection.entry, connection.start_ms = report.entry, report.start_ms
        is_counted = self.owner.report(report, now)
        name = "usage_reports" if is_counted else "usage_reports_ignored"
        self._core.counters[name] += 1
        if report.uses and now - self._checked_s >= CHECK_GAP_S:
            self._publish_news(now)

    def _tick(self, now: float) -> None:
        if self._connections:
            self._update_limits(now)
        if now - self._listed_s >= INSTANCES_INTERVAL_S:
            self._listed_s = now
            known = self._maintenance.instances.all()
            stopping = pb.INSTANCE_STATE_STOPPING
            self.owner.see_entries([i.name for i in known if i.state != stopping], now)
            self.owner.forget_entries([i.name for i in known if i.state == stopping])
        self.owner.expire(now)
        self._publish_news(now)
        for name, count in self._episodes.take_ended(now):
            logs.log_event("control", "limits no longer", workspace=name, times=count)

    def _update_limits(self, now: float) -> None:
        declared = self._core.machine.declaration.newest
        if declared.version == self.owner.version:
            return
        limits = {}
        try:
            parsed = declarations.parse(declared.document)
            limits = quotas.limits_of(parsed, self._cfg)
        except errors.DocumentError as exc:
            # It was checked when it was accepted, so the cause is a newer schema.
            logger.error("control: the declaration is invalid: {}", exc)
        self.owner.set_limits(declared.version, limits, now)

    def _publish_news(self, now: float) -> None:
        self._checked_s = now
        if self._pacer.due_s(now) > now or not self.owner.has_news(now):
            return
        self._pacer.record(now)
        self._message = self.owner.throttles(now)
        self._core.counters["throttles_published"] += 1
        for row in self._message.throttles:
            if self._episodes.record(row.workspace, now):
                logs.log_event(
                    "control",
                    "limits",
                    workspace=row.workspace,
                    fraction=round(row.fraction, 3),
                    room_s=round(row.room_s, 2),
                    share=round(self.owner.share, 3),
                )
        for connection in self._connections:
            connection.changed.set()

    def _knows_entries(self, now: float) -> bool:
        """Tell whether nearly all entries that can report here have done so.

        Before that, a control instance that has just started would grant a few entries
        the whole limit. After a restart of all processes, entries connect within some
        tenths of a second, and refuse the requests of limited workspaces until then.
        """
        is_settled = now - self.owner.joined_s >= SETTLE_S
        return is_settled or now >= self._maintenance.publish_instances_from_s

    async def _send(self, stream, connection: _Connection) -> None:
        """Send the latest message after each change, and at an interval."""
        with contextlib.suppress(*_STREAM_ERRORS):
            while True:
                connection.changed.clear()
                now = feeds.clock()
                interval_s = TICK_S
                if self._knows_entries(now):
                    interval_s = SEND_INTERVAL_S
                    if self._message.version != self.owner.version:
                        self._message = self.owner.throttles(now)
                    await stream.send_message(self._message)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(interval_s):
                        await connection.changed.wait()


def _log_failure(task: asyncio.Future) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.opt(exception=task.exception()).error(
            "control: throttles can't be sent: {!r}", task.exception()
        )
