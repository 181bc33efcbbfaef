"""Which targets are cold, and which of their requests this entry may send."""

import collections
import functools
import hashlib
import math
import random

from coltsfootchute import ids
from coltsfootchute.balancing import views

__all__ = [
    "EntryCount",
    "Gate",
    "Ramp",
    "SlowStart",
    "SlowStarts",
    "token_lifetime_s",
]

# A cold target may get this multiple of its ramp, and this many requests more, in any
# one second.
BURST_FACTOR = 1.5
BURST_REQUESTS = 8
# Standard deviations of the number of requests in a second that are kept below the
# limit when all entries use the tokens that they hold at once. Tokens of random phases
# would need 3; those of spread phases vary less.
MARGIN_DEVIATIONS = 1.5
MAX_LIFETIME_S = 2.0
# Tokens of all entries together when a target is announced.
FIRST_TOKENS = 3
# The number of entries counts as the largest one in this time, because entries that
# control does not see for a while may still send requests.
COUNT_WINDOW_S = 30.0
# Entries report to control at least every 1.5 s. After a restart of control, its list
# is incomplete for that long.
COUNT_SETTLES_S = 1.6
# The fractional part of the golden ratio: its multiples, modulo 1, are distributed
# evenly over the unit interval, and so are those of consecutive numbers.
GOLDEN_RATIO_FRACTION = 0.6180339887498949
# Number of incarnations of targets whose statements are kept.
MAX_STATES = 4096


@functools.lru_cache(maxsize=256)
def token_lifetime_s(rate_per_s: float) -> float:
    """Return the time in seconds after which an unused token is dropped.

    Notes
    -----
    Without requests, all entries would collect a token, and a burst of requests would
    use them at once. With this lifetime, the mean number of tokens that are held or
    become available within a second is below the limit by `MARGIN_DEVIATIONS`.

    Examples
    --------
    >>> round(token_lifetime_s(2.5), 2), round(token_lifetime_s(20), 2)
    (2.0, 0.49)
    """
    limit = BURST_FACTOR * rate_per_s + BURST_REQUESTS
    root = (math.sqrt(MARGIN_DEVIATIONS**2 + 4 * limit) - MARGIN_DEVIATIONS) / 2
    return min(MAX_LIFETIME_S, max(0.0, root**2 / rate_per_s - 1))


class Ramp:
    """Limit on the requests that one entry sends to one cold target.

    Parameters
    ----------
    level
        Level at the start.
    start_s
        Time of the start in seconds.

    Notes
    -----
    An accumulator that gains `rate_per_s / entries` a second and holds at most one
    token. The sum over all entries is the rate, and the random phases spread it
    evenly. O(1).
    """

    __slots__ = ("_full_s", "_level", "_refilled_s")

    def __init__(self, level: float, start_s: float):
        self._level = level
        self._refilled_s = start_s
        # Time at which the token that is held became available.
        self._full_s = start_s if level >= 1 else -math.inf

    def has_token(self, now: float, rate_per_s: float, entries: int) -> bool:
        """Tell whether a request may be sent now.

        Parameters
        ----------
        now
            Time in seconds.
        rate_per_s
            Requests per second that the target tolerates from all entries together.
        entries
            Number of entries.
        """
        self._refill(now, rate_per_s, entries)
        return self._level >= 1

    def take(self, now: float, rate_per_s: float, entries: int) -> None:
        """Take a token; the level falls below 0 if there is none."""
        self._refill(now, rate_per_s, entries)
        self._level -= 1

    def next_token_s(self, now: float, rate_per_s: float, entries: int) -> float:
        """Return the time in seconds of the next token."""
        self._refill(now, rate_per_s, entries)
        return now + max(0.0, 1 - self._level) * entries / rate_per_s

    def _refill(self, now: float, rate_per_s: float, entries: int) -> None:
        since_s, self._refilled_s = self._refilled_s, now
        gain = rate_per_s / entries
        if self._level < 1:
            level = self._level + max(0.0, now - since_s) * gain
            self._full_s = now - (level - 1) / gain
        else:
            level = 1.0
        if self._full_s > now:
            self._level = level
            return
        self._level = 1.0
        if entries <= BURST_REQUESTS:
            # The tokens of so few entries are within the limit.
            return
        # Tokens whose lifetime has passed are dropped, but the phase is kept.
        missed = math.floor((now - self._full_s) * gain)
        newest_s = self._full_s + missed / gain
        if now - newest_s > token_lifetime_s(rate_per_s):
            self._level = min((now - newest_s) * gain, math.nextafter(1.0, 0.0))
        else:
            self._full_s = newest_s


