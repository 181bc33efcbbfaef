"""Guards against one odd target in the feed that stops an entry or its callers."""

import pytest

from coltsfootchute import background
from coltsfootchute.entry import daemons, watches
from coltsfootchute.entry.tests import fakes
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.state import machines

ODD = [
    {"state": 77},
    {"address": "127.0.0.1:0"},
    {"address": "127.0.0.1:65536"},
    {"address": "127.0.0.1"},
    {"slots": (1 << 32) - 1, "address": "127.0.0.1:0"},
]


@pytest.mark.parametrize("changes", ODD, ids=str)
def test_an_entry_follows_the_feed_and_serves_after_an_odd_target(changes):
    async def scenario(harness):
        harness.control.target(harness.targets[0], target_id="odd", **changes)
        answers = [await harness.send("GET", "/shop/items/1") for _ in range(8)]
        assert {answer.status for answer in answers} == {200}
        harness.control.target(harness.targets[0], target_id="later")
        view = harness.entry.view
        await fakes.wait_until(lambda: "later" in view.targets)
        assert "odd" not in view.targets

    fakes.run(scenario, fakes.respond())


def test_an_unhandled_error_does_not_end_the_watcher(monkeypatch):
    """An entry that no longer follows the feed keeps targets that have left."""

    async def scenario(harness):
        apply = harness.entry.view.apply
        failures = iter([ValueError("odd")])

        def fail_once(message, now):
            for exc in failures:
                raise exc
            return apply(message, now)

        monkeypatch.setattr(harness.entry.view, "apply", fail_once)
        harness.control.target(harness.targets[0], target_id="later")
        view = harness.entry.view
        await fakes.wait_until(lambda: "later" in view.targets)

    fakes.run(scenario, fakes.respond())


@pytest.mark.parametrize("name", ["_send_report", "own_instance"])
def test_reports_go_on_after_an_unhandled_error(monkeypatch, name):
    """An entry whose reports end is left out of the addresses that callers get."""
    monkeypatch.setattr(background, "RESTART_PAUSE_S", 0.01)
    monkeypatch.setattr(daemons, "REPORT_MAX_INTERVAL_S", 0.0)

    async def scenario(harness):
        work = getattr(harness.entry, name)
        failures = iter([ValueError("odd")])

        def fail_once():
            for exc in failures:
                raise exc
            return work()

        monkeypatch.setattr(harness.entry, name, fail_once)
        sent = len(harness.control.reports)
        await fakes.wait_until(lambda: len(harness.control.reports) > sent)

    fakes.run(scenario, fakes.respond())


def test_a_stored_odd_target_is_loaded_and_the_entries_skip_it():
    """A version of control that accepted it may have left it in a log or snapshot."""
    machine = machines.Machine()
    # The register corrects an unknown state of an announcement.
    stored = [changes for changes in ODD if "state" not in changes]
    for index, changes in enumerate(({}, *stored), 1):
        fields = {"target_id": f"t{index}", "address": f"127.0.0.1:{index}"}
        target = pb.Target(**{**fields, "services": ["s"], **changes})
        command = pb.TargetCommand(kind=pb.TargetCommand.KIND_ANNOUNCE, target=target)
        machine.apply(index, pb.Command(time_ms=index, target=command))
    restarted = machines.Machine()
    restarted.load(machine.dump())
    view = watches.View()
    message = pb.FeedMessage(
        cluster_id="c", revision=restarted.revision, full=True, changes=restarted.view()
    )
    assert view.apply(message, 0.0) is watches.ApplyResult.APPLIED
    assert list(view.targets) == ["t1"]
