"""Spending of the leased shares of probe time."""

import dataclasses

from coltsfootchute import ids

__all__ = ["ProbePermit", "ProbeShares"]

# A response within this time makes a probe superfluous.
QUIET_S = 1.0
# Clocks of instances may differ in rate by up to 10 percent.
LEASE_USE = 0.9
TYPICAL_PROBE_S = 0.006


@dataclasses.dataclass(slots=True, eq=False)
class ProbePermit:
    """Permission to probe a target once.

    Parameters
    ----------
    target_id
        The target.
    limit_s
        The daemon aborts the probe after this time.
    ends_s
        End of the lease that pays for the probe.
    """

    target_id: ids.TargetId
    limit_s: float
    ends_s: float


@dataclasses.dataclass(slots=True)
class _Share:
    left_s: float
    asked_s: float
    ends_s: float


class ProbeShares:
    """Probe time that the leader leased to this entry, per target.

    A probe reserves its whole time limit before it is sent and returns what
    it did not use, so that the sum of probe times never exceeds the share. A
    new process holds no share.
    """

    def __init__(self):
        self._shares: dict[ids.TargetId, _Share] = {}

    def set_lease(
        self, target_id: ids.TargetId, time_s: float, lease_s: float, asked_s: float
    ) -> None:
        """Replace the share of a target by a new lease.

        A renewal before the end of the lease adds probe time only for the time
        since the last one. Renewals in quick succession would otherwise spend
        a whole share each.

        Parameters
        ----------
        target_id
            The target.
        time_s
            Probe time granted.
        lease_s
            Length of the lease.
        asked_s
            Time at which the entry sent its request. The lease counts from
            then, because the leader's count starts later.
        """
        old = self._shares.get(target_id)
        if old is not None:
            since_s = max(0.0, asked_s - old.asked_s)
            time_s *= min(1.0, since_s / lease_s)
        ends_s = asked_s + lease_s * LEASE_USE
        self._shares[target_id] = _Share(time_s, asked_s, ends_s)

    def begin(
        self, target_id: ids.TargetId, last_response_s: float, now: float
    ) -> ProbePermit | None:
        """Return a permit if a probe is useful and paid for, else None."""
        share = self._shares.get(target_id)
        if share is None or now - last_response_s < QUIET_S:
            return None
        limit_s = min(share.left_s, share.ends_s - now)
        if limit_s < TYPICAL_PROBE_S:
            return None
        limit_s = min(limit_s, 4 * TYPICAL_PROBE_S)
        share.left_s -= limit_s
        return ProbePermit(target_id, limit_s, share.ends_s)

    def end(self, permit: ProbePermit, spent_s: float) -> None:
        """Return unused time to the lease that paid; a later lease gets none."""
        share = self._shares.get(permit.target_id)
        if share is None or share.ends_s != permit.ends_s:
            return
        share.left_s += max(0.0, permit.limit_s - spent_s)
        permit.limit_s = 0.0

    def forget(self, target_id: ids.TargetId) -> None:
        """Drop the share of a target that left."""
        self._shares.pop(target_id, None)
