"""Simulated links between processes, which can be cut, slow, or lossy."""

import asyncio
import contextlib
import types

from coltsfootchute.control import members
from tests.scenario_language import clocks

STEP_S = 0.0005


class OrderedSet(dict):
    """A set in the order of insertion, so that a seed determines the order of sends."""

    def add(self, item):
        self[item] = None

    def discard(self, item):
        self.pop(item, None)


class Network:
    """Messages, calls and streams between named processes.

    Only the messages of agreement are lost at random or duplicated. Calls and streams
    behave as over TCP: they are never duplicated or reordered, and a stream that has
    lost a message to a cut delivers no later one.
    """

    def __init__(self, loop, rng):
        self.loop, self.rng = loop, rng
        self.hosts = {}  # Instances and targets by name.
        self.cuts = set()  # Pairs of sender and receiver; each is cut one way.
        self.loss = self.duplication = 0.0
        self.delay_s = 0.001
        self.effective_faults = set()  # Kinds of faults that affected a message.

    def is_cut(self, sender, receiver):
        if (sender, receiver) in self.cuts:
            self.effective_faults.add("cut")
            return True
        return False

    def _draw_delay_s(self):
        return self.rng.uniform(STEP_S / 2, self.delay_s)

    def _running_host(self, name):
        host = self.hosts.get(name)
        return host if host is not None and not host.process.is_dead else None

    def send_datagram(self, sender, receiver, function, message):
        """Send a message of agreement, which can be late, duplicated or lost."""
        if self.is_cut(sender, receiver) or self.rng.random() < self.loss:
            return
        copies = 1 + (self.rng.random() < self.duplication)
        if copies > 1:
            self.effective_faults.add("duplicate")
        for _ in range(copies):
            self._deliver_later(
                self._draw_delay_s(), receiver, function, message, sender
            )

    def _deliver_later(self, delay_s, receiver, function, message, sender):
        host = self._running_host(receiver)
        if host is None:
            return

        def deliver():
            if not self.is_cut(sender, receiver):
                function(message)

        self.loop.call_later(delay_s, deliver, context=host.process.context.copy())

    async def connect(self, sender, receiver):
        """Open a connection; raise the errors that a socket would."""
        if self.loop.is_closing:
            raise ConnectionRefusedError(receiver)
        if self.is_cut(sender, receiver) or self.is_cut(receiver, sender):
            await asyncio.sleep(0.5)
            raise TimeoutError
        await asyncio.sleep(STEP_S)
        if self._running_host(receiver) is None:
            raise ConnectionRefusedError(receiver)

    async def call(self, sender, receiver, handler, request, relayed=False):
        """Call a handler of another process; return its reply.

        The connection to that process is open already.
        """
        host = self._running_host(receiver)
        if host is None or self.loop.is_closing:
            raise ConnectionResetError(receiver)
        reply = self.loop.create_future()
        host.open_replies[reply] = None

        async def answer(message):
            if not self.is_cut(receiver, sender) and not reply.done():
                self.loop.call_later(self._draw_delay_s(), _resolve, reply, message)

        async def receive():
            return request

        async def serve():
            metadata = {members.RELAYED_HEADER: "1"} if relayed else {}
            stream = types.SimpleNamespace(
                recv_message=receive, send_message=answer, metadata=metadata
            )
            await handler(stream)

        if not self.is_cut(sender, receiver):
            host.process.spawn(serve())
        try:
            return await reply
        finally:
            host.open_replies.pop(reply, None)

    async def stream(self, sender, receiver, feed, request):
        """Watch a feed of another process; return the watcher's side."""
        await self.connect(sender, receiver)
        return Stream(self, sender, receiver, feed, request)


def _resolve(future, result):
    if not future.done():
        future.set_result(result)


class Stream:
    """A stream of feed messages from one process to another."""

    def __init__(self, network, sender, receiver, feed, request):
        self._queue = asyncio.Queue()
        self._network, self._direction = network, (receiver, sender)
        self._has_lost_message = False
        self._last_delivery_s = 0.0
        self._receiver_process = clocks.current()
        host = network.hosts[receiver]
        host.open_streams[self] = None
        self._host = host
        self._task = host.process.spawn(self._serve(feed, request))

    async def _serve(self, feed, request):
        await feed.watch(request, self._send)
        self._deliver(None)

    async def _send(self, message):
        self._has_lost_message = self._has_lost_message or self._network.is_cut(
            *self._direction
        )
        if not self._has_lost_message:
            self._deliver(message)

    def _deliver(self, message):
        loop = self._network.loop
        self._last_delivery_s = max(
            self._last_delivery_s + 1e-6, loop.now + self._network._draw_delay_s()
        )
        loop.call_at(
            self._last_delivery_s,
            self._queue.put_nowait,
            message,
            context=self._receiver_process.context.copy(),
        )

    async def recv_message(self):
        return await self._queue.get()

    def reset(self):
        """End the stream after its source was killed."""
        self._deliver(None)

    async def cancel(self):
        self._host.open_streams.pop(self, None)
        with contextlib.suppress(RuntimeError):
            self._task.cancel()
