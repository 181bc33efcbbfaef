"""Formation of a cluster at the first start, joining one and leaving it."""

import asyncio
import collections.abc
import contextlib
import random

import grpclib.exceptions
from loguru import logger

from coltsfootchute import errors, ids, settings
from coltsfootchute.agreement import formations, memberships
from coltsfootchute.control import cores, links
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Joiner"]

CALL_TIMEOUT_S = 1.0
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
REMOVAL_CHECK_INTERVAL_S = 1.0
LEAVE_RETRY_DELAY_S = 0.05
# A first start waits for the slowest member; one in this many attempts is logged.
ATTEMPTS_PER_LOG_LINE = 30

CALL_ERRORS = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
)


class Joiner:
    """Makes this instance a member of a cluster, and serves others that join or leave.

    Parameters
    ----------
    core
        The replicated state.
    initial
        The initial members in the settings.
    may_form
        Whether this is the first start of the whole system. On a later start, an
        instance without data only joins, even if no other instance responds: it may
        have lost its disk while the cluster is unreachable.
    """

    def __init__(
        self,
        core: cores.Core,
        initial: collections.abc.Sequence[settings.InitialMember],
        may_form: bool = True,
    ):
        self._core = core
        self._may_form = may_form
        self.set_initial_members(initial)
        self.has_formed = False
        self._is_leaving = False

    def set_initial_members(
        self, initial: collections.abc.Sequence[settings.InitialMember]
    ) -> None:
        """Use these initial members from the next attempt on."""
        self._initial = {member.name: member.address for member in initial}
        self._others = {
            name: address
            for name, address in self._initial.items()
            if name != self._core.identity.name
        }

    # Calls of other instances.

    def hello(self) -> pb.HelloReply:
        """Return the identity of this instance and the cluster that it belongs to."""
        replica = self._core.replica
        membership = replica.committed_membership
        is_leader = self._core.is_leader
        own_address = self._core.identity.address
        return pb.HelloReply(
            member=self._core.identity.member(),
            formed=membership is not None,
            membership=membership,
            leader_address=own_address if is_leader else self._core.leader_address,
        )

    def form(self, request: pb.FormRequest) -> pb.FormReply:
        """Store the first membership of a new cluster, unless one is stored already."""
        replica = self._core.replica
        offered, present = request.membership, replica.membership
        if formations.accepts_formation(self._core.identity, present, offered):
            self.has_formed = self._store_membership(offered)
        return pb.FormReply(formed=self._core.replica.membership is not None)

    def join(self, request: pb.JoinRequest) -> pb.JoinReply:
        """Add a learner, if this instance is the leader."""
        member = pb.Member()
        member.CopyFrom(request.member)
        member.voter = False
        if not self._core.is_leader:
            address = self._core.leader_address
            return pb.JoinReply(leader_address=address, detail="not the leader")
        try:
            replica = self._core.replica
            self._core.change_membership(
                lambda now: replica.add_learner(
                    member, now, first_start=request.first_start
                )
            )
        except errors.AgreementError as exc:
            return pb.JoinReply(detail=str(exc))
        logger.info("agreement: {} added as a learner", member.name)
        return pb.JoinReply(accepted=True)

    def release(self, request: pb.LeaveRequest) -> pb.LeaveReply:
        """Remove a voter that stops as planned, if this instance is the leader."""
        if not self._core.is_leader:
            return pb.LeaveReply(detail="not the leader")
        try:
            replica = self._core.replica
            self._core.change_membership(
                lambda now: replica.release(request.member_id, now)
            )
        except errors.AgreementError as exc:
            return pb.LeaveReply(detail=str(exc))
        logger.info("agreement: {} removed, as it stops", request.member_id)
        return pb.LeaveReply(accepted=True)

    # Start of this instance.

    async def run(self) -> None:
        """Form or join a cluster; return when this instance is a member."""
        delay_s, attempts = MIN_RETRY_DELAY_S, 0
        while self._core.replica.membership is None:
            detail = await self._attempt()
            if self._core.replica.membership is not None:
                break
            if attempts % ATTEMPTS_PER_LOG_LINE == 0:
                logger.info(
                    "agreement: not a member yet after {} attempts: {}",
                    attempts + 1,
                    detail,
                )
            attempts += 1
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 1.5, MAX_RETRY_DELAY_S)
        cluster_id = self._core.replica.membership.cluster_id
        logger.info("agreement: member of cluster {}", cluster_id)

    async def rejoin_if_removed(self) -> None:
        """Ask to join again after the other members have removed this instance.

        A removed member does not learn of its removal from its log, because the
        leader sends it no more entries. So an instance without a leader asks the
        others for their membership.
        """
        while True:
            await asyncio.sleep(REMOVAL_CHECK_INTERVAL_S)
            if self._core.replica.leader_id or self._is_leaving:
                continue
            replies = await self._say_hello(self._known_addresses())
            for reply in replies.values():
                if self._was_removed(reply):
                    address = reply.leader_address or reply.member.address
                    detail = await self._request_join(address)
                    logger.info(
                        "agreement: removed from the cluster; asked {} to join: {}",
                        address,
                        detail,
                    )
                    break

    async def leave(self, timeout_s: float) -> None:
        """Give up the vote of this instance before it stops, if the others are enough.

        Without it, an instance that is stopped for good counts as a voter until the
        others have noticed its absence, and bears no loss meanwhile. An instance that
        is only restarted joins again.

        Parameters
        ----------
        timeout_s
            Time in seconds after which the instance stops as a voter.
        """
        self._is_leaving = True
        own_id = self._core.identity.member_id
        detail = "no leader"
        try:
            async with asyncio.timeout(timeout_s):
                while self._is_spare_voter(own_id):
                    if self._core.replica.is_leader:
                        # Another instance that stops may have transferred it here.
                        with contextlib.suppress(errors.AgreementError):
                            self._core.transfer()
                    elif address := self._core.leader_address:
                        request = pb.LeaveRequest(member_id=own_id)
                        reply = await _call(address, "Leave", request)
                        if reply is not None and reply.accepted:
                            logger.info("agreement: left the cluster before the stop")
                            return
                        detail = reply.detail if reply else f"no answer from {address}"
                    await asyncio.sleep(LEAVE_RETRY_DELAY_S)
        except TimeoutError:
            logger.warning("agreement: stops as a voter: {}", detail)

    def _is_spare_voter(self, own_id: ids.MemberId) -> bool:
        replica = self._core.replica
        is_voter = memberships.is_voter(replica.membership, own_id)
        return is_voter and replica.can_spare(own_id)

    def _known_addresses(self) -> dict[str, str]:
        """Return the addresses of other members and initial members, by name."""
        members = self._core.replica.membership.members
        own_name = self._core.identity.name
        known = {m.name: m.address for m in members if m.name != own_name}
        return known | self._others

    def _was_removed(self, reply: pb.HelloReply) -> bool:
        present = self._core.replica.membership
        return formations.was_removed(self._core.identity, present, reply)

    async def _attempt(self) -> str:
        replies = await self._say_hello(self._others)
        if self._core.replica.membership is not None:
            return "another member formed the cluster meanwhile"
        decision = formations.decide(
            self._core.identity, list(self._initial), replies, random.SystemRandom()
        )
        if decision.step is formations.Step.FORM and not self._may_form:
            return "no cluster found, and only the first start of the system forms one"
        if decision.step is formations.Step.FORM:
            # Before it is stored, this instance could form another cluster.
            if not self._store_membership(decision.membership):
                return "the membership could not be stored"
            self.has_formed = True
            await self._distribute(decision.membership)
        elif decision.step is formations.Step.ADOPT:
            self._store_membership(decision.membership)
        elif decision.step is formations.Step.JOIN:
            return await self._request_join(decision.address)
        return decision.detail

    def _store_membership(self, membership: pb.Membership) -> bool:
        """Store the membership; return whether the disk took it."""
        replica = self._core.replica
        present = pb.HardState(term=replica.term, voted_for=replica.voted_for)
        return self._core.form(formations.initial_state(membership, present))

    async def _say_hello(self, addresses: dict[str, str]) -> dict[str, pb.HelloReply]:
        hellos = (self._hello(address) for address in addresses.values())
        replies = zip(addresses, await asyncio.gather(*hellos), strict=True)
        found = {name: reply for name, reply in replies if reply is not None}
        for reply in found.values():
            self._core.links.add_addresses([reply.member, *reply.membership.members])
        return found

    async def _hello(self, address: str) -> pb.HelloReply | None:
        request = pb.HelloRequest(member=self._core.identity.member())
        return await _call(address, "Hello", request)

    async def _distribute(self, membership: pb.Membership) -> None:
        """Send the first membership once to all other initial members.

        A member that does not receive it adopts it later, when it asks this instance.
        """
        request = pb.FormRequest(membership=membership)
        calls = (_call(address, "Form", request) for address in self._others.values())
        await asyncio.gather(*calls)

    async def _request_join(self, address: str) -> str:
        is_first = self._may_form and self._core.replica.membership is None
        request = pb.JoinRequest(
            member=self._core.identity.member(), first_start=is_first
        )
        reply = await _call(address, "Join", request)
        if reply is None:
            return f"no answer from {address}"
        return "accepted as a learner" if reply.accepted else reply.detail


async def _call(address: str, method: str, request):
    """Call a method of the peer service; return None if the call fails."""
    channel = links.open_channel(address)
    try:
        stub = rpc.PeerStub(channel)
        return await getattr(stub, method)(request, timeout=CALL_TIMEOUT_S)
    except CALL_ERRORS:
        return None
    finally:
        channel.close()
