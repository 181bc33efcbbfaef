"""Three control instances in one event loop, over loopback."""

import asyncio
import os
import signal
import subprocess
import sys
import time

import loguru
import pytest

from coltsfootchute import settings
from coltsfootchute.control import daemons, links, members
from coltsfootchute.control.tests import clusters
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.state import outcomes


def claim(attempt):
    key = (time.time_ns() // 1_000_000).to_bytes(6, "big") + b"\x70\x00\x80" + bytes(7)
    return pb.ClaimCommand(
        service="s", key=key, digest=b"d", attempt_id=attempt, retention_s=600
    )


async def check_resend_after_stop(cluster, stop):
    """Propose and claim, end the leader, then send the same again to the next one."""
    first_leader = await cluster.leader()
    accepted = (await cluster.call("Propose", clusters.proposal("r1"))).outcome
    assert accepted.status == pb.PROPOSAL_STATUS_ACCEPTED
    granted = claim(b"attempt-1")
    reply = await cluster.call("Claim", granted)
    assert reply.outcome.status == pb.CLAIM_STATUS_GRANTED
    await stop(first_leader)
    resent = (await cluster.call("Propose", clusters.proposal("r1"))).outcome
    assert await cluster.leader() != first_leader
    assert resent == accepted, "the resend got another outcome"
    # The same attempt may go on, another one may not.
    reply = await cluster.call("Claim", granted)
    assert reply.outcome.status == pb.CLAIM_STATUS_GRANTED
    granted.attempt_id = b"attempt-2"
    reply = await cluster.call("Claim", granted)
    assert reply.outcome.status == pb.CLAIM_STATUS_CLAIMED


@pytest.mark.parametrize("way", ["stop", "kill"])
def test_resend_after_the_leader_ended_gets_the_first_outcome(tmp_path, way):
    # Guards against a change that is applied twice or lost with its leader, and a
    # key that is granted to two attempts.
    async def main():
        async with clusters.running(tmp_path) as cluster:
            await check_resend_after_stop(cluster, getattr(cluster, way))

    asyncio.run(main())


def test_check_rejects_a_missing_request_id_table(tmp_path, monkeypatch):
    monkeypatch.setattr(outcomes.OutcomeTable, "find", lambda self, proposal: None)

    async def main():
        async with clusters.running(tmp_path) as cluster:
            await check_resend_after_stop(cluster, cluster.stop)

    with pytest.raises(AssertionError, match="another outcome"):
        asyncio.run(main())


def test_concurrent_proposals_reach_every_watcher_once(tmp_path):
    # Guards against two accepted changes of one revision, and against followers
    # whose feed misses the change or goes on after a planned stop.
    async def watch(address, messages):
        channel = links.open_channel(address)
        try:
            async with rpc.FeedStub(channel).Watch.open() as stream:
                await stream.send_message(pb.WatchRequest(watcher="w"), end=True)
                async for message in stream:
                    messages.append(message)
        finally:
            channel.close()

    async def main():
        async with clusters.running(tmp_path) as cluster:
            leader = await cluster.leader()
            follower = next(name for name in cluster.daemons if name != leader)
            messages = []
            address = cluster.daemons[follower].address
            watching = asyncio.create_task(watch(address, messages))
            requests = [clusters.proposal(f"r{n}") for n in range(5)]
            replies = await asyncio.gather(
                *(cluster.call("Propose", request) for request in requests)
            )
            statuses = [reply.outcome.status for reply in replies]
            assert statuses.count(pb.PROPOSAL_STATUS_ACCEPTED) == 1
            assert statuses.count(pb.PROPOSAL_STATUS_CONFLICT) == 4
            accepted = statuses.index(pb.PROPOSAL_STATUS_ACCEPTED)
            assert {r.outcome.author for r in replies} == {f"r{accepted}"}
            await clusters.wait_for(lambda: any(m.changes for m in messages))
            changes = [change for m in messages for change in m.changes]
            assert [change.section.revision for change in changes] == [1]
            assert all(m.has_proof for m in messages)
            await cluster.stop(follower)
            await asyncio.wait_for(watching, clusters.TIMEOUT_S)

    asyncio.run(main())


def test_invalid_and_foreign_proposals_are_refused(tmp_path):
    # Guards against a bad document in the log, and a section that another team
    # takes over.
    async def main():
        async with clusters.running(tmp_path) as cluster:
            bad = clusters.proposal("r1")
            bad.document = '{"rules": 7}'
            outcome = (await cluster.call("Propose", bad)).outcome
            assert outcome.status == pb.PROPOSAL_STATUS_INVALID
            assert [error.path for error in outcome.errors] == ["$.rules"]
            await cluster.call("Propose", clusters.proposal("r2"))
            foreign = clusters.proposal("r3", revision=1, team="other")
            outcome = (await cluster.call("Propose", foreign)).outcome
            assert outcome.status == pb.PROPOSAL_STATUS_NOT_OWNER
            reply = await cluster.call("ReadSections", pb.ReadSectionsRequest())
            assert [len(s.history) for s in reply.sections] == [1]

    asyncio.run(main())


def test_lost_disk_is_replaced_by_a_promoted_learner(tmp_path):
    # Guards against a quorum that the lost member still counts in, and against a
    # repaired instance without the committed changes.
    async def main():
        async with clusters.running(tmp_path) as cluster:
            leader = await cluster.leader()
            lost = next(name for name in cluster.daemons if name != leader)
            before = cluster.voters(leader)
            await cluster.call("Propose", clusters.proposal("r1"))
            await cluster.kill(lost)
            await cluster.start(lost, generation=1)
            await clusters.wait_for(
                lambda: cluster.voters(leader).get(lost) not in (None, before[lost])
            )
            assert len(cluster.voters(leader)) == 3
            core = cluster.daemons[lost].core
            await clusters.wait_for(lambda: core.machine.sections.names() == ["s"])

    asyncio.run(main())


def test_two_lost_disks_are_replaced_without_waiting_for_other_duties(
    tmp_path, monkeypatch
):
    # Guards against replacements that take seconds for each step: the next disks
    # may be lost soon after the return of the last ones.
    async def main():
        names = ("a", "b", "c", "d", "e")
        async with clusters.running(tmp_path, names) as cluster:
            leader = await cluster.leader()
            lost = [name for name in names if name != leader][:2]
            before = cluster.voters(leader)
            for name in lost:
                await cluster.kill(name)
            for name in lost:
                await cluster.start(name, generation=1)
            await clusters.wait_for(
                lambda: (
                    not set(before.values())
                    & {cluster.voters(leader).get(name, before[name]) for name in lost}
                )
            )
            assert sorted(cluster.voters(leader)) == sorted(names)

    monkeypatch.setattr(daemons, "DUTY_INTERVAL_S", 3600.0)
    asyncio.run(main())


def test_removed_instance_joins_again_with_its_data(tmp_path):
    # Guards against an instance that waits for a leader that sends it nothing.
    async def main():
        async with clusters.running(tmp_path) as cluster:
            leader = await cluster.leader()
            removed = next(name for name in cluster.daemons if name != leader)
            before = cluster.voters(leader)
            await cluster.kill(removed)
            core = cluster.daemons[leader].core
            core.change_membership(
                lambda now: core.replica.remove_member(before[removed], now)
            )
            await clusters.wait_for(lambda: removed not in cluster.voters(leader))
            await cluster.start(removed)
            await clusters.wait_for(lambda: cluster.voters(leader) == before)

    asyncio.run(main())


def test_removed_instance_finds_the_others_without_its_seeds(tmp_path):
    # Guards against an instance that asks only addresses that are gone for good.
    async def main():
        async with clusters.running(tmp_path) as cluster:
            leader = await cluster.leader()
            removed = next(name for name in cluster.daemons if name != leader)
            before = cluster.voters(leader)
            await cluster.kill(removed)
            core = cluster.daemons[leader].core
            core.change_membership(
                lambda now: core.replica.remove_member(before[removed], now)
            )
            await clusters.wait_for(lambda: removed not in cluster.voters(leader))
            cluster.initial = [m for m in cluster.initial if m.name == removed]
            await cluster.start(removed)
            await clusters.wait_for(lambda: cluster.voters(leader) == before)

    asyncio.run(main())


def test_target_and_report_are_known_everywhere(tmp_path):
    # Guards against targets and entries that only some instances know.
    async def main():
        async with clusters.running(tmp_path) as cluster:
            target = pb.Target(
                target_id="t1", incarnation=1, address="127.0.0.1:1", services=["s"]
            )
            announce = pb.TargetCommand(target=target)
            await cluster.call("Announce", pb.AnnounceRequest(command=announce))
            renewals = [
                pb.Renewal(target_id="t1", incarnation=1),
                pb.Renewal(target_id="t1", incarnation=2),
                pb.Renewal(target_id="t2", incarnation=1),
            ]
            reply = await cluster.call("Renew", pb.RenewRequest(renewals=renewals))
            assert list(reply.refused) == renewals[1:]
            report = pb.ReportRequest(instance=pb.Instance(name="e1", start_ms=1))
            await cluster.call("Report", report)
            for daemon in cluster.daemons.values():
                feed = daemon.core.feed
                await clusters.wait_for(
                    lambda d=daemon: len(d.core.machine.targets) == 1
                )
                await clusters.wait_for(
                    lambda f=feed: [i.name for i in f.instances] == ["e1"]
                )

    asyncio.run(main())


async def check_relay(cluster):
    """Report to one follower; the other one has to know the entry as well."""
    leader = await cluster.leader()
    taker, other = (name for name in cluster.daemons if name != leader)
    # Followers exchange messages with the leader only, but an election may have
    # left a link between them.
    for name, core in [(n, cluster.daemons[n].core) for n in (taker, other)]:
        beside = cluster.daemons[other if name == taker else taker].core
        link = core.links._links.pop(beside.identity.member_id, None)
        if link is not None:
            await link.stop()
    channel = links.open_channel(cluster.daemons[taker].address)
    try:
        report = pb.ReportRequest(instance=pb.Instance(name="e1", start_ms=1))
        await rpc.ControlStub(channel).Report(report)
    finally:
        channel.close()
    known = cluster.daemons[other].maintenance.instances
    await clusters.wait_for(lambda: [i.name for i in known.all()] == ["e1"])


def test_a_report_to_one_follower_reaches_the_other(tmp_path):
    # Guards against an entry that is missing in the address responses of entries
    # that watch another follower (a relay only over the links to the leader).
    async def main():
        async with clusters.running(tmp_path) as cluster:
            await check_relay(cluster)

    asyncio.run(main())


def test_check_rejects_a_relay_over_present_links_only(tmp_path, monkeypatch):
    def relay(self, instance):
        request = pb.ReportRequest(instance=instance)
        for link in self._links.values():
            self._spawn(self._relay(link, request))

    monkeypatch.setattr(members.MemberLinks, "relay", relay)

    async def main():
        async with clusters.running(tmp_path) as cluster:
            await cluster.leader()
            monkeypatch.setitem(globals(), "clusters.TIMEOUT_S", 2.0)
            await check_relay(cluster)

    with pytest.raises(AssertionError, match="not met in time"):
        asyncio.run(main())


def test_a_claim_at_a_follower_is_no_unknown_outcome(tmp_path):
    # Guards against an alarm on unknown claims that every lost leader sets off.
    async def main():
        async with clusters.running(tmp_path) as cluster:
            leader = await cluster.leader()
            follower = next(n for n in cluster.daemons if n != leader)
            channel = links.open_channel(cluster.daemons[follower].address)
            try:
                reply = await rpc.ControlStub(channel).Claim(claim(b"attempt-1"))
            finally:
                channel.close()
            assert reply.header.status == pb.REPLY_STATUS_NOT_LEADER
            counters = cluster.daemons[follower].core.counters
            assert (counters["not_leader"], counters["claims_unknown"]) == (1, 0)

    asyncio.run(main())


def test_a_stop_logs_what_it_waits_for(tmp_path):
    # Guards against a process that hangs in its stop without a trace of where.
    messages = []

    async def main():
        cluster = clusters.Cluster(tmp_path, names=["a"])
        await cluster.start("a")
        await cluster.leader()
        sink = loguru.logger.add(lambda m: messages.append(m.record), level="INFO")
        try:
            await cluster.stop("a")
        finally:
            loguru.logger.remove(sink)

    asyncio.run(main())
    noted = [record for record in messages if "fields" in record["extra"]]
    steps = [record["message"] for record in noted]
    names = ("stopping", "ends the feeds", "feeds ended", "messages to peers sent")
    names += ("links closed", "takes no more calls", "stopped")
    assert steps == [f"control: {name}" for name in names]
    ages = [record["extra"]["fields"]["since_stop_s"] for record in noted]
    assert ages == sorted(ages)


def test_metrics_are_served_if_set(tmp_path):
    # Guards against an instance that reports ready without proof of currency.
    async def get(port, path):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET %s HTTP/1.0\r\n\r\n" % path.encode())
        data = await reader.read()
        writer.close()
        return data

    async def main():
        cluster = clusters.Cluster(tmp_path, names=["a"])
        await cluster.start("a", metrics="127.0.0.1:0")
        ((_, port),) = cluster.daemons["a"]._metrics.addresses
        try:
            assert b" 503 " in await get(port, "/readyz")
            await cluster.leader()
            assert b" 200 " in await get(port, "/readyz")
            assert b"\ncoltsfootchute_control_leader 1.0" in await get(port, "/metrics")
        finally:
            await cluster.stop("a")

    asyncio.run(main())


def test_process_ends_with_a_signal(tmp_path):
    # Guards against a process that does not stop, or that loses its data folder.
    path = tmp_path / "settings.json"
    path.write_text(
        """{"instance": {"name": "a", "failure_domain": "fd"},
        "control": {"peer": "127.0.0.1:0", "data": "data",
                    "initial": [{"name": "a", "address": "127.0.0.1:0"}]}}"""
    )
    command = [sys.executable, "-m", "coltsfootchute.control", str(path)]
    for _ in range(2):
        process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
        try:
            lines = iter(process.stderr.readline, "")
            assert any("control: leads" in line for line in lines)
            process.send_signal(signal.SIGTERM)
            assert process.wait(clusters.TIMEOUT_S) == 0
        finally:
            process.kill()
            process.stderr.close()


@pytest.mark.parametrize("second", [signal.SIGTERM, signal.SIGINT])
def test_only_sigint_ends_a_stop_that_hangs(tmp_path, monkeypatch, second):
    # Guards against a process that can't be stopped while its stop hangs, and against
    # a planned stop that a repeated SIGTERM cuts short.
    ended = []

    async def hang(self):
        os.kill(os.getpid(), second)
        if second is signal.SIGINT:
            await clusters.wait_for(lambda: ended)
        else:
            await asyncio.sleep(0.1)

    monkeypatch.setattr(daemons.Daemon, "stop", hang)
    monkeypatch.setattr(os, "_exit", ended.append)
    member = settings.InitialMember(name="a", address="127.0.0.1:0")
    control = settings.ControlSettings(
        peer="127.0.0.1:0", data=str(tmp_path / "a"), initial=[member]
    )
    instance = settings.InstanceSettings(name="a", failure_domain="fd")
    cfg = settings.Settings(instance=instance, control=control)

    async def main():
        asyncio.get_running_loop().call_later(0.1, os.kill, os.getpid(), signal.SIGTERM)
        await daemons._serve(cfg)

    asyncio.run(main())
    assert ended == ([1] if second is signal.SIGINT else [])
