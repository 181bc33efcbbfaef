"""Tests of reports of entries that arrive over several paths."""

from coltsfootchute.control import instances
from coltsfootchute.proto import coltsfootchute_pb2 as pb


def test_late_report_does_not_undo_a_stop():
    # Guards against a stopping entry in address responses.
    table = instances.InstanceTable()
    running = pb.Instance(name="e", start_ms=1, revision=3)
    stopping = pb.Instance(name="e", start_ms=1, revision=3)
    stopping.state = pb.INSTANCE_STATE_STOPPING
    assert table.report(running, 0.0)
    assert table.report(stopping, 1.0)
    assert not table.report(running, 2.0)
    assert table.all() == [stopping]
    assert table.report(pb.Instance(name="e", start_ms=2), 3.0)


def test_equal_reports_are_relayed_rarely_and_expire():
    # Guards against reports that are relayed in circles, and against entries that stay
    # in the list after they stopped reporting.
    table = instances.InstanceTable()
    report = pb.Instance(name="e", start_ms=1)
    assert [table.report(report, now) for now in (0.0, 1.0, 5.0)] == [True, False, True]
    table.expire(5.0 + instances.REPORT_TIMEOUT_S - 0.1)
    assert table.all()
    table.expire(5.0 + instances.REPORT_TIMEOUT_S)
    assert not table.all()


def test_list_of_the_feed_is_the_same_after_a_change():
    # Guards against a list that is sent again to all watchers whenever an entry reports
    # a new revision.
    table = instances.InstanceTable()
    report = pb.Instance(name="e", start_ms=1, revision=3, calls_address="127.0.0.1:1")
    table.report(report, 0.0)
    before = table.listed()
    newer = pb.Instance()
    newer.CopyFrom(report)
    newer.revision = 4
    assert table.report(newer, 1.0)
    assert table.listed() == before
    assert [i.revision for i in table.all()] == [4]
    stale = pb.Instance()
    stale.CopyFrom(newer)
    stale.stale = True
    table.report(stale, 2.0)
    assert table.listed() != before
    assert table.listed()[0].calls_address == "127.0.0.1:1"
