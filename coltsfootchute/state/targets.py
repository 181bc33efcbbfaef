"""The register of targets that announced themselves."""

from coltsfootchute import registries
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["TargetRegister"]

Kind = pb.TargetCommand.Kind
kinds = registries.Registry("target command")


def _outcome(status: pb.AnnouncementStatus, incarnation: int):
    return pb.AnnouncementOutcome(status=status, incarnation=incarnation)


class TargetRegister:
    """Targets by id, each with its latest incarnation.

    Notes
    -----
    The targets returned by `get` and `all` are replaced on a change and never
    altered, so callers may hold on to them.
    """

    def __init__(self):
        self._targets: dict[str, pb.Target] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def get(self, target_id: str) -> pb.Target | None:
        """Return a target, or None if it is not registered."""
        return self._targets.get(target_id)

    def all(self) -> list[pb.Target]:
        """Return all targets in the order of their first announcement."""
        return list(self._targets.values())

    def load(self, targets: list[pb.Target]) -> None:
        """Replace the register by dumped targets."""
        self._targets = {target.target_id: target for target in targets}

    def apply(
        self, command: pb.TargetCommand, time_ms: int
    ) -> tuple[pb.AnnouncementOutcome, bool]:
        """Apply a command to one target.

        Parameters
        ----------
        command
            The command. An incarnation of 0 in a drain or a withdrawal means the
            present one.
        time_ms
            Clock of the machine.

        Returns
        -------
        tuple
            The outcome, and whether the register changed.
        """
        wanted = command.target
        known = self._targets.get(wanted.target_id)
        if command.kind == Kind.KIND_ANNOUNCE:
            return self._announce(wanted, known, time_ms)
        if known is None:
            return _outcome(pb.ANNOUNCEMENT_STATUS_UNKNOWN_TARGET, 0), False
        by_id = wanted.incarnation == 0 and command.kind in _BY_ID
        if wanted.incarnation < known.incarnation and not by_id:
            status = pb.ANNOUNCEMENT_STATUS_OLD_INCARNATION
            return _outcome(status, known.incarnation), False
        if wanted.incarnation > known.incarnation:
            status = pb.ANNOUNCEMENT_STATUS_UNKNOWN_TARGET
            return _outcome(status, known.incarnation), False
        name = Kind.Name(command.kind)
        changed = name in kinds and kinds[name](self, known)
        return _outcome(pb.ANNOUNCEMENT_STATUS_ACCEPTED, known.incarnation), changed

    def _announce(self, wanted: pb.Target, known: pb.Target | None, time_ms: int):
        if known and wanted.incarnation < known.incarnation:
            status = pb.ANNOUNCEMENT_STATUS_OLD_INCARNATION
            return _outcome(status, known.incarnation), False
        new = pb.Target()
        new.CopyFrom(wanted)
        new.state = pb.TARGET_STATE_SERVING
        new.announced_ms = time_ms
        if known and wanted.incarnation == known.incarnation:
            # A late duplicate of an announcement must not end a drain.
            if known.state == pb.TARGET_STATE_DRAINING:
                new.state = known.state
            new.announced_ms = known.announced_ms
        accepted = _outcome(pb.ANNOUNCEMENT_STATUS_ACCEPTED, wanted.incarnation)
        changed = new != known
        if changed:
            self._targets[new.target_id] = new
        return accepted, changed

    def _move(self, known: pb.Target, state: pb.TargetState) -> bool:
        if known.state == state:
            return False
        moved = pb.Target()
        moved.CopyFrom(known)
        moved.state = state
        self._targets[known.target_id] = moved
        return True

    @kinds.register("KIND_DRAIN")
    def _drain(self, known: pb.Target) -> bool:
        return self._move(known, pb.TARGET_STATE_DRAINING)

    @kinds.register("KIND_WITHDRAW")
    @kinds.register("KIND_EXPIRE")
    def _remove(self, known: pb.Target) -> bool:
        del self._targets[known.target_id]
        return True

    @kinds.register("KIND_SUSPECT")
    def _suspect(self, known: pb.Target) -> bool:
        # A draining target stays draining: as a suspect it could get new work.
        if known.state != pb.TARGET_STATE_SERVING:
            return False
        return self._move(known, pb.TARGET_STATE_SUSPECT)

    @kinds.register("KIND_RENEWED")
    def _renewed(self, known: pb.Target) -> bool:
        if known.state != pb.TARGET_STATE_SUSPECT:
            return False
        return self._move(known, pb.TARGET_STATE_SERVING)


_BY_ID = (Kind.KIND_DRAIN, Kind.KIND_WITHDRAW)
