"""Types of the identifiers that the packages share."""

import typing

__all__ = [
    "AttemptId",
    "ClusterId",
    "FailureDomain",
    "InstanceName",
    "MemberId",
    "RequestId",
    "ServiceName",
    "TargetId",
    "TeamName",
]

AttemptId = typing.NewType("AttemptId", bytes)
ClusterId = typing.NewType("ClusterId", str)
FailureDomain = typing.NewType("FailureDomain", str)
InstanceName = typing.NewType("InstanceName", str)
MemberId = typing.NewType("MemberId", str)
RequestId = typing.NewType("RequestId", str)
ServiceName = typing.NewType("ServiceName", str)
TargetId = typing.NewType("TargetId", str)
TeamName = typing.NewType("TeamName", str)
