"""Outgoing streams to the other control instances."""

import asyncio
import collections
import random

import grpclib.client
import grpclib.config
from loguru import logger

from coltsfootchute import agreement, cancellations
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["CHANNEL_CONFIG", "Link", "open_channel", "split_address"]

QUEUE_MESSAGES = 256
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 1.0
# Bytes of a long message that others wait behind: 0.2 s at 2.5 Mbit/s.
WINDOW_BYTES = 64 * 1024
# A connection cut without a reset is given up after about 4 s. Without pings the
# kernel retransmits with growing intervals, and the link would stay down for
# minutes after a long partition has ended.
CHANNEL_CONFIG = grpclib.config.Configuration(
    http2_stream_window_size=WINDOW_BYTES,
    _keepalive_time=2.0,
    _keepalive_timeout=2.0,
    _keepalive_permit_without_calls=True,
    _http2_max_pings_without_data=0,
    _http2_min_sent_ping_interval_without_data=1.0,
)


def split_address(address: str) -> tuple[str, int]:
    """Split an address such as ``127.0.0.1:7001`` or ``[::1]:7001``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def open_channel(address: str) -> grpclib.client.Channel:
    """Return a channel; it connects with its first call."""
    host, port = split_address(address)
    return grpclib.client.Channel(host, port, config=CHANNEL_CONFIG)


class _Lane:
    """A stream of messages in order."""

    def __init__(self):
        self.queue: collections.deque[pb.PeerMessage] = collections.deque()
        self.ready = asyncio.Event()
        self.is_sending = False

    @property
    def is_busy(self) -> bool:
        """Whether a message that is sent now would wait."""
        return self.is_sending or bool(self.queue)


class Link:
    """The streams of agreement messages to one member.

    Parameters
    ----------
    address
        Peer address of the member.
    rng
        Source of the jitter of reconnects.

    Notes
    -----
    Agreement repeats what got lost, and an old message is of no use. So the queues
    are bounded and drop their oldest messages, and a failed connection drops all.

    The log travels in order on a stream of its own. Votes, replies and signs of life
    of the leader pass long messages of the log on another stream.

    Attributes
    ----------
    dropped
        Messages that were dropped.
    """

    def __init__(self, address: str, rng: random.Random):
        self.address = address
        self.channel = open_channel(address)
        self.dropped = 0
        self._rng = rng
        self._log, self._short = _Lane(), _Lane()
        self._sent = asyncio.Event()
        self._task = asyncio.create_task(self._run())

    def send(self, message: pb.PeerMessage) -> None:
        """Queue a message; drop the oldest one if the queue is full."""
        if not agreement.is_replication_message(message):
            self._put(self._short, message)
            return
        if self._log.is_busy:
            self._put(self._short, agreement.bare_heartbeat(message))
        self._put(self._log, message)

    def _put(self, lane: _Lane, message: pb.PeerMessage) -> None:
        if len(lane.queue) >= QUEUE_MESSAGES:
            lane.queue.popleft()
            self.dropped += 1
        lane.queue.append(message)
        lane.ready.set()

    async def flush(self) -> None:
        """Wait until all queued messages were handed to the connection."""
        self._sent.clear()
        while self._log.is_busy or self._short.is_busy:
            await self._sent.wait()
            self._sent.clear()

    async def stop(self) -> None:
        """End the stream and close the channel."""
        await cancellations.end_all([self._task])
        self.channel.close()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        backoff_s, is_logged = BACKOFF_MIN_S, False
        while True:
            started_s = loop.time()
            try:
                await self._exchange()
                reason = "ended by the peer"
            except Exception as exc:  # grpclib raises many kinds
                reason = repr(exc)
            if loop.time() - started_s > BACKOFF_MAX_S:
                backoff_s, is_logged = BACKOFF_MIN_S, False
            if not is_logged:
                logger.info("control: link to {} is down: {}", self.address, reason)
                is_logged = True
            for lane in (self._log, self._short):
                self.dropped += len(lane.queue)
                lane.queue.clear()
            self._sent.set()
            await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
            backoff_s = min(backoff_s * 2, BACKOFF_MAX_S)

    async def _exchange(self) -> None:
        """Send until the receiver ends one of the streams."""
        lanes = (self._log, self._short)
        tasks = [asyncio.create_task(self._carry(lane)) for lane in lanes]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _carry(self, lane: _Lane) -> None:
        stub = rpc.PeerStub(self.channel)
        async with stub.Exchange.open() as stream:
            await stream.send_request()
            reply = asyncio.ensure_future(stream.recv_initial_metadata())
            try:
                await self._send_all(lane, stream, reply)
            finally:
                reply.cancel()
                await asyncio.gather(reply, return_exceptions=True)
                await stream.cancel()

    async def _send_all(self, lane: _Lane, stream, reply: asyncio.Future) -> None:
        """Send queued messages until the receiver ends the stream."""
        reply.add_done_callback(lambda _: lane.ready.set())
        while not reply.done():
            await lane.ready.wait()
            lane.ready.clear()
            while lane.queue and not reply.done():
                lane.is_sending = True
                try:
                    await stream.send_message(lane.queue.popleft())
                finally:
                    lane.is_sending = False
            self._sent.set()
