"""JSON bodies of the `api` listener of sections, targets, instances, evacuations."""

import typing

from coltsfootchute.proto import coltsfootchute_pb2

__all__ = [
    "describe_evacuation",
    "describe_instance",
    "describe_member",
    "describe_revision",
    "describe_section",
    "describe_status",
    "describe_target",
    "state_name",
]


def describe_section(section: coltsfootchute_pb2.Section) -> dict[str, typing.Any]:
    """Describe a section with its revision in force."""
    return {
        "name": section.name,
        "owner": section.owner,
        **describe_revision(section.history[-1]),
    }


def describe_revision(
    revision: coltsfootchute_pb2.SectionRevision,
) -> dict[str, typing.Any]:
    """Describe one revision of a section."""
    return {
        "revision": revision.revision,
        "document": revision.document,
        "author": revision.author,
        "request_id": revision.request_id,
        "time_ms": revision.time_ms,
    }


def describe_target(target: coltsfootchute_pb2.Target) -> dict[str, typing.Any]:
    """Describe a registered target."""
    return {
        "id": target.target_id,
        "incarnation": target.incarnation,
        "address": target.address,
        "failure_domain": target.failure_domain,
        "services": list(target.services),
        "slots": target.slots,
        "state": state_name(target).removeprefix("TARGET_STATE_").lower(),
    }


def state_name(target: coltsfootchute_pb2.Target) -> str:
    """Return the name of a target's state, or its number if that is unknown."""
    try:
        return coltsfootchute_pb2.TargetState.Name(target.state)
    except ValueError:
        return str(target.state)


def describe_status(
    reply: coltsfootchute_pb2.StatusReply, own_instance: coltsfootchute_pb2.Instance
) -> dict[str, typing.Any]:
    """Describe the cluster as one control instance knows it."""
    return {
        "leader_id": reply.leader_id,
        "term": reply.term,
        "commit_index": reply.commit_index,
        "applied_index": reply.applied_index,
        "revision": reply.revision,
        "cluster_id": reply.membership.cluster_id,
        "members": [describe_member(m) for m in reply.membership.members],
        "instances": [describe_instance(i) for i in reply.instances],
        "evacuations": [describe_evacuation(e) for e in reply.evacuations],
        "answered_by": describe_instance(own_instance),
        "counters": dict(reply.counters),
    }


def describe_evacuation(
    evacuation: coltsfootchute_pb2.Evacuation,
) -> dict[str, typing.Any]:
    """Describe an evacuation in force."""
    return {
        "failure_domain": evacuation.failure_domain,
        "started_ms": evacuation.started_ms,
    }


def describe_member(member: coltsfootchute_pb2.Member) -> dict[str, typing.Any]:
    """Describe a control instance."""
    return {
        "member_id": member.member_id,
        "name": member.name,
        "address": member.address,
        "failure_domain": member.failure_domain,
        "voter": member.voter,
    }


def describe_instance(instance: coltsfootchute_pb2.Instance) -> dict[str, typing.Any]:
    """Describe an entry."""
    stopping = instance.state == coltsfootchute_pb2.INSTANCE_STATE_STOPPING
    return {
        "name": instance.name,
        "calls": instance.calls_address,
        "api": instance.api_address,
        "peer": instance.peer_address,
        "failure_domain": instance.failure_domain,
        "stopping": stopping,
        "stale": instance.stale,
        "revision": instance.revision,
        "start_ms": instance.start_ms,
    }
