"""Test clusters: control instances in one event loop, connected over loopback."""

import asyncio
import contextlib
import socket
import time
from unittest import mock

import grpclib.server

from coltsfootchute import settings
from coltsfootchute.control import daemons, links
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb

TIMEOUT_S = 30.0
DOCUMENT = """{"rules": [{"name": "read", "methods": ["GET"], "path": "/**",
 "repeatable": true, "deadline_ms": %d}]}"""


class _Server(grpclib.server.Server):
    """A server that closes its connections, as the end of a process does.

    Without this, the links of the other instances go on writing to a stopped one.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._protocols = []

    def _protocol_factory(self):
        protocol = super()._protocol_factory()
        self._protocols.append(protocol)
        return protocol

    async def wait_closed(self):
        await super().wait_closed()
        for protocol in self._protocols:
            connection = getattr(protocol, "connection", None)
            if connection is not None:
                connection.close()


class Cluster:
    """A cluster of control instances with their data folders and sockets."""

    def __init__(self, folder, names=("a", "b", "c")):
        self.folder = folder
        self.sockets = {name: socket.create_server(("127.0.0.1", 0)) for name in names}
        self.initial = [
            settings.InitialMember(
                name=name, address=f"127.0.0.1:{sock.getsockname()[1]}"
            )
            for name, sock in self.sockets.items()
        ]
        self.added = {}  # Addresses of instances that are no initial members.
        self.daemons = {}

    async def add(self, name):
        """Start an instance that is no initial member, with an empty disk."""
        sock = socket.create_server(("127.0.0.1", 0))
        self.sockets[name] = sock
        self.added[name] = f"127.0.0.1:{sock.getsockname()[1]}"
        await self.start(name)

    async def start(self, name, generation=0, metrics=None):
        sock = self.sockets.pop(name, None)
        initial = {member.name: member.address for member in self.initial}
        control = settings.ControlSettings(
            peer=self.added.get(name) or initial[name],
            data=str(self.folder / f"{name}-{generation}"),
            initial=self.initial,
            may_form=name not in self.added,
            metrics=metrics,
        )
        instance = settings.InstanceSettings(name=name, failure_domain="fd")
        cfg = settings.Settings(instance=instance, control=control)
        self.daemons[name] = daemons.Daemon(cfg, sock)
        with mock.patch.object(grpclib.server, "Server", _Server):
            await self.daemons[name].start()

    async def stop(self, name):
        await self.daemons.pop(name).stop()

    async def kill(self, name):
        """End an instance without its planned stop."""
        daemon = self.daemons.pop(name)
        daemon._stopped = True
        for task in daemon._tasks:
            task.cancel()
        await daemon._close()

    async def leader(self):
        return await wait_for(
            lambda: next((n for n, d in self.daemons.items() if d.core.is_leader), None)
        )

    def voters(self, name):
        membership = self.daemons[name].core.replica.committed_membership
        members = membership.members if membership else ()
        return {m.name: m.member_id for m in members if m.voter}

    async def call(self, method, request):
        """Call the leader, and repeat until the outcome is known, as an entry does."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline_s:
            address = self.daemons[await self.leader()].address
            channel = links.open_channel(address)
            try:
                reply = await getattr(rpc.ControlStub(channel), method)(request)
            finally:
                channel.close()
            if reply.header.status == pb.REPLY_STATUS_OK:
                return reply
        raise AssertionError(f"{method}: outcome still unknown after {TIMEOUT_S} s")


async def wait_for(condition):
    deadline_s = time.monotonic() + TIMEOUT_S
    while not (value := condition()):
        assert time.monotonic() < deadline_s, (
            f"the condition was not met in time ({TIMEOUT_S} s)"
        )
        await asyncio.sleep(0.02)
    return value


@contextlib.asynccontextmanager
async def running(folder, names=("a", "b", "c")):
    cluster = Cluster(folder, names)
    for name in list(cluster.sockets):
        await cluster.start(name)
    try:
        yield cluster
    finally:
        await asyncio.gather(*(cluster.stop(name) for name in list(cluster.daemons)))


def make_proposal(request_id, revision=0, **more):
    fields = {"section": "s", "team": "t", "author": request_id, **more}
    return pb.Proposal(
        document=DOCUMENT % 500,
        request_id=request_id,
        expected_revision=revision,
        **fields,
    )
