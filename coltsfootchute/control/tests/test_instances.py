"""Tests of reports of entries that arrive over several paths."""

from coltsfootchute.control import instances
from coltsfootchute.proto import coltsfootchute_pb2 as pb


def test_late_report_does_not_undo_a_stop():
    # Guards against a stopping entry in address responses.
    table = instances.InstanceTable()
    running = pb.Instance(name="e", start_ms=1, revision=3)
    stopping = pb.Instance(name="e", start_ms=1, revision=3)
    stopping.state = pb.INSTANCE_STATE_STOPPING
    assert table.add_report(running, 0.0)
    assert table.add_report(stopping, 1.0)
    assert not table.add_report(running, 2.0)
    assert table.all() == [stopping]
    assert table.add_report(pb.Instance(name="e", start_ms=2), 3.0)


def test_unchanged_reports_are_relayed_at_intervals_and_expire():
    # Guards against reports that are relayed in circles, and against entries that stay
    # in the list after they stopped reporting.
    table = instances.InstanceTable()
    report = pb.Instance(name="e", start_ms=1)
    assert [table.add_report(report, now) for now in (0.0, 1.0, 5.0)] == [
        True,
        False,
        True,
    ]
    table.expire(5.0 + instances.REPORT_TIMEOUT_S - 0.1)
    assert table.all()
    table.expire(5.0 + instances.REPORT_TIMEOUT_S)
    assert not table.all()


def test_new_revision_of_an_entry_does_not_change_the_list_of_the_feed():
    # Guards against a list that is sent again to all watchers whenever an entry reports
    # a new revision.
    table = instances.InstanceTable()
    report = pb.Instance(name="e", start_ms=1, revision=3, calls_address="127.0.0.1:1")
    table.add_report(report, 0.0)
    before = table.for_feed()
    newer = pb.Instance()
    newer.CopyFrom(report)
    newer.revision = 4
    assert table.add_report(newer, 1.0)
    assert table.for_feed() == before
    assert [i.revision for i in table.all()] == [4]
    stale = pb.Instance()
    stale.CopyFrom(newer)
    stale.stale = True
    table.add_report(stale, 2.0)
    assert table.for_feed() != before
    assert table.for_feed()[0].calls_address == "127.0.0.1:1"
