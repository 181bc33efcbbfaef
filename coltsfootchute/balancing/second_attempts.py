"""Second attempts of repeatable requests whose target has become slow.

The load that this answers: a few requests in a hundred take several times the usual
work. They are slow at any target, so a second attempt only takes a slot from another
request. A second attempt gains when the first one is at a target that has stopped,
which a probe without an answer shows. At a host that is slow for a short time the first
attempt ends before a second one.
"""

from coltsfootchute.balancing import views

__all__ = ["check_interval_s", "gains"]

# A request is looked at after this multiple of the typical response time of its route.
CHECK_FACTOR = 1.15
MIN_CHECK_S = 0.05
# A target normally answers a probe within a few milliseconds.
PROBE_OVERDUE_S = 0.025


def check_interval_s(typical_s: float) -> float:
    """Return the time in seconds between two looks at a request in progress."""
    return max(MIN_CHECK_S, CHECK_FACTOR * typical_s)


def gains(token: views.AttemptToken, now: float) -> bool:
    """Tell whether a second attempt at another target would be answered first.

    Parameters
    ----------
    token
        The first attempt, whose target was just probed.
    now
        Time in seconds.
    """
    return now - token.view.probe_sent_s > PROBE_OVERDUE_S
