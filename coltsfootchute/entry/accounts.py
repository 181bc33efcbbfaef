"""Admission of the requests of workspaces, and reports to the owner of the limits."""

import asyncio
import collections.abc
import contextlib
import itertools
import random
import typing

import google.protobuf.message
import grpclib.client
import grpclib.exceptions
import loguru

from coltsfootchute import cancellations, logs, quotas, settings, verdicts
from coltsfootchute.balancing import allotments
from coltsfootchute.entry import metrics, pools, requests, searches, watches
from coltsfootchute.proto import coltsfootchute_grpc, coltsfootchute_pb2

__all__ = ["IDLE_TIMEOUT_S", "Accounts", "report_of", "report_pacer", "throttles_of"]

# An owner sends a message at least every 0.5 s.
IDLE_TIMEOUT_S = 1.5
# An owner sends its first message at once, unless it has just started.
FIRST_TIMEOUT_S = 0.5
# Usage that is not urgent is reported four times a second at most, on average.
REPORT_INTERVAL_S = 0.25
REPORT_BURST = 3
REPORT_GAP_S = 0.02
# Interval of reports without usage, by which an owner knows that the entry runs.
IDLE_REPORT_S = 1.0
# Range of the pause after no control instance has answered.
RETRY_PAUSE_S = (0.5, 1.5)
# Range of the time after which an earlier owner in the order is tried again. Entries
# return one after another, so that the earlier one gets their shares one by one.
RETURN_AFTER_S = (3.0, 5.0)
CHECK_INTERVAL_S = 0.25
# After a freeze, messages that waited in the socket state old fractions.
FREEZE_THRESHOLD_S = 1.0
_STREAM_ERRORS = (
    OSError,
    google.protobuf.message.DecodeError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
)
_Stream = grpclib.client.Stream[typing.Any, typing.Any]


class _LostError(Exception):
    """The owner does not answer any more; the argument states why."""


def report_pacer() -> quotas.Pacer:
    """Return the pace of reports."""
    return quotas.Pacer(REPORT_INTERVAL_S, REPORT_BURST, REPORT_GAP_S)


def report_of(
    sequence_number: int, uses: list[allotments.Use], entry: str, start_ms: int
) -> coltsfootchute_pb2.UsageReport:
    """Return the message with the usage since the last report."""
    return coltsfootchute_pb2.UsageReport(
        entry=entry,
        start_ms=start_ms,
        sequence_number=sequence_number,
        uses=[coltsfootchute_pb2.Use(**use._asdict()) for use in uses],
    )


def throttles_of(
    message: coltsfootchute_pb2.Throttles,
) -> dict[str, allotments.Throttle]:
    """Return the throttles of a message by workspace."""
    return {
        row.workspace: allotments.Throttle(row.fraction, row.room_s)
        for row in message.throttles
    }


