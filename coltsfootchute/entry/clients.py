"""Client of the Control service, which finds the leader and resends safely."""

import asyncio
import contextlib
import itertools
import typing

import grpclib.client
import grpclib.const
import grpclib.exceptions
import loguru

from coltsfootchute import cancellations, errors
from coltsfootchute.proto import coltsfootchute_grpc, coltsfootchute_pb2

__all__ = ["ControlClient", "RejectedError"]

CONNECT_TIMEOUT_S = 0.5
# Time for a reply, to which the transfer of the message at the lowest rate is added. An
# instance that does not reply must not hold up a large message for long.
CALL_TIMEOUT_S = 1.0
MIN_BYTES_PER_S = 1 << 19
# Longer than an election (1.2 to 2.4 s), for callers that can wait.
FIND_LEADER_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.1
RESEND_INTERVAL_S = 0.5
# Settlements are kept in memory until they are acknowledged. Without control no
# claims are granted, so only settlements of calls in progress accumulate.
MAX_RESENDS = 10_000
RENEW_INTERVAL_S = 1.0
_RenewalFuture = asyncio.Future[bool]
_TRANSPORT_ERRORS = (
    OSError,
    TimeoutError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
)


class RejectedError(errors.ColtsfootchuteError):
    """Control rejected a message as invalid, so it must not be sent again."""


