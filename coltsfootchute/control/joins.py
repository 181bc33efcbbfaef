"""Forming a cluster at the first start, or joining one as a learner."""

import asyncio
import collections.abc
import random

import grpclib.exceptions
from loguru import logger

from coltsfootchute import errors, settings
from coltsfootchute.agreement import formations
from coltsfootchute.control import cores, links
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Joiner"]

CALL_TIMEOUT_S = 1.0
RETRY_S = 0.2
RETRY_MAX_S = 2.0
CHECK_INTERVAL_S = 1.0
# A first start waits for the slowest member; the log repeats why only this often.
LOG_INTERVAL_TRIES = 30

CallError = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
)


class Joiner:
    """Makes an instance a member, and answers others that want to be one.

    Parameters
    ----------
    core
        The replicated state.
    initial
        The initial members in the settings.
    may_form
        Whether this is the first start of the whole system. On a later start, an
        instance without data joins, even if nobody responds: it may have lost its
        disk while a cluster is out of reach.
    """

    def __init__(
        self,
        core: cores.Core,
        initial: collections.abc.Sequence[settings.InitialMember],
        may_form: bool = True,
    ):
        self._core = core
        self._may_form = may_form
        self.change_initial(initial)
        self.formed_here = False

    def change_initial(
        self, initial: collections.abc.Sequence[settings.InitialMember]
    ) -> None:
        """Ask these instances from now on."""
        self._initial = {member.name: member.address for member in initial}
        self._others = {
            name: address
            for name, address in self._initial.items()
            if name != self._core.identity.name
        }

    # Answers.

    def hello(self) -> pb.HelloReply:
        """Tell who this instance is and which cluster it belongs to."""
        replica = self._core.replica
        membership = replica.committed_membership
        leads = self._core.is_leader
        own_address = self._core.identity.address
        return pb.HelloReply(
            member=self._core.identity.member(),
            formed=membership is not None,
            membership=membership,
            leader_address=own_address if leads else self._core.leader_address,
        )

    def form(self, request: pb.FormRequest) -> pb.FormReply:
        """Store the first membership of a cluster, unless there is one."""
        replica = self._core.replica
        offered, present = request.membership, replica.membership
        if formations.accepts_formation(self._core.identity, present, offered):
            self._begin(offered)
            self.formed_here = True
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
            self._core.change_membership(lambda now: replica.add_learner(member, now))
        except errors.AgreementError as exc:
            return pb.JoinReply(detail=str(exc))
        logger.info("agreement: {} joins as a learner", member.name)
        return pb.JoinReply(accepted=True)

    # The own start.

    async def run(self) -> None:
        """Form or join a cluster; return once this instance is a member."""
        delay_s, tries = RETRY_S, 0
        while self._core.replica.membership is None:
            detail = await self._step()
            if self._core.replica.membership is not None:
                break
            if tries % LOG_INTERVAL_TRIES == 0:
                logger.info("agreement: not yet a member: {}", detail)
            tries += 1
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 1.5, RETRY_MAX_S)
        cluster_id = self._core.replica.membership.cluster_id
        logger.info("agreement: member of cluster {}", cluster_id)

    async def keep_membership(self) -> None:
        """Ask to join again whenever the others have removed this instance.

        A leader sends nothing to a member that it removed, and the log of such a
        member never tells it.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._core.replica.leader_id:
                continue
            replies = await self._ask(self._known_addresses())
            for reply in replies.values():
                if self._was_removed(reply):
                    address = reply.leader_address or reply.member.address
                    detail = await self._ask_to_join(address)
                    logger.info("agreement: removed by the others: {}", detail)
                    break

    def _known_addresses(self) -> dict[str, str]:
        """Return the other members as last known, and those to join, by name."""
        members = self._core.replica.membership.members
        own_name = self._core.identity.name
        known = {m.name: m.address for m in members if m.name != own_name}
        return known | self._others

    def _was_removed(self, reply: pb.HelloReply) -> bool:
        present = self._core.replica.membership
        return formations.was_removed(self._core.identity, present, reply)

    async def _step(self) -> str:
        replies = await self._ask(self._others)
        if self._core.replica.membership is not None:
            return "formed meanwhile"
        decision = formations.decide(
            self._core.identity, list(self._initial), replies, random.SystemRandom()
        )
        if decision.step is formations.Step.FORM and not self._may_form:
            return "no cluster found, and this is not the first start"
        if decision.step is formations.Step.FORM:
            self._begin(decision.membership)
            self.formed_here = True
            await self._distribute(decision.membership)
        elif decision.step is formations.Step.ADOPT:
            self._begin(decision.membership)
        elif decision.step is formations.Step.JOIN:
            return await self._ask_to_join(decision.address)
        return decision.detail

    def _begin(self, membership: pb.Membership) -> None:
        replica = self._core.replica
        present = pb.HardState(term=replica.term, voted_for=replica.voted_for)
        self._core.form(formations.initial_state(membership, present))

    async def _ask(self, addresses: dict[str, str]) -> dict[str, pb.HelloReply]:
        hellos = (self._hello(address) for address in addresses.values())
        replies = zip(addresses, await asyncio.gather(*hellos), strict=True)
        found = {name: reply for name, reply in replies if reply is not None}
        for reply in found.values():
            self._core.links.introduce([reply.member, *reply.membership.members])
        return found

    async def _hello(self, address: str) -> pb.HelloReply | None:
        request = pb.HelloRequest(member=self._core.identity.member())
        return await _call(address, "Hello", request)

    async def _distribute(self, membership: pb.Membership) -> None:
        """Send the first membership to all others once.

        A member that misses it finds this instance formed and adopts it.
        """
        request = pb.FormRequest(membership=membership)
        calls = (_call(address, "Form", request) for address in self._others.values())
        await asyncio.gather(*calls)

    async def _ask_to_join(self, address: str) -> str:
        request = pb.JoinRequest(member=self._core.identity.member())
        reply = await _call(address, "Join", request)
        if reply is None:
            return f"no answer from {address}"
        return "accepted as a learner" if reply.accepted else reply.detail


async def _call(address: str, method: str, request):
    """Make one call of the peer service; return None if it fails."""
    channel = links.open_channel(address)
    try:
        stub = rpc.PeerStub(channel)
        return await getattr(stub, method)(request, timeout=CALL_TIMEOUT_S)
    except CallError:
        return None
    finally:
        channel.close()
