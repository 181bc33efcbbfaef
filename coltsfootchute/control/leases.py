"""Leases in the leader's memory: of targets, and of shares of probe time."""

import collections
import dataclasses

from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = [
    "PROBE_LEASE_S",
    "TARGET_LEASE_S",
    "ProbeLeases",
    "TargetLeases",
]

TARGET_LEASE_S = 30.0
PROBE_LEASE_S = 10.0
# A command that was proposed and not applied is proposed again after this time.
PROPOSED_S = 5.0
EXPIRY_DIVISOR = 4
POOL_DIVISOR = 2

Kind = pb.TargetCommand.Kind


@dataclasses.dataclass(slots=True)
class _Pool:
    """Sizes of the pool of one service, and its expiries in one lease time."""

    lease_s: float
    sizes: collections.deque = dataclasses.field(default_factory=collections.deque)
    expiries: collections.deque = dataclasses.field(default_factory=collections.deque)
    size: int = 0

    def observe(self, size: int, now: float) -> None:
        self.size = size
        if not self.sizes or self.sizes[-1][1] != size:
            self.sizes.append((now, size))
        while len(self.sizes) > 1 and self.sizes[1][0] <= now - self.lease_s:
            self.sizes.popleft()
        while self.expiries and self.expiries[0] <= now - self.lease_s:
            self.expiries.popleft()

    def allows_expiry(self) -> bool:
        # The expiries of the window left the pool, so they count as part of it.
        allowed = (self.size + len(self.expiries)) // EXPIRY_DIVISOR
        floor = self.sizes[0][1] / POOL_DIVISOR
        return len(self.expiries) < allowed and self.size - 1 >= floor

    def expire(self, now: float) -> None:
        self.size -= 1
        self.expiries.append(now)


@dataclasses.dataclass(slots=True)
class _Pending:
    kind: pb.TargetCommand.Kind
    until_s: float


class TargetLeases:
    """Leases of the registered targets.

    Parameters
    ----------
    lease_s
        Seconds from a renewal to the end of a lease.

    Notes
    -----
    In one lease time at most a quarter of a service's targets expire, rounded
    down, and its pool never falls under half of its size one lease time ago. What
    may not expire becomes suspect. Draining targets are no part of a pool and
    expire freely. A pool of fewer than four targets therefore never expires.

    One check costs O(targets).
    """

    def __init__(self, lease_s: float = TARGET_LEASE_S):
        self.lease_s = lease_s
        self._end_times_s: dict[str, float] = {}
        self._proposed: dict[str, _Pending] = {}
        self._pools: dict[str, _Pool] = {}

    def renew_all(self, targets: list[pb.Target], now: float) -> None:
        """Renew every lease, as a new leader does, and forget earlier expiries."""
        self._end_times_s = {target.target_id: now + self.lease_s for target in targets}
        self._proposed.clear()
        self._pools.clear()

    def renew(self, target_id: str, now: float) -> None:
        """Start the lease of a registered target anew."""
        self._end_times_s[target_id] = now + self.lease_s

    def remaining_s(self, target_id: str, now: float) -> float:
        """Return the seconds until a lease ends; 0 if it has ended."""
        return max(0.0, self._end_times_s.get(target_id, now) - now)

    def due_commands(
        self, targets: list[pb.Target], now: float
    ) -> list[pb.TargetCommand]:
        """Return the commands that ended and renewed leases call for.

        Parameters
        ----------
        targets
            The register.
        now
            Time in seconds.

        Returns
        -------
        list of coltsfootchute_pb2.TargetCommand
            ``EXPIRE``, ``SUSPECT`` and ``RENEWED`` commands to be proposed. The
            expiries count at once, whether they get committed or not.
        """
        self._forget(targets, now)
        self._observe(targets, now)
        commands = []
        for target in targets:
            end = self._end_times_s.setdefault(target.target_id, now + self.lease_s)
            if target.target_id in self._proposed:
                continue
            kind = self._decide(target, end <= now, now)
            if kind is not None:
                pending = _Pending(kind, now + PROPOSED_S)
                self._proposed[target.target_id] = pending
                commands.append(_command(kind, target))
        return commands

    def applied(self, target_id: str) -> None:
        """Note that a command for a target was applied."""
        self._proposed.pop(target_id, None)

    def _forget(self, targets: list[pb.Target], now: float) -> None:
        known = {target.target_id for target in targets}
        for target_id in self._end_times_s.keys() - known:
            del self._end_times_s[target_id]
        self._proposed = {
            target_id: pending
            for target_id, pending in self._proposed.items()
            if target_id in known and pending.until_s > now
        }

    def _observe(self, targets: list[pb.Target], now: float) -> None:
        sizes = collections.Counter(
            service
            for target in targets
            if self._in_pool(target)
            for service in set(target.services)
        )
        for service in sizes.keys() | self._pools.keys():
            self._pools.setdefault(service, _Pool(self.lease_s)).observe(
                sizes[service], now
            )

    def _in_pool(self, target: pb.Target) -> bool:
        pending = self._proposed.get(target.target_id)
        expiring = pending is not None and pending.kind == Kind.KIND_EXPIRE
        return target.state != pb.TARGET_STATE_DRAINING and not expiring

    def _decide(self, target: pb.Target, ended: bool, now: float):
        if not ended:
            suspect = target.state == pb.TARGET_STATE_SUSPECT
            return Kind.KIND_RENEWED if suspect else None
        if target.state == pb.TARGET_STATE_DRAINING:
            return Kind.KIND_EXPIRE
        pools = [self._pools[service] for service in set(target.services)]
        if all(pool.allows_expiry() for pool in pools):
            for pool in pools:
                pool.expire(now)
            return Kind.KIND_EXPIRE
        serving = target.state == pb.TARGET_STATE_SERVING
        return Kind.KIND_SUSPECT if serving else None


