"""Bound on the targets of a pool that are ejected at once."""

import collections.abc
import operator

from coltsfootchute.balancing import views

__all__ = ["may_eject", "restore_excess"]


def may_eject(in_use: collections.abc.Sequence[views.TargetView], now: float) -> bool:
    """Tell whether another target may be ejected.

    At most half of the targets in use are ejected at once: when more of them
    fail, the fault is more likely the entry's own or the requests'.

    Parameters
    ----------
    in_use
        Views that are neither draining nor gone.
    now
        Time.
    """
    ejected = sum(view.is_ejected(now) for view in in_use)
    return 2 * (ejected + 1) <= len(in_use)


def restore_excess(
    in_use: collections.abc.Sequence[views.TargetView], now: float
) -> None:
    """Restore ejected targets, first those that return first, down to half.

    Needed when targets leave or drain around the ejected ones. O(n log n).
    """
    ejected = [view for view in in_use if view.is_ejected(now)]
    ejected.sort(key=operator.attrgetter("ejected_until_s"))
    for view in ejected[: max(0, len(ejected) - len(in_use) // 2)]:
        view.restore()
