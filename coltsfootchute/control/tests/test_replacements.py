"""Replaced control instances, and the losses that the others bear afterwards."""

import asyncio

import pytest

from coltsfootchute.control.tests import clusters

NAMES = ("a", "b", "c", "d", "e")
NEW = ("f", "g", "h", "i", "j")


async def add_all(cluster, names):
    """Start instances at new addresses and wait until they vote."""
    for name in names:
        await cluster.add(name)
    leader = await cluster.leader()
    await clusters.wait_for(lambda: set(names) <= set(cluster.voters(leader)))


async def check_two_losses(cluster):
    """Lose two disks at once; the others must still commit a change."""
    for name in list(cluster.daemons)[:2]:
        await cluster.kill(name)
        await cluster.start(name, generation=1)
    reply = await cluster.call("Propose", clusters.make_proposal("last"))
    assert reply.outcome.author == "last"


@pytest.mark.parametrize(
    ("count", "with_leader"), [(2, True), (2, False), (4, True), (5, True)]
)
def test_two_disks_may_be_lost_right_after_planned_stops(tmp_path, count, with_leader):
    # Guards against voters that were stopped for good and count as losses until the
    # others have noticed their absence.
    async def main():
        async with clusters.running(tmp_path, NAMES) as cluster:
            await add_all(cluster, NEW[:count])
            leader = await cluster.leader()
            followers = [name for name in NAMES if name != leader]
            leaving = [leader, *followers] if with_leader else followers
            leaving = leaving[:count]
            await asyncio.gather(*(cluster.stop(name) for name in leaving))
            left = sorted(cluster.daemons)
            leader = await cluster.leader()
            assert sorted(cluster.voters(leader)) == left
            await check_two_losses(cluster)

    asyncio.run(main())


def test_two_disks_may_be_lost_after_two_instances_were_replaced_unplanned(tmp_path):
    # Guards against a removal that only the first of two replaced voters gets.
    async def main():
        async with clusters.running(tmp_path, NAMES) as cluster:
            leader = await cluster.leader()
            lost = [name for name in NAMES if name != leader][:2]
            await asyncio.gather(*(cluster.kill(name) for name in lost))
            await add_all(cluster, NEW[:2])
            left = sorted(cluster.daemons)
            await clusters.wait_for(lambda: sorted(cluster.voters(leader)) == left)
            await check_two_losses(cluster)

    asyncio.run(main())


@pytest.mark.parametrize("of_leader", [True, False])
def test_a_stopped_instance_stays_a_voter_if_it_is_needed(tmp_path, of_leader):
    # Guards against planned restarts that leave a cluster with fewer voters.
    async def main():
        async with clusters.running(tmp_path, NAMES) as cluster:
            leader = await cluster.leader()
            stopped = next(n for n in NAMES if (n == leader) is of_leader)
            await cluster.stop(stopped)
            leader = await cluster.leader()
            assert sorted(cluster.voters(leader)) == list(NAMES)
            await cluster.start(stopped)
            await cluster.call("Propose", clusters.make_proposal("last"))
            core = cluster.daemons[stopped].core
            await clusters.wait_for(lambda: core.machine.sections.names() == ["s"])
            assert sorted(cluster.voters(await cluster.leader())) == list(NAMES)

    asyncio.run(main())


def test_a_stopped_voter_that_left_joins_again(tmp_path):
    # Guards against an instance that is only restarted and stays without a vote.
    async def main():
        async with clusters.running(tmp_path, NAMES) as cluster:
            await add_all(cluster, ("f",))
            leader = await cluster.leader()
            stopped = next(name for name in NAMES if name != leader)
            await cluster.stop(stopped)
            assert stopped not in cluster.voters(leader)
            await cluster.start(stopped)
            await clusters.wait_for(lambda: stopped in cluster.voters(leader))
            assert len(cluster.voters(leader)) == 6

    asyncio.run(main())
