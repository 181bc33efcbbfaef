"""Target selection, limits, retries and hedges; no I/O."""

from coltsfootchute.balancing.admissions import Admission, Grant, Ticket
from coltsfootchute.balancing.loads import LoadReport
from coltsfootchute.balancing.pools import Pool
from coltsfootchute.balancing.probes import ProbePermit, ProbeShares
from coltsfootchute.balancing.quarantines import CrashGuard, CrashReport
from coltsfootchute.balancing.target_sets import PoolSettings
from coltsfootchute.balancing.views import (
    AttemptKind,
    AttemptToken,
    Outcome,
    Target,
    TargetState,
    TargetView,
)

__all__ = [
    "Admission",
    "AttemptKind",
    "AttemptToken",
    "CrashGuard",
    "CrashReport",
    "Grant",
    "LoadReport",
    "Outcome",
    "Pool",
    "PoolSettings",
    "ProbePermit",
    "ProbeShares",
    "Target",
    "TargetState",
    "TargetView",
    "Ticket",
]