class EntryCount:
    """Number of entries, as far as it is known. O(1) amortized."""

    def __init__(self):
        self._first_s: float | None = None
        # Times and counts, the counts descending.
        self._counts: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, count: int, now: float) -> None:
        """Record how many entries control knows; 0 is no information."""
        if count <= 0:
            return
        if self._first_s is None:
            self._first_s = now
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))

    def current(self, now: float) -> int:
        """Return the largest recent number of entries, 0 while it is unknown.

        Notes
        -----
        A count stays in force until `COUNT_WINDOW_S` after a lower one replaced it.
        """
        counts = self._counts
        if self._first_s is None or now - self._first_s < COUNT_SETTLES_S:
            return 0
        while len(counts) > 1 and now - counts[1][0] > COUNT_WINDOW_S:
            counts.popleft()
        return counts[0][1]


class SlowStart:
    """What is known of the coldness of one incarnation of a target."""

    __slots__ = ("_registered", "_stated_s", "cold_until_s", "is_probed", "ramp")

    def __init__(self):
        # None until the number of entries is known.
        self.ramp: Ramp | None = None
        # As stated last; None if neither the register nor the target stated it.
        self.cold_until_s: float | None = None
        # Whether the target has answered a probe.
        self.is_probed = False
        self._stated_s = -math.inf
        self._registered: tuple[int, float] | None = None

    def record_registered(self, target: views.Target, now: float) -> None:
        """Record what the register states; it counts if it is the newest statement.

        Notes
        -----
        The first statement was made at the announcement, which may be long ago. A
        change of a known statement was made just now.
        """
        registered = target.announced_ms, target.warm_up_s
        if registered == self._registered:
            return
        stated_s = target.up_since_s if self._registered is None else now
        self._registered = registered
        if target.warm_up_s and stated_s >= self._stated_s:
            self._stated_s = stated_s
            self.cold_until_s = target.up_since_s + target.warm_up_s

    def record_stated(self, remaining_s: float | None, now: float) -> None:
        """Record what the target states in an answer, as `SlowStarts` does."""
        self.is_probed = True
        if remaining_s is not None:
            self._stated_s = now
            self.cold_until_s = now + remaining_s

    def end_s(self, up_since_s: float, slow_start_s: float) -> float:
        """Return the time in seconds at which the target is warm.

        Parameters
        ----------
        up_since_s
            Time of its announcement.
        slow_start_s
            Time for which targets of the service are cold after their start, which
            applies only to a target that has not stated its own.
        """
        if self.cold_until_s is not None:
            return self.cold_until_s
        return up_since_s + slow_start_s


class SlowStarts:
    """Coldness of targets by id and incarnation, for all services of an entry.

    Parameters
    ----------
    rng
        Random number generator of the phases.
    states_cold
        Whether targets can state in their answers that they are cold.
    """

    def __init__(self, rng: random.Random, *, states_cold: bool = False):
        self.entries = EntryCount()
        # Position of this entry among the names of all; None if it is unknown.
        self.position: int | None = None
        # After this time no target is cold, as far as it is known.
        self.latest_end_s = -math.inf
        self.states_cold = states_cold
        self._rng = rng
        self._states: dict[tuple[ids.TargetId, int], SlowStart] = {}

    def of(self, target: views.Target) -> SlowStart:
        """Return the state of an incarnation of a target."""
        key = target.target_id, target.incarnation
        state = self._states.get(key)
        if state is None:
            state = self._states[key] = SlowStart()
            if len(self._states) > MAX_STATES:
                del self._states[next(iter(self._states))]
        return state

    def record_stated(
        self, target: views.Target, remaining_s: float | None, now: float
    ) -> bool:
        """Record what a target states in an answer.

        Parameters
        ----------
        target
            The target.
        remaining_s
            Time in seconds for which it is still cold; None if it does not state it.
        now
            Time in seconds.

        Returns
        -------
        bool
            Whether it has become cold.
        """
        state = self.of(target)
        was_cold = state.cold_until_s is not None and now < state.cold_until_s
        state.record_stated(remaining_s, now)
        if not remaining_s:
            return False
        self.latest_end_s = max(self.latest_end_s, now + remaining_s)
        return not was_cold

    def ramp(self, target: views.Target, now: float, entries: int) -> Ramp:
        """Return the ramp of a target.

        Notes
        -----
        Its phase is a point of a low-discrepancy sequence for the position of this
        entry, with a random part of the mean distance, shifted by the target. So the
        tokens of all entries are spread evenly over time, also those of the entries of
        one failure domain, whose names may be similar. With independent phases, 5 % of
        the targets that joined got no request within 2 s. The ramp starts at the
        announcement, with `FIRST_TOKENS` at all entries together, so that an entry that
        restarts goes on as before.
        """
        state = self.of(target)
        if state.ramp is None:
            level, start_s = self._rng.random(), now
            if self.position is not None:
                name = f"{target.target_id}/{target.incarnation}"
                level = self.position * GOLDEN_RATIO_FRACTION + level / entries
                digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
                level += int.from_bytes(digest) / (1 << 32)
                level = level % 1.0 + FIRST_TOKENS / entries
                if math.isfinite(target.up_since_s):
                    start_s = target.up_since_s
            state.ramp = Ramp(level, start_s)
        return state.ramp


