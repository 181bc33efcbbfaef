"""Guards against late, repeated and conflicting commands in the target register."""

import tracemalloc

import pytest

from coltsfootchute import declarations
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.state import machines, targets

Kind = pb.TargetCommand.Kind
ACCEPTED = pb.ANNOUNCEMENT_STATUS_ACCEPTED
OLD = pb.ANNOUNCEMENT_STATUS_OLD_INCARNATION
UNKNOWN = pb.ANNOUNCEMENT_STATUS_UNKNOWN_TARGET


class Register:
    """State machine to which commands for targets are applied in turn."""

    def __init__(self):
        self.machine = machines.Machine()

    def apply(self, kind, target_id, incarnation=1, address="1.1.1.1:1", **fields):
        target = pb.Target(
            target_id=target_id, incarnation=incarnation, address=address, **fields
        )
        command = pb.TargetCommand(kind=kind, target=target)
        index = self.machine.index + 1
        return self.machine.apply(index, pb.Command(time_ms=1, target=command))

    def restart(self):
        """Continue with the state of a snapshot."""
        restarted = machines.Machine()
        restarted.load(self.machine.dump())
        self.machine = restarted

    def ids(self):
        return [target.target_id for target in self.machine.targets.all()]


def test_a_late_announcement_does_not_register_a_withdrawn_target():
    """Guards against a delayed announcement that registers a target again."""
    register = Register()
    register.apply(Kind.KIND_ANNOUNCE, "a")
    assert register.apply(Kind.KIND_WITHDRAW, "a", 0).reply.status == ACCEPTED
    late = register.apply(Kind.KIND_ANNOUNCE, "a")
    assert (late.reply.status, late.changes, register.ids()) == (OLD, [], [])
    assert register.apply(Kind.KIND_ANNOUNCE, "a", 2).reply.status == ACCEPTED
    assert register.ids() == ["a"]


def test_an_expired_target_may_announce_itself_again_unless_draining():
    register = Register()
    register.apply(Kind.KIND_ANNOUNCE, "a")
    register.apply(Kind.KIND_EXPIRE, "a")
    register.apply(Kind.KIND_ANNOUNCE, "a")
    assert register.ids() == ["a"]
    register.apply(Kind.KIND_DRAIN, "a")
    register.apply(Kind.KIND_EXPIRE, "a")
    register.apply(Kind.KIND_ANNOUNCE, "a")
    assert register.ids() == []


@pytest.mark.parametrize("is_restarted", [False, True])
@pytest.mark.parametrize("stated", [0, 5])
@pytest.mark.parametrize("incarnation", [0, 5])
def test_a_target_that_left_after_its_lease_ended_is_not_registered_again(
    incarnation, stated, is_restarted
):
    """Requests were sent to it until it exited, after a report that was delayed."""
    register = Register()
    register.apply(Kind.KIND_ANNOUNCE, "a", incarnation)
    register.apply(Kind.KIND_EXPIRE, "a", incarnation)
    if is_restarted:
        register.restart()
    assert register.apply(Kind.KIND_WITHDRAW, "a", stated).reply.status == ACCEPTED
    if is_restarted:
        register.restart()
    late = register.apply(Kind.KIND_ANNOUNCE, "a", incarnation)
    assert (late.reply.status, late.changes, register.ids()) == (OLD, [], [])
    # The withdrawal may be sent again, and neither a new start nor another target at
    # the address has to wait.
    assert register.apply(Kind.KIND_WITHDRAW, "a", stated).reply.status == ACCEPTED
    assert register.apply(Kind.KIND_ANNOUNCE, "b", 7).reply.status == ACCEPTED
    register.apply(Kind.KIND_ANNOUNCE, "a", 9, address="2.2.2.2:2")
    assert register.ids() == ["b", "a"]


def test_a_withdrawal_that_overtakes_the_announcement_binds():
    register = Register()
    register.apply(Kind.KIND_ANNOUNCE, "a", 5)
    applied = register.apply(Kind.KIND_WITHDRAW, "a", 6)
    assert (applied.reply.status, register.ids()) == (ACCEPTED, [])
    assert [c.removed_target_id for c in applied.changes] == ["a"]
    assert register.apply(Kind.KIND_ANNOUNCE, "a", 6).reply.status == OLD
    assert register.apply(Kind.KIND_WITHDRAW, "x", 0).reply.status == UNKNOWN


