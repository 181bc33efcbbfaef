"""Order in which an entry asks sources of the feed for the current state."""

import collections.abc
import enum
import itertools
import random
import typing

__all__ = ["HOLD_S", "End", "Order", "Source"]

# Time for which a control instance without a current state is watched once no other
# one has it either. A new leader is then found within this time.
HOLD_S = 1.0
# After watching another entry for this time, an entry tries control again.
PEER_WATCH_S = 5.0
# Control instances that were lost in a row before another entry is asked.
MAX_LOST = 2


class Source(typing.NamedTuple):
    """A source, and how to watch it."""

    address: str
    # Seconds after which another source is watched; None for no limit.
    limit_s: float | None = None
    # Seconds for which the source may state an old proof.
    hold_s: float = 0.0


class End(enum.Enum):
    """How the watch of a source ended."""

    # It could not be reached, or the stream ended or broke.
    LOST = "lost"
    # Its proof of currency was too old.
    OUTDATED = "outdated"
    # It was left for a control instance in the entry's own failure domain.
    FAR = "far"
    # It was left for another reason, such as the time limit of the watch.
    LEFT = "left"


class Order:
    """Chooses the next source from the ends of the watches before it.

    Parameters
    ----------
    name
        Name of the own instance. Entries that lose control together must not all ask
        the same source next, so each starts at a position derived from its name.

    Notes
    -----
    While the control instances are split, each of them can be reached, but only those
    with a quorum have the current state. So a control instance with an old proof is
    left at once for the next one. If more than half of them have an old proof, there
    is probably no leader yet, and the entry watches one of them for `HOLD_S`:
    connecting to all of them again and again would overload them during an election.
    After that the entry asks all sources before it waits again, because the known
    control instances may have been replaced.

    Other entries are asked only if control instances don't respond. After `MAX_LOST`
    of them, other entries alternate with control, so that an entry that is cut off
    from all control instances soon asks another entry. If some control instance
    responds, one other entry is asked in a round.
    """

    def __init__(self, name: str):
        start = random.Random(name).getrandbits(16)
        self._next_near = self._next_control = self._next_peer = start
        self._outdated: list[str] = []
        self._lost = 0
        # Control instances that were asked in this round.
        self._tried: set[str] = set()
        self._is_peer_due = self._has_asked_peer = False
        # Whether a wait for a leader was in vain.
        self._has_held = False

    def choose(
        self,
        control: collections.abc.Sequence[str],
        seeds: collections.abc.Sequence[str],
        peers: collections.abc.Sequence[str],
        near: collections.abc.Collection[str] = (),
    ) -> Source | None:
        """Return the next source; None at the end of a round without one.

        Parameters
        ----------
        control
            Known control instances.
        seeds
            Control instances of the settings. They are asked after the known ones,
            all of which may have been replaced meanwhile.
        peers
            Other entries.
        near
            Control instances in the entry's own failure domain, which are asked before
            the others: bytes between failure domains have a cost.
        """
        if self._takes_peer(len(control)) and peers:
            self._has_asked_peer = True
            self._next_peer += 1
            return Source(peers[self._next_peer % len(peers)], PEER_WATCH_S)
        if 2 * len(self._outdated) > len(control) and not self._has_held:
            return self._hold()
        own = [address for address in control if address in near]
        if not self._tried.issuperset(own):
            self._next_near = self._next_untried(own, self._next_near)
            return self._try(own[self._next_near % len(own)])
        far = [address for address in control if address not in near]
        if not self._tried.issuperset(far):
            self._next_control = self._next_untried(far, self._next_control)
            return self._try(far[self._next_control % len(far)])
        others = (a for a in seeds if a not in control and a not in self._tried)
        other = next(others, None)
        if other is not None:
            return self._try(other)
        if self._outdated:
            return self._hold()
        self._begin_round()
        return None

    def record_end(self, source: Source, end: End, *, was_current: bool) -> None:
        """Record how the watch of the chosen source ended.

        Parameters
        ----------
        source
            The source.
        end
            How the watch ended.
        was_current
            Whether the source has proved that its state was current.
        """
        if source.limit_s is not None:
            return
        if end is End.FAR:
            if was_current:
                self._begin_round()
            self._tried.discard(source.address)
            return
        if was_current or source.hold_s:
            self._begin_round()
            # The next source is another one; this one is asked last.
            self._tried = {source.address}
            self._has_held = not was_current
        if end is End.OUTDATED:
            self._outdated.append(source.address)
        else:
            self._lost += 1
            self._is_peer_due = True

    def _takes_peer(self, control_count: int) -> bool:
        """Return whether another entry is asked now."""
        is_due, self._is_peer_due = self._is_peer_due, False
        has_enough = bool(self._outdated) and self._has_asked_peer
        return is_due and self._lost >= min(MAX_LOST, control_count) and not has_enough

    def _next_untried(self, addresses: list[str], position: int) -> int:
        """Return the next position of an address that was not asked in this round."""
        positions = itertools.count(position + 1)
        return next(
            p for p in positions if addresses[p % len(addresses)] not in self._tried
        )

    def _try(self, address: str) -> Source:
        self._tried.add(address)
        return Source(address)

    def _hold(self) -> Source:
        return Source(self._outdated[-1], hold_s=HOLD_S)

    def _begin_round(self) -> None:
        self._outdated = []
        self._lost = 0
        self._tried = set()
        self._is_peer_due = self._has_asked_peer = False
