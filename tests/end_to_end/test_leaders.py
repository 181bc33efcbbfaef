"""Guards against a lost leader that takes accepted changes or claims along."""

import asyncio
import random
import signal
import time

import grpclib.client
import pytest

from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.standins import clusters, editors, observers, workloads
from tests.end_to_end import stages

IN_FORCE_BOUND_S = 3.0  # R7
LEASE_S = 1.0
CHANGES_BEFORE = 3
CHANGES_AFTER = 8
# Time in which a request reaches an entry.
SENDING_S = 0.005
# Changes that may be answered before a signal takes effect.
EARLY_CHANGES = 10


async def edit(editor, enough):
    while not enough.is_set():
        await editor.propose()


def check_in_force(samples, names, accepted):
    """Check the bound of R7; return the measured times in s."""
    times = in_force_times(samples, names, accepted)
    assert max(times) <= IN_FORCE_BOUND_S, times
    return times


def in_force_times(samples, names, accepted):
    flat = [sample for found in samples.values() for sample in found]
    return [
        observers.in_force_s(flat, names, change.index, change.accepted_s)
        for change in accepted
    ]


def check_revisions(observer):
    for address, samples in observer.own.items():
        assert len(samples) > 10, f"{address} was hardly asked"
        assert observers.setbacks(samples) == [], address


class Race:
    """A change of each editor that is on its way when a fault hits."""

    def __init__(self, staff):
        self._staff = staff
        self._tasks = []

    async def start(self):
        """Send the changes; return when they are on their way."""
        self._tasks = [asyncio.create_task(_resend(e)) for e in self._staff]
        await asyncio.sleep(SENDING_S)

    async def outcomes(self):
        """Return the outcomes, all of them after the fault."""
        return await asyncio.gather(*self._tasks)


async def _resend(editor):
    """Propose changes until one had to be sent again; return its outcome."""
    for _ in range(EARLY_CHANGES):
        outcome = await editor.propose_once()
        if outcome.sendings > 1:
            break
    return outcome


def check_race(outcomes):
    """Check the outcomes of changes that met a fault; return those accepted.

    One of the editors knows the last revision or has yet to hear that it made it, so
    only an accepted change of the other one can get its change refused.
    """
    resent = [outcome for outcome in outcomes if outcome.sendings > 1]
    assert len(resent) == len(outcomes) > 1, f"the fault did not hit all: {outcomes}"
    accepted = [item for item in resent if isinstance(item, editors.Change)]
    assert accepted, f"none was accepted: {outcomes}"
    return accepted


def check_refused(refused, history):
    """Check that no change is in force that was answered with a conflict."""
    kept = {item["request_id"] for item in history}
    found = [item.request_id for item in refused if item.request_id in kept]
    assert found == [], "in force although refused"


async def change_while(stage, fault):
    """Run requests and two editors of one section around a fault.

    `fault` is called with the race of the editors, which it starts right before it
    hits. Until the race has its outcomes no other change is made, because that one
    could take the revision for which the race is run.
    """
    cluster = stage.cluster
    staff = [
        editors.Editor(name, cluster.apis, stage.session, random.Random(name))
        for name in ("ada", "bo")
    ]
    race = Race(staff)

    def accepted():
        return [change for editor in staff for change in editor.accepted]

    async def edit_until(count):
        enough = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for editor in staff:
                group.create_task(edit(editor, enough))
            await stage.until(lambda: _true(len(accepted()) >= count), "changes")
            enough.set()

    async with (
        observers.Observer(cluster.apis, stage.session) as observer,
        workloads.Workload(cluster.apis, stage.session) as workload,
    ):
        await edit_until(CHANGES_BEFORE)
        await fault(race)
        resent = check_race(await race.outcomes())
        await edit_until(len(accepted()) + CHANGES_AFTER)
        outcomes = await workload.stop()
        changes = accepted()
        last = max(change.index for change in changes)
        names = {process.name for process in stage.fleet.of_role("entry")}

        async def is_reported():
            found = await cluster.read("/v1/status")
            known = {i["name"]: i["revision"] for i in found.get("instances", ())}
            return all(known.get(name, 0) >= last for name in names)

        await stage.until(is_reported, "the last change reported by each entry")
        # The observer has to see what this test has seen.
        seen = len(observer.status[cluster.apis[0]])
        await stage.until(
            lambda: _true(len(observer.status[cluster.apis[0]]) > seen + 1), "a sample"
        )
    refused = [refusal for editor in staff for refusal in editor.refused]
    assert refused, "no two changes met"
    history = await stage.history()
    assert editors.find_lost(changes, history) == []
    check_refused(refused, history)
    check_revisions(observer)
    own = check_in_force(observer.own, cluster.apis, changes)
    # Entries report once a second, so the status shows a revision later.
    reported = in_force_times(observer.status, names, changes)
    print(
        f"{len(changes)} changes, {len(resent)} resent, in force everywhere after at "
        f"most {max(own):.3f} s, by the status after {max(reported):.3f} s"
    )
    findings = stage.judge(outcomes)
    assert findings.broken(killed=True) == [], findings
    return outcomes, reported


async def _true(value):
    return value


