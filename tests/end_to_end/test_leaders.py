"""Guards against accepted changes or claims that are lost with the leader."""

import asyncio
import random
import signal
import time

import grpclib.client
import pytest

from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.standins import clusters, editors, observers, workloads
from tests.end_to_end import harnesses

# R7: an accepted change is in force at every entry after this time.
IN_FORCE_BOUND_S = 3.0
LEASE_S = 1.0
CHANGES_BEFORE = 3
CHANGES_AFTER = 8
# Time in which a request reaches an entry.
SENDING_S = 0.005
# Number of changes that may be answered before the signal takes effect.
EARLY_CHANGES = 10


async def edit(editor, stop_event):
    """Propose changes until the event is set."""
    while not stop_event.is_set():
        await editor.propose()


def check_in_force(samples, names, accepted):
    """Check that changes are in force within the bound; return the times in s."""
    times = in_force_times(samples, names, accepted)
    assert max(times) <= IN_FORCE_BOUND_S, times
    return times


def in_force_times(samples, names, accepted):
    """Return the time in s after which each change was in force everywhere."""
    all_samples = [sample for of_api in samples.values() for sample in of_api]
    return [
        observers.time_until_in_force_s(
            all_samples, names, change.index, change.accepted_s
        )
        for change in accepted
    ]


def check_revisions(observer):
    for address, samples in observer.own_samples.items():
        assert len(samples) > 10, f"only {len(samples)} samples of {address}"
        assert observers.revision_decreases(samples) == [], address


class Race:
    """One change of each editor, all of them in flight when a fault occurs.

    Parameters
    ----------
    pair
        The editors.
    """

    def __init__(self, pair):
        self._pair = pair
        self._tasks = []

    async def start(self):
        """Send the changes; return once they are in flight."""
        self._tasks = [
            asyncio.create_task(_propose_until_resent(e)) for e in self._pair
        ]
        await asyncio.sleep(SENDING_S)

    async def outcomes(self):
        """Wait for the outcomes of the changes and return them."""
        return await asyncio.gather(*self._tasks)


async def _propose_until_resent(editor):
    """Propose changes until one had to be resent; return its outcome."""
    for _ in range(EARLY_CHANGES):
        outcome = await editor.propose_once()
        if outcome.attempts > 1:
            break
    return outcome


def check_race(outcomes):
    """Check the outcomes of changes in flight during a fault; return those accepted.

    One of the editors expects the last revision, or made it itself and has no answer
    yet. Its change can therefore be refused only if one of the other editor was
    accepted.
    """
    resent = [outcome for outcome in outcomes if outcome.attempts > 1]
    assert len(resent) == len(outcomes) > 1, f"the fault did not hit all: {outcomes}"
    accepted = [item for item in resent if isinstance(item, editors.Change)]
    assert accepted, f"none was accepted: {outcomes}"
    return accepted


def check_refused(refused, history):
    """Check that no change is in the history that was refused with a conflict."""
    kept = {item["request_id"] for item in history}
    in_force = [item.request_id for item in refused if item.request_id in kept]
    assert in_force == [], f"in force although refused: {in_force}"


async def change_while(harness, fault):
    """Run requests and two editors of one section around a fault.

    `fault` is called with the race of the editors and starts it right before it
    injects the fault. Until the outcomes of the race are known, no other change is
    made, because it could be accepted with the revision that the race is about.
    """
    cluster = harness.cluster
    pair = [
        editors.Editor(name, cluster.apis, harness.session, random.Random(name))
        for name in ("ada", "bo")
    ]
    race = Race(pair)

    def accepted():
        return [change for editor in pair for change in editor.accepted]

    async def edit_until(count):
        stop_event = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for editor in pair:
                group.create_task(edit(editor, stop_event))
            await harness.until(lambda: _async(len(accepted()) >= count), "changes")
            stop_event.set()

    async with (
        observers.Observer(cluster.apis, harness.session) as observer,
        workloads.Workload(cluster.apis, harness.session) as workload,
    ):
        await edit_until(CHANGES_BEFORE)
        await fault(race)
        resent = check_race(await race.outcomes())
        await edit_until(len(accepted()) + CHANGES_AFTER)
        outcomes = await workload.stop()
        changes = accepted()
        last = max(change.index for change in changes)
        names = {process.name for process in harness.fleet.of_role("entry")}

        async def is_reported():
            status = await cluster.read("/v1/status")
            reported = {i["name"]: i["revision"] for i in status.get("instances", ())}
            return all(reported.get(name, 0) >= last for name in names)

        await harness.until(is_reported, "the last change reported by each entry")
        # The observer needs a sample that is later than the status above.
        sampled = len(observer.status_samples[cluster.apis[0]])
        await harness.until(
            lambda: _async(len(observer.status_samples[cluster.apis[0]]) > sampled + 1),
            "a sample",
        )
    refused = [refusal for editor in pair for refusal in editor.refused]
    assert refused, "no two changes were in conflict"
    history = await harness.history()
    assert editors.find_lost(changes, history) == []
    check_refused(refused, history)
    check_revisions(observer)
    own = check_in_force(observer.own_samples, cluster.apis, changes)
    # Entries report once a second, so that the status shows a revision later.
    reported = in_force_times(observer.status_samples, names, changes)
    print(
        f"{len(changes)} changes, {len(resent)} resent, in force everywhere after at "
        f"most {max(own):.3f} s, by the status after {max(reported):.3f} s"
    )
    findings = harness.check_calls(outcomes)
    assert findings.violations(killed=True) == [], findings
    return outcomes, reported


