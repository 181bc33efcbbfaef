"""A simulated network, clock and disks, with seeded message loss and faults."""

import contextlib
import heapq
import itertools
import math
import os
import random

from coltsfootchute import errors
from coltsfootchute.agreement import (
    formations,
    memberships,
    records,
    replicas,
    stores,
)
from coltsfootchute.proto import coltsfootchute_pb2 as pb


class MemoryDisk:
    """Files in memory. A crash loses or tears data that was not synced."""

    def __init__(self, rng=None):
        self.rng = rng or random.Random(0)
        self.files: dict[str, bytearray] = {}
        self.synced_sizes: dict[str, int] = {}
        self.durable_files: dict[str, bytearray] = {}  # Files whose names are synced.
        self.syncs = 0
        self.failures = 0  # Number of next syncs that fail.
        self.skips_sync = False  # Breaks the rule that a sync makes data durable.
        self.crash_at = math.inf  # Operations left until the process is killed.

    def _count_operation(self):
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
        self._count_operation()
        self.files.setdefault(path, bytearray()).extend(data)

    def truncate(self, path, size):
        self._count_operation()
        del self.files[path][size:]

    def sync(self, path):
        self._count_operation()
        if self.failures:
            self.failures -= 1
            raise OSError(5, "input/output error")
        self.syncs += 1
        if not self.skips_sync:
            self.synced_sizes[id(self.files[path])] = len(self.files[path])

    def sync_folder(self, folder):
        self._count_operation()
        kept = {
            p: f for p, f in self.durable_files.items() if os.path.dirname(p) != folder
        }
        here = {p: f for p, f in self.files.items() if os.path.dirname(p) == folder}
        self.durable_files = kept | here

    def rename(self, old, new):
        self._count_operation()
        self.files[new] = self.files.pop(old)

    def remove(self, path):
        self._count_operation()
        del self.files[path]

    def has_unsynced(self):
        sizes = ((len(f), self.synced_sizes.get(id(f), 0)) for f in self.files.values())
        return any(size > synced for size, synced in sizes)

    def crash(self):
        """Keep synced data and names, and a random part of what was not synced."""
        self.crash_at = math.inf
        changed = self.files.keys() ^ self.durable_files.keys()
        everything = self.durable_files | self.files
        names = self.durable_files.keys() - changed
        names |= {p for p in sorted(changed) if self.rng.random() < 0.5}
        self.files = {p: everything[p] for p in sorted(names)}
        for file in self.files.values():
            start = min(self.synced_sizes.get(id(file), 0), len(file))
            del file[self.rng.randint(start, len(file)) :]
            if len(file) > start and self.rng.random() < 0.3:
                file[self.rng.randrange(start, len(file))] ^= 0xFF
        self.durable_files = dict(self.files)
        self.synced_sizes = {id(f): len(f) for f in self.files.values()}


class Instance:
    """An instance with a disk, a store, a replica, and a list as state machine."""

    def __init__(self, network, name, disk):
        self.network, self.name, self.disk = network, name, disk
        self.frozen_until = -math.inf
        self.restart()

    def restart(self):
        rng = self.network.rng
        self.store = stores.FileStore(self.name, self.name, self.disk, rng)
        self.identity = records.Identity(
            self.store.member_id, self.name, self.name, f"fd-{self.name}"
        )
        self.start(self.store.saved)

    def start(self, saved):
        rng = random.Random(self.network.rng.random())
        self.replica = replicas.Replica(
            self.identity,
            saved,
            rng,
            self.network.timing,
            self.network.tolerated_losses,
        )
        self.applied = []
        if saved.snapshot:
            self.load(saved.snapshot)
        self.up = True

    def load(self, snapshot):
        data = bytes(snapshot.data)
        self.applied = data.split(b",") if data else []

    def form(self, membership):
        saved = formations.initial_state(membership, self.store.saved.hard_state)
        self.store.append(saved.hard_state, saved.entries, saved.snapshot)
        self.start(saved)

    def run(self, actions):
        """Execute actions in the order in which a daemon executes them."""
        self.network.check_leader(self)
        if actions.must_sync:
            self.store.append(actions.hard_state, actions.entries, actions.snapshot)
        for message in actions.messages:
            self.network.send(self, message)
        if actions.snapshot:
            self.network.reached.add("snapshot received")
            self.load(actions.snapshot)
        for entry in actions.committed:
            self.network.check_commit(self, entry)
            if entry.kind == pb.ENTRY_KIND_COMMAND:
                self.applied.append(entry.payload)
        if self.replica.needs_snapshot:
            index = self.replica.applied_index
            data = b",".join(self.applied)
            self.store.save_snapshot(self.replica.compact(index, data))

    def handle(self, event, *args):
        """Pass an event to the replica; a failed write or sync stops the instance."""
        try:
            result = event(*args, self.network.now)
            if result:
                self.run(getattr(result, "actions", result))
            return result
        except (KeyboardInterrupt, errors.SyncError) as exc:
            is_sync = isinstance(exc, errors.SyncError)
            self.network.reached.add("sync failed" if is_sync else "write killed")
            self.network.kill(self.name)
            return None


