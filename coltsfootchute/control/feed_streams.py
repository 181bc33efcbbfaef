"""Messages of the feed in parts, so that a slow link shows progress."""

import asyncio
import collections.abc
import time
import typing

import grpclib.client
import grpclib.config

from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["PART_BYTES", "Receiver", "clock", "open_channel", "split"]

# 26 ms on a link of 2.5 Mbit/s, which several streams share.
PART_BYTES = 8 * 1024
# Pings of the source wait behind what is on its way: 0.2 s at 2.5 Mbit/s.
WINDOW_BYTES = 64 * 1024


def clock() -> float:
    """Return seconds of a clock that also runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def open_channel(host: str, port: int) -> grpclib.client.Channel:
    """Return a channel for a watcher, with a bound on what is on its way."""
    config = grpclib.config.Configuration(
        http2_connection_window_size=WINDOW_BYTES,
        http2_stream_window_size=WINDOW_BYTES,
    )
    return grpclib.client.Channel(host, port, config=config)


def split(message: pb.FeedMessage) -> collections.abc.Iterator[pb.FeedMessage]:
    """Return a message in parts, or as it is if it is short.

    Parameters
    ----------
    message
        The message.

    Notes
    -----
    O(size). A part holds at most `PART_BYTES` of the serialized message.

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
    """Reads the messages of a feed.

    Parameters
    ----------
    stream
        The stream of the feed.
    first_s
        Seconds within which the first message, or its first part, has to come.
    silence_s
        The same for each message or part after it.

    Attributes
    ----------
    message_started_at
        Time of `clock` at which the last message began to arrive.

    Notes
    -----
    Only silence ends a stream. A bound on the time of a whole message would end the
    transfer of a long one over a slow link again and again.
    """

    def __init__(
        self,
        stream: grpclib.client.Stream[typing.Any, typing.Any],
        first_s: float,
        silence_s: float,
    ):
        self._stream = stream
        self._patience_s = first_s
        self._silence_s = silence_s
        self.message_started_at = float("-inf")

    async def next(self) -> pb.FeedMessage | None:
        """Return the next whole message, or None at the end of the stream.

        Raises
        ------
        TimeoutError
            If nothing came for too long.
        google.protobuf.message.DecodeError
            If the joined parts are no message.
        """
        received = await self._receive()
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

    async def _receive(self) -> pb.FeedMessage | None:
        async with asyncio.timeout(self._patience_s):
            received = await self._stream.recv_message()
        self._patience_s = self._silence_s
        return received
