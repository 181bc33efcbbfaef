"""Guards against sequences of faults that no scenario file has, drawn at random.

Hypothesis derives its examples from the source text of `Faults`. After each edit of
that class, `FaultsTest` shows whether the examples still reach all dangerous states.
"""

import collections
import os
import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from tests.scenario_language import clocks, entries, users, worlds

EXAMPLES = int(os.environ.get("COLTSFOOTCHUTE_FUZZ_EXAMPLES", "0")) or 25
CONTROLS, ENTRIES, TARGETS = "abc", ("e1", "e2", "e3"), ("t1", "t2", "t3", "t4")
NAMES = st.sampled_from([*CONTROLS, *ENTRIES])
ENTRY, TARGET = st.sampled_from(ENTRIES), st.sampled_from(TARGETS)
SECONDS = st.sampled_from([0.001, 0.01, 0.1, 0.7, 1.3, 2.5, 5.0, 12.0])
REACHED = collections.Counter()  # How often the examples reached dangerous states.
KEYS = st.integers(0, 5)


class Faults(stateful.RuleBasedStateMachine):
    """Kills, lost disks, cuts, freezes, drains and bad links under load."""

    @stateful.initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        self.loop = clocks.Loop()
        self.patched = [
            clocks.virtual_time(self.loop, random.Random(seed)),
            entries.fake_connections(),
        ]
        for patch in self.patched:
            patch.__enter__()
        self.world = worlds.World(self.loop, seed)
        self.tasks, self.count, self.lost = [], 0, ""
        section = {"measuring_budget_ms_per_s": 5}
        self.play(self.world.start(CONTROLS, ENTRIES, TARGETS, section))
        for entry in self.world.entries.values():
            entry.process.spawn(entry.probe(users.SERVICE))

    def play(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def act(self, function, *args):
        """Call a function inside the loop."""

        async def acting():
            return function(*args)

        return self.play(acting())

    async def begin(self, coroutine):
        self.tasks.append(self.world.task(coroutine))
        await self.world.run(0.002)

    @stateful.rule(seconds=SECONDS)
    def run(self, seconds):
        self.play(self.world.run(seconds))

    @stateful.rule(seconds=SECONDS)
    def lose_the_leader(self, seconds):
        leader = self.world.leader
        if leader is not None:
            self.act(self.world.kill, leader.name)
            self.play(self.world.run(seconds))
            self.play(self.world.restart(leader.name))
            self.play(self.world.run(3.0))

    @stateful.rule(via=ENTRY, expected=st.integers(0, 2), resend=st.booleans())
    def propose(self, via, expected, resend):
        self.count += not resend
        newest = max((o.result or 0 for o in self.world.operations.values()), default=0)
        name, revision = f"p{self.count}", max(1, newest + expected - 1)
        self.play(
            self.begin(self.world.propose(name, users.SERVICE, revision, "x", via=via))
        )

    @stateful.rule(via=ENTRY)
    def read(self, via):
        self.play(self.begin(self.world.read(via=via)))

    @stateful.rule(via=ENTRY, key=KEYS, poison=st.booleans())
    def call_once(self, via, key, poison):
        self.count += 1
        path = f"/orders/{key}"
        if poison and not self.world.crash_path:
            self.world.crash_path = path
        sent = self.world.call(f"r{self.count}", via, path, self.world.key(f"k{key}"))
        self.play(self.begin(sent))

    @stateful.rule(via=ENTRY)
    def call(self, via):
        self.count += 1
        sent = self.world.call(f"r{self.count}", via, f"/items/{self.count}")
        self.play(self.begin(sent))

    @stateful.rule(name=NAMES)
    def kill(self, name):
        self.act(self.world.kill, name)

    @stateful.rule(name=st.sampled_from([*CONTROLS, *ENTRIES, *TARGETS]))
    def restart(self, name):
        if self.world.process(name).is_dead and self.world._usable_entry():
            if name in TARGETS:
                self.play(self.begin(self.world.restart(name)))
            else:
                self.play(self.world.restart(name))

    @stateful.rule(name=st.sampled_from(CONTROLS))
    def lose_disk(self, name):
        # A majority of disks must survive, so that a disk may be lost only once the
        # instance that lost the previous one is a voter again.
        leader = self.world.leader
        if self.lost and not (leader and self.world.is_voter(self.lost)):
            return
        self.lost = name
        self.act(self.world.lose_disk, name)

    @stateful.rule(name=NAMES, other=NAMES, both=st.booleans())
    def cut(self, name, other, both):
        if name != other:
            self.world.cut(name, other, both)

    @stateful.rule(name=NAMES)
    def isolate(self, name):
        for other in (*CONTROLS, *ENTRIES):
            if other != name:
                self.world.cut(name, other)

    @stateful.rule()
    def heal(self):
        self.world.heal()

    @stateful.rule(name=NAMES)
    def freeze(self, name):
        self.world.freeze(name)

    @stateful.rule(name=NAMES)
    def thaw(self, name):
        if self.world.process(name).is_frozen:
            self.act(self.world.thaw, name)

    @stateful.rule(name=TARGET, fault=st.sampled_from(["slow", "shed", "cut", "none"]))
    def change_target(self, name, fault):
        target = self.world.targets[name]
        target.latency_s = 0.8 if fault == "slow" else 0.005
        target.is_shedding, target.truncates = fault == "shed", fault == "cut"

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.1, 0.3]),
        duplication=st.sampled_from([0.0, 0.3]),
        delay_s=st.sampled_from([0.001, 0.1, 0.4]),
    )
    def change_links(self, loss, duplication, delay_s):
        network = self.world.network
        network.loss, network.duplication = loss, duplication
        network.delay_s = delay_s

    @stateful.rule(name=ENTRY)
    def stop(self, name):
        if not self.world.process(name).is_dead:
            self.act(self.world.stop, name)

    def note_reached(self, world):
        sent = [a.request for a in world.history.answers if a.request != a.name]
        REACHED.update(world.network.effective_faults)
        REACHED["leader changes"] += len(world.history.leaders) - 1
        REACHED["lost disks"] += len(world.history.votes_before_disk_loss)
        REACHED["resent keys"] += len(sent) - len(set(sent))

    def teardown(self):
        """All faults end: every history holds, and all entries agree."""
        if not hasattr(self, "world"):
            return
        world = self.world
        # Entries that were cut off, or whose sources were killed, may be late.
        world.history.unreachable.append(("", 0.0, float("inf")))
        self.note_reached(world)
        try:
            found = self.play(world.finish(self.tasks))
            assert found == []
            assert not self.loop.failures
            names = {e for e in ENTRIES if not world.process(e).is_dead}
            wanted = max(world.final_sections()[users.SERVICE])
            for name in names:
                section = world.entries[name].view.sections[users.SERVICE]
                assert section.revision == wanted, name
        finally:
            self.play(world.close())
            for patch in self.patched:
                patch.__exit__(None, None, None)
            self.loop.close()


@pytest.mark.fuzz
class FaultsTest(Faults.TestCase):
    def runTest(self):  # noqa: N802
        super().runTest()
        wanted = ("leader changes", "lost disks", "cut", "duplicate", "resent keys")
        assert [name for name in wanted if not REACHED[name]] == []


FaultsTest.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=40,
    deadline=None,
    # Without shrinking, which takes minutes; the steps that failed are printed.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
