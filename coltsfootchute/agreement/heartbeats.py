"""Heartbeats that may overtake messages of log replication."""

from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["bare_heartbeat", "is_replication_message"]

LOG_BODIES = frozenset({"append_request", "snapshot_chunk"})


def is_replication_message(message: pb.PeerMessage) -> bool:
    """Return whether a message replicates the log and must arrive in order.

    Parameters
    ----------
    message
        The message.
    """
    return message.WhichOneof("body") in LOG_BODIES


def bare_heartbeat(message: pb.PeerMessage) -> pb.PeerMessage:
    """Return a heartbeat without log entries, which may arrive out of order.

    Parameters
    ----------
    message
        A replication message of a leader that is queued behind others.

    Notes
    -----
    Its previous index is 0, where all logs agree, so no receiver rejects it.
    """
    body = getattr(message, message.WhichOneof("body"))
    return pb.PeerMessage(
        cluster_id=message.cluster_id,
        sender=message.sender,
        receiver=message.receiver,
        term=message.term,
        append_request=pb.AppendRequest(round=body.round),
    )
