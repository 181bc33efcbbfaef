"""Admission of the requests of workspaces at one entry, without I/O."""

import collections.abc
import dataclasses
import enum
import math
import random
import typing

from coltsfootchute import quotas

__all__ = ["Allotments", "Decision", "Outcome", "Throttle", "Use"]

# The last fractions of the owner apply for this time. The owner sends a message at
# least every second.
OWNER_TIMEOUT_S = 1.0
# A lower number of entries is believed after this time, as entries that are cut off
# still admit their part of each limit.
KNOWN_S = 30.0
# Part of the tolerance that entries without an owner may use beyond the burst. The
# rest is for the difference between the random phases of the entries.
FALLBACK_PART = 0.2
# Usage of this part of the tolerance is reported early. Where all callers of a
# workspace use one entry, a report for 0.25 s would be as large as the tolerance.
URGENT_PART = 1 / 16
MIN_ROOM_S, MAX_ROOM_S = 0.2, 10.0
# A caller is told to wait for the time until there is room, times a random factor.
# Otherwise all callers that are refused come back together.
RETURN_FACTORS = (1.0, 2.0)


class Outcome(enum.Enum):
    """Whether a request was admitted, and by which rule."""

    # By the fraction of the owner, or because the workspace is not limited.
    ADMITTED = "admitted"
    # By this entry's part of the rate, without an owner.
    ADMITTED_ALONE = "admitted_alone"
    REFUSED = "refused"
    REFUSED_ALONE = "refused_alone"


class Throttle(typing.NamedTuple):
    """Fraction of the offered requests to admit, and seconds until there is room."""

    fraction: float
    room_s: float


class Use(typing.NamedTuple):
    """Requests of a workspace since the last report."""

    workspace: str
    offered: int
    admitted: int


class Decision(typing.NamedTuple):
    """Decision on one request.

    Parameters
    ----------
    workspace
        Name of the workspace.
    outcome
        Whether the request was admitted.
    retry_after_s
        Seconds after which a refused caller should try again.
    epoch
        The connection to an owner under which the request was admitted.
    """

    workspace: str
    outcome: Outcome
    retry_after_s: float = 0.0
    epoch: int = 0

    @property
    def is_admitted(self) -> bool:
        """Whether the request was admitted."""
        return self.outcome in {Outcome.ADMITTED, Outcome.ADMITTED_ALONE}


@dataclasses.dataclass(slots=True)
class _Account:
    """Counts of one workspace at this entry."""

    limit: quotas.Limit
    # Error of the diffusion; it starts at random, so that the entries differ.
    error: float
    # Tokens of this entry alone, which bound it until the owner's fraction arrives.
    level: float
    updated_s: float
    throttle: Throttle | None = None
    offered: int = 0
    admitted: int = 0
    # Requests admitted since the last message of the owner.
    unconfirmed: int = 0
    # Tokens issued without an owner, and the tokens of them that are used or expired.
    is_alone: bool = False
    issued: float = 0.0
    used: int = 0
    issued_s: float = 0.0