class Accounts:
    """Admits the requests of workspaces, and reports them to the owner of the limits.

    Parameters
    ----------
    view
        View of the replicated state, with the declaration and the entries.
    cfg
        Tolerance of the limits.
    name, start_ms
        Name and start of this entry.
    owners
        Addresses of the control instances; the first one that answers is the owner.
    meters
        Metrics.
    rng
        Source of randomness for phases and jitter.
    """

    def __init__(
        self,
        view: watches.View,
        cfg: settings.QuotaSettings,
        *,
        name: str,
        start_ms: int,
        owners: collections.abc.Iterable[str],
        meters: metrics.Metrics,
        rng: random.Random | None = None,
    ):
        self._view = view
        self._cfg = cfg
        self._identity = {"entry": name, "start_ms": start_ms}
        self._owners = sorted(owners)
        self._meters = meters
        self._rng = rng or random.Random()
        self._allotments = allotments.Allotments(self._rng)
        self._routes = None
        self._sequence_numbers = itertools.count(1)
        self._is_limiting, self._wake = asyncio.Event(), asyncio.Event()
        self._last_run_s = 0.0
        self._episodes = quotas.Episodes()
        # Address of the owner that answers; empty if there is none.
        self.owner = ""

    def change_owners(self, owners: collections.abc.Iterable[str]) -> None:
        """Replace the addresses of the control instances."""
        self._owners = sorted(owners)

    def refresh(self) -> None:
        """Apply the limits and the number of entries of the view."""
        now = watches.clock()
        if self._view.routes is not self._routes:
            self._routes = self._view.routes
            limits = {}
            if self._routes is not None:
                limits = quotas.limits_of(self._routes.declaration, self._cfg)
            self._allotments.set_limits(limits, now)
        if not self._allotments.is_limiting:
            self._is_limiting.clear()
            return
        self._is_limiting.set()
        stopping = coltsfootchute_pb2.INSTANCE_STATE_STOPPING
        known = self._view.instances.values()
        self._allotments.set_entries(sum(i.state != stopping for i in known), now)

    def admit(self, call: requests.Call) -> None:
        """Admit a call, and keep the decision in it.

        Raises
        ------
        coltsfootchute.entry.pools.RefusedError
            If the workspace has used its allotment; the call was not run.
        """
        if call.workspace is None:
            return
        known = self._allotments.has_usage, self._allotments.is_urgent
        now = watches.clock()
        decision = self._allotments.admit(call.workspace.name, now)
        if decision is None:
            return
        if known != (self._allotments.has_usage, self._allotments.is_urgent):
            self._wake.set()
        self._meters.allotments.labels(decision.outcome.value).inc()
        if decision.is_admitted:
            call.admission = decision
            return
        if self._episodes.record(decision.workspace, now):
            logs.log_event(
                "entry",
                "refuses requests over the allotment",
                workspace=decision.workspace,
                outcome=decision.outcome.value,
                owner=self.owner,
            )
        raise pools.RefusedError(
            verdicts.Refusal(
                verdicts.Verdict.NOT_RUN,
                verdicts.Reason.OVER_ALLOTMENT,
                f"workspace {decision.workspace!r} has used its allotment",
                round(decision.retry_after_s, 2),
            )
        )

    def settle(self, call: requests.Call) -> None:
        """Give the token of a call back that has ended and certainly did not run."""
        decision, call.admission = call.admission, None
        if decision is None or call.may_have_run:
            return
        self._meters.allotments.labels("given_back").inc()
        self._allotments.give_back(decision)
        self._wake.set()

    @property
    def _version(self) -> int:
        """Version of the declaration in force at this entry."""
        return 0 if self._routes is None else self._routes.declaration.version

    async def run(self) -> None:
        """Report to one owner after another until cancelled."""
        rank = 0
        while True:
            await self._is_limiting.wait()
            if rank >= len(self._owners):
                rank = 0
                await asyncio.sleep(self._rng.uniform(*RETRY_PAUSE_S))
                continue
            rank = await self._follow(self._owners, rank)

    async def _follow(self, owners: list[str], rank: int) -> int:
        """Report to an owner while it answers; return the rank of the next one."""
        address = owners[rank]
        try:
            async with _open(address) as stream:
                return await self._exchange(stream, owners, rank)
        except _LostError as exc:
            reason = str(exc)
        except _STREAM_ERRORS as exc:
            reason = repr(exc)
        finally:
            self._allotments.disconnect()
            self._meters.owner_connected.set(0)
        if self.owner == address:
            self.owner = ""
            logs.log_event("entry", "owner lost", owner=address, error=reason)
        return rank + 1

    async def _exchange(self, stream: _Stream, owners: list[str], rank: int) -> int:
        self._last_run_s = watches.clock()
        self._allotments.connect()
        tasks = [
            asyncio.ensure_future(work)
            for work in (
                self._receive(stream, owners[rank], rank),
                self._report(stream, rank),
                self._find_earlier(owners, rank),
            )
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            return done.pop().result()
        finally:
            await cancellations.cancel_and_wait(tasks)

    async def _receive(self, stream: _Stream, address: str, rank: int) -> int:
        timeout_s, applied_s = FIRST_TIMEOUT_S, watches.clock()
        while True:
            async with asyncio.timeout(timeout_s):
                message = await stream.recv_message()
            if message is None:
                raise _LostError("the stream ended")
            now = watches.clock()
            if self._was_frozen(now):
                return rank
            timeout_s = IDLE_TIMEOUT_S
            if message.version >= self._version:
                applied_s = now
                self._allotments.apply(throttles_of(message), now)
            elif now - applied_s > IDLE_TIMEOUT_S:
                # It does not know limits that are in force here.
                raise _LostError(f"its declaration has version {message.version}")
            if address != self.owner:
                self.owner = address
                self._meters.owner_changes.inc()
                logs.log_event("entry", "owner found", owner=address)
            self._meters.owner_connected.set(1)

    async def _report(self, stream: _Stream, rank: int) -> int:
        pacer, reported_s = report_pacer(), float("-inf")
        while True:
            now = watches.clock()
            if self._was_frozen(now):
                return rank
            self._last_run_s = now
            self._log_ended(now)
            due_s = reported_s + IDLE_REPORT_S
            if self._allotments.has_usage:
                due_s = min(due_s, pacer.due_s(now, self._allotments.is_urgent))
            if due_s <= now:
                pacer.record(now)
                reported_s = now
                number = next(self._sequence_numbers)
                uses = self._allotments.take_usage()
                await stream.send_message(report_of(number, uses, **self._identity))
                continue
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(due_s - now, CHECK_INTERVAL_S)):
                    await self._wake.wait()

    async def _find_earlier(self, owners: list[str], rank: int) -> int:
        """Wait until an earlier owner answers, or the owners or the limits change."""
        due_s = watches.clock() + self._rng.uniform(*RETURN_AFTER_S)
        while self._allotments.is_limiting:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._owners != owners:
                same = (n for n, a in enumerate(self._owners) if a == owners[rank])
                return next(same, 0)
            if watches.clock() < due_s:
                continue
            for earlier in range(rank):
                if await _answers(owners[earlier], self._version):
                    return earlier
            due_s = watches.clock() + self._rng.uniform(*RETURN_AFTER_S)
        return 0

    def _was_frozen(self, now: float) -> bool:
        frozen_s = now - self._last_run_s
        if frozen_s <= FREEZE_THRESHOLD_S:
            return False
        loguru.logger.warning("entry: the process did not run for {:.1f} s", frozen_s)
        return True

    def _log_ended(self, now: float) -> None:
        for name, count in self._episodes.take_ended(now):
            message = "no longer refuses requests over the allotment"
            logs.log_event("entry", message, workspace=name, refused=count)


@contextlib.asynccontextmanager
async def _open(address: str) -> collections.abc.AsyncIterator[_Stream]:
    """Open a stream to an owner."""
    async with searches.connect(address) as channel:
        stub = coltsfootchute_grpc.ControlStub(channel)
        async with stub.Account.open() as stream:
            await stream.send_request()
            try:
                yield stream
            finally:
                with contextlib.suppress(*_STREAM_ERRORS):
                    await stream.cancel()


async def _answers(address: str, version: int) -> bool:
    """Return whether a control instance sends throttles of a recent version."""
    try:
        async with _open(address) as stream, asyncio.timeout(FIRST_TIMEOUT_S):
            message = await stream.recv_message()
            return message is not None and message.version >= version
    except _STREAM_ERRORS:
        return False
