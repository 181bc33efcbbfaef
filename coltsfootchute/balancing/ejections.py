"""Limit on the number of targets of a pool that are ejected at the same time."""

import collections.abc
import operator

from coltsfootchute.balancing import views

__all__ = ["may_eject", "restore_excess"]


def may_eject(in_use: collections.abc.Sequence[views.TargetView], now: float) -> bool:
    """Tell whether another target may be ejected.

    At most half of the targets in use are ejected at the same time. If more of them
    fail, the cause is more likely the entry itself or the requests.

    Parameters
    ----------
    in_use
        Views of serving and suspect targets; draining ones are left out.
    now
        Time in seconds.
    """
    ejected = sum(view.is_ejected(now) for view in in_use)
    return 2 * (ejected + 1) <= len(in_use)


def restore_excess(
    in_use: collections.abc.Sequence[views.TargetView], now: float
) -> None:
    """End ejections until at most half of the targets in use are ejected.

    The ejections that would end first are ended first. This is needed when targets
    that are not ejected leave or drain. O(n log n).
    """
    ejected = [view for view in in_use if view.is_ejected(now)]
    ejected.sort(key=operator.attrgetter("ejected_until_s"))
    for view in ejected[: max(0, len(ejected) - len(in_use) // 2)]:
        view.restore()
