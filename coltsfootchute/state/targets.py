"""Register of the targets that have announced themselves."""

from coltsfootchute import announcements, registries
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["TargetRegister"]

# Number of withdrawn incarnations to remember, and of expired ones, since an
# announcement that a partition delayed may arrive long after the target has left.
MAX_WITHDRAWN = 1000

Kind = pb.TargetCommand.Kind
handlers = registries.Registry("target command")


def _outcome(status: pb.AnnouncementStatus, incarnation: int):
    return pb.AnnouncementOutcome(status=status, incarnation=incarnation)


class TargetRegister:
    """Register of targets by id, each with its latest incarnation.

    Notes
    -----
    An incarnation that was withdrawn, or that expired while it was draining, is
    remembered, so that a late announcement does not register it again. Of two
    incarnations at the same address only the later one is registered.

    One that expired while it was serving may be announced again. It is remembered too:
    a target that was cut off for longer than its lease may withdraw without stating
    its incarnation.

    The targets returned by `get` and `all` are never modified: a change replaces the
    object, so callers may keep references to them.
    """

    def __init__(self):
        self._targets: dict[str, pb.Target] = {}
        # Incarnations by target id, oldest first.
        self._withdrawn: dict[str, int] = {}
        self._expired: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def get(self, target_id: str) -> pb.Target | None:
        """Return a target, or None if it is not registered."""
        return self._targets.get(target_id)

    def all(self) -> list[pb.Target]:
        """Return all targets in the order of their first announcement."""
        return list(self._targets.values())

    def withdrawn(self) -> list[pb.Target]:
        """Return the withdrawn incarnations that are remembered, oldest first."""
        return _dump(self._withdrawn)

    def expired(self) -> list[pb.Target]:
        """Return the expired incarnations that are remembered, oldest first."""
        return _dump(self._expired)

    def load(
        self,
        targets: list[pb.Target],
        withdrawn: list[pb.Target] | None = None,
        expired: list[pb.Target] | None = None,
    ) -> None:
        """Replace the contents of the register by dumped targets."""
        self._targets = {target.target_id: target for target in targets}
        self._withdrawn = {t.target_id: t.incarnation for t in withdrawn or []}
        self._expired = {t.target_id: t.incarnation for t in expired or []}

    def apply(
        self, command: pb.TargetCommand, time_ms: int
    ) -> tuple[pb.AnnouncementOutcome, list[str]]:
        """Apply a command to one target.

        Parameters
        ----------
        command
            The command. An incarnation of 0 in a drain or a withdrawal means the
            registered one, or the one that expired last.
        time_ms
            Clock of the machine in ms.

        Returns
        -------
        tuple
            The outcome, and the ids of the targets that changed.
        """
        requested = command.target
        registered = self._targets.get(requested.target_id)
        if command.kind == Kind.KIND_ANNOUNCE:
            return self._announce(requested, registered, time_ms)
        if command.kind == Kind.KIND_WITHDRAW and _is_newer(requested, registered):
            return self._withdraw_unregistered(requested, registered)
        if registered is None:
            return _outcome(pb.ANNOUNCEMENT_STATUS_UNKNOWN_TARGET, 0), []
        by_id = requested.incarnation == 0 and command.kind in _BY_ID
        if requested.incarnation < registered.incarnation and not by_id:
            status = pb.ANNOUNCEMENT_STATUS_OLD_INCARNATION
            return _outcome(status, registered.incarnation), []
        if requested.incarnation > registered.incarnation:
            status = pb.ANNOUNCEMENT_STATUS_UNKNOWN_TARGET
            return _outcome(status, registered.incarnation), []
        name = Kind.Name(command.kind)
        changed = name in handlers and handlers[name](self, registered)
        outcome = _outcome(pb.ANNOUNCEMENT_STATUS_ACCEPTED, registered.incarnation)
        return outcome, [registered.target_id] if changed else []

    def _announce(
        self, requested: pb.Target, registered: pb.Target | None, time_ms: int
    ):
        min_incarnation = max(
            registered.incarnation if registered else -1,
            self._withdrawn.get(requested.target_id, -1) + 1,
        )
        others = self._others_at_address(requested)
        min_incarnation = max(
            [min_incarnation, *(other.incarnation + 1 for other in others)]
        )
        if requested.incarnation < min_incarnation:
            return _outcome(pb.ANNOUNCEMENT_STATUS_OLD_INCARNATION, min_incarnation), []
        for other in others:
            self._withdraw(other)
        new = pb.Target()
        new.CopyFrom(requested)
        new.announced_ms = time_ms
        if new.state != pb.TARGET_STATE_DRAINING:
            new.state = pb.TARGET_STATE_SERVING
        if registered and requested.incarnation == registered.incarnation:
            # A duplicate of an earlier announcement must not end a drain.
            if registered.state == pb.TARGET_STATE_DRAINING:
                new.state = registered.state
            self._keep_warm_up(new, registered, time_ms)
        self._expired.pop(new.target_id, None)
        accepted = _outcome(pb.ANNOUNCEMENT_STATUS_ACCEPTED, requested.incarnation)
        changed = [other.target_id for other in others]
        if new != registered:
            self._targets[new.target_id] = new
            changed.append(new.target_id)
        return accepted, changed

    def _keep_warm_up(self, new: pb.Target, registered: pb.Target, time_ms: int):
        """Keep the registered times, unless the target is cold or warm again.

        A target that is cold again counts as announced at that time, because its
        remaining time is relative to the announcement.
        """
        changes = announcements.changes_warm_up(registered, new.warm_up_ms, time_ms)
        if changes and new.warm_up_ms:
            return
        warm_ms = max(1, time_ms - registered.announced_ms)
        new.announced_ms = registered.announced_ms
        new.warm_up_ms = warm_ms if changes else registered.warm_up_ms

    def _others_at_address(self, requested: pb.Target) -> list[pb.Target]:
        """Return the other targets at the same address. O(n)."""
        return [
            target
            for target in self._targets.values()
            if target.address == requested.address
            and target.target_id != requested.target_id
        ]

    def _withdraw(self, registered: pb.Target) -> None:
        del self._targets[registered.target_id]
        _remember(self._withdrawn, registered.target_id, registered.incarnation)

    def _withdraw_unregistered(
        self, requested: pb.Target, registered: pb.Target | None
    ) -> tuple[pb.AnnouncementOutcome, list[str]]:
        """Withdraw an incarnation that has expired or was not announced yet."""
        target_id = requested.target_id
        known = [
            incarnations[target_id]
            for incarnations in (self._expired, self._withdrawn)
            if target_id in incarnations
        ]
        if not (known or requested.incarnation):
            return _outcome(pb.ANNOUNCEMENT_STATUS_UNKNOWN_TARGET, 0), []
        incarnation = max(requested.incarnation, *known, 0)
        self._expired.pop(target_id, None)
        if registered is not None:
            del self._targets[target_id]
        _remember(self._withdrawn, target_id, incarnation)
        outcome = _outcome(pb.ANNOUNCEMENT_STATUS_ACCEPTED, incarnation)
        return outcome, [] if registered is None else [target_id]

    def _set_state(self, registered: pb.Target, state: pb.TargetState) -> bool:
        if registered.state == state:
            return False
        updated = pb.Target()
        updated.CopyFrom(registered)
        updated.state = state
        self._targets[registered.target_id] = updated
        return True

    @handlers.register("KIND_DRAIN")
    def _drain(self, registered: pb.Target) -> bool:
        return self._set_state(registered, pb.TARGET_STATE_DRAINING)

    @handlers.register("KIND_WITHDRAW")
    def _withdraw_on_command(self, registered: pb.Target) -> bool:
        self._withdraw(registered)
        return True

    @handlers.register("KIND_EXPIRE")
    def _expire(self, registered: pb.Target) -> bool:
        if registered.state == pb.TARGET_STATE_DRAINING:
            self._withdraw(registered)
        else:
            # A partition may have blocked the reports of a running target, so the
            # incarnation may announce itself again.
            del self._targets[registered.target_id]
            _remember(self._expired, registered.target_id, registered.incarnation)
        return True

    @handlers.register("KIND_SUSPECT")
    def _suspect(self, registered: pb.Target) -> bool:
        # A draining target keeps its state: suspect targets may get new work.
        if registered.state != pb.TARGET_STATE_SERVING:
            return False
        return self._set_state(registered, pb.TARGET_STATE_SUSPECT)

    @handlers.register("KIND_RENEWED")
    def _renewed(self, registered: pb.Target) -> bool:
        if registered.state != pb.TARGET_STATE_SUSPECT:
            return False
        return self._set_state(registered, pb.TARGET_STATE_SERVING)


_BY_ID = (Kind.KIND_DRAIN, Kind.KIND_WITHDRAW)


def _is_newer(requested: pb.Target, registered: pb.Target | None) -> bool:
    """Return whether a target is not registered with a command's incarnation yet."""
    return registered is None or requested.incarnation > registered.incarnation


def _remember(incarnations: dict[str, int], target_id: str, incarnation: int) -> None:
    incarnations.pop(target_id, None)
    incarnations[target_id] = incarnation
    if len(incarnations) > MAX_WITHDRAWN:
        del incarnations[next(iter(incarnations))]


def _dump(incarnations: dict[str, int]) -> list[pb.Target]:
    return [
        pb.Target(target_id=target_id, incarnation=incarnation)
        for target_id, incarnation in incarnations.items()
    ]