def network_with_excess_voter(seed):
    """Return five initial instances and a sixth one, which joined later."""
    network = Network("abcde", seed)
    network.add("f")
    network.wait_for_repair("f")
    return network


class Network:
    """Simulates instances, the messages between them, and the clock.

    Parameters
    ----------
    names
        Names of the initial members.
    seed
        Seed of all randomness.
    timing
        Timeouts and size limits of the replicas.
    """

    reached: set[str] = set()  # Hazardous states that occurred in any run.

    def __init__(self, names="abc", seed=0, timing=None):
        self.rng = random.Random(seed)
        self.timing = timing or records.Timing()
        self.tolerated_losses = (len(names) - 1) // 2
        self.now = 0.0
        self.loss = self.duplication = 0.0
        self.delay_max = 0.002
        self.cuts: set[tuple[str, str]] = set()  # Sender and receiver; one way.
        self.rates: dict[tuple[str, str], float] = {}  # Bytes per s; one way.
        self._free_at: dict[tuple[str, str], float] = {}
        self.sent: list[pb.PeerMessage] = []
        self.keep_sent = False
        self.leaders: dict[int, str] = {}  # Member id by term.
        self.leader_changes = 0
        self.votes: dict[tuple[str, int], str] = {}  # Candidate by voter and term.
        self.lost_ids: set[str] = set()  # Member ids whose disks were lost.
        self.committed: dict[int, pb.LogEntry] = {}
        # Whether the leader adds and promotes instances without a vote.
        self.auto_repair = True
        self._last_repair_at = 0.0
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
        """Check the invariants for a message, then queue it."""
        assert not sender.disk.has_unsynced(), f"{sender.name} sends before a sync"
        request, reply = message.vote_request, message.vote_reply
        if message.HasField("vote_request") and not request.pre_vote:
            self._check_vote(message.sender, message.term, message.sender)
        if reply.granted and not reply.pre_vote:
            self._check_vote(message.sender, message.term, message.receiver)
        if self.keep_sent:
            self.sent.append(message)
        self.enqueue(sender.name, message)

    def _check_vote(self, voter, term, candidate):
        assert voter not in self.lost_ids, f"vote of {voter}, whose disk is lost"
        known = self.votes.setdefault((voter, term), candidate)
        assert known == candidate, (
            f"two votes of {voter} in term {term}: for {known} and {candidate}"
        )

    def enqueue(self, sender_name, message):
        """Queue a message once or twice, or lose it."""
        receiver = self._ids.get(message.receiver)
        if receiver is None or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            at = self._transmitted_at(sender_name, receiver.name, message)
            at += self.rng.uniform(0.0002, self.delay_max)
            item = (at, next(self._order), sender_name, receiver.name, message)
            heapq.heappush(self._queue, item)

    def _transmitted_at(self, sender, receiver, message):
        """Return when the last byte is sent over a link with a limited rate."""
        link = sender, receiver
        if link not in self.rates:
            return self.now
        start = max(self.now, self._free_at.get(link, 0.0))
        self._free_at[link] = start + message.ByteSize() / self.rates[link]
        return self._free_at[link]

    def check_commit(self, instance, entry):
        """Check that all instances commit the same entry at each index."""
        known = self.committed.setdefault(entry.index, entry)
        assert known == entry, f"entry {entry.index} changed at {instance.name}"

    def check_leader(self, instance):
        """Check that a term has one leader, whose log holds all committed entries."""
        replica, member_id = instance.replica, instance.identity.member_id
        if not replica.is_leader or self.leaders.get(replica.term) == member_id:
            return
        assert replica.term not in self.leaders, (
            f"two leaders in term {replica.term}:"
            f" {self.leaders[replica.term]} and {member_id}"
        )
        self.leaders[replica.term] = member_id
        self.leader_changes += 1
        if self.leader_changes > 1:
            self.reached.add("leader replaced")
        for index, entry in self.committed.items():
            if index > replica.log.base_index:
                held = replica.log.term_at(index)
                assert held == entry.term, (
                    f"committed entry {index} of term {entry.term} vanished: the log of"
                    f" leader {instance.name} has term {held} there"
                )

    def readers(self):
        """Return who may answer reads: at most one, with all committed entries."""
        found = [i for i in self.running() if i.replica.can_read(self.now)]
        assert len(found) <= 1, f"two leaders answer reads: {[i.name for i in found]}"
        last = max(self.committed, default=0)
        assert all(i.replica.applied_index >= last for i in found), (
            f"stale read: {[i.replica.applied_index for i in found]} applied,"
            f" {last} committed"
        )
        return found

    def running(self):
        return [
            i for i in self.instances.values() if i.up and i.frozen_until <= self.now
        ]

    def run(self, seconds, until=None):
        """Advance the clock; return early, with True, once a condition holds."""
        end = self.now + seconds
        while self.now < end:
            if until and until():
                return True
            self._advance(end)
            self.readers()
            if self.auto_repair and self.now >= self._last_repair_at + 0.1:
                self._last_repair_at = self.now
                self.repair_step()
        return bool(until and until())

    def _advance(self, end):
        """Advance the clock to the next message or timer and handle it."""
        ticks = (
            max(i.replica.next_deadline, i.frozen_until)
            for i in self.instances.values()
            if i.up
        )
        at = min([end, *ticks, *(item[0] for item in self._queue[:1])])
        self.now = max(self.now, at)
        # An instance that was frozen may respond before it handles any event.
        self.readers()
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

    def restart(self, name, power_lost=True):
        instance = self.instances[name]
        instance.disk.crash_at = math.inf
        if power_lost:
            instance.disk.crash()
        elif instance.disk.has_unsynced():
            self.reached.add("unsynced data read")
        # With a failed sync the process exits again.
        with contextlib.suppress(errors.SyncError):
            instance.restart()

    def lose_disk(self, name):
        """Restart an instance with an empty disk, so that it gets a new member id."""
        self.lost_ids.add(self.instances[name].identity.member_id)
        self.instances[name].up = False
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
        assert self.run(seconds, lambda: self.leader is not None), (
            f"no leader with a lease within {seconds} s"
        )
        return self.leader

    def propose(self, *payloads, seconds=20.0):
        """Propose payloads on the current leader and wait until they are committed."""
        leader = self.wait_for_leader()
        proposed = leader.handle(leader.replica.propose, list(payloads))
        last = proposed.indexes[-1]
        assert self.run(seconds, lambda: last in self.committed), (
            f"entry {last} was not committed within {seconds} s"
        )
        return proposed

    def repair_step(self):
        """Add unknown instances as learners and advance the membership.

        The daemon of a leader does the same about once a second.
        """
        leader = self.leader
        if leader is None:
            return
        known = {m.member_id for m in leader.replica.membership.members}
        for instance in self.running():
            if instance.identity.member_id not in known:
                with contextlib.suppress(errors.AgreementError):
                    leader.handle(
                        leader.replica.add_learner, instance.identity.member()
                    )
        if leader.up and leader.replica.can_read(self.now):
            leader.handle(leader.replica.advance_membership)

    def is_voter(self, name):
        """Return whether an instance votes in the leader's committed membership."""
        if self.leader is None:
            return False
        member_id = self.instances[name].identity.member_id
        return memberships.is_voter(self.leader.replica.committed_membership, member_id)

    def wait_for_repair(self, name, seconds=30.0):
        assert self.run(seconds, lambda: self.is_voter(name)), (
            f"{name} did not become a voter within {seconds} s"
        )

    def settle(self, seconds=10.0):
        """Wait until all running instances have applied the same entries."""

        def is_settled():
            applied = {i.replica.applied_index for i in self.running()}
            return self.leader and applied == {self.leader.replica.log.last_index}

        assert self.run(seconds, is_settled), (
            f"instances applied different indexes after {seconds} s:"
            f" { {i.name: i.replica.applied_index for i in self.running()} }"
        )
        assert len({tuple(i.applied) for i in self.running()}) == 1
