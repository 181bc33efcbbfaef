"""The other control instances and the links to them."""

import asyncio
import collections.abc
import random

from coltsfootchute import cancellations
from coltsfootchute.control import links
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["RELAYED_HEADER", "MemberLinks"]

RELAY_TIMEOUT_S = 1.0
RELAYED_HEADER = "coltsfootchute-relayed"


class MemberLinks:
    """One outgoing link for each other member.

    Parameters
    ----------
    member_id
        Member id of this instance.
    rng
        Source of the jitter of reconnects.
    """

    def __init__(self, member_id: str, rng: random.Random):
        self._member_id = member_id
        self._rng = rng
        self._links: dict[str, links.Link] = {}
        self._introduced: dict[str, str] = {}
        self._membership: pb.Membership | None = None
        self._tasks: set[asyncio.Task] = set()

    def introduce(self, members: collections.abc.Iterable[pb.Member]) -> None:
        """Remember the addresses of members before the membership is in the log."""
        self._introduced |= {m.member_id: m.address for m in members}

    def update(self, membership: pb.Membership | None) -> None:
        """Follow the latest membership; links to removed members end."""
        if membership is None or membership is self._membership:
            return
        self._membership = membership
        addresses = {m.member_id: m.address for m in membership.members}
        for member_id, link in list(self._links.items()):
            if addresses.get(member_id) != link.address:
                self._spawn(self._links.pop(member_id).stop())

    def address(self, member_id: str) -> str:
        """Return the peer address of a member, or an empty string."""
        members = self._membership.members if self._membership else ()
        for member in members:
            if member.member_id == member_id:
                return member.address
        return self._introduced.get(member_id, "")

    def send(self, message: pb.PeerMessage) -> None:
        """Queue a message for its receiver; drop it if the address is unknown."""
        link = self._link(message.receiver)
        if link is not None:
            link.send(message)

    def _link(self, member_id: str) -> links.Link | None:
        """Return the link to another member; None if its address is unknown."""
        link = self._links.get(member_id)
        if link is None:
            address = self.address(member_id)
            if not address or member_id == self._member_id:
                return None
            link = links.Link(address, self._rng)
            self._links[member_id] = link
        return link

    def relay(self, instance: pb.Instance) -> None:
        """Pass the report of an entry on to all other members.

        A follower exchanges messages with its leader only, so it may have no
        link to another follower yet.
        """
        request = pb.ReportRequest(instance=instance)
        members = self._membership.members if self._membership else ()
        for member in members:
            link = self._link(member.member_id)
            if link is not None:
                self._spawn(self._relay(link, request))

    @staticmethod
    async def _relay(link: links.Link, request: pb.ReportRequest) -> None:
        await rpc.ControlStub(link.channel).Report(
            request, timeout=RELAY_TIMEOUT_S, metadata={RELAYED_HEADER: "1"}
        )

    def _spawn(self, coroutine: collections.abc.Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        # A report that got lost is repeated by its entry.
        if not task.cancelled():
            task.exception()

    @property
    def dropped(self) -> int:
        """Messages that the present links dropped."""
        return sum(link.dropped for link in self._links.values())

    async def flush(self) -> None:
        """Wait until the queued messages were handed to the connections."""
        await asyncio.gather(*(link.flush() for link in self._links.values()))

    async def stop(self) -> None:
        """End all links."""
        await asyncio.gather(*(link.stop() for link in self._links.values()))
        self._links.clear()
        await cancellations.end_all(self._tasks)