def test_a_killed_leader_takes_nothing_along(tmp_path):
    # Guards against accepted changes that were only on the leader, keys whose
    # claim was lost with it, and entries that miss changes after it.
    async def scene(stage):
        leader = await stage.leader()

        async def kill(race):
            await race.start()
            stage.kill(leader)

        outcomes, reported = await change_while(stage, kill)
        assert max(reported) <= IN_FORCE_BOUND_S, reported
        assert await stage.leader(but=leader) != leader
        reasons = {a.reason for o in outcomes for a in o.attempts}
        assert "claim_unavailable" in reasons, "no request met the election"

    stages.play(tmp_path, scene)


def check_refusal(reply):
    """Check that an instance without a lease gave no answer of its own."""
    assert reply.header.status == pb.REPLY_STATUS_NOT_LEADER, reply
    reply.ClearField("header")
    assert reply == type(reply)(), "it told something all the same"


def test_a_thawed_leader_answers_nothing_from_its_old_lease(tmp_path):
    # Guards against a leader that was frozen for longer than its lease and, when
    # it goes on, first handles the requests that waited meanwhile.
    async def scene(stage):
        leader = await stage.leader()
        number = int(leader.removeprefix("c")) - 1
        host, _, port = stage.cluster.control_addresses[number].rpartition(":")
        # Without the keepalive of the project's own channels, which would end the
        # connection and with it the requests that have to wait in it.
        channel = grpclib.client.Channel(host, int(port))
        control = rpc.ControlStub(channel)
        read = pb.ReadSectionsRequest()
        forged = pb.Proposal(
            section=clusters.SERVICE,
            document='{"rules": []}',
            team=clusters.TEAM,
            author="late",
            request_id="late-1",
            expected_revision=1,
        )
        waiting = []

        async def freeze(race):
            before = await control.ReadSections(read)
            assert before.header.status == pb.REPLY_STATUS_OK
            await race.start()
            frozen_s = time.monotonic()
            stage.fleet.named(leader).signal(signal.SIGSTOP)
            waiting.append(asyncio.create_task(control.ReadSections(read)))
            waiting.append(asyncio.create_task(control.Propose(forged)))
            await stage.leader(but=leader)
            await race.outcomes()
            editor = editors.Editor(
                "cy", stage.cluster.apis, stage.session, random.Random(0)
            )
            await editor.propose()
            assert time.monotonic() - frozen_s > LEASE_S, "its lease still ran"
            assert not any(task.done() for task in waiting), "it was not frozen"
            stage.fleet.named(leader).signal(signal.SIGCONT)
            for reply in await asyncio.wait_for(asyncio.gather(*waiting), 10):
                check_refusal(reply)

        try:
            await change_while(stage, freeze)
            assert "late-1" not in {i["request_id"] for i in await stage.history()}
        finally:
            channel.close()

    stages.play(tmp_path, scene)


def test_the_checks_reject_what_must_not_happen():
    accepted = [
        editors.Change(2, 20, "a-1", 1.0, 1),
        editors.Change(3, 30, "b-1", 2, 1),
    ]
    kept = [{"revision": n, "request_id": r} for n, r in ((2, "a-1"), (3, "b-1"))]
    assert editors.find_lost(accepted, kept) == []
    assert editors.find_lost(accepted, kept[:1]) == ["b-1"], "it vanished"
    replaced = [kept[0], {"revision": 3, "request_id": "c-1"}]
    assert editors.find_lost(accepted, replaced) == ["b-1"], "another took its place"
    twice = [*accepted, editors.Change(3, 31, "d-1", 3.0, 1)]
    assert editors.find_lost(twice, kept) == ["d-1"], "two got one revision"

    refused = editors.Refusal("r-1", 2)
    check_refused([refused], kept)
    with pytest.raises(AssertionError, match="although refused"):
        check_refused([refused], [*kept, {"revision": 4, "request_id": "r-1"}])
    resent = editors.Change(4, 40, "e-1", 4.0, 2)
    assert check_race([refused, resent]) == [resent]
    with pytest.raises(AssertionError, match="none was accepted"):
        check_race([refused, refused])
    for outcome in (accepted[0], editors.Refusal("s-1", 1)):
        with pytest.raises(AssertionError, match="did not hit all"):
            check_race([resent, outcome])

    observer = observers.Observer([], None)
    samples = [observers.Sample(t, t, {"e1": r}) for t, r in ((1.0, 19), (1.5, 20))]
    observer.status["api"] = samples
    observer.own["api"] = samples * 6
    assert check_in_force(observer.status, {"e1"}, accepted[:1]) == [0.5]
    with pytest.raises(AssertionError):
        check_in_force(observer.status, {"e1"}, accepted)
    with pytest.raises(AssertionError):
        check_in_force(observer.status, {"e1", "e2"}, accepted[:1])
    with pytest.raises(AssertionError, match=r"\(20, 19\)"):
        check_revisions(observer)
    for status in (pb.REPLY_STATUS_OK, pb.REPLY_STATUS_UNKNOWN):
        with pytest.raises(AssertionError):
            check_refusal(pb.ReadSectionsReply(header=pb.ReplyHeader(status=status)))
    refused = pb.ReplyHeader(status=pb.REPLY_STATUS_NOT_LEADER)
    with pytest.raises(AssertionError, match="told something"):
        check_refusal(pb.ReadSectionsReply(header=refused, revision=7))
