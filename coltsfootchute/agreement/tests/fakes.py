"""A network and disks in memory, with seeded time, loss and faults."""

import heapq
import itertools
import math
import os
import random

from coltsfootchute import errors
from coltsfootchute.agreement import formations, records, replicas, stores
from coltsfootchute.proto import coltsfootchute_pb2 as pb


class MemoryDisk:
    """Files in memory; a crash loses or tears what was not synced."""

    def __init__(self, rng=None):
        self.rng = rng or random.Random(0)
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, int] = {}
        self.durable: dict[str, bytearray] = {}  # Synced names, with their files.
        self.syncs = 0
        self.failures = 0  # Syncs that fail next.
        self.skips_sync = False  # A deliberately broken rule.
        self.crash_at = math.inf  # Operations until the process is killed.

    def _count(self):
        self.crash_at -= 1
        if self.crash_at < 0:
            raise KeyboardInterrupt("killed")

    def make_folder(self, folder):
        pass

    def lock(self, path):
        return lambda: None

    def names(self, folder):
        return [os.path.basename(p) for p in self.files if os.path.dirname(p) == folder]

    def read(self, path):
        return bytes(self.files[path])

    def append(self, path, data):
        self._count()
        self.files.setdefault(path, bytearray()).extend(data)

    def truncate(self, path, size):
        self._count()
        del self.files[path][size:]

    def sync(self, path):
        self._count()
        if self.failures:
            self.failures -= 1
            raise OSError(5, "input/output error")
        self.syncs += 1
        if not self.skips_sync:
            self.synced[id(self.files[path])] = len(self.files[path])

    def sync_folder(self, folder):
        self._count()
        kept = {p: f for p, f in self.durable.items() if os.path.dirname(p) != folder}
        here = {p: f for p, f in self.files.items() if os.path.dirname(p) == folder}
        self.durable = kept | here

    def rename(self, old, new):
        self._count()
        self.files[new] = self.files.pop(old)

    def remove(self, path):
        self._count()
        del self.files[path]

    def crash(self):
        """Keep synced data, and any part of what was written after it."""
        self.crash_at = math.inf
        for file in self.durable.values():
            start = min(self.synced.get(id(file), 0), len(file))
            del file[self.rng.randint(start, len(file)) :]
            if len(file) > start and self.rng.random() < 0.3:
                file[self.rng.randrange(start, len(file))] ^= 0xFF
        self.files = dict(self.durable)


class Instance:
    """An instance: a disk, a store, a replica and a list as state machine."""

    def __init__(self, network, name, disk):
        self.network, self.name, self.disk = network, name, disk
        self.frozen_until = -math.inf
        self.restart()

    def restart(self):
        self.store = stores.FileStore(self.name, self.name, self.disk)
        self.identity = records.Identity(
            self.store.member_id, self.name, self.name, f"fd-{self.name}"
        )
        self.start(self.store.saved)

    def start(self, saved):
        rng = random.Random(self.network.rng.random())
        self.replica = replicas.Replica(self.identity, saved, rng, self.network.timing)
        self.applied = []
        if saved.snapshot:
            self.load(saved.snapshot)
        self.up = True

    def load(self, snapshot):
        data = bytes(snapshot.data)
        self.applied = data.split(b",") if data else []

    def form(self, membership):
        saved = formations.first_state(membership, self.store.saved.hard_state)
        self.store.append(saved.hard_state, saved.entries, saved.snapshot)
        self.start(saved)

    def run(self, actions):
        """Carry out actions as a daemon does."""
        if actions.must_sync:
            self.store.append(actions.hard_state, actions.entries, actions.snapshot)
        for message in actions.messages:
            self.network.send(self, message)
        if actions.snapshot:
            self.load(actions.snapshot)
        for entry in actions.committed:
            self.network.on_commit(self, entry)
            if entry.kind == pb.ENTRY_KIND_COMMAND:
                self.applied.append(entry.payload)
        if self.replica.wants_snapshot:
            index = self.replica.applied_index
            data = b",".join(self.applied)
            self.store.save_snapshot(self.replica.compact(index, data))

    def handle(self, event, *args):
        """Give an event to the replica; a killed process is down afterwards."""
        try:
            result = event(*args, self.network.now)
            actions = getattr(result, "actions", result)
            if actions:
                self.run(actions)
            return result
        except (KeyboardInterrupt, errors.SyncError):
            self.network.kill(self.name)
            return None


