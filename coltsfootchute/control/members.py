"""Links to the other control instances, by member id."""

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
    """One outgoing link for each other member of the cluster.

    Parameters
    ----------
    member_id
        Member id of this instance.
    rng
        Source of randomness for the jitter of reconnects.
    """

    def __init__(self, member_id: str, rng: random.Random):
        self._member_id = member_id
        self._rng = rng
        self._links: dict[str, links.Link] = {}
        self._added_addresses: dict[str, str] = {}
        self._membership: pb.Membership | None = None
        self._tasks: set[asyncio.Task] = set()

    def add_addresses(self, members: collections.abc.Iterable[pb.Member]) -> None:
        """Store the addresses of members that the log does not contain yet."""
        self._added_addresses |= {m.member_id: m.address for m in members}

    def update(self, membership: pb.Membership | None) -> None:
        """Use the latest membership; stop links to removed or changed addresses."""
        if membership is None or membership is self._membership:
            return
        self._membership = membership
        addresses = {m.member_id: m.address for m in membership.members}
        for member_id, link in list(self._links.items()):
            if addresses.get(member_id) != link.address:
                self._spawn(self._links.pop(member_id).stop())

    def address(self, member_id: str) -> str:
        """Return the peer address of a member; empty if it is unknown."""
        members = self._membership.members if self._membership else ()
        for member in members:
            if member.member_id == member_id:
                return member.address
        return self._added_addresses.get(member_id, "")

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
        """Send the report of an entry to all other members.

        This opens missing links: a follower exchanges agreement messages only with
        its leader, so it may have no link to another follower yet.
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
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        # Errors are dropped, because the entry repeats its report.
        if not task.cancelled():
            task.exception()

    @property
    def dropped(self) -> int:
        """Number of messages that the current links dropped."""
        return sum(link.dropped for link in self._links.values())

    async def flush(self) -> None:
        """Wait until all queued messages are passed to connections or dropped."""
        await asyncio.gather(*(link.flush() for link in self._links.values()))

    async def stop(self) -> None:
        """Stop all links and pending relays."""
        await asyncio.gather(*(link.stop() for link in self._links.values()))
        self._links.clear()
        await cancellations.cancel_and_wait(self._tasks)