async def _async(value):
    return value


def test_a_killed_leader_loses_no_change_and_no_claim(tmp_path):
    # Guards against accepted changes that only the leader had, claims that were lost
    # with it, and entries that miss later changes.
    async def scenario(harness):
        leader = await harness.leader()

        async def kill(race):
            await race.start()
            harness.kill(leader)

        outcomes, reported = await change_while(harness, kill)
        assert max(reported) <= IN_FORCE_BOUND_S, reported
        assert await harness.leader(but=leader) != leader
        reasons = {a.reason for o in outcomes for a in o.attempts}
        assert "claim_unavailable" in reasons, "no request was sent during the election"

    harnesses.run_scenario(tmp_path, scenario)


def check_refusal(reply):
    """Check that an instance without a lease answered from no state of its own."""
    assert reply.header.status == pb.REPLY_STATUS_NOT_LEADER, reply
    reply.ClearField("header")
    assert reply == type(reply)(), f"the refusal has content: {reply}"


def test_a_thawed_leader_answers_nothing_under_its_expired_lease(tmp_path):
    # Guards against a leader that was frozen for longer than its lease and, after its
    # thaw, first handles the requests that were received meanwhile.
    async def scenario(harness):
        leader = await harness.leader()
        number = int(leader.removeprefix("c")) - 1
        host, _, port = harness.cluster.control_addresses[number].rpartition(":")
        # Without the keepalive of the project's own channels, which would close the
        # connection and abort the requests that have to wait on it.
        channel = grpclib.client.Channel(host, int(port))
        control = rpc.ControlStub(channel)
        read = pb.ReadSectionsRequest()
        late_change = pb.Proposal(
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
            harness.fleet.get_process(leader).signal(signal.SIGSTOP)
            waiting.append(asyncio.create_task(control.ReadSections(read)))
            waiting.append(asyncio.create_task(control.Propose(late_change)))
            await harness.leader(but=leader)
            await race.outcomes()
            editor = editors.Editor(
                "cy", harness.cluster.apis, harness.session, random.Random(0)
            )
            await editor.propose()
            assert time.monotonic() - frozen_s > LEASE_S, "its lease is not expired"
            assert not any(task.done() for task in waiting), f"{leader} was not frozen"
            harness.fleet.get_process(leader).signal(signal.SIGCONT)
            for reply in await asyncio.wait_for(asyncio.gather(*waiting), 10):
                check_refusal(reply)

        try:
            await change_while(harness, freeze)
            assert "late-1" not in {i["request_id"] for i in await harness.history()}
        finally:
            channel.close()

    harnesses.run_scenario(tmp_path, scenario)


def test_the_checks_reject_what_must_not_happen():
    accepted = [
        editors.Change(2, 20, "a-1", 1.0, 1),
        editors.Change(3, 30, "b-1", 2, 1),
    ]
    kept = [{"revision": n, "request_id": r} for n, r in ((2, "a-1"), (3, "b-1"))]
    assert editors.find_lost(accepted, kept) == []
    assert editors.find_lost(accepted, kept[:1]) == ["b-1"], "revision 3 is missing"
    replaced = [kept[0], {"revision": 3, "request_id": "c-1"}]
    assert editors.find_lost(accepted, replaced) == ["b-1"], "revision 3 is another's"
    twice = [*accepted, editors.Change(3, 31, "d-1", 3.0, 1)]
    assert editors.find_lost(twice, kept) == ["d-1"], "two changes have revision 3"

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
    observer.status_samples["api"] = samples
    observer.own_samples["api"] = samples * 6
    assert check_in_force(observer.status_samples, {"e1"}, accepted[:1]) == [0.5]
    with pytest.raises(AssertionError):
        check_in_force(observer.status_samples, {"e1"}, accepted)
    with pytest.raises(AssertionError):
        check_in_force(observer.status_samples, {"e1", "e2"}, accepted[:1])
    with pytest.raises(AssertionError, match=r"\(20, 19\)"):
        check_revisions(observer)
    for status in (pb.REPLY_STATUS_OK, pb.REPLY_STATUS_UNKNOWN):
        with pytest.raises(AssertionError):
            check_refusal(pb.ReadSectionsReply(header=pb.ReplyHeader(status=status)))
    refused = pb.ReplyHeader(status=pb.REPLY_STATUS_NOT_LEADER)
    with pytest.raises(AssertionError, match="the refusal has content"):
        check_refusal(pb.ReadSectionsReply(header=refused, revision=7))