def _command(kind: pb.TargetCommand.Kind, target: pb.Target) -> pb.TargetCommand:
    named = pb.Target(target_id=target.target_id, incarnation=target.incarnation)
    return pb.TargetCommand(kind=kind, target=named)


@dataclasses.dataclass(slots=True)
class _Share:
    probe_time_us: int
    ends_s: float


class ProbeLeases:
    """Shares of the probe time of each target, leased to entries.

    Parameters
    ----------
    now
        Time in seconds at which this leader took over. It grants nothing for
        one lease time, until the shares of its predecessor have ended.

    Notes
    -----
    An entry counts its lease from the time at which it sent the request, so a
    share ends at the entry before it ends here. While a share lives, its entry
    gets no other one for the same target: a restarted entry has none until its
    earlier share has ended. So the live shares of a target never exceed its
    budget for one lease time.
    """

    def __init__(self, now: float):
        self._grants_from_s = now + PROBE_LEASE_S
        self._shares: dict[str, dict[str, _Share]] = {}

    def lease(
        self, entry: str, budgets_us: dict[str, int], entries: int, now: float
    ) -> list[pb.ProbeShare]:
        """Grant an entry its shares.

        Parameters
        ----------
        entry
            Name of the entry.
        budgets_us
            Probe time in microseconds that each target has in one lease time,
            over all entries.
        entries
            Number of entries that may ask; each gets an equal share.
        now
            Time in seconds.

        Returns
        -------
        list of coltsfootchute_pb2.ProbeShare
            Only shares that were granted now.
        """
        if now < self._grants_from_s:
            return []
        granted = []
        for target_id, budget_us in budgets_us.items():
            time_us = self._grant(target_id, entry, budget_us, entries, now)
            if time_us > 0:
                share = pb.ProbeShare(
                    target_id=target_id,
                    probe_time_us=time_us,
                    lease_ms=int(PROBE_LEASE_S * 1000),
                )
                granted.append(share)
        return granted

    def _grant(
        self, target_id: str, entry: str, budget_us: int, entries: int, now: float
    ) -> int:
        live = {
            name: share
            for name, share in self._shares.get(target_id, {}).items()
            if share.ends_s > now
        }
        self._shares[target_id] = live
        if entry in live:
            return 0
        free_us = budget_us - sum(share.probe_time_us for share in live.values())
        time_us = min(free_us, budget_us // max(entries, 1))
        if time_us <= 0:
            return 0
        live[entry] = _Share(time_us, now + PROBE_LEASE_S)
        return time_us
