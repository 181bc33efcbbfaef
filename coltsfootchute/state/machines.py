"""State machine that applies the committed log in every control instance."""

from coltsfootchute import registries
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.state import (
    claims,
    declarations,
    evacuations,
    outcomes,
    quarantines,
    registers,
    targets,
)

__all__ = ["Machine", "commands"]

commands = registries.Registry("command")


class Machine:
    """Replicated state: all that the log changes and a snapshot contains.

    Notes
    -----
    The machine is deterministic: its clock is the latest time in the commands applied
    so far, and it uses no random numbers.

    Attributes
    ----------
    index
        Log index of the last applied command.
    revision
        Log index of the last command that caused a feed change.
    clock_ms
        The clock of the machine in ms.
    """

    def __init__(self):
        self.index = 0
        self.revision = 0
        self.clock_ms = 0
        self.declaration = declarations.DeclarationRegister()
        self.sections = registers.SectionRegister()
        self.outcomes = outcomes.OutcomeTable()
        self.targets = targets.TargetRegister()
        self.claims = claims.ClaimTable()
        self.quarantines = quarantines.QuarantineTable()
        self.evacuations = evacuations.EvacuationRegister()

    def apply(self, index: int, command: pb.Command) -> outcomes.ApplyResult:
        """Apply one committed command.

        Parameters
        ----------
        index
            Log index of the command. A command whose index is not above that of the
            last applied one is ignored.
        command
            The command. One without a body only advances the clock.

        Returns
        -------
        coltsfootchute.state.outcomes.ApplyResult
            The reply to the proposer, and the changes to send in the feed.
        """
        if index <= self.index:
            return outcomes.ApplyResult()
        self.index = index
        if not self.clock_ms:
            self.claims.refuse_before(command.time_ms)
        self.clock_ms = max(self.clock_ms, command.time_ms)
        expired = self._drop_expired()
        kind = command.WhichOneof("body")
        applied = outcomes.ApplyResult()
        if kind is not None:
            applied = commands[kind](self, getattr(command, kind))
        changes = [pb.FeedChange(quarantine=item) for item in expired]
        applied.changes = changes + applied.changes
        for change in applied.changes:
            change.revision = index
        if applied.changes:
            self.revision = index
        return applied

    def _drop_expired(self) -> list[pb.Quarantine]:
        self.outcomes.drop_expired(self.clock_ms)
        self.claims.drop_expired(self.clock_ms)
        return self.quarantines.drop_expired(self.clock_ms)

    def next_expiry_ms(self) -> int | None:
        """Return the time in ms at which the next quarantine expires, or None.

        The feed reports the end of a quarantine only when a command advances the
        clock, so the leader proposes an empty command at this time.
        """
        return self.quarantines.next_expiry_ms()

    def view(self) -> list[pb.FeedChange]:
        """Return the whole state sent to watchers, as changes of the last revision."""
        fields = [
            *({"declaration": item} for item in self.declaration.in_force()),
            *({"section": self.sections.in_force(n)} for n in self.sections.names()),
            *({"target": target} for target in self.targets.all()),
            *({"quarantine": item} for item in self.quarantines.dump()),
            *({"evacuation": item} for item in self.evacuations.dump()),
        ]
        return [pb.FeedChange(revision=self.revision, **field) for field in fields]

    def dump(self) -> bytes:
        """Return the whole state as a serialized ``MachineSnapshot``."""
        snapshot = pb.MachineSnapshot(
            index=self.index,
            clock_ms=self.clock_ms,
            sections=self.sections.read(),
            outcomes=self.outcomes.dump(),
            targets=self.targets.all(),
            quarantines=self.quarantines.dump(),
            revision=self.revision,
            floors=self.claims.dump_floors(),
            declaration=self.declaration.newest,
            withdrawn=self.targets.withdrawn(),
            expired=self.targets.expired(),
            evacuations=self.evacuations.dump(),
        )
        return snapshot.SerializeToString(deterministic=True) + self.claims.dump()

    def load(self, data: bytes) -> None:
        """Replace the whole state by a dumped one.

        Raises
        ------
        google.protobuf.message.DecodeError
            If `data` is not a serialized ``MachineSnapshot``.
        """
        snapshot = pb.MachineSnapshot.FromString(data)
        self.index = snapshot.index
        self.revision = snapshot.revision
        self.clock_ms = snapshot.clock_ms
        self.sections.load(list(snapshot.sections))
        self.outcomes.load(list(snapshot.outcomes))
        self.targets.load(
            list(snapshot.targets), list(snapshot.withdrawn), list(snapshot.expired)
        )
        self.declaration.load(snapshot.declaration)
        self.claims.load(snapshot.claims, snapshot.floors)
        self.quarantines.load(list(snapshot.quarantines))
        self.evacuations.load(list(snapshot.evacuations))


