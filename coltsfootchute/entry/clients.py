"""The client of the Control service: finds the leader and resends safely."""

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
CALL_TIMEOUT_S = 1.0
# Covers an election (1.2 to 2.4 s) for callers that can wait.
FIND_LEADER_S = 3.0
RETRY_PAUSE_S = 0.1
RESEND_PAUSE_S = 0.5
# Settlements are kept in memory until they are acknowledged; without control
# there are no claims, so only those in progress at its loss pile up.
MAX_RESENDS = 10_000
RENEW_PERIOD_S = 1.0
_RenewalFuture = asyncio.Future[bool]
_FAILURES = (
    OSError,
    TimeoutError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
)


class RejectedError(errors.ColtsfootchuteError):
    """Control finds a message invalid; sending it again is of no use."""


class ControlClient:
    """Calls the leader among the control instances.

    Parameters
    ----------
    addresses
        Addresses of control instances.
    renew_s
        Seconds for which renewals that nobody waits for are collected.

    Notes
    -----
    A call that could not be written, or that an instance answered with
    `NOT_LEADER`, did not take effect and goes to the next instance. Once a
    request was written and its reply is missing, the outcome is unknown, and
    only a call that is marked as safe to repeat is sent again.
    """

    def __init__(self, addresses: list[str], renew_s: float = 5.0):
        self._renew_s = renew_s
        self._addresses = list(addresses)
        self._channels: dict[str, grpclib.client.Channel] = {}
        self._leader = self._addresses[0]
        self._turn = 0
        self._renewals: dict[str, tuple[int, list[_RenewalFuture]]] = {}
        self._renewing: asyncio.Task[None] | None = None
        # Whether the last message with renewals was answered.
        self.are_renewals_acknowledged = True
        self._background: dict[str, int] = {}
        self._background_timer: asyncio.TimerHandle | None = None
        self._resends: set[asyncio.Task[None]] = set()

    def change_addresses(self, addresses: list[str]) -> None:
        """Ask these instances from now on; the leader is kept while it is one."""
        self._addresses = list(addresses)
        if self._leader not in self._addresses:
            self._leader = self._addresses[0]
        for address in self._channels.keys() - set(self._addresses):
            self._channels.pop(address).close()

    async def close(self) -> None:
        """Close all channels; unacknowledged settlements are dropped."""
        if self._background_timer is not None:
            self._background_timer.cancel()
        tasks = [*self._resends, *([self._renewing] if self._renewing else [])]
        await cancellations.end_all(tasks)
        for channel in self._channels.values():
            channel.close()

    async def drain(self, limit_s: float) -> None:
        """Wait until settlements and releases are acknowledged, within a bound."""
        if self._resends:
            await asyncio.wait(self._resends, timeout=limit_s)

    async def call(
        self,
        method: str,
        request: typing.Any,
        limit_s: float = FIND_LEADER_S,
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
            Bound of the whole call in seconds.
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
            Control finds the message invalid.
        """
        unknown = False
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_s
        for tries in itertools.count(1):
            try:
                reply = await self._try(self._leader, method, request, deadline)
            except errors.OutcomeUnknownError:
                if not repeatable:
                    raise
                unknown = True
                reply = None
            if reply is not None:
                return reply
            if loop.time() + RETRY_PAUSE_S >= deadline:
                break
            # A hint and every address once, then wait for an election.
            if tries % (len(self._addresses) + 1) == 0:
                await asyncio.sleep(RETRY_PAUSE_S)
        if unknown:
            raise errors.OutcomeUnknownError(f"no reply to {method}")
        raise errors.UnavailableError(f"no leader took {method}")

    async def _try(
        self, address: str, method: str, request: typing.Any, deadline: float
    ) -> typing.Any | None:
        try:
            async with asyncio.timeout_at(deadline):
                stub = await self._connect(address)
        except (OSError, TimeoutError):
            self._pass_over(address)
            return None
        reply = await self._send(address, getattr(stub, method), request, deadline)
        return self._judge(address, reply)

    async def _send(
        self, address: str, method: typing.Any, request: typing.Any, deadline: float
    ) -> typing.Any:
        now = asyncio.get_running_loop().time()
        timeout_s = min(CALL_TIMEOUT_S, max(deadline - now, 0.001))
        try:
            return await method(request, timeout=timeout_s)
        except grpclib.exceptions.GRPCError as exc:
            if exc.status is grpclib.const.Status.INVALID_ARGUMENT:
                raise RejectedError(exc.message or "invalid message") from exc
            self._pass_over(address)
            raise errors.OutcomeUnknownError(repr(exc)) from exc
        except _FAILURES as exc:
            self._pass_over(address)
            raise errors.OutcomeUnknownError(repr(exc)) from exc

    def _judge(self, address: str, reply: typing.Any) -> typing.Any | None:
        status = reply.header.status
        if status == coltsfootchute_pb2.REPLY_STATUS_OK:
            return reply
        if status == coltsfootchute_pb2.REPLY_STATUS_NOT_LEADER:
            self._follow(address, reply.header.leader_address)
            return None
        raise errors.OutcomeUnknownError("the leader does not know the outcome")

    def _follow(self, address: str, hint: str) -> None:
        if hint in {"", address}:
            self._pass_over(address)
        elif address == self._leader:
            self._leader = hint

    def _pass_over(self, address: str) -> None:
        # Another call may have found the leader since this one chose its address.
        if address != self._leader:
            return
        self._turn += 1
        self._leader = self._addresses[self._turn % len(self._addresses)]

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
        """Return the leader's status, or another one if the leader is silent.

        Every control instance answers; only the leader knows the leases.
        """
        request = coltsfootchute_pb2.StatusRequest()
        reply = await self.call("Status", request, limit_s, repeatable=True)
        hint = reply.header.leader_address
        if reply.role == "leader" or not hint:
            return reply
        self._follow(self._leader, hint)
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
            It may have been committed; the caller releases it.
        """
        reply = await self.call("Claim", command, limit_s)
        return reply.outcome

    async def report(
        self, request: coltsfootchute_pb2.ReportRequest, source: str, limit_s: float
    ) -> None:
        """Report to the instance whose feed is watched, else to any other one.

        Any control instance takes a report. The watched one has just shown that it
        runs, while the leader may be frozen.

        Raises
        ------
        coltsfootchute.errors.ColtsfootchuteError
            If no instance took it.
        """
        if source in self._addresses:
            deadline = asyncio.get_running_loop().time() + limit_s / 2
            try:
                if await self._try(source, "Report", request, deadline) is not None:
                    return
            except errors.OutcomeUnknownError as exc:
                loguru.logger.debug("entry: {} took no report: {}", source, exc)
        await self.call("Report", request, limit_s / 2, repeatable=True)

    def settle(self, command: coltsfootchute_pb2.SettleCommand) -> None:
        """Send a settlement or a release until it is acknowledged."""
        self.resend("Settle", command)

    def report_crash(self, command: coltsfootchute_pb2.CrashCommand) -> None:
        """Send a crash report until it is acknowledged."""
        self.resend("ReportCrash", command)

    def resend(self, method: str, command: typing.Any) -> None:
        """Send an idempotent command in the background until it is acknowledged."""
        if len(self._resends) >= MAX_RESENDS:
            loguru.logger.error("entry: dropped a {}: too many wait", method)
            return
        self._spawn(self._resend(method, command))

    def _spawn(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._resends.add(task)
        task.add_done_callback(self._resends.discard)

    async def _resend(self, method: str, command: typing.Any) -> None:
        while True:
            try:
                await self.call(method, command, repeatable=True)
            except (errors.UnavailableError, errors.OutcomeUnknownError):
                await asyncio.sleep(RESEND_PAUSE_S)
            except RejectedError as exc:
                loguru.logger.error("entry: control rejected a {}: {}", method, exc)
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
        known, waiting = self._renewals.get(target_id, (incarnation, []))
        if incarnation < known:
            return False
        if incarnation > known:
            for older in waiting:
                _resolve(older, False)
            waiting = []
        self._renewals[target_id] = (incarnation, [*waiting, fut])
        if self._renewing is None:
            self._renewing = asyncio.ensure_future(self._renew_batch())
        return await fut

    def renew_in_background(self, target_id: str, incarnation: int) -> None:
        """Renew the lease of a target that the register holds, without a reply.

        A message to the leader costs about the same for one renewal as for
        many, so these wait longer than renewals whose result is needed.
        """
        self._background[target_id] = incarnation
        if self._background_timer is None:
            loop = asyncio.get_running_loop()
            self._background_timer = loop.call_later(
                self._renew_s, self._send_background
            )

    def _send_background(self) -> None:
        self._background_timer = None
        batch, self._background = self._background, {}
        self._spawn(self._renew_once(batch))

    async def _renew_once(self, batch: dict[str, int]) -> None:
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
        await asyncio.sleep(RENEW_PERIOD_S)
        self._renewing = None
        batch, self._renewals = self._renewals, {}
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
