"""Transfer of feed messages in parts.

The parts show the receiver of a long message that the transfer over a slow link makes
progress.
"""

import asyncio
import collections.abc
import math
import time
import typing

import grpclib.client
import grpclib.config

from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["PART_BYTES", "Receiver", "clock", "open_channel", "split"]

# A part takes 26 ms on a link of 2.5 Mbit/s, which several streams share.
PART_BYTES = 8 * 1024
# Bound on the bytes in transit, which delay the pings of the source: 0.2 s at
# 2.5 Mbit/s.
WINDOW_BYTES = 64 * 1024


def clock() -> float:
    """Return the seconds of a clock that also runs while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def open_channel(host: str, port: int) -> grpclib.client.Channel:
    """Return a channel for a watcher, with a bound on the bytes in transit."""
    config = grpclib.config.Configuration(
        http2_connection_window_size=WINDOW_BYTES,
        http2_stream_window_size=WINDOW_BYTES,
    )
    return grpclib.client.Channel(host, port, config=config)


def split(message: pb.FeedMessage) -> collections.abc.Iterator[pb.FeedMessage]:
    """Split a message into parts; yield a short message unchanged.

    Parameters
    ----------
    message
        The message.

    Notes
    -----
    O(size). A part holds at most `PART_BYTES` bytes of the serialized message.

    Examples
    --------
    >>> from coltsfootchute.proto import coltsfootchute_pb2 as pb
    >>> short = pb.FeedMessage(revision=7)
    >>> list(split(short)) == [short]
    True
    >>> long = pb.FeedMessage(control_addresses=["a" * PART_BYTES])
    >>> [part.more for part in split(long)]
    [True, False]
    """
    if message.ByteSize() <= PART_BYTES:
        yield message
        return
    raw = message.SerializeToString()
    for start in range(0, len(raw), PART_BYTES):
        end = start + PART_BYTES
        yield pb.FeedMessage(part=raw[start:end], more=end < len(raw))


class Receiver:
    """Receives the messages of a feed and joins their parts.

    Parameters
    ----------
    stream
        The stream of the feed.
    first_timeout_s
        Timeout in seconds for the first message, or for its first part.
    idle_timeout_s
        Timeout in seconds for each later message or part.

    Attributes
    ----------
    message_started_at
        Time of `clock` at which the last message, or its first part, arrived.

    Notes
    -----
    The timeouts are for single parts. A timeout for whole messages would abort each
    transfer of a long message over a slow link, again and again.
    """

    def __init__(
        self,
        stream: grpclib.client.Stream[typing.Any, typing.Any],
        first_timeout_s: float,
        idle_timeout_s: float,
    ):
        self._stream = stream
        self._timeout_s = first_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self.message_started_at = float("-inf")

    async def next(self, limit_s: float = math.inf) -> pb.FeedMessage | None:
        """Return the next complete message, or None at the end of the stream.

        Parameters
        ----------
        limit_s
            Bound in seconds on the timeout for the message, or for its first part.

        Raises
        ------
        TimeoutError
            If no message or part arrived within the timeout.
        google.protobuf.message.DecodeError
            If the joined parts are not a valid message.
        """
        received = await self._receive(limit_s)
        self.message_started_at = clock()
        if received is None or not received.part:
            return received
        parts = [received.part]
        while received.more:
            received = await self._receive()
            if received is None:
                return None
            parts.append(received.part)
        message = pb.FeedMessage.FromString(b"".join(parts))
        message.proof_age_ms = received.proof_age_ms
        return message

    async def _receive(self, limit_s: float = math.inf) -> pb.FeedMessage | None:
        async with asyncio.timeout(max(0.0, min(self._timeout_s, limit_s))):
            received = await self._stream.recv_message()
        self._timeout_s = self._idle_timeout_s
        return received
