"""The state machine against a simple model, under resends and restarts."""

import collections

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.state import claims, machines, outcomes, registers

START_MS = 1_700_000_000_000
DAY_MS = 24 * 3600 * 1000
RETENTIONS_S = (10, 100)
AGES_MS = (0, 5_000, 20_000, 70_000, 99_000)


def make_key(time_ms: int, serial: int) -> bytes:
    return time_ms.to_bytes(6, "big") + b"\x70\x00\x80" + serial.to_bytes(7, "big")


class NoOutcomeTable(outcomes.OutcomeTable):
    def find(self, proposal):
        return None


class NoCompareAndSwap(registers.SectionRegister):
    def propose(self, proposal, index, time_ms):
        present = self._sections.get(proposal.section)
        forged = pb.Proposal()
        forged.CopyFrom(proposal)
        forged.expected_revision = present.history[-1].revision if present else 0
        return super().propose(forged, index, time_ms)


class RevertingSections(registers.SectionRegister):
    def load(self, sections):
        super().load(sections)
        for section in sections:
            if len(section.history) > 1:
                del section.history[-1]


class GrantsToAnyone(claims.ClaimTable):
    def find(self, command):
        found = super().find(command)
        if found is not None and found.status == pb.CLAIM_STATUS_CLAIMED:
            return pb.ClaimOutcome(status=pb.CLAIM_STATUS_GRANTED)
        return found


class NoFloors(claims.ClaimTable):
    def _drop(self, name, clock_ms):
        super()._drop(name, clock_ms)
        self._floors.clear()


class FloorsNotDumped(claims.ClaimTable):
    def load(self, stored, floors):
        super().load(stored, [])


class AnyoneReleases(claims.ClaimTable):
    def settle(self, command):
        if command.released:
            self._claims.pop((command.service, command.key), None)
        super().settle(command)


