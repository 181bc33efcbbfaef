"""Tests of a control instance whose disk rejects writes for a while."""

import asyncio
import errno
import shutil

import pytest

from coltsfootchute import errors
from coltsfootchute.agreement import disks, stores
from coltsfootchute.control import cores, links
from coltsfootchute.control.tests import clusters
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb


class FullDisks:
    """Makes writes below the folders in `folders` fail.

    Of each write, `written` is the fraction that still finds room.
    """

    def __init__(self, monkeypatch, written=0.0):
        self.folders = []
        append = disks.LocalDisk.append

        def refuse(disk, path, data):
            if any(folder in path for folder in self.folders):
                if written:
                    append(disk, path, data[: int(len(data) * written)])
                raise OSError(errno.ENOSPC, "no space left on device")
            append(disk, path, data)

        monkeypatch.setattr(disks.LocalDisk, "append", refuse)


@pytest.mark.parametrize("of_leader", [True, False])
def test_full_disk_suspends_only_its_own_instance(tmp_path, monkeypatch, of_leader):
    """A full disk must neither end the process nor lose accepted changes."""

    async def main():
        async with clusters.running(tmp_path) as cluster:
            await cluster.call("Propose", clusters.make_proposal("r1"))
            leader = await cluster.leader()
            full = FullDisks(monkeypatch)
            name = leader if of_leader else min(set(cluster.daemons) - {leader})
            full.folders = [f"{name}-0"]
            daemon = cluster.daemons[name]
            channel = links.open_channel(daemon.address)
            if of_leader:
                # The write of the next entry fails, so its outcome is unknown.
                first = rpc.ControlStub(channel).Propose(
                    clusters.make_proposal("r2", 1)
                )
                await asyncio.gather(first, return_exceptions=True)
            await cluster.call("Propose", clusters.make_proposal("r2", 1))
            await cluster.call("Propose", clusters.make_proposal("r3", 2))
            await clusters.wait_for(lambda: daemon.core.counters["failed_writes"])
            assert await cluster.leader() != name
            assert not daemon.failed.done()
            # The instance still serves its status.
            assert (await rpc.ControlStub(channel).Status(pb.StatusRequest())).revision
            channel.close()
            full.folders = []
            await cluster.call("Propose", clusters.make_proposal("r4", 3))
            index = cluster.daemons[await cluster.leader()].core.machine.revision
            await clusters.wait_for(lambda: daemon.core.machine.revision >= index)
            assert daemon.core.machine.sections.in_force("s").revision == 4

    asyncio.run(main())


@pytest.mark.parametrize("written", [0.0, 0.7])
def test_disks_that_are_full_one_after_another_leave_all_voters(
    tmp_path, monkeypatch, written
):
    """Guards against votes that are lost one by one, until no change is accepted."""

    async def main():
        names = ("a", "b", "c", "d", "e")
        async with clusters.running(tmp_path, names) as cluster:
            await cluster.call("Propose", clusters.make_proposal("r1"))
            full = FullDisks(monkeypatch, written)
            leaders = []
            for revision, _ in enumerate(names, 1):
                # The leader is among them each time, and no disk twice in a row.
                leaders.append(await cluster.leader())
                daemon = cluster.daemons[leaders[-1]]
                count = daemon.core.counters["failed_writes"]
                full.folders = [f"{leaders[-1]}-0"]
                proposal = clusters.make_proposal(f"r{revision + 1}", revision)
                await cluster.call("Propose", proposal)
                await clusters.wait_for(
                    lambda d=daemon, n=count: d.core.counters["failed_writes"] > n
                )
                full.folders = []
            assert len(set(leaders)) > 1
            await cluster.call(
                "Propose", clusters.make_proposal("last", len(names) + 1)
            )
            index = cluster.daemons[await cluster.leader()].core.machine.revision
            for daemon in cluster.daemons.values():
                assert not daemon.failed.done()
                await clusters.wait_for(
                    lambda d=daemon: d.core.replica.applied_index >= index
                )
            assert sorted(cluster.voters(await cluster.leader())) == list(names)

    asyncio.run(main())


@pytest.mark.parametrize("name", ["a", "b"])
def test_a_disk_that_is_full_at_the_first_start_delays_the_formation(
    tmp_path, monkeypatch, name
):
    """The process ended by itself, whether it forms the cluster or adopts it."""

    async def main():
        full = FullDisks(monkeypatch)
        cluster = clusters.Cluster(tmp_path)
        for other in list(cluster.sockets):
            await cluster.start(other)
        full.folders = [f"{name}-0"]
        daemon = cluster.daemons[name]
        try:
            await clusters.wait_for(lambda: daemon.core.counters["failed_writes"])
            full.folders = []
            await clusters.wait_for(lambda: daemon.core.replica.membership is not None)
            await cluster.call("Propose", clusters.make_proposal("r1"))
            cluster_ids = {
                other.core.replica.membership.cluster_id
                for other in cluster.daemons.values()
            }
            assert len(cluster_ids) == 1
            assert not daemon.failed.done()
        finally:
            await asyncio.gather(*(cluster.stop(n) for n in list(cluster.daemons)))

    asyncio.run(main())


def test_a_change_is_answered_as_soon_as_the_disk_of_the_leader_is_full(
    tmp_path, monkeypatch
):
    """Its caller waited until the timeout before it could ask the next leader."""
    monkeypatch.setattr(cores, "OUTCOME_TIMEOUT_S", 10 * clusters.TIMEOUT_S)

    async def main():
        async with clusters.running(tmp_path) as cluster:
            await cluster.call("Propose", clusters.make_proposal("r1"))
            leader = await cluster.leader()
            full = FullDisks(monkeypatch)
            full.folders = [f"{leader}-0"]
            channel = links.open_channel(cluster.daemons[leader].address)
            stub = rpc.ControlStub(channel)
            requests = [stub.Propose(clusters.make_proposal(f"r{n}", 1)) for n in "23"]
            async with asyncio.timeout(clusters.TIMEOUT_S):
                replies = await asyncio.gather(*requests)
            channel.close()
            assert {reply.header.status for reply in replies} <= {
                pb.REPLY_STATUS_UNKNOWN,
                pb.REPLY_STATUS_NOT_LEADER,
            }
            full.folders = []
            await cluster.call("Propose", clusters.make_proposal("r2", 1))

    asyncio.run(main())


def test_instance_fails_if_its_data_folder_was_emptied(tmp_path, monkeypatch):
    """A member that lost its log must not vote under its old id."""

    async def main():
        async with clusters.running(tmp_path) as cluster:
            await cluster.call("Propose", clusters.make_proposal("r1"))
            leader = await cluster.leader()
            name = min(set(cluster.daemons) - {leader})
            full = FullDisks(monkeypatch)
            full.folders = [f"{name}-0"]
            daemon = cluster.daemons[name]
            await cluster.call("Propose", clusters.make_proposal("r2", 1))
            await clusters.wait_for(lambda: daemon.core.counters["failed_writes"])
            shutil.rmtree(tmp_path / f"{name}-0")
            full.folders = []
            await clusters.wait_for(daemon.failed.done)
            with pytest.raises(errors.DamagedStoreError):
                raise daemon.failed.exception()

    asyncio.run(main())


def test_second_close_does_not_close_a_reused_descriptor(tmp_path):
    """The descriptor of the lock may already be reused for another file."""
    store = stores.FileStore(str(tmp_path / "data"), "a")
    store.close()
    with (tmp_path / "other").open("wb") as other:
        store.close()
        other.write(b"kept")
    assert (tmp_path / "other").read_bytes() == b"kept"
