"""Search for a control instance in the failure domain of the entry."""

import asyncio
import contextlib
import typing

import grpclib.client
import grpclib.exceptions

from coltsfootchute.control import feed_streams
from coltsfootchute.entry import domains
from coltsfootchute.proto import coltsfootchute_grpc, coltsfootchute_pb2

__all__ = ["ask", "connect", "run"]

CONNECT_TIMEOUT_S = 0.5
HELLO_TIMEOUT_S = 0.5
_ERRORS = (OSError, grpclib.exceptions.StreamTerminatedError)


@contextlib.asynccontextmanager
async def connect(address: str) -> typing.AsyncIterator[grpclib.client.Channel]:
    """Connect to the gRPC listener of an instance.

    Raises
    ------
    OSError
        If the connection failed or took longer than `CONNECT_TIMEOUT_S`.
    """
    host, _, port = address.rpartition(":")
    channel = feed_streams.open_channel(host.strip("[]"), int(port))
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await channel.__connect__()
        yield channel
    finally:
        channel.close()


async def ask(
    channel: grpclib.client.Channel, address: str, known: domains.ControlDomains
) -> bool:
    """Ask a control instance for the failure domains, in a message of about 0.5 KB.

    Returns
    -------
    bool
        Whether the instance is a member and knows a leader.

    Raises
    ------
    OSError
        If there was no reply within `HELLO_TIMEOUT_S`.
    """
    stub = coltsfootchute_grpc.PeerStub(channel)
    request = coltsfootchute_pb2.HelloRequest()
    try:
        reply = await stub.Hello(request, timeout=HELLO_TIMEOUT_S)
    except grpclib.exceptions.GRPCError:
        known.record(address, None)
        return False
    known.record(address, reply)
    return reply.formed and bool(reply.leader_address)


async def run(
    known: domains.ControlDomains,
    delay: domains.SearchDelay,
    control: typing.Callable[[], list[str]],
) -> None:
    """Return once a near control instance knows a leader.

    Parameters
    ----------
    known
        Failure domains of the control instances; updated.
    delay
        Delays between the attempts.
    control
        Returns the addresses of the control instances.
    """
    while True:
        await asyncio.sleep(delay.next_s())
        for address in [*known.near(control()), *known.unknown(control())]:
            with contextlib.suppress(*_ERRORS):
                async with connect(address) as channel:
                    has_leader = await ask(channel, address, known)
                if has_leader and known.near([address]):
                    return