class MachineRules(stateful.RuleBasedStateMachine):
    """Commands, resends, clock jumps and restarts; the model is a few dicts."""

    parts: dict = {}
    seen: collections.Counter = collections.Counter()

    def __init__(self):
        super().__init__()
        self.machine = self.make()
        # The cluster is older than the oldest key; a new one refuses such keys.
        self.machine.apply(1, pb.Command(time_ms=START_MS - max(AGES_MS)))
        self.index = 1
        self.clock_ms = START_MS
        self.serial = 0
        self.sections = {}  # name -> (owner, [(document, author)])
        self.proposed = []  # (proposal, outcome, time)
        self.holders = {}  # key -> claim of the attempt that may have sent it
        self.claimed = []  # claim commands
        self.loaded = 0

    def make(self):
        machine = machines.Machine()
        for name, part in self.parts.items():
            setattr(machine, name, part())
        return machine

    def apply(self, **body):
        self.index += 1
        command = pb.Command(time_ms=self.clock_ms, **body)
        applied = self.machine.apply(self.index, command)
        # A repeated entry must change nothing.
        again = self.machine.apply(self.index, command)
        assert again.reply is None
        assert not again.changes
        return applied

    @stateful.rule(ms=st.sampled_from([1, 3_000, 12_000, 12_000, 30_000, DAY_MS]))
    def advance(self, ms):
        self.clock_ms += ms
        self.apply()

    @stateful.rule()
    def restart(self):
        data = self.machine.dump()
        self.machine = self.make()
        self.machine.load(data)
        assert self.machine.dump() == data
        self.loaded += 1

    @stateful.rule(
        name=st.sampled_from("ab"),
        team=st.sampled_from("xxxy"),
        offset=st.sampled_from([0, 0, 0, -1, 1]),
    )
    def propose(self, name, team, offset):
        self.serial += 1
        owner, history = self.sections.get(name, (team, []))
        proposal = pb.Proposal(
            section=name,
            team=team,
            author=f"author-{self.serial}",
            document=f"document-{self.serial}",
            expected_revision=max(0, len(history) + offset),
            request_id=f"request-{self.serial}",
        )
        outcome = self.apply(proposal=proposal).reply
        if team != owner:
            assert outcome.status == pb.PROPOSAL_STATUS_NOT_OWNER
        elif proposal.expected_revision != len(history):
            assert outcome.status == pb.PROPOSAL_STATUS_CONFLICT
            assert outcome.revision == len(history)
            assert outcome.author == (history[-1][1] if history else "")
        else:
            assert outcome.status == pb.PROPOSAL_STATUS_ACCEPTED
            entry = (proposal.document, proposal.author)
            self.sections[name] = owner, [*history, entry]
            assert outcome.revision == len(history) + 1
        self.proposed.append((proposal, outcome, self.clock_ms))
        self.seen[pb.ProposalStatus.Name(outcome.status)] += 1

    @stateful.precondition(lambda self: self.proposed)
    @stateful.rule(data=st.data(), changed=st.booleans())
    def resend_proposal(self, data, changed):
        proposal, first, time_ms = data.draw(st.sampled_from(self.proposed[-5:]))
        if self.clock_ms >= time_ms + outcomes.OUTCOME_KEPT_MS:
            return
        resent = pb.Proposal()
        resent.CopyFrom(proposal)
        if changed:
            resent.document += " changed"
        outcome = self.apply(proposal=resent).reply
        if changed:
            assert outcome.status == pb.PROPOSAL_STATUS_REQUEST_ID_REUSED
        else:
            assert outcome == first
            self.seen["resent after a restart"] += bool(self.loaded)

    @stateful.rule(
        age_ms=st.sampled_from([-70_000, *AGES_MS]),
        retention_s=st.sampled_from(RETENTIONS_S),
    )
    def claim_new(self, age_ms, retention_s):
        self.serial += 1
        key = make_key(self.clock_ms - age_ms, self.serial)
        status = self.claim(key, retention_s, b"digest")
        if age_ms == -70_000:
            assert status == pb.CLAIM_STATUS_KEY_IN_FUTURE
        elif age_ms >= retention_s * 1000:
            assert status == pb.CLAIM_STATUS_KEY_EXPIRED
        elif age_ms == 0:
            assert status == pb.CLAIM_STATUS_GRANTED

    @stateful.precondition(lambda self: self.claimed)
    @stateful.rule(
        data=st.data(),
        retention_s=st.sampled_from(RETENTIONS_S),
        same=st.booleans(),
        digest=st.sampled_from([b"digest"] * 4 + [b"other"]),
    )
    def claim_again(self, data, retention_s, same, digest):
        earlier = data.draw(st.sampled_from(self.claimed[-6:]))
        attempt = earlier.attempt_id if same else None
        self.claim(earlier.key, retention_s, digest, attempt)

    def claim(self, key, retention_s, digest, attempt=None):
        self.serial += 1
        command = pb.ClaimCommand(
            service="s",
            key=key,
            digest=digest,
            entry="e",
            attempt_id=attempt or b"attempt-%d" % self.serial,
            retention_s=retention_s,
        )
        status = self.apply(claim=command).reply.status
        holder = self.holders.get(key)
        if status == pb.CLAIM_STATUS_GRANTED:
            free = holder is None or holder.attempt_id == command.attempt_id
            assert free, "granted twice"
            self.holders[key] = command
        self.claimed.append(command)
        self.seen[pb.ClaimStatus.Name(status)] += 1
        if status == pb.CLAIM_STATUS_KEY_EXPIRED and holder is not None:
            self.seen["held key refused after its claim was dropped"] += 1
        return status

    @stateful.precondition(lambda self: self.claimed)
    @stateful.rule(data=st.data(), released=st.booleans())
    def settle(self, data, released):
        command = data.draw(st.sampled_from(self.claimed[-4:]))
        probe = pb.ClaimCommand()
        probe.CopyFrom(command)
        probe.attempt_id = b"probe"
        holder = self.holders.get(command.key, command)
        probe.digest = holder.digest
        before = self.machine.claims.find(probe)
        self.apply(
            settle=pb.SettleCommand(
                service="s",
                key=command.key,
                attempt_id=command.attempt_id,
                released=released,
                answer=pb.StoredAnswer(status=200, body=b"x", body_kept=True),
            )
        )
        after = self.machine.claims.find(probe)
        holds = holder.attempt_id == command.attempt_id
        if before is None or before.status == pb.CLAIM_STATUS_RAN or not holds:
            assert after == before, "settled by another attempt, or twice"
        elif released:
            assert after is None
            del self.holders[command.key]
        else:
            assert after.status == pb.CLAIM_STATUS_RAN
            assert after.answer.body == b"x"

    @stateful.invariant()
    def sections_match(self):
        held = {s.name: s for s in self.machine.sections.read()}
        assert held.keys() == self.sections.keys()
        for name, (owner, history) in self.sections.items():
            last = held[name].history[-1]
            assert held[name].owner == owner
            assert last.revision == len(history), "a revision reverted"
            assert (last.document, last.author) == history[-1]
            assert len(held[name].history) == min(len(history), 20)


def run(rules, **options):
    settings = hypothesis.settings(
        stateful_step_count=60, report_multiple_bugs=False, **options
    )
    stateful.run_state_machine_as_test(rules, settings=settings)


@pytest.mark.fuzz
def test_machine_matches_the_model():
    # Guards against lost or reverted changes, a resend that is applied again, and
    # a key that is granted to two attempts.
    MachineRules.seen.clear()
    run(MachineRules)
    reached = {name for name, count in MachineRules.seen.items() if count}
    assert reached >= {
        "PROPOSAL_STATUS_ACCEPTED",
        "PROPOSAL_STATUS_CONFLICT",
        "PROPOSAL_STATUS_NOT_OWNER",
        "CLAIM_STATUS_RAN",
        "CLAIM_STATUS_CLAIMED",
        "CLAIM_STATUS_DIGEST_MISMATCH",
        "resent after a restart",
        "held key refused after its claim was dropped",
    }


