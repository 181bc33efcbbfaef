"""Target selection, concurrency limits, retry budgets and hedges, without I/O."""

from coltsfootchute.balancing import allotments
from coltsfootchute.balancing.admissions import AdmissionQueue, Grant, Ticket
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
    "AdmissionQueue",
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
    "allotments",
]
