"""Forming a cluster at its first start, and joining one without stored data."""

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
    """The next step of an instance that belongs to no cluster."""

    WAIT = "wait"  # Send `HelloRequest` again later.
    FORM = "form"  # Store the membership, then send it to all in `FormRequest`.
    ADOPT = "adopt"  # Store the membership of the existing cluster.
    JOIN = "join"  # Send `JoinRequest` to the address, to be added as a learner.


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The next step of an instance that belongs to no cluster, with its data.

    Parameters
    ----------
    step
        The step.
    membership
        The membership to store, for `FORM` and `ADOPT`.
    address
        Address of the member to ask, for `JOIN`.
    detail
        Reason for `WAIT`, for log messages.
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
    """Return the next step of an instance that belongs to no cluster.

    Parameters
    ----------
    identity
        Identity of the instance.
    initial
        Names of the initial members in its settings.
    replies
        The replies of the other initial members to one round of `HelloRequest`,
        by name. `HelloReply.membership` is the committed membership.
    rng
        Source of randomness for the cluster id; `random.SystemRandom` in a
        daemon.

    Notes
    -----
    All initial members must reply before one of them forms a cluster. A quorum is
    not enough: it can't distinguish a first start from the loss of its members'
    disks, and a member that doesn't reply may still hold acknowledged changes.
    """
    formed = [r for _, r in sorted(replies.items()) if r.formed]
    if formed:
        return _adopt_or_join(identity, formed)
    if identity.name not in initial:
        return Decision(
            Step.WAIT,
            detail=f"{identity.name} is no initial member, and no cluster was found",
        )
    missing = sorted(set(initial) - set(replies) - {identity.name})
    if missing:
        return Decision(Step.WAIT, detail=f"no reply from {', '.join(missing)}")
    if identity.name != min(initial):
        return Decision(
            Step.WAIT, detail=f"waiting for {min(initial)} to form the cluster"
        )
    return _form(identity, initial, replies, rng)


def _adopt_or_join(identity: records.Identity, formed: list[pb.HelloReply]) -> Decision:
    """Return the step to adopt an existing cluster's membership, or to join it."""
    cluster_ids = {r.membership.cluster_id for r in formed}
    if len(cluster_ids) > 1:
        return Decision(
            Step.WAIT,
            detail=f"initial members belong to {len(cluster_ids)} different clusters",
        )
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
    """Return the step to form a cluster in which all initial members vote."""
    others = [replies[name].member for name in sorted(initial) if name in replies]
    members = [identity.member(voter=True)]
    for other in others:
        member = pb.Member.FromString(other.SerializeToString())
        member.voter = True
        members.append(member)
    if len({m.member_id for m in members}) < len(initial):
        return Decision(Step.WAIT, detail="two initial members have the same id")
    if any(m.name != name for m, name in zip(members, sorted(initial), strict=True)):
        return Decision(Step.WAIT, detail="an initial member replied with another name")
    cluster_id = f"{rng.getrandbits(CLUSTER_ID_BITS):032x}"
    membership = pb.Membership(
        cluster_id=cluster_id, members=members, initial_size=len(members)
    )
    return Decision(Step.FORM, membership=membership)


def accepts_formation(
    identity: records.Identity, current: pb.Membership | None, offered: pb.Membership
) -> bool:
    """Return whether an instance stores the membership in a `FormRequest`.

    Parameters
    ----------
    identity
        Identity of the instance.
    current
        Its current membership, or `None`. An instance never changes its cluster.
    offered
        The membership in the request. If the instance lost its disk after its reply
        to `HelloRequest`, its new id is not in this membership.
    """
    return current is None and memberships.is_voter(offered, identity.member_id)


def initial_state(
    membership: pb.Membership, hard_state: pb.HardState
) -> records.SavedState:
    """Return the state to store when a cluster is formed or its membership adopted.

    The caller passes its fields to `FileStore.append` and starts a new `Replica`
    from it.

    Parameters
    ----------
    membership
        The membership formed or adopted.
    hard_state
        The current hard state. Its term and vote are kept; the term is at least 1.

    Notes
    -----
    The snapshot has the first index and term even if the membership is a later one.
    Every quorum of the other members then holds a longer log, so that this instance
    can vote, but can't win an election before it has received the log.
    """
    meta = pb.SnapshotMeta(index=FIRST_INDEX, term=FIRST_TERM, membership=membership)
    new_hard_state = pb.HardState(term=FIRST_TERM)
    if hard_state.term >= FIRST_TERM:
        new_hard_state.CopyFrom(hard_state)
    return records.SavedState(new_hard_state, records.Snapshot(meta), [])


def was_removed(
    identity: records.Identity, current: pb.Membership, reply: pb.HelloReply
) -> bool:
    """Return whether an instance was removed from its cluster and must join again.

    Parameters
    ----------
    identity
        Identity of the instance.
    current
        Its current membership.
    reply
        Reply of another member. If that member lags, the answer may be wrong; the
        request to join is then refused, without further effect.

    Notes
    -----
    The instance keeps its member id and its data, and with them its votes.
    """
    if not reply.formed or reply.membership.cluster_id != current.cluster_id:
        return False
    return memberships.find(reply.membership, identity.member_id) is None
