"""Periodic maintenance of a control instance: leases, instance list, membership."""

from loguru import logger

from coltsfootchute import errors, sections
from coltsfootchute.control import cores, feeds, instances, leases
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Maintenance"]

# The list of instances is published this long after a start, when all entries have
# reported. An incomplete list would remove entries from address responses.
INSTANCES_PUBLISH_DELAY_S = 2.5
FREEZE_THRESHOLD_S = 5.0
MS_PER_S = 1000


class Maintenance:
    """Periodic maintenance of one control instance.

    Holds the reports of entries and, on the leader, the leases of targets and of
    shares of probe time. The leader also advances changes of the membership.

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
        self._leading_term: int | None = None
        self._last_run_s = now
        self._probe_budgets_us: dict[tuple[str, int], int] = {}
        self.instances = instances.InstanceTable()
        self.publish_instances_from_s = now + INSTANCES_PUBLISH_DELAY_S
        self.targets = leases.TargetLeases(lease_s)
        self.probes = leases.ProbeLeases(now)
        core.on_applied.append(self._on_applied)

    def _on_applied(self, command: pb.Command) -> None:
        if command.WhichOneof("body") != "target":
            return
        target_id = command.target.target.target_id
        self.targets.record_applied(target_id)
        if command.target.kind == pb.TargetCommand.KIND_ANNOUNCE:
            self.targets.renew(target_id, feeds.clock())

    def check_leadership(self, now: float) -> bool:
        """Start the leases anew if this instance became the leader.

        Returns
        -------
        bool
            Whether this instance is the leader and holds its lease.
        """
        core = self._core
        if not core.is_leader:
            # Renewals are refused meanwhile, so a later term starts all leases anew.
            self._leading_term = None
            return False
        if self._leading_term != core.replica.term:
            self._leading_term = core.replica.term
            self.targets.renew_all(core.machine.targets.all(), now)
            self.probes = leases.ProbeLeases(now)
            logger.info("control: leads in term {}", core.replica.term)
        return True

    def run(self, now: float) -> list[pb.Command]:
        """Do the maintenance that is due; called once a second.

        Parameters
        ----------
        now
            Time of `feeds.clock`.

        Returns
        -------
        list of coltsfootchute_pb2.Command
            Commands to be proposed; none if this instance is not the leader.
        """
        if now - self._last_run_s > FREEZE_THRESHOLD_S:
            # The process was frozen. Renewals that arrived meanwhile may still be
            # unread, so the leases start anew.
            self._leading_term = None
        self._last_run_s = now
        self._core.publish_proof()
        self._core.drop_abandoned_proposals()
        self.instances.expire(now)
        self.publish_instances(now)
        if not self.check_leadership(now):
            return []
        target_commands = self.targets.due_commands(
            self._core.machine.targets.all(), now
        )
        commands = [pb.Command(target=command) for command in target_commands]
        expiry_ms = self._core.machine.next_expiry_ms()
        if expiry_ms is not None and expiry_ms <= cores.wall_ms():
            commands.append(pb.Command())
        return commands

    def advance_membership(self) -> bool:
        """Propose the next change of the membership, if this instance is the leader.

        Returns
        -------
        bool
            Whether a change was proposed, so that another one may be due soon.
        """
        if not self._core.is_leader:
            return False
        try:
            proposed = self._core.change_membership(
                self._core.replica.advance_membership
            )
        except errors.AgreementError as exc:
            logger.debug("agreement: no change of the membership was proposed: {}", exc)
            return False
        if proposed is not None:
            members = self._core.replica.membership.members
            voters = ", ".join(sorted(m.name for m in members if m.voter))
            learners = ", ".join(sorted(m.name for m in members if not m.voter))
            logger.info(
                "agreement: proposed a membership with voters {}; learners {}",
                voters,
                learners or "none",
            )
        return proposed is not None

    def publish_instances(self, now: float) -> None:
        """Publish the list of instances in the feed, once it is complete."""
        if now >= self.publish_instances_from_s:
            self._core.feed.set_instances(self.instances.for_feed())

    def probe_budgets_us(self, target_ids: list[str]) -> dict[str, int]:
        """Return the probe budgets of registered targets for one probe lease.

        A target with several services has the smallest of their budgets.

        Parameters
        ----------
        target_ids
            Ids of targets; unknown ones are left out.

        Returns
        -------
        dict of str to int
            Probe time in microseconds by target id.
        """
        budgets = {}
        for target_id in target_ids:
            target = self._core.machine.targets.get(target_id)
            if target is not None and target.services:
                budget = min(self._probe_budget_us(name) for name in target.services)
                budgets[target_id] = budget
        return budgets

    def _probe_budget_us(self, service: str) -> int:
        try:
            section = self._core.machine.sections.in_force(service)
        except KeyError:
            return 0
        cache_key = (service, section.revision)
        if cache_key not in self._probe_budgets_us:
            document = sections.parse(section.document)
            per_s_us = document.measuring_budget_ms_per_s * MS_PER_S
            self._probe_budgets_us = {
                key: value
                for key, value in self._probe_budgets_us.items()
                if key[0] != service
            }
            self._probe_budgets_us[cache_key] = int(per_s_us * leases.PROBE_LEASE_S)
        return self._probe_budgets_us[cache_key]

    def target_leases(self, now: float) -> list[pb.TargetLease]:
        """Return all targets with the remaining time of their leases."""
        return [
            pb.TargetLease(
                target=target,
                remaining_ms=int(
                    self.targets.remaining_s(target.target_id, now) * MS_PER_S
                ),
            )
            for target in self._core.machine.targets.all()
        ]