@pytest.mark.parametrize(
    ("part", "broken"),
    [
        ("outcomes", NoOutcomeTable),
        ("sections", NoCompareAndSwap),
        ("sections", RevertingSections),
        ("claims", GrantsToAnyone),
        ("claims", NoFloors),
        ("claims", FloorsNotDumped),
        ("claims", AnyoneReleases),
    ],
)
def test_model_rejects_a_broken_rule(part, broken):
    # Guards against a model that accepts everything.
    class BrokenRules(MachineRules):
        parts = {part: broken}

    with pytest.raises(AssertionError):
        run(BrokenRules, max_examples=1000, phases=[hypothesis.Phase.generate])


def machine_with(*bodies) -> machines.Machine:
    machine = machines.Machine()
    for index, body in enumerate(bodies, 1):
        machine.apply(index, pb.Command(time_ms=START_MS, **body))
    return machine


def announce(state=pb.TARGET_STATE_SERVING, kind="KIND_ANNOUNCE", incarnation=1):
    kind = pb.TargetCommand.Kind.Value(kind)
    target = pb.Target(target_id="t", incarnation=incarnation, services=["s"])
    target.state = state
    return {"target": pb.TargetCommand(kind=kind, target=target)}


def test_late_announcement_does_not_end_a_drain():
    # Guards against new work for a draining target (R5).
    machine = machine_with(announce(), announce(kind="KIND_DRAIN"), announce())
    assert machine.targets.get("t").state == pb.TARGET_STATE_DRAINING
    machine = machine_with(
        announce(), announce(kind="KIND_DRAIN"), announce(kind="KIND_SUSPECT")
    )
    assert machine.targets.get("t").state == pb.TARGET_STATE_DRAINING


def test_old_incarnation_is_refused():
    # Guards against a command meant for an earlier process of the target.
    machine = machine_with(announce(incarnation=5))
    for index, kind in enumerate(("ANNOUNCE", "DRAIN", "WITHDRAW", "EXPIRE"), 2):
        body = announce(kind=f"KIND_{kind}", incarnation=4)
        applied = machine.apply(index, pb.Command(time_ms=START_MS, **body))
        assert applied.reply.status == pb.ANNOUNCEMENT_STATUS_OLD_INCARNATION
        assert not applied.changes
    assert machine.targets.get("t").incarnation == 5


def test_a_new_cluster_refuses_keys_from_before_its_first_command():
    # The claims of a cluster whose disks were all lost are unknown to the next.
    machine = machines.Machine()
    machine.apply(1, pb.Command(time_ms=START_MS))
    statuses = []
    for key_ms in (START_MS - 1, START_MS):
        claim = pb.ClaimCommand(
            service="s", key=make_key(key_ms, 1), attempt_id=b"a", retention_s=60
        )
        reloaded = machines.Machine()
        reloaded.load(machine.dump())
        command = pb.Command(time_ms=START_MS + 5, claim=claim)
        statuses.append(reloaded.apply(2, command).reply.status)
    assert statuses == [pb.CLAIM_STATUS_KEY_EXPIRED, pb.CLAIM_STATUS_GRANTED]


def crash(target_id, seen, **more):
    return {
        "crash": pb.CrashCommand(
            service="s", digest=b"d", target_id=target_id, seen_revision=seen, **more
        )
    }


@pytest.mark.parametrize(
    ("second", "quarantined"),
    [
        ([crash("t2", 1)], True),
        ([crash("t1", 1)], False),  # The same target.
        ([crash("t2", 0)], False),  # Started before the first crash was known.
        ([crash("", 0, cleared=True), crash("t2", 9)], False),
        # A retry at the same entry, made before the log had the first crash.
        ([crash("t2", 0, earlier_target_ids=["t1"])], True),
    ],
)
def test_second_counted_crash_quarantines(second, quarantined):
    # Guards against a quarantine of requests that shared a target's failure.
    machine = machine_with(crash("t1", 0), *second)
    claim = pb.ClaimCommand(
        service="s", key=make_key(START_MS, 1), crash_digest=b"d", retention_s=60
    )
    claim.attempt_id = b"a"
    reply = machine.apply(9, pb.Command(time_ms=START_MS, claim=claim)).reply
    assert (reply.status == pb.CLAIM_STATUS_QUARANTINED) == quarantined


def test_a_lost_report_of_the_first_crash_does_not_prevent_a_quarantine():
    machine = machine_with(crash("t2", 0, earlier_target_ids=["t1"]))
    assert machine.quarantines.is_active("s", b"d")


def test_quarantine_ends_in_the_feed():
    # Guards against a digest that stays refused at the entries.
    machine = machine_with(crash("t1", 0), crash("t2", 1))
    due_ms = machine.next_expiry_ms()
    assert due_ms == START_MS + 10 * 60 * 1000
    changes = machine.apply(3, pb.Command(time_ms=due_ms)).changes
    assert [c.quarantine.removed for c in changes] == [True]
    assert machine.revision == 3
