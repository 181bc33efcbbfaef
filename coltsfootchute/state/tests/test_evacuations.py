"""Guards against evacuations that are lost, revert, or depend on how often they run."""

import pytest

from coltsfootchute.control import feeds
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.state import evacuations, machines

# Commands in log order: + starts and - ends the evacuation of a failure domain.
SEQUENCES = {
    "start": "+a",
    "resent start": "+a +a",
    "end without a start": "-a",
    "resent end": "+a -a -a",
    "start again": "+a -a +a",
    "two domains": "+a +b -a",
    "crossing resends": "+a +b +a -b +b -a -a +b",
}


class AlwaysApplied(evacuations.EvacuationRegister):
    def apply(self, command, clock_ms):
        outcome = super().apply(command, clock_ms)
        return pb.EvacuationOutcome(applied=True, in_force=outcome.in_force)


class NotInSnapshot(evacuations.EvacuationRegister):
    def load(self, evacuations):
        super().load([])


def new_machine(register):
    machine = machines.Machine()
    machine.evacuations = register()
    return machine


def check(sequence, restarts, register=evacuations.EvacuationRegister):
    """Compare the register and the feeds of watchers with a model after each step."""
    machine, expected, starts_ms = new_machine(register), set(), {}
    feed, seen = feeds.Feed("c"), set()
    feed.set_proof(0.0)
    watcher = feeds.WatcherProgress(pb.WatchRequest(cluster_id="c", revision=0))
    for index, step in enumerate(sequence.split(), 1):
        ended, domain = step[0] == "-", step[1:]
        command = pb.Evacuation(failure_domain=domain, ended=ended, started_ms=7)
        applied = machine.apply(index, pb.Command(time_ms=index, evacuation=command))
        assert applied.reply.applied is ((domain in expected) is ended), step
        assert bool(applied.changes) is applied.reply.applied
        assert not machine.apply(index, pb.Command(evacuation=command)).changes
        expected.symmetric_difference_update({domain} if applied.reply.applied else ())
        if applied.reply.applied:
            starts_ms[domain] = index
        if restarts:
            data = machine.dump()
            machine = new_machine(register)
            machine.load(data)
        for listed in (applied.reply.in_force, machine.evacuations.dump()):
            found = {item.failure_domain: item.started_ms for item in listed}
            assert found == {name: starts_ms[name] for name in expected}
        assert {c.evacuation.failure_domain for c in machine.view()} == expected
        feed.publish(applied.changes, index)
        for change in feed.next_message(watcher, 0.0).changes:
            name = change.evacuation.failure_domain
            (seen.discard if change.evacuation.ended else seen.add)(name)
        assert seen == expected
    late = feeds.WatcherProgress(pb.WatchRequest(cluster_id="c", revision=0))
    sent = feed.next_message(late, 0.0).changes
    assert {c.evacuation.failure_domain for c in sent} == expected


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("sequence", SEQUENCES.values(), ids=SEQUENCES)
def test_evacuations_follow_the_log(sequence, restarts):
    check(sequence, restarts)


@pytest.mark.parametrize("broken", [AlwaysApplied, NotInSnapshot, None])
def test_the_check_rejects_a_broken_register_or_feed(monkeypatch, broken):
    if broken is None:
        monkeypatch.setattr(feeds, "_item_key", lambda change: ("evacuation",))
    with pytest.raises(AssertionError):
        check(
            SEQUENCES["crossing resends"],
            True,
            broken or evacuations.EvacuationRegister,
        )