class Network:
    """Instances, the messages between them, and the clock.

    Parameters
    ----------
    names
        Names of the initial members.
    seed
        Seed of all randomness.
    timing
        Times of the replicas.
    """

    def __init__(self, names="abc", seed=0, timing=None):
        self.rng = random.Random(seed)
        self.timing = timing or records.Timing()
        self.now = 0.0
        self.loss = self.duplication = 0.0
        self.delay_max = 0.002
        self.cuts: set[tuple[str, str]] = set()  # Sender and receiver, one way.
        self.sent: list[pb.PeerMessage] = []
        self.keep_sent = False
        self.leaders: dict[int, str] = {}  # By term.
        self.leader_changes = 0
        self.committed: dict[int, pb.LogEntry] = {}
        self._queue: list = []
        self._order = itertools.count()
        self._ids: dict[str, Instance] = {}
        self.instances: dict[str, Instance] = {}
        for name in names:
            self.add(name)
        first = min(names)
        answers = {n: self.hello(n) for n in names if n != first}
        identity = self.instances[first].identity
        decision = formations.decide(identity, names, answers, self.rng)
        for name in names:
            self.instances[name].form(decision.membership)

    def add(self, name, disk=None):
        """Start an instance with an empty disk."""
        disk = disk or MemoryDisk(random.Random(self.rng.random()))
        instance = Instance(self, name, disk)
        self.instances[name] = instance
        self._ids[instance.identity.member_id] = instance
        return instance

    def hello(self, name):
        replica = self.instances[name].replica
        return pb.HelloReply(
            member=self.instances[name].identity.member(),
            formed=replica.membership is not None,
            membership=replica.committed_membership,
        )

    def send(self, sender, message):
        if self.keep_sent:
            self.sent.append(pb.PeerMessage.FromString(message.SerializeToString()))
        self.post(sender.name, message)

    def post(self, sender_name, message):
        """Queue a message, or lose it, or queue it twice."""
        receiver = self._ids.get(message.receiver)
        if receiver is None or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            at = self.now + self.rng.uniform(0.0002, self.delay_max)
            item = (at, next(self._order), sender_name, receiver.name, message)
            heapq.heappush(self._queue, item)

    def on_commit(self, instance, entry):
        """Check that all instances commit the same entry at an index."""
        known = self.committed.setdefault(entry.index, entry)
        assert known == entry, f"entry {entry.index} changed at {instance.name}"

    def note_leaders(self):
        """Check that a term has at most one leader; count changes."""
        for instance in self.running():
            replica = instance.replica
            if not replica.is_leader:
                continue
            member_id = instance.identity.member_id
            known = self.leaders.get(replica.term)
            if known is None:
                self.leaders[replica.term] = member_id
                self.leader_changes += 1
            assert known in (None, member_id), f"two leaders in term {replica.term}"

    def readers(self):
        """Return the instances that may answer reads, and check there is one."""
        found = [i for i in self.running() if i.replica.can_read(self.now)]
        assert len(found) <= 1, "two leaders answer reads"
        return found

    def running(self):
        return [
            i for i in self.instances.values() if i.up and i.frozen_until <= self.now
        ]

    def run(self, seconds, until=None):
        """Advance the clock; stop early when a condition holds."""
        end = self.now + seconds
        while self.now < end:
            if until and until():
                return True
            self._advance(end)
            self.note_leaders()
            self.readers()
        return bool(until and until())

    def _advance(self, end):
        """Handle the next message or timer."""
        ticks = (
            max(i.replica.next_deadline, i.frozen_until)
            for i in self.instances.values()
            if i.up
        )
        at = min([end, *ticks, *(item[0] for item in self._queue[:1])])
        self.now = max(self.now, at)
        while self._queue and self._queue[0][0] <= self.now:
            _, _, sender, name, message = heapq.heappop(self._queue)
            receiver = self.instances[name]
            if receiver.frozen_until > self.now:
                item = (receiver.frozen_until, next(self._order), sender, name, message)
                heapq.heappush(self._queue, item)
            elif receiver.up and (sender, name) not in self.cuts:
                receiver.handle(receiver.replica.step, message)
        for instance in self.running():
            instance.handle(instance.replica.tick)

    # Faults.

    def kill(self, name):
        self.instances[name].up = False

    def restart(self, name):
        instance = self.instances[name]
        instance.disk.crash()
        instance.restart()

    def lose_disk(self, name):
        """Start an instance with an empty disk: it gets a new member id."""
        return self.add(name)

    def isolate(self, name):
        for other in self.instances:
            self.cuts |= {(name, other), (other, name)}

    def heal(self):
        self.cuts.clear()

    def freeze(self, name, seconds):
        self.instances[name].frozen_until = self.now + seconds

    # Operations.

    @property
    def leader(self):
        """The instance that leads and holds the lease, or `None`."""
        return next(iter(self.readers()), None)

    def wait_for_leader(self, seconds=20.0):
        assert self.run(seconds, lambda: self.leader is not None), "no leader"
        return self.leader

    def propose(self, *payloads, seconds=20.0):
        """Commit payloads on the present leader."""
        leader = self.wait_for_leader()
        proposed = leader.handle(leader.replica.propose, list(payloads))
        last = proposed.indexes[-1]
        assert self.run(seconds, lambda: last in self.committed), "not committed"
        return proposed

    def repair(self, name, seconds=30.0):
        """Add an instance as a learner; run the daemon's steps to its promotion."""
        instance = self.instances[name]
        member = instance.identity.member()
        leader = self.wait_for_leader()
        leader.handle(leader.replica.add_learner, member)

        def step():
            if self.leader:
                self.leader.handle(self.leader.replica.advance_membership)
            return instance.replica.role is records.Role.FOLLOWER

        assert self.run(seconds, step), f"{name} was not promoted"
        return instance
