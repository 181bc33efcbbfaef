"""Failure domains of the control instances, and when to look for a near one."""

import collections.abc
import random

from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["STABLE_S", "ControlDomains", "SearchDelay"]

MIN_DELAY_S = 5.0
MAX_DELAY_S = 120.0
JITTER = (0.75, 1.25)
# A source that was watched for this time is taken as stable. Each change of the source
# costs a list of instances, so a control instance that restarts again and again must
# not attract the entries each time.
STABLE_S = 30.0


class ControlDomains:
    """The failure domains of control instances by address.

    Parameters
    ----------
    own
        Failure domain of this entry; empty to prefer no control instance.
    """

    def __init__(self, own: str):
        self._own = own
        self._domains: dict[str, str] = {}

    def near(self, addresses: collections.abc.Iterable[str]) -> list[str]:
        """Return the addresses that are known to be in the own failure domain."""
        if not self._own:
            return []
        return [a for a in addresses if self._domains.get(a) == self._own]

    def unknown(self, addresses: collections.abc.Iterable[str]) -> list[str]:
        """Return the addresses whose failure domains are unknown, if they matter."""
        return [a for a in addresses if self._own and a not in self._domains]

    def record(self, address: str, reply: coltsfootchute_pb2.HelloReply | None) -> None:
        """Record the reply of the control instance at an address.

        Parameters
        ----------
        address
            The address, which may be that of a proxy in front of the instance.
        reply
            Its reply; None if the instance does not tell its failure domain.
        """
        if reply is None:
            self._domains[address] = ""
            return
        members = reply.membership.members
        self._domains |= {m.address: m.failure_domain for m in members}
        self._domains[address] = reply.member.failure_domain


class SearchDelay:
    """Delays before an entry looks for a source in its own failure domain again.

    Parameters
    ----------
    name
        Name of the entry. When a control instance returns, the entries of its failure
        domain must not all connect to it at the same time.
    """

    def __init__(self, name: str):
        self._rng = random.Random(name)
        self._delay_s = MIN_DELAY_S

    def next_s(self) -> float:
        """Return the next delay in seconds; each is about twice the one before."""
        delay_s = self._delay_s * self._rng.uniform(*JITTER)
        self._delay_s = min(MAX_DELAY_S, 2 * self._delay_s)
        return delay_s

    def reset(self) -> None:
        """Start with the shortest delay again."""
        self._delay_s = MIN_DELAY_S
