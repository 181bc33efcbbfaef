"""Owner of the limits on workspaces: decides which fraction of requests is admitted.

Decisions only: the daemon passes in reports and the time.
"""

import collections.abc
import dataclasses
import math

from coltsfootchute import quotas
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["Owner"]

# An entry counts as known for this time after it was last seen, so that the entries
# that are cut off, which admit their own part of each limit, still count.
KNOWN_S = 30.0
# Entries report at least every second. Until then a silent entry counts as reporting.
REPORTING_S = 2.0
# If this much time passed between two checks, the process was frozen. The entries are
# as many as before, and their reports still wait in the sockets.
FREEZE_S = 5.0
# Time constant of the estimate of the offered rate. A shorter one is noisy at one
# request a second, and a longer one admits too much at the start of a surge.
OFFERED_S = 0.3
# Time in which tokens above `_threshold` are spent while a workspace is limited.
SPEND_S = 1.0
# Below this part of the tolerance a workspace is limited. The burst and a quarter of
# the tolerance are used up by then. Three quarters are left for what entries admit
# until they receive the fraction.
THRESHOLD = 0.25
# Time from a request until its usage has changed the fraction at the entries. What they
# admit meanwhile is deducted in advance once a workspace is limited.
FEEDBACK_S = 0.1
MIN_ROOM_S, MAX_ROOM_S = 0.2, 10.0
# Differences of a fraction that are worth a message.
FRACTION_STEP, RELATIVE_STEP = 0.02, 0.1


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Tokens of one workspace, for the part of the entries that report."""

    limit: quotas.Limit
    level: float
    updated_s: float
    offered_per_s: float = 0.0
    is_limited: bool = False
    # Fraction that was published last.
    fraction: float = 1.0

    def advance(self, share: float, now: float) -> None:
        """Refill the bucket for the time that has passed."""
        passed_s = max(0.0, now - self.updated_s)
        self.updated_s = now
        self.offered_per_s *= math.exp(-passed_s / OFFERED_S)
        # A debt is forgotten as fast as the limit allows while no entry reports.
        rate = self.limit.rate_per_s * (share or 1.0)
        self.level = min(self.limit.capacity * share, self.level + rate * passed_s)

    def change_share(self, share: float, new_share: float) -> None:
        """Take along the tokens of the entries that begin or cease to report.

        An entry brings enough for its part of the rate and none of the burst, which
        the owner before this one may have granted already. It takes at least as much
        away, so that one that leaves and returns many times adds nothing.
        """
        start = THRESHOLD * self.limit.tolerance
        if new_share > share:
            self.level += (new_share - share) * start
        elif new_share < share:
            self.level -= (share - new_share) * max(start, self.level / share)

    def record(self, offered: int, admitted: int) -> None:
        """Deduct requests that entries have admitted."""
        self.offered_per_s += offered / OFFERED_S
        self.level -= admitted

    def throttle(self, share: float) -> tuple[float, float] | None:
        """Return the fraction to admit and the time until there is room, or None."""
        rate = self.limit.rate_per_s * share
        threshold = THRESHOLD * self.limit.tolerance * share
        if not threshold:
            self.is_limited = False
            return None
        if not self.is_limited and self.level >= threshold:
            # A burst up to the limit is not refused, however fast it was offered.
            return None
        # Level once the entries apply what is decided now.
        admitted_per_s = self.offered_per_s * self.fraction
        level = self.level + min(0.0, rate - admitted_per_s) * FEEDBACK_S
        if level >= threshold:
            target = rate + (level - threshold) / SPEND_S
        else:
            target = rate * max(0.0, level) / threshold
        self.is_limited = self.offered_per_s > target
        if not self.is_limited:
            return None
        # Those refused within a second come back once they could be admitted.
        excess_s = (self.offered_per_s - rate) / rate
        room_s = max((threshold - self.level) / rate, excess_s, MIN_ROOM_S)
        return target / self.offered_per_s, min(room_s, MAX_ROOM_S)


@dataclasses.dataclass(slots=True)
class _Reporter:
    """Last report of one entry."""

    start_ms: int
    sequence_number: int
    seen_s: float


class Owner:
    """Counts the requests of workspaces at the entries that report to this instance.

    Attributes
    ----------
    version
        Version of the declaration that the limits come from.
    joined_s
        Time in seconds at which an entry last began to report; infinite before.

    Notes
    -----
    The buckets are scaled by the entries that report over the entries known, so that
    several owners, and the entries without an owner, add up to one limit. A report
    costs O(workspaces in it), and a message O(workspaces).
    """

    def __init__(self):
        self.version = 0
        self.joined_s = math.inf
        self._buckets: dict[str, _Bucket] = {}
        self._reporters: dict[str, _Reporter] = {}
        self._known: dict[str, float] = {}
        self._expired_s = -math.inf
        self._share = 0.0
        self._published: dict[str, tuple[float, float]] = {}

    @property
    def share(self) -> float:
        """Entries that report over the entries known."""
        return self._share

    @property
    def workspaces(self) -> int:
        """Number of workspaces with a limit."""
        return len(self._buckets)

    def set_limits(
        self, version: int, limits: collections.abc.Mapping[str, quotas.Limit], now
    ) -> None:
        """Put the limits of another declaration in force; drop other workspaces.

        Parameters
        ----------
        version
            Version of the declaration.
        limits
            Limits by workspace.
        now
            Time in seconds.
        """
        self.version = version
        self._advance(now)
        kept = {}
        for name, limit in limits.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                start = THRESHOLD * limit.tolerance * self._share
                bucket = _Bucket(limit, start, now)
            bucket.limit = limit
            bucket.level = min(bucket.level, limit.capacity * self._share)
            kept[name] = bucket
        self._buckets = kept

    def see_entries(self, names: collections.abc.Iterable[str], now: float) -> None:
        """Record entries that are known to run, whether they report here or not."""
        for name in names:
            self._known[name] = now

    def forget_entries(self, names: collections.abc.Iterable[str]) -> None:
        """Forget entries that are known to end."""
        for name in names:
            self._known.pop(name, None)

    def report(self, report: pb.UsageReport, now: float) -> bool:
        """Count the usage that an entry reports.

        Returns
        -------
        bool
            False if the report is a duplicate, or late, and was ignored.
        """
        order = (report.start_ms, report.sequence_number)
        known = self._reporters.get(report.entry)
        if known is not None and order <= (known.start_ms, known.sequence_number):
            return False
        self._reporters[report.entry] = _Reporter(*order, now)
        self._known[report.entry] = now
        if known is None:
            self.joined_s = now
            self._update_share(now)
        for use in report.uses:
            bucket = self._buckets.get(use.workspace)
            if bucket is not None:
                bucket.advance(self._share, now)
                bucket.record(use.offered, use.admitted)
        return True

    def leave(self, entry: str, start_ms: int, now: float) -> None:
        """Record that the stream of an entry has ended."""
        known = self._reporters.get(entry)
        if known is not None and known.start_ms == start_ms:
            del self._reporters[entry]
            self._update_share(now)

    def expire(self, now: float) -> None:
        """Drop entries that have not been seen for a time; called each second."""
        frozen_s, self._expired_s = now - self._expired_s, now
        if FREEZE_S < frozen_s < math.inf:
            self._known = {n: s + frozen_s for n, s in self._known.items()}
        for name in [n for n, s in self._known.items() if now - s > KNOWN_S]:
            del self._known[name]
        for name in [
            n for n, r in self._reporters.items() if now - r.seen_s > REPORTING_S
        ]:
            del self._reporters[name]
        self._update_share(now)

    def _update_share(self, now: float) -> None:
        known = len(self._known.keys() | self._reporters.keys())
        share = len(self._reporters) / known if known else 0.0
        if share == self._share:
            return
        self._advance(now)
        for bucket in self._buckets.values():
            bucket.change_share(self._share, share)
        self._share = share

    def _advance(self, now: float) -> None:
        for bucket in self._buckets.values():
            bucket.advance(self._share, now)

    def throttles(self, now: float) -> pb.Throttles:
        """Return the message for all entries, and record it as published."""
        self._published = self._decide(now)
        for name, bucket in self._buckets.items():
            bucket.fraction = self._published.get(name, (1.0, 0.0))[0]
        rows = [
            pb.Throttle(workspace=name, fraction=fraction, room_s=room_s)
            for name, (fraction, room_s) in self._published.items()
        ]
        return pb.Throttles(version=self.version, throttles=rows)

    def has_news(self, now: float) -> bool:
        """Return whether a fraction differs from the one published last."""
        decided, published = self._decide(now), self._published
        return decided.keys() != published.keys() or any(
            _differ(fraction, published[name][0])
            for name, (fraction, _) in decided.items()
        )

    def _decide(self, now: float) -> dict[str, tuple[float, float]]:
        self._advance(now)
        decided = {
            name: bucket.throttle(self._share) for name, bucket in self._buckets.items()
        }
        return {name: found for name, found in decided.items() if found is not None}


def _differ(fraction: float, published: float) -> bool:
    difference = abs(fraction - published)
    is_edge = (fraction == 0) != (published == 0)
    return (
        is_edge
        or difference > FRACTION_STEP
        or difference > RELATIVE_STEP * max(fraction, published)
    )
