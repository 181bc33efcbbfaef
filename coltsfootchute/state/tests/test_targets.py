"""Guards against late, repeated and conflicting commands in the target register."""

from coltsfootchute import declarations
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.state import machines, targets

Kind = pb.TargetCommand.Kind
ACCEPTED = pb.ANNOUNCEMENT_STATUS_ACCEPTED
OLD = pb.ANNOUNCEMENT_STATUS_OLD_INCARNATION


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
