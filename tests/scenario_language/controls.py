"""Control instances: the real core, maintenance and services on simulated disks."""

import asyncio
import random

from coltsfootchute import agreement, errors
from coltsfootchute.agreement import formations
from coltsfootchute.control import cores, daemons, joins, maintenance, services
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from tests import checkers
from tests.scenario_language import clocks, links

TIMING = agreement.Timing(snapshot_entries=60, kept_entries=20, chunk_bytes=2048)


class Links:
    """Sends the messages of agreement over the simulated network."""

    dropped = 0

    def __init__(self, control):
        self.control = control

    def update(self, membership):
        pass

    def address(self, member_id):
        host = self.control.world.by_member.get(member_id)
        return host.name if host else ""

    def send(self, message):
        control, world = self.control, self.control.world
        world.history.unsynced_sends += control.disk.has_unsynced()
        self._record_vote(world.history, message)
        other = world.by_member.get(message.receiver)
        # A later start or a new disk replaces an instance; messages to the earlier
        # instance are dropped.
        if other is not None and world.controls[other.name] is other:
            network = world.network
            receive = other.receive
            network.send_datagram(control.name, other.name, receive, message)

    @staticmethod
    def _record_vote(history, message):
        request, reply = message.vote_request, message.vote_reply
        if message.HasField("vote_request") and not request.pre_vote:
            own_vote = (message.sender, message.term, message.sender)
            history.votes.append(checkers.Vote(*own_vote))
        if reply.granted and not reply.pre_vote:
            vote = (message.sender, message.term, message.receiver)
            history.votes.append(checkers.Vote(*vote))

    def relay(self, instance):
        world, request = self.control.world, pb.ReportRequest(instance=instance)
        for other in world.controls.values():
            if other is not self.control and not other.process.is_dead:
                call = world.network.call(
                    self.control.name, other.name, other.method("Report"), request, True
                )
                self.control.process.spawn(_await_relay(call))

    async def flush(self):
        pass

    async def stop(self):
        pass


async def _await_relay(call):
    try:
        async with asyncio.timeout(1.0):
            await call
    except (OSError, TimeoutError):
        return


class Core(cores.Core):
    """A core that records the log entries that it applies and its time as leader."""

    def __init__(self, control, *args, **hooks):
        self._control = control
        super().__init__(*args, **hooks)
        self.links = Links(control)
        self.feed._watchers = links.OrderedSet()

    def _apply(self, entry):
        history = self._control.world.history
        payload = entry.SerializeToString(deterministic=True)
        first = history.committed.setdefault(entry.index, payload)
        if first != payload:
            history.rewritten_log_entries.append((entry.index, self.identity.name))
        super()._apply(entry)

    def _record_role(self):
        super()._record_role()
        if self.replica.is_leader:
            term, member_id = self.replica.term, self.identity.member_id
            first = self._control.world.history.leaders.setdefault(term, member_id)
            if first != member_id:
                self._control.world.history.terms_with_two_leaders.append(term)


class Control(daemons.Daemon):
    """One control instance; a restart creates a new object on the same disk."""

    def __init__(self, world, name, disk, timing=TIMING):
        super().__init__(None, None, timing, random.Random(world.rng.random()))
        self.world, self.name, self.disk = world, name, disk
        self.process = clocks.Process(world.loop, name)
        self.open_replies, self.open_streams = {}, {}
        self.store = self._open_store()
        self.identity = agreement.Identity(
            self.store.member_id, name, name, f"fd-{name}"
        )
        world.by_member[self.identity.member_id] = self

    def _open_store(self):
        return agreement.FileStore(self.name, self.name, self.disk)

    def begin(self):
        """Start as the daemon does after it has opened its data folder."""
        self.process.run(self._begin)

    def _begin(self):
        self.failed = asyncio.get_running_loop().create_future()
        self.core = Core(
            self,
            self.identity,
            self.store,
            self._rng,
            self._timing,
            on_failure=self._report_failure,
            reopen=self._reopen_store,
        )
        self.maintenance = maintenance.Maintenance(self.core, self.world.loop.now)
        self.joiner = joins.Joiner(self.core, ())
        self.control = services.ControlService(self.core, self.maintenance)
        self.core.start()
        coroutines = (self._run_maintenance(), self._advance_membership())
        self._tasks = [self.process.spawn(coroutine) for coroutine in coroutines]

    def _report_failure(self, exc):
        self.world.crashes.append((self.name, exc))
        self.world.kill(self.name)

    def form(self, membership):
        """Write the initial state of a new cluster."""
        state = formations.initial_state(membership, pb.HardState())
        self.process.run(self.core.form, state)
        self.maintenance.publish_instances_from_s = self.world.loop.now

    def hello(self):
        replica = self.core.replica
        return pb.HelloReply(
            member=self.identity.member(),
            formed=replica.membership is not None,
            membership=replica.committed_membership,
        )

    def receive(self, message):
        """Handle a message from another member."""
        self.core.receive(message)

    def method(self, name):
        """Return a handler of the Control service."""
        return getattr(self.control, name)

    @property
    def feed(self):
        return self.core.feed

    @property
    def is_leader(self):
        return not (self.process.is_dead or self.process.is_frozen) and (
            self.core.is_leader
        )

    def admit(self, newcomer):
        """Add an instance as a learner, as the Join service does."""
        member = newcomer.identity.member()
        add = self.core.replica.add_learner
        try:
            self.process.run(self.core.change_membership, lambda now: add(member, now))
        except errors.AgreementError:
            return

    async def _close(self):
        self.core.close()
