"""Tests of a control instance whose disk rejects writes for a while."""

import asyncio
import errno
import shutil

import pytest

from coltsfootchute import errors
from coltsfootchute.agreement import disks, stores
from coltsfootchute.control import links
from coltsfootchute.control.tests import clusters
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb


class FullDisks:
    """Makes writes below the folders in `folders` fail."""

    def __init__(self, monkeypatch):
        self.folders = []
        append = disks.LocalDisk.append

        def refuse(disk, path, data):
            if any(folder in path for folder in self.folders):
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