class Gate:
    """The rules of one service for requests to its cold targets.

    Parameters
    ----------
    starts
        Coldness of the targets.

    Notes
    -----
    No rule applies to a service that declares no ramp.
    """

    __slots__ = ("_ramp_per_s", "_slow_start_s", "_starts")

    def __init__(self, starts: SlowStarts):
        self._starts = starts
        self._slow_start_s = 0.0
        self._ramp_per_s = 0.0

    def change(self, slow_start_s: float, ramp_per_s: float) -> None:
        """Apply what the service declares."""
        self._slow_start_s = slow_start_s
        self._ramp_per_s = ramp_per_s

    def is_active(self, now: float) -> bool:
        """Tell whether the service declares a ramp and any target may be cold."""
        return self._ramp_per_s > 0 and now < self._starts.latest_end_s

    def register(self, target: views.Target, now: float) -> None:
        """Apply the registration of a target."""
        if self._ramp_per_s:
            state = self._starts.of(target)
            state.record_registered(target, now)
            end_s = state.end_s(target.up_since_s, self._slow_start_s)
            self._starts.latest_end_s = max(self._starts.latest_end_s, end_s)
            # From now on the entry accumulates its part of the ramp.
            self.has_token(target, now)

    def is_cold(self, target: views.Target, now: float) -> bool:
        """Tell whether a target is cold and its requests are limited."""
        if not self._ramp_per_s:
            return False
        state = self._starts.of(target)
        if state.cold_until_s is None and state.is_probed and self._starts.states_cold:
            # A target that could state in its answers that it is cold did not.
            return False
        return now < state.end_s(target.up_since_s, self._slow_start_s)

    def has_token(self, target: views.Target, now: float) -> bool:
        """Tell whether the ramp of a cold target allows a request now."""
        rate, entries = self._ramp_per_s, self._starts.entries.current(now)
        if not entries:
            return False
        ramp = self._starts.ramp(target, now, entries)
        return ramp.has_token(now, rate, entries)

    def allows(self, target: views.Target, now: float) -> bool:
        """Tell whether a request may be sent to a target, cold or not."""
        return not self.is_cold(target, now) or self.has_token(target, now)

    def start(self, target: views.Target, now: float) -> bool:
        """Record the start of an attempt; return whether the target is cold."""
        if not self.is_cold(target, now):
            return False
        rate, entries = self._ramp_per_s, self._starts.entries.current(now)
        if entries:
            self._starts.ramp(target, now, entries).take(now, rate, entries)
        return True

    def next_token_s(self, target: views.Target, now: float) -> float:
        """Return when a target may get the next request; in the past if not cold."""
        if not self.is_cold(target, now):
            return -math.inf
        rate, entries = self._ramp_per_s, self._starts.entries.current(now)
        end_s = self._starts.of(target).end_s(target.up_since_s, self._slow_start_s)
        if not entries:
            return min(end_s, now + COUNT_SETTLES_S)
        ramp = self._starts.ramp(target, now, entries)
        return min(end_s, ramp.next_token_s(now, rate, entries))

    def wants_probe(self, target: views.Target, now: float) -> bool:
        """Tell whether it is to be asked whether a target without a token is cold.

        Only what the service declares makes such a target cold, and it may have
        started before there was traffic.
        """
        if not self._starts.states_cold or not self.is_cold(target, now):
            return False
        state = self._starts.of(target)
        return state.cold_until_s is None and not state.is_probed