class ControlClient:
    """Calls the leader among the control instances.

    Parameters
    ----------
    addresses
        Addresses of control instances.
    renew_s
        Seconds for which background renewals are collected into one message.

    Notes
    -----
    A call that could not be written, or to which an instance replied
    `NOT_LEADER`, did not take effect and is sent to the next instance. If a
    request was written but no reply arrived, the outcome is unknown, and only
    calls that are marked as repeatable are sent again.
    """

    def __init__(self, addresses: list[str], renew_s: float = 5.0):
        self._renew_s = renew_s
        self._addresses = list(addresses)
        self._channels: dict[str, grpclib.client.Channel] = {}
        self._leader = self._addresses[0]
        self._address_index = 0
        self._awaited_renewals: dict[str, tuple[int, list[_RenewalFuture]]] = {}
        self._renewal_task: asyncio.Task[None] | None = None
        # Whether control replied to the last message with renewals.
        self.are_renewals_acknowledged = True
        self._background_renewals: dict[str, int] = {}
        self._background_timer: asyncio.TimerHandle | None = None
        self._resend_tasks: set[asyncio.Task[None]] = set()

    def change_addresses(self, addresses: list[str]) -> None:
        """Replace the addresses; keep the known leader if it is among them."""
        self._addresses = list(addresses)
        if self._leader not in self._addresses:
            self._leader = self._addresses[0]
        for address in self._channels.keys() - set(self._addresses):
            self._channels.pop(address).close()

    async def close(self) -> None:
        """Close all channels; unacknowledged settlements are dropped."""
        if self._background_timer is not None:
            self._background_timer.cancel()
        tasks = [
            *self._resend_tasks,
            *([self._renewal_task] if self._renewal_task else []),
        ]
        await cancellations.cancel_and_wait(tasks)
        for channel in self._channels.values():
            channel.close()

    async def drain(self, limit_s: float) -> None:
        """Wait at most `limit_s` seconds until all commands are acknowledged."""
        if self._resend_tasks:
            await asyncio.wait(self._resend_tasks, timeout=limit_s)

    async def call(
        self,
        method: str,
        request: typing.Any,
        limit_s: float = FIND_LEADER_TIMEOUT_S,
        repeatable: bool = False,
    ) -> typing.Any:
        """Call a method of the leader.

        Parameters
        ----------
        method
            Name of the method.
        request
            Its message.
        limit_s
            Timeout of the whole call in seconds.
        repeatable
            Whether the call may be sent again after an unknown outcome.

        Returns
        -------
        message
            The reply, with header status OK.

        Raises
        ------
        coltsfootchute.errors.UnavailableError
            The call did not take effect.
        coltsfootchute.errors.OutcomeUnknownError
            The call may have taken effect.
        RejectedError
            Control rejected the message as invalid.
        """
        is_outcome_unknown = False
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_s
        for tries in itertools.count(1):
            try:
                reply = await self._call_one(self._leader, method, request, deadline)
            except errors.OutcomeUnknownError:
                if not repeatable:
                    raise
                is_outcome_unknown = True
                reply = None
            if reply is not None:
                return reply
            if loop.time() + RETRY_INTERVAL_S >= deadline:
                break
            # Try a hinted leader and every address once, then wait for an election.
            if tries % (len(self._addresses) + 1) == 0:
                await asyncio.sleep(RETRY_INTERVAL_S)
        if is_outcome_unknown:
            raise errors.OutcomeUnknownError(
                f"no reply to {method} within {limit_s:g} s"
            )
        raise errors.UnavailableError(
            f"no leader accepted {method} within {limit_s:g} s"
        )

    async def _call_one(
        self, address: str, method: str, request: typing.Any, deadline: float
    ) -> typing.Any | None:
        try:
            async with asyncio.timeout_at(deadline):
                stub = await self._connect(address)
        except (OSError, TimeoutError):
            self._skip_address(address)
            return None
        reply = await self._send(address, getattr(stub, method), request, deadline)
        return self._check_status(address, reply)

    async def _send(
        self, address: str, method: typing.Any, request: typing.Any, deadline: float
    ) -> typing.Any:
        now = asyncio.get_running_loop().time()
        timeout_s = CALL_TIMEOUT_S + request.ByteSize() / MIN_BYTES_PER_S
        timeout_s = min(timeout_s, max(deadline - now, 0.001))
        try:
            return await method(request, timeout=timeout_s)
        except grpclib.exceptions.GRPCError as exc:
            if exc.status is grpclib.const.Status.INVALID_ARGUMENT:
                raise RejectedError(exc.message or "invalid message") from exc
            self._skip_address(address)
            raise errors.OutcomeUnknownError(repr(exc)) from exc
        except _TRANSPORT_ERRORS as exc:
            self._skip_address(address)
            raise errors.OutcomeUnknownError(repr(exc)) from exc

    def _check_status(self, address: str, reply: typing.Any) -> typing.Any | None:
        status = reply.header.status
        if status == coltsfootchute_pb2.REPLY_STATUS_OK:
            return reply
        if status == coltsfootchute_pb2.REPLY_STATUS_NOT_LEADER:
            self._follow_hint(address, reply.header.leader_address)
            return None
        raise errors.OutcomeUnknownError(
            f"outcome unknown: control replied with status {status}"
        )

    def _follow_hint(self, address: str, hint: str) -> None:
        if hint in {"", address}:
            self._skip_address(address)
        elif address == self._leader:
            self._leader = hint

    def _skip_address(self, address: str) -> None:
        # Another call may have changed the leader since this call used the address.
        if address != self._leader:
            return
        self._address_index += 1
        self._leader = self._addresses[self._address_index % len(self._addresses)]

    async def _connect(self, address: str) -> coltsfootchute_grpc.ControlStub:
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = grpclib.client.Channel(host.strip("[]"), int(port))
            self._channels[address] = channel
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await channel.__connect__()
        return coltsfootchute_grpc.ControlStub(channel)

    async def status(self, limit_s: float) -> coltsfootchute_pb2.StatusReply:
        """Return the status of the leader, or of an instance that replies.

        Every control instance replies, but only the leader knows the leases.
        """
        request = coltsfootchute_pb2.StatusRequest()
        reply = await self.call("Status", request, limit_s, repeatable=True)
        hint = reply.header.leader_address
        if reply.role == "leader" or not hint:
            return reply
        self._follow_hint(self._leader, hint)
        return await self.call("Status", request, limit_s, repeatable=True)

    async def claim(
        self, command: coltsfootchute_pb2.ClaimCommand, limit_s: float
    ) -> coltsfootchute_pb2.ClaimOutcome:
        """Commit a claim.

        Raises
        ------
        coltsfootchute.errors.UnavailableError
            The claim was not committed.
        coltsfootchute.errors.OutcomeUnknownError
            The claim may have been committed, and the caller must release it.
        """
        reply = await self.call("Claim", command, limit_s)
        return reply.outcome

    async def report(
        self, request: coltsfootchute_pb2.ReportRequest, source: str, limit_s: float
    ) -> None:
        """Report to the instance whose feed is watched, or else to any other.

        Every control instance accepts reports. The watched instance has just sent a
        feed message, while the leader may be frozen.

        Raises
        ------
        coltsfootchute.errors.ColtsfootchuteError
            If no instance accepted the report.
        """
        if source in self._addresses:
            deadline = asyncio.get_running_loop().time() + limit_s / 2
            try:
                if (
                    await self._call_one(source, "Report", request, deadline)
                    is not None
                ):
                    return
            except errors.OutcomeUnknownError as exc:
                loguru.logger.debug(
                    "entry: no reply to a report from {}: {}", source, exc
                )
        await self.call("Report", request, limit_s / 2, repeatable=True)

    def start_call(
        self, method: str, request: typing.Any, limit_s: float
    ) -> asyncio.Task[typing.Any]:
        """Start an idempotent call that goes on if the code that awaits it gives up."""
        task = self._spawn(self.call(method, request, limit_s, repeatable=True))
        task.add_done_callback(_log_failure)
        return task

    def settle(self, command: coltsfootchute_pb2.SettleCommand) -> None:
        """Send a settlement or a release until it is acknowledged."""
        self.resend("Settle", command)

    def report_crash(self, command: coltsfootchute_pb2.CrashCommand) -> None:
        """Send a crash report until it is acknowledged."""
        self.resend("ReportCrash", command)

    def resend(self, method: str, command: typing.Any) -> None:
        """Send an idempotent command in the background until it is acknowledged."""
        if len(self._resend_tasks) >= MAX_RESENDS:
            loguru.logger.error(
                "entry: dropped a {} command: {} others are not acknowledged yet",
                method,
                len(self._resend_tasks),
            )
            return
        self._spawn(self._resend(method, command))

    def _spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> asyncio.Task[typing.Any]:
        task = asyncio.ensure_future(work)
        self._resend_tasks.add(task)
        task.add_done_callback(self._resend_tasks.discard)
        return task

    async def _resend(self, method: str, command: typing.Any) -> None:
        while True:
            try:
                await self.call(method, command, repeatable=True)
            except (errors.UnavailableError, errors.OutcomeUnknownError):
                await asyncio.sleep(RESEND_INTERVAL_S)
            except RejectedError as exc:
                loguru.logger.error(
                    "entry: control rejected a {} command: {}", method, exc
                )
                return
            else:
                return

    async def renew(self, target_id: str, incarnation: int) -> bool:
        """Renew a target's lease with the next batch.

        Returns
        -------
        bool
            False if the target is unknown or has another incarnation.

        Raises
        ------
        coltsfootchute.errors.ColtsfootchuteError
            If control did not reply.
        """
        fut = asyncio.get_running_loop().create_future()
        known_incarnation, futs = self._awaited_renewals.get(
            target_id, (incarnation, [])
        )
        if incarnation < known_incarnation:
            return False
        if incarnation > known_incarnation:
            for older in futs:
                _resolve(older, False)
            futs = []
        self._awaited_renewals[target_id] = (incarnation, [*futs, fut])
        if self._renewal_task is None:
            self._renewal_task = asyncio.ensure_future(self._renew_batch())
        return await fut

    def renew_in_background(self, target_id: str, incarnation: int) -> None:
        """Renew the lease of a registered target without waiting for the result.

        A message costs the leader about the same for one renewal as for many, so
        these renewals are collected for longer than those whose result is awaited.
        """
        self._background_renewals[target_id] = incarnation
        if self._background_timer is None:
            loop = asyncio.get_running_loop()
            self._background_timer = loop.call_later(
                self._renew_s, self._send_background
            )

    def _send_background(self) -> None:
        self._background_timer = None
        batch, self._background_renewals = self._background_renewals, {}
        self._spawn(self._renew_without_reply(batch))

    async def _renew_without_reply(self, batch: dict[str, int]) -> None:
        with contextlib.suppress(errors.ColtsfootchuteError):
            await self._send_renewals(batch.items())

    async def _send_renewals(
        self, pairs: typing.Iterable[tuple[str, int]]
    ) -> coltsfootchute_pb2.RenewReply:
        renewals = [
            coltsfootchute_pb2.Renewal(target_id=target_id, incarnation=incarnation)
            for target_id, incarnation in pairs
        ]
        request = coltsfootchute_pb2.RenewRequest(renewals=renewals)
        self.are_renewals_acknowledged = False
        reply = await self.call("Renew", request, repeatable=True)
        self.are_renewals_acknowledged = True
        return reply

    async def _renew_batch(self) -> None:
        await asyncio.sleep(RENEW_INTERVAL_S)
        self._renewal_task = None
        batch, self._awaited_renewals = self._awaited_renewals, {}
        waiting = [(t, fut) for t, (_, futs) in batch.items() for fut in futs]
        try:
            reply = await self._send_renewals(
                (target_id, number) for target_id, (number, _) in batch.items()
            )
        except errors.ColtsfootchuteError as exc:
            for _, fut in waiting:
                _resolve(fut, exc)
            return
        refused = {r.target_id for r in reply.refused}
        for target_id, fut in waiting:
            _resolve(fut, target_id not in refused)


def _resolve(fut: _RenewalFuture, result: bool | Exception) -> None:
    if fut.done():
        return
    if isinstance(result, Exception):
        fut.set_exception(result)
    else:
        fut.set_result(result)


def _log_failure(task: asyncio.Task[typing.Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        loguru.logger.debug("entry: a call failed: {!r}", task.exception())
