"""What the leader does by itself, and what each instance does again and again."""

from loguru import logger

from coltsfootchute import errors, sections
from coltsfootchute.control import cores, feeds, instances, leases
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Maintenance"]

# After a start, entries report for this long before the list of instances is
# passed on; a list with gaps would take entries out of address responses.
INSTANCES_COMPLETE_S = 2.5
FREEZE_S = 5.0
MS_PER_S = 1000


class Maintenance:
    """Leases, instance reports and memberships of one control instance.

    Parameters
    ----------
    core
        The replicated state.
    now
        Time at which the instance started.
    lease_s
        Seconds from a renewal to the end of a target's lease.
    """

    def __init__(
        self, core: cores.Core, now: float, lease_s: float = leases.TARGET_LEASE_S
    ):
        self._core = core
        self._leading: int | None = None
        self._ran_s = now
        self._budgets: dict[tuple[str, int], int] = {}
        self.instances = instances.InstanceTable()
        self.publish_instances_from_s = now + INSTANCES_COMPLETE_S
        self.targets = leases.TargetLeases(lease_s)
        self.probes = leases.ProbeLeases(now)
        core.on_applied.append(self._applied)

    def _applied(self, command: pb.Command) -> None:
        if command.WhichOneof("body") != "target":
            return
        target_id = command.target.target.target_id
        self.targets.applied(target_id)
        if command.target.kind == pb.TargetCommand.KIND_ANNOUNCE:
            self.targets.renew(target_id, feeds.clock())

    def check_leadership(self, now: float) -> bool:
        """Take over as a new leader, if this instance became one.

        Returns
        -------
        bool
            Whether this instance is the leader and holds its lease.
        """
        core = self._core
        if not core.is_leader:
            # Renewals are refused meanwhile, so the leases start anew later.
            self._leading = None
            return False
        if self._leading != core.replica.term:
            self._leading = core.replica.term
            self.targets.renew_all(core.machine.targets.all(), now)
            self.probes = leases.ProbeLeases(now)
            logger.info("control: leads in term {}", core.replica.term)
        return True

    def run(self, now: float) -> list[pb.Command]:
        """Do what is due; called once a second.

        Parameters
        ----------
        now
            Time of `feeds.clock`.

        Returns
        -------
        list of coltsfootchute_pb2.Command
            Commands that the leader has to propose.
        """
        if now - self._ran_s > FREEZE_S:
            # Renewals that came in during a freeze may not have been read yet.
            self._leading = None
        self._ran_s = now
        self._core.refresh()
        self._core.forget_waiters()
        self.instances.expire(now)
        self.publish_instances(now)
        if not self.check_leadership(now):
            return []
        due = self.targets.due_commands(self._core.machine.targets.all(), now)
        commands = [pb.Command(target=command) for command in due]
        due_ms = self._core.machine.next_expiry_ms()
        if due_ms is not None and due_ms <= cores.wall_ms():
            commands.append(pb.Command())
        return commands

    def advance_membership(self) -> None:
        """Make the next change of the membership, if this instance leads."""
        if not self._core.is_leader:
            return
        try:
            proposed = self._core.change_membership(
                self._core.replica.advance_membership
            )
        except errors.AgreementError as exc:
            logger.debug("agreement: the membership does not advance: {}", exc)
            return
        if proposed is not None:
            members = self._core.replica.membership.members
            voters = ", ".join(sorted(m.name for m in members if m.voter))
            learners = ", ".join(sorted(m.name for m in members if not m.voter))
            logger.info(
                "agreement: the voters become {}; the learners {}",
                voters,
                learners or "none",
            )

    def publish_instances(self, now: float) -> None:
        """Pass the list of instances to the feed, once it is complete."""
        if now >= self.publish_instances_from_s:
            self._core.feed.set_instances(self.instances.listed())

    def probe_budgets_us(self, target_ids: list[str]) -> dict[str, int]:
        """Return the probe time of registered targets for one probe lease.

        The least budget of the services of a target counts.
        """
        budgets = {}
        for target_id in target_ids:
            target = self._core.machine.targets.get(target_id)
            if target is not None and target.services:
                budget = min(self._budget_us(name) for name in target.services)
                budgets[target_id] = budget
        return budgets

    def _budget_us(self, service: str) -> int:
        try:
            section = self._core.machine.sections.in_force(service)
        except KeyError:
            return 0
        known = (service, section.revision)
        if known not in self._budgets:
            document = sections.parse(section.document)
            per_s_us = document.measuring_budget_ms_per_s * MS_PER_S
            self._budgets = {
                key: value for key, value in self._budgets.items() if key[0] != service
            }
            self._budgets[known] = int(per_s_us * leases.PROBE_LEASE_S)
        return self._budgets[known]

    def target_leases(self, now: float) -> list[pb.TargetLease]:
        """Return all targets with the rest of their leases."""
        return [
            pb.TargetLease(
                target=target,
                remaining_ms=int(
                    self.targets.remaining_s(target.target_id, now) * MS_PER_S
                ),
            )
            for target in self._core.machine.targets.all()
        ]