def test_the_memory_of_departures_is_bounded():
    """At 860 targets, a whole release of them is remembered in 0.5 MB."""
    register = Register()
    tracemalloc.start()
    for number in range(3 * targets.MAX_WITHDRAWN):
        name, address = f"i-{number:010x}", f"10.0.{number // 250}.{number % 250}:8080"
        register.apply(Kind.KIND_ANNOUNCE, name, 1 << 40, address)
        register.apply(Kind.KIND_EXPIRE, name, 1 << 40)
        if number % 2:
            register.apply(Kind.KIND_WITHDRAW, name, 0)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    machine = register.machine
    for remembered in (machine.targets.expired(), machine.targets.withdrawn()):
        assert 860 <= len(remembered) <= targets.MAX_WITHDRAWN
    assert held < 500_000


def test_a_late_serving_announcement_does_not_end_a_drain():
    register = Register()
    draining = pb.TARGET_STATE_DRAINING
    register.apply(Kind.KIND_ANNOUNCE, "a")
    register.apply(Kind.KIND_ANNOUNCE, "a", state=draining)
    register.apply(Kind.KIND_ANNOUNCE, "a")
    assert register.machine.targets.get("a").state == draining


def test_only_the_later_incarnation_at_an_address_is_registered():
    """Guards against two targets at one address after a crash and a new start."""
    register = Register()
    register.apply(Kind.KIND_ANNOUNCE, "old", 5)
    applied = register.apply(Kind.KIND_ANNOUNCE, "new", 6)
    assert {c.WhichOneof("body") for c in applied.changes} == {
        "removed_target_id",
        "target",
    }
    assert register.apply(Kind.KIND_ANNOUNCE, "old", 5).reply.status == OLD
    assert register.ids() == ["new"]


def test_a_snapshot_keeps_the_latest_withdrawn_targets(monkeypatch):
    monkeypatch.setattr(targets, "MAX_WITHDRAWN", 2)
    register = Register()
    for name in ("a", "b", "c"):
        register.apply(Kind.KIND_ANNOUNCE, name, address=f"{name}:1")
        register.apply(Kind.KIND_WITHDRAW, name)
    loaded = machines.Machine()
    loaded.load(register.machine.dump())
    assert [t.target_id for t in loaded.targets.withdrawn()] == ["b", "c"]


def test_only_a_higher_version_replaces_the_declaration():
    """Guards against effects of a resend, an older version or changed content."""
    machine = machines.Machine()

    def declare(version, document):
        body = pb.Declaration(version=version, document=document, submitted=b"raw")
        return machine.apply(machine.index + 1, pb.Command(time_ms=1, declaration=body))

    assert declare(7, "seven").reply.applied
    for version, document in ((7, "seven"), (7, "other"), (3, "three")):
        applied = declare(version, document)
        assert (applied.reply.version, applied.changes) == (7, [])
    assert machine.declaration.newest.document == "seven"
    (change,) = declare(9, "nine").changes
    assert (change.declaration.version, change.declaration.submitted) == (9, b"")
    assert declarations.unpack(change.declaration.packed) == b"nine"
    loaded = machines.Machine()
    loaded.load(machine.dump())
    assert loaded.declaration.newest == machine.declaration.newest
    assert loaded.view() == machine.view()


# Times in ms: reported when 10 s old and later; the register's times after that.
WARM_UPS = {
    "as before": (15_000, 5500, (0, 15_000)),
    "cold again": (0, 8000, (10_000, 8000)),
    "cold for longer": (15_000, 9000, (10_000, 9000)),
    "warm earlier": (15_000, 0, (0, 10_000)),
    "warm as before": (3000, 0, (0, 3000)),
    "never cold": (0, 0, (0, 0)),
}


@pytest.mark.parametrize(
    ("first_ms", "reported_ms", "expected"), WARM_UPS.values(), ids=list(WARM_UPS)
)
def test_the_last_report_states_until_when_a_target_is_cold(
    first_ms, reported_ms, expected
):
    """Guards against a register that keeps the time of the first announcement."""
    register = targets.TargetRegister()
    # Control may apply the same report twice.
    reports = [(0, first_ms), (10_000, reported_ms), (10_300, reported_ms)]
    for time_ms, warm_up_ms in reports:
        target = pb.Target(target_id="a", incarnation=1, warm_up_ms=warm_up_ms)
        command = pb.TargetCommand(kind=Kind.KIND_ANNOUNCE, target=target)
        register.apply(command, time_ms)
    known = register.get("a")
    assert (known.announced_ms, known.warm_up_ms) == expected
