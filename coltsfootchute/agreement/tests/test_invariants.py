"""Random faults against the invariants, and checks that the checkers work.

`fakes.Network` asserts, while it runs: at most one leader per term, one vote per
member and term, no vote of a member whose disk is lost, a new leader holds all
committed entries, a committed entry never differs, no message before a sync, at
most one instance answers reads and it has applied all committed entries.
"""

import contextlib
import os

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from coltsfootchute import errors
from coltsfootchute.agreement import elections, formations, memberships, records
from coltsfootchute.agreement.tests import fakes

EXAMPLES = int(os.environ.get("COLTSFOOTCHUTE_FUZZ_EXAMPLES", "0")) or 40
POSITIONS = st.integers(0, 7)
SECONDS = st.sampled_from([0.01, 0.1, 0.5, 1.1, 1.3, 2.5, 5.0])


class Faults(stateful.RuleBasedStateMachine):
    """Kills, restarts, lost disks, cuts, freezes and bad links in any order."""

    @stateful.initialize(
        seed=st.integers(0, 2**32),
        names=st.sampled_from(["abc", "abcde"]),
        pre_vote=st.booleans(),
    )
    def start(self, seed, names, pre_vote):
        timing = records.Timing(
            pre_vote=pre_vote, snapshot_entries=8, kept_entries=3, chunk_bytes=16
        )
        self.names = names
        self.network = fakes.Network(names, seed, timing)
        self.losing = ""  # Instance whose lost disk is not yet replaced.
        self.acknowledged = []
        self.count = 0
        self.network.run(4)

    def name(self, position):
        return self.names[position % len(self.names)]

    @stateful.rule(seconds=SECONDS)
    def run(self, seconds):
        self.network.run(seconds)

    @stateful.rule(count=st.integers(1, 6), seconds=SECONDS)
    def propose(self, count, seconds):
        leader = self.network.leader
        if leader is None:
            return
        payloads = [b"%d" % (self.count + n) for n in range(count)]
        self.count += count
        proposed = leader.handle(leader.replica.propose, payloads)
        self.network.run(seconds)
        indexes = proposed.indexes if proposed else range(0)
        for index, payload in zip(indexes, payloads, strict=False):
            entry = self.network.committed.get(index)
            if entry is not None and entry.term == proposed.term:
                assert entry.payload == payload
                self.acknowledged.append(payload)
                self.network.reached.add("acknowledged")

    @stateful.rule(position=POSITIONS)
    def kill(self, position):
        self.network.kill(self.name(position))

    @stateful.rule(position=POSITIONS, steps=st.integers(0, 12))
    def kill_while_writing(self, position, steps):
        self.network.instances[self.name(position)].disk.crash_at = steps
        self.propose(1, 0.5)

    @stateful.rule(position=POSITIONS)
    def fail_a_sync(self, position):
        self.network.instances[self.name(position)].disk.failures = 1
        self.propose(1, 0.5)

    @stateful.rule(position=POSITIONS, power_lost=st.booleans())
    def restart(self, position, power_lost):
        if not self.network.instances[self.name(position)].up:
            self.network.restart(self.name(position), power_lost)

    @stateful.rule()
    def lose_power_everywhere(self):
        for name in self.names:
            self.network.kill(name)
        for name in self.names:
            self.network.restart(name)

    @stateful.rule(position=POSITIONS)
    def lose_disk(self, position):
        # A majority of disks must survive; the next may go right after a repair.
        if self.losing and not self.network.is_voter(self.losing):
            return
        if self.losing:
            self.network.reached.add("disk replaced")
        self.losing = self.name(position)
        self.network.lose_disk(self.losing)

    @stateful.rule(position=POSITIONS)
    def isolate(self, position):
        self.network.isolate(self.name(position))

    @stateful.rule(sender=POSITIONS, receiver=POSITIONS)
    def cut_one_way(self, sender, receiver):
        self.network.cuts.add((self.name(sender), self.name(receiver)))

    @stateful.rule()
    def heal(self):
        self.network.heal()

    @stateful.rule(position=POSITIONS, seconds=SECONDS)
    def freeze(self, position, seconds):
        self.network.freeze(self.name(position), seconds)

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        duplication=st.sampled_from([0.0, 0.3]),
        delay_s=st.sampled_from([0.002, 0.1, 0.9]),
    )
    def change_links(self, loss, duplication, delay_s):
        self.network.loss, self.network.duplication = loss, duplication
        self.network.delay_max = delay_s

    @stateful.rule()
    def transfer(self):
        leader = self.network.leader
        if leader:
            with contextlib.suppress(errors.AgreementError):
                leader.handle(leader.replica.transfer)

    @stateful.rule(position=POSITIONS)
    def lose_disk_right_after_a_repair(self, position):
        self.end_faults()
        self.lose_disk(position)

    def end_faults(self):
        """Restore links and instances, and wait until all of them vote."""
        self.network.heal()
        self.change_links(0.0, 0.0, 0.002)
        for instance in self.network.instances.values():
            instance.disk.crash_at, instance.disk.failures = float("inf"), 0
            instance.frozen_until = self.network.now
            if not instance.up:
                self.network.restart(instance.name)
        for name in self.names:
            self.network.wait_for_repair(name, seconds=90)

    def teardown(self):
        """All faults end: acknowledged changes are there, once and in order."""
        if not hasattr(self, "network"):
            return
        self.end_faults()
        self.network.propose(b"last")
        self.network.settle(30)
        assert self.network.running() == list(self.network.instances.values())
        applied = self.network.instances[self.names[0]].applied
        assert len(applied) == len(set(applied))
        positions = [applied.index(payload) for payload in self.acknowledged]
        assert positions == sorted(positions)


