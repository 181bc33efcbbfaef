"""Guards against instances that never become members, or never again."""

import asyncio
import socket

import msgspec

from coltsfootchute import settings
from coltsfootchute.control import daemons
from coltsfootchute.control.tests import clusters


def test_removed_learner_that_goes_on_running_joins_again(tmp_path, monkeypatch):
    # Guards against a learner that takes a leader that removed it for its own.
    async def main():
        async with clusters.running(tmp_path) as cluster:
            leader = await cluster.leader()
            core = cluster.daemons[leader].core
            sock = socket.create_server(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            cluster.initial.append(settings.InitialMember(name="d", address=address))
            cluster.sockets["d"] = sock
            await cluster.start("d")
            learner = cluster.daemons["d"].core
            member_id = learner.identity.member_id

            def is_learner(known=core):
                membership = known.replica.committed_membership
                members = membership.members if membership else ()
                return member_id in {m.member_id for m in members}

            await clusters.wait_for(lambda: is_learner(learner))
            core.change_membership(
                lambda now: core.replica.remove_member(member_id, now)
            )
            await clusters.wait_for(lambda: not is_learner())
            await clusters.wait_for(is_learner)
            await clusters.wait_for(lambda: learner.replica.leader_id)
            assert leader == await cluster.leader()

    monkeypatch.setattr(daemons, "MEMBERSHIP_INTERVAL_S", 3600.0)
    asyncio.run(main())


def test_instance_without_data_joins_through_changed_seeds(tmp_path):
    # Guards against an instance that asks the seeds of its start for good.
    async def main():
        async with clusters.running(tmp_path) as cluster:
            leader = await cluster.leader()
            present = cluster.initial
            gone, own = (socket.create_server(("127.0.0.1", 0)) for _ in range(2))
            seeds = [
                settings.InitialMember(
                    name=name, address=f"127.0.0.1:{sock.getsockname()[1]}"
                )
                for name, sock in (("d", own), ("gone", gone))
            ]
            gone.close()
            cluster.initial, cluster.sockets["d"] = seeds, own
            await cluster.start("d")
            daemon = cluster.daemons["d"]
            await asyncio.sleep(3.0)
            assert daemon.core.replica.membership is None
            control = msgspec.structs.replace(daemon.cfg.control, initial=present[:1])
            daemon.reload(msgspec.structs.replace(daemon.cfg, control=control))
            await clusters.wait_for(lambda: "d" in cluster.voters(leader))

    asyncio.run(main())
