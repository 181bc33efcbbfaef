"""Tests of long messages between control instances over slow links.

They guard against timeouts for whole messages: a timeout may end only a transfer that
makes no progress.
"""

import asyncio
import contextlib
import random

import msgspec

from coltsfootchute import declarations, errors
from coltsfootchute.control import daemons
from coltsfootchute.control.tests import clusters
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.standins import links
from coltsfootchute.state.tests import test_declarations

BYTES_PER_S = 2_500_000 // 8
ROUTES = 1540
FORWARD = links.Direction.FORWARD


class LinkedCluster(clusters.Cluster):
    """Control instances that are connected through links with a bandwidth limit."""

    async def link(self, stack, monkeypatch):
        self.links, by_port, initial = {}, {}, []
        for member in self.initial:
            link = await stack.enter_async_context(links.Link(member.address))
            self.links[member.name] = link
            by_port[int(member.address.rpartition(":")[2])] = link.address
            initial.append(msgspec.structs.replace(member, address=link.address))
        self.initial = initial
        monkeypatch.setattr(
            daemons, "_bound_address", lambda sock: by_port[sock.getsockname()[1]]
        )


@contextlib.asynccontextmanager
async def running(folder, monkeypatch):
    cluster = LinkedCluster(folder)
    async with contextlib.AsyncExitStack() as stack:
        await cluster.link(stack, monkeypatch)
        for name in list(cluster.sockets):
            await cluster.start(name)
        try:
            yield cluster
        finally:
            for link in cluster.links.values():
                link.heal()
            names = list(cluster.daemons)
            await asyncio.gather(*(cluster.stop(name) for name in names))


def declaration(version=1):
    declared = test_declarations.declaration_of(ROUTES, random.Random(7))
    text = declarations.encode(declared)
    return pb.Declaration(version=version, document=text, submitted=text.encode())


def is_in_force(core, version=1):
    return core.machine.declaration.newest.version == version


def test_long_entry_over_slow_links_does_not_cause_an_election(tmp_path, monkeypatch):
    """A transfer longer than the election timeout must not start an election."""

    async def main():
        async with running(tmp_path, monkeypatch) as cluster:
            name = await cluster.leader()
            leader = cluster.daemons[name].core
            followers = [d.core for n, d in cluster.daemons.items() if n != name]
            await clusters.wait_for(lambda: all(f.replica.leader_id for f in followers))
            command = pb.Command(declaration=declaration())
            # The transfer takes longer than the lease and the election timeout.
            bytes_per_s = command.ByteSize() / 3
            term = leader.replica.term
            for link in cluster.links.values():
                link.limit_rate(bytes_per_s, FORWARD)
            others = [link for n, link in cluster.links.items() if n != name]
            sent_before = sum(link.forwarded_bytes(FORWARD) for link in others)
            with contextlib.suppress(errors.OutcomeUnknownError):
                await leader.propose(command)
            checks_without_lease = 0

            def is_done():
                nonlocal checks_without_lease
                checks_without_lease += not leader.is_leader
                return all(is_in_force(core) for core in followers)

            await clusters.wait_for(is_done)
            sent = sum(link.forwarded_bytes(FORWARD) for link in others) - sent_before
            assert [d.core.replica.term for d in cluster.daemons.values()] == [term] * 3
            assert checks_without_lease == 0, (
                f"the leader had no lease at {checks_without_lease} checks"
            )
            assert sent < 2.5 * command.ByteSize(), (
                f"the entry was sent again: {sent} bytes"
            )

    asyncio.run(main())
