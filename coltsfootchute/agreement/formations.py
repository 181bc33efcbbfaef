"""The first start of a cluster, and the return of an instance without data."""

import collections.abc
import dataclasses
import enum
import random

from coltsfootchute.agreement import memberships, records
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = [
    "Decision",
    "Step",
    "accepts_formation",
    "decide",
    "initial_state",
    "was_removed",
]

FIRST_INDEX = 1
FIRST_TERM = 1
CLUSTER_ID_BITS = 128


class Step(enum.Enum):
    """What an instance without formed state does next."""

    WAIT = "wait"  # Ask again later.
    FORM = "form"  # Store the membership, then send it to all in `FormRequest`.
    ADOPT = "adopt"  # Store the membership.
    JOIN = "join"  # Ask the address in `JoinRequest` to be added as a learner.


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The next step of an instance without formed state.

    Parameters
    ----------
    step
        What to do.
    membership
        The membership to store, for `FORM` and `ADOPT`.
    address
        Whom to ask, for `JOIN`.
    detail
        Why it waits, for the log.
    """

    step: Step
    membership: pb.Membership | None = None
    address: str = ""
    detail: str = ""


def decide(
    identity: records.Identity,
    initial: collections.abc.Collection[str],
    replies: collections.abc.Mapping[str, pb.HelloReply],
    rng: random.Random,
) -> Decision:
    """Return the next step of an instance without formed state.

    Parameters
    ----------
    identity
        Who the instance is.
    initial
        Names of the initial members in its settings.
    replies
        The latest reply of each of the other initial members, by name, from
        one round of questions. `HelloReply.membership` is the committed one.
    rng
        Source of randomness for the cluster id; `random.SystemRandom` in a
        daemon.

    Notes
    -----
    All initial members must answer before one forms a cluster. A quorum is not
    enough: it can't tell a first start from the loss of its members' disks,
    while the silent member may still hold acknowledged changes.
    """
    formed = [r for _, r in sorted(replies.items()) if r.formed]
    if formed:
        return _enter(identity, formed)
    if identity.name not in initial:
        return Decision(Step.WAIT, detail="not an initial member; no cluster found")
    missing = sorted(set(initial) - set(replies) - {identity.name})
    if missing:
        return Decision(Step.WAIT, detail=f"no answer from {', '.join(missing)}")
    if identity.name != min(initial):
        return Decision(Step.WAIT, detail=f"{min(initial)} forms the cluster")
    return _form(identity, initial, replies, rng)


def _enter(identity: records.Identity, formed: list[pb.HelloReply]) -> Decision:
    """Adopt a formed cluster, or ask to join it."""
    cluster_ids = {r.membership.cluster_id for r in formed}
    if len(cluster_ids) > 1:
        return Decision(Step.WAIT, detail=f"{len(cluster_ids)} clusters found")
    for reply in formed:
        if memberships.find(reply.membership, identity.member_id):
            return Decision(Step.ADOPT, membership=reply.membership)
    leaders = [r.leader_address for r in formed if r.leader_address]
    address = leaders[0] if leaders else formed[0].member.address
    return Decision(Step.JOIN, address=address)


def _form(
    identity: records.Identity,
    initial: collections.abc.Collection[str],
    replies: collections.abc.Mapping[str, pb.HelloReply],
    rng: random.Random,
) -> Decision:
    """Return the first membership, of all initial members."""
    others = [replies[name].member for name in sorted(initial) if name in replies]
    members = [identity.member(voter=True)]
    for other in others:
        member = pb.Member.FromString(other.SerializeToString())
        member.voter = True
        members.append(member)
    if len({m.member_id for m in members}) < len(initial):
        return Decision(Step.WAIT, detail="two initial members have the same id")
    if any(m.name != name for m, name in zip(members, sorted(initial), strict=True)):
        return Decision(Step.WAIT, detail="an initial member answers for another")
    cluster_id = f"{rng.getrandbits(CLUSTER_ID_BITS):032x}"
    membership = pb.Membership(cluster_id=cluster_id, members=members)
    return Decision(Step.FORM, membership=membership)


def accepts_formation(
    identity: records.Identity, present: pb.Membership | None, offered: pb.Membership
) -> bool:
    """Return whether an instance stores the membership of a `FormRequest`.

    Parameters
    ----------
    identity
        Who the instance is.
    present
        Its membership, or `None`. A formed instance never changes clusters.
    offered
        The membership offered. If the instance lost its disk after it was
        asked, its new id is not in it.
    """
    return present is None and memberships.is_voter(offered, identity.member_id)


def initial_state(
    membership: pb.Membership, hard_state: pb.HardState
) -> records.SavedState:
    """Return the state to store when a cluster is formed or adopted.

    The caller gives its fields to `FileStore.append` and starts a new `Replica`
    from it.

    Parameters
    ----------
    membership
        The membership formed or adopted.
    hard_state
        The present hard state, whose term is kept if it is later.

    Notes
    -----
    Index and term are the first ones also for a later membership: then the log
    of every other quorum is longer, so that the instance can vote, but can't
    win an election before it has the log.
    """
    meta = pb.SnapshotMeta(index=FIRST_INDEX, term=FIRST_TERM, membership=membership)
    kept = pb.HardState(term=FIRST_TERM)
    if hard_state.term >= FIRST_TERM:
        kept.CopyFrom(hard_state)
    return records.SavedState(kept, records.Snapshot(meta), [])


def was_removed(
    identity: records.Identity, present: pb.Membership, reply: pb.HelloReply
) -> bool:
    """Return whether a formed instance must ask to join again.

    Parameters
    ----------
    identity
        Who the instance is.
    present
        Its own membership.
    reply
        What a member answers. If that member lags, the request to join is
        refused, which does no harm.

    Notes
    -----
    The instance keeps its member id and its data: its votes are not lost.
    """
    if not reply.formed or reply.membership.cluster_id != present.cluster_id:
        return False
    return memberships.find(reply.membership, identity.member_id) is None