class Allotments:
    """Decides which requests of workspaces with a limit are admitted.

    Parameters
    ----------
    rng
        Source of randomness for phases and jitter.

    Notes
    -----
    With an owner, error diffusion applies the owner's fraction to each request, and a
    token bucket with the limit of the whole workspace bounds this entry. Without one,
    each entry issues tokens at ``rate / entries``, beginning at a random phase. An
    unused token expires, so that the entries hold no more than the burst together.
    Each decision takes O(1).
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._accounts: dict[str, _Account] = {}
        self._pending: set[str] = set()
        self._is_urgent = False
        self._entries = 0
        self._fewer_since_s: float | None = None
        self._heard_s = -math.inf
        self._epoch = 0
        self._is_connected = False

    @property
    def is_limiting(self) -> bool:
        """Whether any workspace has a limit."""
        return bool(self._accounts)

    @property
    def is_urgent(self) -> bool:
        """Whether there is so much usage that it is reported early."""
        return self._is_urgent

    @property
    def has_usage(self) -> bool:
        """Whether there is usage to report."""
        return bool(self._pending)

    def __len__(self) -> int:
        return len(self._accounts)

    def has_owner(self, now: float) -> bool:
        """Return whether an owner has been heard recently enough."""
        return now - self._heard_s <= OWNER_TIMEOUT_S

    def set_limits(
        self, limits: collections.abc.Mapping[str, quotas.Limit], now: float
    ) -> None:
        """Put other limits in force; drop the counts of all other workspaces."""
        kept = {}
        for name, limit in limits.items():
            account = self._accounts.get(name)
            if account is None:
                account = _Account(limit, self._rng.random(), limit.capacity, now)
            self._refill(account, now)
            account.limit = limit
            account.level = min(account.level, limit.capacity)
            kept[name] = account
        self._accounts = kept
        self._pending &= kept.keys()

    def set_entries(self, entries: int, now: float) -> None:
        """Change the number of entries; a lower one applies after `KNOWN_S`.

        Parameters
        ----------
        entries
            Number of entries that are known to run, with this one; 0 if unknown.
        now
            Time in seconds.
        """
        if entries >= self._entries:
            self._entries, self._fewer_since_s = entries, None
            return
        if self._fewer_since_s is None:
            self._fewer_since_s = now
        if entries and now - self._fewer_since_s > KNOWN_S:
            self._entries, self._fewer_since_s = entries, None

    def connect(self) -> None:
        """Begin to report to an owner, which counts the requests from now on."""
        self.disconnect()
        self._is_connected = True

    def disconnect(self) -> None:
        """Cease to report to an owner."""
        self._is_connected = False
        self._epoch += 1
        self.take_usage()

    def apply(
        self, throttles: collections.abc.Mapping[str, Throttle], now: float
    ) -> None:
        """Apply a message of the owner; workspaces left out are not limited."""
        self._heard_s = now
        for name, account in self._accounts.items():
            account.throttle = throttles.get(name)
            account.unconfirmed = 0
            account.is_alone = False

    def admit(self, workspace: str, now: float) -> Decision | None:
        """Decide on a request.

        Parameters
        ----------
        workspace
            Name of the caller's workspace.
        now
            Time in seconds.

        Returns
        -------
        Decision or None
            None if the workspace has no limit.
        """
        account = self._accounts.get(workspace)
        if account is None:
            return None
        if self._is_connected:
            account.offered += 1
            self._pending.add(workspace)
        if not self.has_owner(now):
            return self._admit_alone(workspace, account, now)
        self._refill(account, now)
        if account.level < 1:
            room_s = (1 - account.level) / account.limit.rate_per_s
            return self._refuse(workspace, Outcome.REFUSED, room_s)
        if account.throttle is not None:
            account.error += account.throttle.fraction
            if account.error < 1:
                room_s = account.throttle.room_s
                return self._refuse(workspace, Outcome.REFUSED, room_s)
            account.error -= 1
        account.level -= 1
        account.unconfirmed += 1
        self._count(account)
        return Decision(workspace, Outcome.ADMITTED, epoch=self._epoch)

    def give_back(self, decision: Decision) -> None:
        """Return the token of an admitted request that did not run."""
        account = self._accounts.get(decision.workspace)
        if account is None:
            return
        if decision.outcome is Outcome.ADMITTED_ALONE:
            if account.is_alone:
                account.used -= 1
        else:
            account.level = min(account.limit.capacity, account.level + 1)
            account.unconfirmed = max(0, account.unconfirmed - 1)
        if decision.epoch == self._epoch and self._is_connected:
            # Only the owner that has counted the request gets it back.
            account.admitted -= 1
            self._pending.add(decision.workspace)

    def take_usage(self) -> list[Use]:
        """Return the usage since the last report, and count it as reported."""
        taken = []
        for name in sorted(self._pending):
            account = self._accounts[name]
            taken.append(Use(name, account.offered, account.admitted))
            account.offered = account.admitted = 0
        self._pending.clear()
        self._is_urgent = False
        return taken

    def _refill(self, account: _Account, now: float) -> None:
        passed_s = max(0.0, now - account.updated_s)
        account.updated_s = now
        tokens = account.level + account.limit.rate_per_s * passed_s
        account.level = min(account.limit.capacity, tokens)

    def _admit_alone(self, workspace: str, account: _Account, now: float) -> Decision:
        if not self._entries:
            return self._refuse(workspace, Outcome.REFUSED_ALONE, OWNER_TIMEOUT_S)
        limit = account.limit
        rate = limit.rate_per_s / self._entries
        if not account.is_alone:
            self._begin_alone(account, rate, now)
        account.issued += rate * max(0.0, now - account.issued_s)
        account.issued_s = now
        held = (limit.burst + FALLBACK_PART * limit.tolerance) / self._entries
        account.used = max(account.used, math.floor(account.issued - held))
        if account.used >= math.floor(account.issued):
            room_s = (account.used + 1 - account.issued) / rate
            return self._refuse(workspace, Outcome.REFUSED_ALONE, room_s)
        account.used += 1
        self._count(account)
        return Decision(workspace, Outcome.ADMITTED_ALONE, epoch=self._epoch)

    def _count(self, account: _Account) -> None:
        """Count an admitted request for the next report."""
        if not self._is_connected:
            return
        account.admitted += 1
        if account.admitted >= URGENT_PART * account.limit.tolerance:
            self._is_urgent = True

    def _begin_alone(self, account: _Account, rate: float, now: float) -> None:
        """Start at a random phase, with a debt for what no owner has confirmed."""
        account.is_alone = True
        debt = min(account.unconfirmed, rate * account.limit.window_s)
        account.unconfirmed = 0
        account.issued = self._rng.random() - debt
        account.used = 0
        # The fractions have applied until then.
        ended_s = self._heard_s + OWNER_TIMEOUT_S
        account.issued_s = ended_s if math.isfinite(ended_s) else now

    def _refuse(self, workspace: str, outcome: Outcome, room_s: float) -> Decision:
        bounded_s = min(max(room_s, MIN_ROOM_S), MAX_ROOM_S)
        factor = self._rng.uniform(*RETURN_FACTORS)
        return Decision(workspace, outcome, bounded_s * factor)
