"""When refused callers should return.

The load that this answers: refused callers that all return after the same short time
find the service as full as before. They are spread over a time that is longer the fewer
targets have room, and shorter for routes with a short objective, so that urgent callers
return first and still in time.
"""

import random

__all__ = ["has_waited", "retry_after_s"]

# Bounds of the time as a part of the objective, with no target that has room.
RETURN_PARTS = (0.2, 0.6)
MIN_RETURN_S = 0.02


def retry_after_s(
    objective_s: float | None, room: float, rng: random.Random
) -> float | None:
    """Return after how many seconds a refused caller should return.

    Parameters
    ----------
    objective_s
        Latency objective of the route in seconds; None if it has none.
    room
        Part of the targets that have a free slot, 0 to 1.
    rng
        Random number generator.

    Returns
    -------
    float or None
        None for the usual time.
    """
    if objective_s is None:
        return None
    wait_s = rng.uniform(*RETURN_PARTS) * objective_s * (1 - room)
    return round(max(MIN_RETURN_S, wait_s), 3)


def has_waited(age_s: float, objective_s: float | None) -> bool:
    """Tell whether a caller returns after the time that it was asked to wait.

    Parameters
    ----------
    age_s
        Time since the caller sent its request first, in seconds.
    objective_s
        Latency objective of the route in seconds; None if it has none.
    """
    return objective_s is not None and age_s >= RETURN_PARTS[0] * objective_s
