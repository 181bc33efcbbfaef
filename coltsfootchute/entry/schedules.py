"""Schedule of a planned stop: until when each of its steps may take."""

import typing

__all__ = ["STOP_PROPAGATION_S", "STOP_TIMEOUT_S", "Schedule", "plan"]

# Within this time every other entry has received the report that this one is stopping.
STOP_PROPAGATION_S = 3.0
# With a bound on the stop, a request may outlast it, and is then cut off. Requests are
# accepted only as long as their callers cannot have heard of the stop. The rest of
# STOP_PROPAGATION_S is for a process that handles the signal late.
MAX_ACCEPT_S = 0.9 * STOP_PROPAGATION_S
# Requests in progress end by their deadlines, which are at most 600 s long.
FINISH_TIMEOUT_S = 610.0
SETTLE_TIMEOUT_S = 5.0
# The largest `keep_s` that the settings allow.
MAX_KEEP_S = 300.0
STOP_TIMEOUT_S = STOP_PROPAGATION_S + MAX_KEEP_S + FINISH_TIMEOUT_S + SETTLE_TIMEOUT_S
# Parts of the bound of a stop after which its steps end.
ACCEPT_FRACTION = 0.45
API_FRACTION = 0.7
FINISH_FRACTION = 0.84
DELIVER_FRACTION = 0.86
SETTLE_FRACTION = 0.86


class Schedule(typing.NamedTuple):
    """When each step of a planned stop ends, in seconds since the stop began."""

    accept_s: float  # New calls are accepted until then.
    api_s: float  # New requests of operators and targets are accepted until then.
    finish_s: float  # Calls in progress are answered by then.
    deliver_s: float  # Answers have been sent to the callers by then.
    settle_s: float  # Control has replied to the settlements by then.


def plan(stop_s: float | None, keep_s: float) -> Schedule:
    """Return the schedule of a planned stop.

    Parameters
    ----------
    stop_s
        Bound on the whole stop in seconds; None without a bound.
    keep_s
        Seconds for which callers cache the addresses of entries.

    Notes
    -----
    Without a bound, requests are accepted until all callers have replaced the
    addresses that they cached, and all of them are answered. With a bound, the time in
    which requests are accepted doesn't grow with it beyond `MAX_ACCEPT_S`: the rest
    goes to the requests in progress.
    """
    if stop_s is None:
        accept_s = STOP_PROPAGATION_S + keep_s
        finish_s = accept_s + FINISH_TIMEOUT_S
        settle_s = finish_s + SETTLE_TIMEOUT_S
        return Schedule(accept_s, finish_s, finish_s, settle_s, settle_s)
    return Schedule(
        accept_s=min(ACCEPT_FRACTION * stop_s, MAX_ACCEPT_S),
        api_s=API_FRACTION * stop_s,
        finish_s=FINISH_FRACTION * stop_s,
        deliver_s=DELIVER_FRACTION * stop_s,
        settle_s=SETTLE_FRACTION * stop_s,
    )
