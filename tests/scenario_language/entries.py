"""Entries: the real daemon with simulated listeners, links and targets."""

import asyncio
import contextlib
import json
import types

from coltsfootchute import errors, settings
from coltsfootchute.entry import daemons, forwards, measurements
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from tests import checkers
from tests.scenario_language import clocks, links, targets

PROBE_S = 0.006  # Time that a probe of a target spends.


class _Listener:
    """A listener without sockets, with one request for each connection."""

    connections = ()

    def __init__(self, entry):
        self._entry = entry

    def close(self):
        pass

    def close_idle(self):
        return 0

    async def wait_closed(self):
        while self._entry.requests:
            pending = [asyncio.shield(done) for done in self._entry.requests.values()]
            await asyncio.wait(pending)

    async def shutdown(self, _):
        pass


class _Stub:
    """A stub of the Control service of one instance."""

    def __init__(self, entry, name):
        self._entry, self._name = entry, name

    def __getattr__(self, method):
        async def call(request, timeout):
            world = self._entry.world
            handler = world.controls[self._name].method(method)
            copy = type(request).FromString(request.SerializeToString())
            async with asyncio.timeout(timeout):
                return await world.network.call(
                    self._entry.name, self._name, handler, copy
                )

        return call


class Entry(daemons.Daemon):
    """One entry; a restart creates a new object."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.process = clocks.Process(world.loop, name)
        self.open_replies, self.open_streams = {}, {}
        self.requests = {}  # Requests of callers in progress, with their futures.
        controls = [f"{c}:1" for c in world.control_names]
        address = "127.0.0.1:0"
        listeners = {"calls": address, "api": address, "peer": address}
        instance = {"name": name, "failure_domain": f"fd-{name}"}
        document = {
            "instance": instance,
            "entry": {**listeners, "control": ["127.0.0.1:1"], "keep_s": 5},
        }
        super().__init__(settings.parse(json.dumps(document)))
        self.feed._watchers = links.OrderedSet()
        self.client._addresses = world.control_names
        self.client._leader = world.control_names[0]
        self.client._connect = self._connect
        self._watcher._control = controls
        self._watcher._seeds = controls
        self._watcher._watch = self._watch

    def begin(self):
        """Start the daemon in its own process."""
        self.process.spawn(self._begin())

    async def _begin(self):
        await self.start()
        self._calls._forwarder = targets.Forwarder(self)

    async def _start_peer(self, address):
        return f"{self.name}:3"

    async def _start_api(self, address):
        return f"{self.name}:2"

    async def _start_calls(self, address):
        self._listener = self._calls_server = _Listener(self)
        return f"{self.name}:1"

    async def _connect(self, address):
        await self.world.network.connect(self.name, address)
        return _Stub(self, address)

    async def _watch(self, source):
        name = source.address.partition(":")[0]
        host = self.world.network.hosts[name]
        stream = await self.world.network.stream(
            self.name, name, host.feed, self._watcher._request()
        )
        try:
            return await self._watcher._receive(source, stream)
        finally:
            await stream.cancel()

    def _on_feed_message(self, message, touched):
        super()._on_feed_message(message, touched)
        history = self.world.history
        history.view_samples.append(
            checkers.ViewSample(
                f"{self.name}/{id(self)}",
                self.world.loop.now,
                self.view.revision,
                {n: s.revision for n, s in self.view.sections.items()},
            )
        )

    async def serve(self, request):
        """Answer a request of a caller, and then set its future in `requests`."""
        done = self.requests[request]
        await self._calls.handle(request)
        if self.requests.pop(request, None) is not None and not done.done():
            done.set_result(None)

    async def ask(self, method, message):
        """Call a method of control; return the reply, or the error."""
        try:
            return await self.client.call(method, message, 3.0, repeatable=True)
        except errors.ColtsfootchuteError as exc:
            return exc

    async def probe(self, service):
        """Probe the targets of a service as often as the leased shares allow."""
        while True:
            await asyncio.sleep(0.05)
            pool = self.services.by_name.get(service)
            if pool is not None:
                await self._lease_probes(pool.pool)
                for view in pool.pool.all_views:
                    self._probe_once(pool.pool, view.target.target_id)

    async def _lease_probes(self, pool):
        now = self.world.loop.now
        if now < getattr(self, "_next_lease_s", 0.0):
            return
        self._next_lease_s = now + 1.0
        names = [view.target.target_id for view in pool.all_views]
        request = pb.LeaseProbesRequest(entry=self.name, target_ids=names)
        with contextlib.suppress(errors.ColtsfootchuteError):
            reply = await self.client.call("LeaseProbes", request, 1.0)
            for share in reply.shares:
                time_s = share.probe_time_us / 1e6
                length_s = share.lease_ms / 1e3
                pool.probes.set_lease(share.target_id, time_s, length_s, now)

    def _probe_once(self, pool, target_id):
        now = self.world.loop.now
        permit = pool.begin_probe(target_id, now, now)
        if permit is None:
            return
        # A probe of a straggler is aborted at the limit of the permit, and spends it.
        slow = self.world.targets[target_id].latency_s > PROBE_S
        spent_s = permit.limit_s if slow else min(PROBE_S, permit.limit_s)
        self.world.history.probes.append(checkers.Probe(target_id, now, spent_s))
        pool.end_probe(permit, spent_s, not slow, now)


@contextlib.contextmanager
def fake_connections():
    """Let entries prepare connections to targets without sockets.

    The entries send no probes of their own; scenarios have the loop of `Entry.probe`.
    """
    originals = forwards.Endpoint, forwards.Forwarder, measurements.Prober.run
    forwards.Endpoint = targets.Endpoint
    forwards.Forwarder = lambda _: types.SimpleNamespace(close=_close)
    measurements.Prober.run = _probe_nothing
    try:
        yield
    finally:
        forwards.Endpoint, forwards.Forwarder, measurements.Prober.run = originals


async def _close():
    pass


async def _probe_nothing(_):
    await asyncio.Event().wait()
