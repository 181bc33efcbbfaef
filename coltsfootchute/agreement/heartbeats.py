"""Heartbeats that pass messages of the log."""

from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["bare_heartbeat", "is_replication_message"]

LOG_BODIES = frozenset({"append_request", "snapshot_chunk"})


def is_replication_message(message: pb.PeerMessage) -> bool:
    """Return whether a message is of a leader and has to arrive in order.

    Parameters
    ----------
    message
        The message.
    """
    return message.WhichOneof("body") in LOG_BODIES


def bare_heartbeat(message: pb.PeerMessage) -> pb.PeerMessage:
    """Return a heartbeat that may pass the messages before it.

    Parameters
    ----------
    message
        A message of a leader that waits behind others.

    Notes
    -----
    Logs agree at index 0, so that no receiver rejects it.
    """
    body = getattr(message, message.WhichOneof("body"))
    return pb.PeerMessage(
        cluster_id=message.cluster_id,
        sender=message.sender,
        receiver=message.receiver,
        term=message.term,
        append_request=pb.AppendRequest(round=body.round),
    )
