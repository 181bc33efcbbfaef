"""The entries that report to control, kept in memory.

An entry reports to any control instance, which relays the report to the other
ones. So an entry is known everywhere while it reaches one of them.
"""

import dataclasses

from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["REPORT_TIMEOUT_S", "InstanceTable"]

# Entries report every 1.5 s at least, so three reports in a row may be lost.
REPORT_TIMEOUT_S = 5.0
RELAY_INTERVAL_S = 1.4


@dataclasses.dataclass(slots=True)
class _Report:
    instance: pb.Instance
    listed: pb.Instance
    time_s: float
    relayed_s: float


class InstanceTable:
    """The latest report of each instance."""

    def __init__(self):
        self._reports: dict[str, _Report] = {}

    def report(self, instance: pb.Instance, now: float) -> bool:
        """Enter a report.

        Parameters
        ----------
        instance
            The instance as it described itself.
        now
            Time in seconds.

        Returns
        -------
        bool
            Whether the other control instances should be told.

        Notes
        -----
        Reports may arrive out of order over several paths. Within one run of an
        instance, its revision only grows and a stop is final.
        """
        known = self._reports.get(instance.name)
        if known is not None and _is_older(instance, known.instance):
            return False
        due = known is None or known.instance != instance
        if due or now - known.relayed_s >= RELAY_INTERVAL_S:
            self._reports[instance.name] = _Report(
                instance, _listed(instance), now, now
            )
            return True
        known.time_s = now
        return False

    def expire(self, now: float) -> None:
        """Forget the instances that stopped reporting."""
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now - report.time_s < REPORT_TIMEOUT_S
        }

    def all(self) -> list[pb.Instance]:
        """Return the known instances, ordered by name."""
        return [self._reports[name].instance for name in sorted(self._reports)]

    def listed(self) -> list[pb.Instance]:
        """Return the known instances as the feed lists them, ordered by name.

        Notes
        -----
        The feed sends the whole list whenever it differs. Entries report each new
        revision, so with revisions in the list one change cost 100 entries more
        than 10 MB at each control instance.
        """
        return [self._reports[name].listed for name in sorted(self._reports)]


def _listed(instance: pb.Instance) -> pb.Instance:
    listed = pb.Instance()
    listed.CopyFrom(instance)
    listed.ClearField("revision")
    return listed


def _is_older(new: pb.Instance, known: pb.Instance) -> bool:
    if new.start_ms != known.start_ms:
        return new.start_ms < known.start_ms
    if new.state != known.state:
        return new.state < known.state
    return new.revision < known.revision