@commands.register("proposal")
def _propose(machine: Machine, proposal: pb.Proposal) -> outcomes.ApplyResult:
    earlier = machine.outcomes.find(proposal)
    if earlier is not None:
        return outcomes.ApplyResult(earlier)
    outcome = machine.sections.propose(proposal, machine.index, machine.clock_ms)
    machine.outcomes.store(proposal, outcome, machine.clock_ms)
    if outcome.status != pb.PROPOSAL_STATUS_ACCEPTED:
        return outcomes.ApplyResult(outcome)
    section = machine.sections.in_force(proposal.section)
    return outcomes.ApplyResult(outcome, [pb.FeedChange(section=section)])


@commands.register("target")
def _change_target(machine: Machine, command: pb.TargetCommand) -> outcomes.ApplyResult:
    outcome, changed = machine.targets.apply(command, machine.clock_ms)
    return outcomes.ApplyResult(outcome, [_target_change(machine, i) for i in changed])


def _target_change(machine: Machine, target_id: str) -> pb.FeedChange:
    target = machine.targets.get(target_id)
    if target is None:
        return pb.FeedChange(removed_target_id=target_id)
    return pb.FeedChange(target=target)


@commands.register("declaration")
def _declare(machine: Machine, declaration: pb.Declaration) -> outcomes.ApplyResult:
    outcome = machine.declaration.apply(declaration)
    changes = machine.declaration.in_force() if outcome.applied else []
    return outcomes.ApplyResult(
        outcome, [pb.FeedChange(declaration=c) for c in changes]
    )


@commands.register("claim")
def _claim(machine: Machine, command: pb.ClaimCommand) -> outcomes.ApplyResult:
    earlier = machine.claims.find(command)
    if earlier is not None:
        return outcomes.ApplyResult(earlier)
    status = machine.claims.check_time(command, machine.clock_ms)
    if status == pb.CLAIM_STATUS_GRANTED:
        if _is_quarantined(machine, command):
            status = pb.CLAIM_STATUS_QUARANTINED
        else:
            machine.claims.grant(command)
    return outcomes.ApplyResult(pb.ClaimOutcome(status=status))


def _is_quarantined(machine: Machine, command: pb.ClaimCommand) -> bool:
    if not command.crash_digest:
        return False
    return machine.quarantines.is_active(command.service, command.crash_digest)


@commands.register("settle")
def _settle(machine: Machine, command: pb.SettleCommand) -> outcomes.ApplyResult:
    machine.claims.settle(command)
    return outcomes.ApplyResult()


@commands.register("crash")
def _count_crash(machine: Machine, command: pb.CrashCommand) -> outcomes.ApplyResult:
    changed = machine.quarantines.apply(command, machine.index, machine.clock_ms)
    if changed is None:
        return outcomes.ApplyResult()
    return outcomes.ApplyResult(None, [pb.FeedChange(quarantine=changed)])


@commands.register("evacuation")
def _evacuate(machine: Machine, command: pb.Evacuation) -> outcomes.ApplyResult:
    outcome = machine.evacuations.apply(command, machine.clock_ms)
    if not outcome.applied:
        return outcomes.ApplyResult(outcome)
    changed = pb.Evacuation(
        failure_domain=command.failure_domain,
        ended=command.ended,
        started_ms=0 if command.ended else machine.clock_ms,
    )
    return outcomes.ApplyResult(outcome, [pb.FeedChange(evacuation=changed)])