@pytest.mark.fuzz
def test_no_order_of_faults_breaks_an_invariant():
    settings = hypothesis.settings(
        max_examples=EXAMPLES, stateful_step_count=40, deadline=None
    )
    fakes.Network.reached.clear()
    stateful.run_state_machine_as_test(Faults, settings=settings)
    assert fakes.Network.reached >= {
        "acknowledged",
        "disk replaced",
        "write killed",
        "leader replaced",
        "snapshot received",
        "sync failed",
        "unsynced data read",
    }


# Each checker rejects a broken rule.


def split(network):
    """Cut the leader off, so that a broken rule shows."""
    network.propose(b"x")
    network.isolate(network.leader.name)
    network.run(10)


def test_the_checker_rejects_a_quorum_of_one(monkeypatch):
    monkeypatch.setattr(memberships, "quorum", lambda voters: 1)
    with pytest.raises(AssertionError, match=r"two leaders|changed|vanished|stale"):
        split(fakes.Network(seed=1))


def test_the_checker_rejects_two_votes_in_a_term():
    network = fakes.Network(seed=2)
    a = network.instances["a"]
    message = fakes.pb.PeerMessage(sender="x", receiver="y", term=2)
    message.vote_reply.granted = True
    network.send(a, message)
    message.receiver = "z"
    with pytest.raises(AssertionError, match="two votes"):
        network.send(a, message)


def test_the_checker_rejects_a_lease_longer_than_the_election_timeout():
    with pytest.raises(AssertionError, match=r"two leaders answer reads|stale read"):
        timing = records.Timing(lease_s=60.0)
        network = fakes.Network(seed=3, timing=timing)
        network.propose(b"x")
        network.freeze(network.leader.name, 9)
        network.run(10)


def test_the_checker_rejects_an_election_of_a_member_that_lags(monkeypatch):
    monkeypatch.setattr(elections, "is_up_to_date", lambda candidate, own: True)
    network = fakes.Network(seed=4)
    lagging = next(i for i in network.running() if i is not network.wait_for_leader())
    network.kill(lagging.name)
    network.propose(b"x")
    network.kill(network.leader.name)
    network.run(0.01)  # The last messages of the leader arrive.
    network.restart(lagging.name)
    with pytest.raises(AssertionError, match=r"vanished|changed"):
        for other in network.running():
            if other is not lagging:
                other.replica._elect_at = network.now + 60
        network.run(10)


def test_the_checker_rejects_a_message_before_the_sync():
    network = fakes.Network(seed=5)
    network.instances["a"].disk.skips_sync = True
    with pytest.raises(AssertionError, match="before a sync"):
        network.run(10)


def test_the_checker_rejects_a_vote_after_the_loss_of_a_disk(monkeypatch):
    network = fakes.Network(seed=6)
    network.propose(b"x")
    old = next(i for i in network.running() if i is not network.leader)
    first = formations.initial_state(old.replica.membership, fakes.pb.HardState())
    network.repairs = False
    fresh = network.lose_disk(old.name)
    fresh.identity = old.identity  # The broken rule: the id outlives the disk.
    network._ids[old.identity.member_id] = fresh
    fresh.start(first)
    network.kill(network.leader.name)
    with pytest.raises(AssertionError, match="disk is lost"):
        network.run(10)
