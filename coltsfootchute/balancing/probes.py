"""Use of the probe time that the leader leases to this entry."""

import dataclasses

from coltsfootchute import ids

__all__ = ["ProbePermit", "ProbeShares"]

# No probe is sent to a target that responded within this time.
RECENT_RESPONSE_S = 1.0
# An entry uses only this part of a lease, since the clock rates of two instances may
# differ by up to 10 percent.
USABLE_LEASE_FRACTION = 0.9
TYPICAL_PROBE_S = 0.006


@dataclasses.dataclass(slots=True, eq=False)
class ProbePermit:
    """Permission to probe a target once.

    Parameters
    ----------
    target_id
        The target to probe.
    limit_s
        Timeout of the probe; the daemon aborts it after this time.
    lease_expires_s
        End of the lease from which the probe time is taken.
    """

    target_id: ids.TargetId
    limit_s: float
    lease_expires_s: float


@dataclasses.dataclass(slots=True)
class _Share:
    remaining_s: float
    requested_s: float
    expires_s: float


class ProbeShares:
    """Probe time that the leader leased to this entry, per target.

    Before a probe is sent, its whole timeout is deducted from the share; when it
    ends, the unused part is added back. So the sum of probe times never exceeds the
    share. A new process holds no share.
    """

    def __init__(self):
        self._shares: dict[ids.TargetId, _Share] = {}

    def set_lease(
        self, target_id: ids.TargetId, time_s: float, lease_s: float, requested_s: float
    ) -> None:
        """Replace the share of a target by a new lease.

        If the lease is renewed before its end, the new share is reduced in
        proportion to the time since the last renewal. Otherwise the entry could use
        a whole share after each of several renewals in quick succession.

        Parameters
        ----------
        target_id
            The target to probe.
        time_s
            Probe time granted by the leader, in seconds.
        lease_s
            Length of the lease in seconds.
        requested_s
            Time at which the entry sent its request. The entry counts the lease from
            this time, so that it ends no later than on the leader, which counts from
            a later time.
        """
        previous = self._shares.get(target_id)
        if previous is not None:
            since_s = max(0.0, requested_s - previous.requested_s)
            time_s *= min(1.0, since_s / lease_s)
        expires_s = requested_s + lease_s * USABLE_LEASE_FRACTION
        self._shares[target_id] = _Share(time_s, requested_s, expires_s)

    def begin(
        self,
        target_id: ids.TargetId,
        last_response_s: float,
        now: float,
        lease_now: float | None = None,
    ) -> ProbePermit | None:
        """Reserve time for a probe.

        Parameters
        ----------
        target_id
            The target to probe.
        last_response_s, now
            Time of its last response, and the current time of the same clock.
        lease_now
            Current time of the clock of the leases; None if it is the same clock.

        Returns
        -------
        ProbePermit or None
            None if the target responded recently or too little probe time is left.
        """
        share = self._shares.get(target_id)
        if share is None or now - last_response_s < RECENT_RESPONSE_S:
            return None
        lease_now = now if lease_now is None else lease_now
        limit_s = min(share.remaining_s, share.expires_s - lease_now)
        if limit_s < TYPICAL_PROBE_S:
            return None
        limit_s = min(limit_s, 4 * TYPICAL_PROBE_S)
        share.remaining_s -= limit_s
        return ProbePermit(target_id, limit_s, share.expires_s)

    def end(self, permit: ProbePermit, spent_s: float) -> None:
        """Add unused time back to the share, unless its lease was replaced."""
        share = self._shares.get(permit.target_id)
        if share is None or share.expires_s != permit.lease_expires_s:
            return
        share.remaining_s += max(0.0, permit.limit_s - spent_s)
        permit.limit_s = 0.0

    def forget(self, target_id: ids.TargetId) -> None:
        """Drop the share of a target that is no longer registered."""
        self._shares.pop(target_id, None)
