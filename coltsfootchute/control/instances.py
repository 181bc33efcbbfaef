"""In-memory table of the entries that report to control.

An entry reports to one control instance, which relays the report to the others. So
all control instances know an entry as long as it can reach one of them.
"""

import dataclasses

from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["REPORT_TIMEOUT_S", "InstanceTable"]

# Entries report at least every 1.5 s, so three reports in a row may be lost.
REPORT_TIMEOUT_S = 5.0
RELAY_INTERVAL_S = 1.4


@dataclasses.dataclass(slots=True)
class _Report:
    instance: pb.Instance
    for_feed: pb.Instance
    time_s: float
    relayed_s: float


class InstanceTable:
    """The latest report of each instance."""

    def __init__(self):
        self._reports: dict[str, _Report] = {}

    def add_report(self, instance: pb.Instance, now: float) -> bool:
        """Store the report of an instance, unless a newer one is known.

        Parameters
        ----------
        instance
            The instance, as it describes itself.
        now
            Time in seconds.

        Returns
        -------
        bool
            Whether the report should be relayed to the other control instances.

        Notes
        -----
        Reports may arrive out of order, because they are relayed over several paths.
        They can be ordered because, within one run of an instance, its revision only
        grows and it never returns from stopping to serving.
        """
        known = self._reports.get(instance.name)
        if known is not None and _is_older(instance, known.instance):
            return False
        has_changed = known is None or known.instance != instance
        if has_changed or now - known.relayed_s >= RELAY_INTERVAL_S:
            self._reports[instance.name] = _Report(
                instance, _without_revision(instance), now, now
            )
            return True
        known.time_s = now
        return False

    def expire(self, now: float) -> None:
        """Drop the instances whose last report is older than `REPORT_TIMEOUT_S`."""
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now - report.time_s < REPORT_TIMEOUT_S
        }

    def all(self) -> list[pb.Instance]:
        """Return the known instances, ordered by name."""
        return [self._reports[name].instance for name in sorted(self._reports)]

    def for_feed(self) -> list[pb.Instance]:
        """Return the known instances without their revisions, ordered by name.

        Notes
        -----
        The feed publishes this list and sends the whole of it after each difference.
        Entries report each new revision. With revisions in the list, one change with
        100 entries made each control instance send more than 10 MB.
        """
        return [self._reports[name].for_feed for name in sorted(self._reports)]


def _without_revision(instance: pb.Instance) -> pb.Instance:
    published = pb.Instance()
    published.CopyFrom(instance)
    published.ClearField("revision")
    return published


def _is_older(new: pb.Instance, known: pb.Instance) -> bool:
    if new.start_ms != known.start_ms:
        return new.start_ms < known.start_ms
    if new.state != known.state:
        return new.state < known.state
    return new.revision < known.revision
