"""Outgoing connections to other control instances."""

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

MAX_QUEUED_MESSAGES = 256
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 1.0
# Bound on the bytes of a long message that delay other messages: 0.2 s at 2.5 Mbit/s.
STREAM_WINDOW_BYTES = 64 * 1024
# The pings detect a connection that was cut without a reset after about 4 s. Without
# them, the kernel retransmits at growing intervals, and the link stays down for minutes
# after the end of a long partition.
CHANNEL_CONFIG = grpclib.config.Configuration(
    http2_stream_window_size=STREAM_WINDOW_BYTES,
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
    """Return a channel, which connects at its first call."""
    host, port = split_address(address)
    return grpclib.client.Channel(host, port, config=CHANNEL_CONFIG)


class _SendQueue:
    """Queue of the messages that one stream sends in order."""

    def __init__(self):
        self.messages: collections.deque[pb.PeerMessage] = collections.deque()
        self.ready = asyncio.Event()
        self.is_sending = False

    @property
    def is_busy(self) -> bool:
        """Whether a new message would wait behind others."""
        return self.is_sending or bool(self.messages)


class Link:
    """Connection that sends agreement messages to one member.

    Parameters
    ----------
    address
        Peer address of the member.
    rng
        Source of randomness for the jitter of reconnects.

    Notes
    -----
    The agreement repeats lost messages and has no use for old ones. So the queues are
    bounded and drop their oldest messages, and a failed connection drops all of them.

    One stream carries the messages of the log in order. Votes, replies and heartbeats
    use a second stream, so that they don't wait behind long messages of the log.

    Attributes
    ----------
    dropped
        Number of dropped messages.
    """

    def __init__(self, address: str, rng: random.Random):
        self.address = address
        self.channel = open_channel(address)
        self.dropped = 0
        self._rng = rng
        self._log_queue, self._priority_queue = _SendQueue(), _SendQueue()
        self._queues_changed = asyncio.Event()
        self._task = asyncio.create_task(self._run())

    def send(self, message: pb.PeerMessage) -> None:
        """Queue a message; drop the oldest one of its queue if that is full."""
        if not agreement.is_replication_message(message):
            self._enqueue(self._priority_queue, message)
            return
        if self._log_queue.is_busy:
            self._enqueue(self._priority_queue, agreement.bare_heartbeat(message))
        self._enqueue(self._log_queue, message)

    def _enqueue(self, queue: _SendQueue, message: pb.PeerMessage) -> None:
        if len(queue.messages) >= MAX_QUEUED_MESSAGES:
            queue.messages.popleft()
            self.dropped += 1
        queue.messages.append(message)
        queue.ready.set()

    async def flush(self) -> None:
        """Wait until all queued messages are passed to the connection or dropped."""
        self._queues_changed.clear()
        while self._log_queue.is_busy or self._priority_queue.is_busy:
            await self._queues_changed.wait()
            self._queues_changed.clear()

    async def stop(self) -> None:
        """End the streams and close the channel."""
        await cancellations.cancel_and_wait([self._task])
        self.channel.close()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        backoff_s, is_failure_logged = BACKOFF_MIN_S, False
        while True:
            started_s = loop.time()
            try:
                await self._exchange()
                reason = "the peer ended the stream"
            except Exception as exc:  # grpclib raises many kinds of errors.
                reason = repr(exc)
            if loop.time() - started_s > BACKOFF_MAX_S:
                backoff_s, is_failure_logged = BACKOFF_MIN_S, False
            if not is_failure_logged:
                logger.info("control: link to {} failed: {}", self.address, reason)
                is_failure_logged = True
            for queue in (self._log_queue, self._priority_queue):
                self.dropped += len(queue.messages)
                queue.messages.clear()
            self._queues_changed.set()
            await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
            backoff_s = min(backoff_s * 2, BACKOFF_MAX_S)

    async def _exchange(self) -> None:
        """Send messages on both streams until the receiver ends one of them."""
        queues = (self._log_queue, self._priority_queue)
        tasks = [asyncio.create_task(self._run_stream(queue)) for queue in queues]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_stream(self, queue: _SendQueue) -> None:
        stub = rpc.PeerStub(self.channel)
        async with stub.Exchange.open() as stream:
            await stream.send_request()
            reply = asyncio.ensure_future(stream.recv_initial_metadata())
            try:
                await self._send_all(queue, stream, reply)
            finally:
                reply.cancel()
                await asyncio.gather(reply, return_exceptions=True)
                await stream.cancel()

    async def _send_all(self, queue: _SendQueue, stream, reply: asyncio.Future) -> None:
        """Send the queued messages of a stream until the receiver ends it."""
        reply.add_done_callback(lambda _: queue.ready.set())
        while not reply.done():
            await queue.ready.wait()
            queue.ready.clear()
            while queue.messages and not reply.done():
                queue.is_sending = True
                try:
                    await stream.send_message(queue.messages.popleft())
                finally:
                    queue.is_sending = False
            self._queues_changed.set()
