"""Guards against too many requests to cold targets, and against none."""

import bisect
import dataclasses
import heapq
import itertools
import random

import pytest

from coltsfootchute.balancing import (
    loads,
    placements,
    pools,
    slow_starts,
    target_sets,
    views,
)

RAMP_PER_S = 2.5
MAX_PER_S = RAMP_PER_S * 1.5 + 8
# The first second of an entry, in which it does not know the number of entries.
SETTLED_S = 2.0


class Fleet:
    """Entries and targets without a network, driven by a queue of timed events.

    Requests of two ranks wait at their entry as the placement makes them wait.
    """

    def __init__(self, slots, entries=128, per_s=150.0):
        self.rng = random.Random(slots)
        self.slots = slots
        self.per_s = per_s
        self.targets = []
        self.running = {}
        self.starts = {}
        self.refused = self.served = 0
        self.now = 0.0
        self._events = []
        self._numbers = itertools.count()
        self.entries = []
        self.resize(entries)
        self.at(0.0, self.arrive)

    def at(self, time_s, action, *args):
        heapq.heappush(self._events, (time_s, next(self._numbers), action, args))

    def run(self, until_s):
        while self._events[0][0] < until_s:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)

    def entry(self, position):
        rng = random.Random(self.rng.random())
        starts = slow_starts.SlowStarts(rng)
        settings = target_sets.PoolSettings(
            policy="sampled",
            samples_per_s=100,
            ramp_per_s=RAMP_PER_S,
            slow_start_s=20,
            placement="ranked",
        )
        pool = pools.Pool("s", settings, "a", 1.0, rng, starts=starts)
        starts.position = position
        pool.update_targets(self.targets, self.now)
        return pool, starts

    def resize(self, count):
        self.entries = self.entries[:count]
        self.entries += [self.entry(n) for n in range(len(self.entries), count)]
        for _, starts in self.entries:
            starts.entries.record(count, self.now)
            starts.entries.current(self.now)

    def restart(self):
        count = len(self.entries)
        self.entries = []
        self.resize(count)

    def announce(self, *targets):
        self.targets += targets
        for target in targets:
            self.running[target.target_id] = 0
            self.starts[target.target_id] = []
        for pool, _ in self.entries:
            # The feed reaches the entries at different times.
            self.at(
                self.now + self.rng.uniform(0, 0.3),
                lambda pool=pool: pool.update_targets(self.targets, self.now),
            )

    def add(self, count, domain="a", is_cold=False):
        first = len(self.targets)
        up_s = self.now if is_cold else self.now - 1000
        self.announce(
            *(
                views.Target(f"t{n}", "", domain, self.slots, up_since_s=up_s)
                for n in range(first, first + count)
            )
        )
        return [f"t{n}" for n in range(first, first + count)]

    def arrive(self):
        self.at(self.now + self.rng.expovariate(self.per_s), self.arrive)
        pool = self.rng.choice(self.entries)[0]
        rank = self.rng.choice([(0, 0), (1, 1)])
        waiting = placements.Waiting(f"r{rank[0]}", rank, 0.8, self.now, self.now + 4)
        self.place(pool, waiting, placements.make(pool, waiting, self.now))

    def place(self, pool, waiting, placement):
        left = placement.left_probes
        for view in pool.probe_candidates(3, self.now, (), left):
            report = loads.LoadReport(self.running[view.target.target_id])
            view.record_probe(report, self.now, self.now)
        view = placement.step(self.now)
        if view is None:
            self.at(self.now + 0.015, self.place, pool, waiting, placement)
        if not isinstance(view, views.TargetView):
            self.refused += view is not None
            return
        self.served += 1
        target_id = view.target.target_id
        self.running[target_id] += 1
        self.starts[target_id].append(self.now)
        token = placements.start(pool, waiting, view, self.now)
        took_s = self.rng.lognormvariate(-1.3, 0.5)
        self.at(self.now + took_s, self.finish, pool, token)

    def finish(self, pool, token):
        self.running[token.view.target.target_id] -= 1
        pool.record_response(token, self.now)
        pool.finish_attempt(token, views.Outcome.OK, self.now)


def most_per_s(times):
    """Return the largest number of times in any one second."""
    ends = (bisect.bisect_left(times, start + 1) for start in times)
    return max((end - n for n, end in enumerate(ends)), default=0)


def quarter_joins(fleet):
    # Half of the slots are used by 150 requests per second that take 0.31 s.
    count = 100 // fleet.slots
    fleet.add(count)
    fleet.run(SETTLED_S)
    return fleet.add(count // 4, is_cold=True)


def domain_returns(fleet):
    # The other failure domains can serve half of the load.
    count = 40 // fleet.slots
    fleet.add(count)
    fleet.run(SETTLED_S)
    return fleet.add(count, "b", is_cold=True)


def entries_restart(fleet):
    cold = quarter_joins(fleet)
    for time_s in (5.0, 9.0, 11.0):
        fleet.at(time_s, fleet.restart)
    return cold


def entries_change(fleet):
    cold = quarter_joins(fleet)
    for time_s, count in ((4.0, 64), (7.0, 160), (10.0, 128)):
        fleet.at(time_s, fleet.resize, count)
    return cold


EVENTS = [quarter_joins, domain_returns, entries_restart, entries_change]


def check(event, slots):
    fleet = Fleet(slots)
    cold = event(fleet)
    joined_s = fleet.now
    fleet.run(14.0)
    assert max(most_per_s(fleet.starts[target_id]) for target_id in cold) <= MAX_PER_S
    first = [[*fleet.starts[target_id], 99.0][0] - joined_s for target_id in cold]
    assert max(first) <= 2.0


@pytest.mark.parametrize("slots", [2, 8])
@pytest.mark.parametrize("event", EVENTS)
def test_cold_targets_get_few_requests_but_soon(event, slots):
    """All entries together must neither overload a target that joined nor idle it."""
    check(event, slots)


@pytest.mark.parametrize(
    ("owner", "name", "broken"),
    [
        (slow_starts.Gate, "has_token", lambda *args: True),
        (slow_starts, "token_lifetime_s", lambda rate_per_s: 0.02),
    ],
)
def test_the_check_finds_a_broken_rule(monkeypatch, owner, name, broken):
    monkeypatch.setattr(owner, name, broken)
    with pytest.raises(AssertionError):
        check(quarter_joins, 8)


RAMPS = [
    # Rate, entries, and seconds without requests before all entries have many.
    *((2.5, 128, idle_s) for idle_s in (0, 1.9, 3, 30, 300)),
    *((rate, 128, 30) for rate in (0.5, 10, 40)),
    *((2.5, entries, 30) for entries in (1, 8, 9, 53)),
]


@pytest.mark.parametrize("is_restarted", [False, True])
@pytest.mark.parametrize(("rate", "count", "idle_s"), RAMPS)
def test_tokens_that_were_not_used_cause_no_burst(rate, count, idle_s, is_restarted):
    """Entries without requests must not save tokens for the next burst."""
    rng = random.Random(7)
    target = views.Target("t1", "", "a", 2, up_since_s=0.0)

    def make_gate(position, now):
        starts = slow_starts.SlowStarts(rng)
        starts.position = position
        starts.entries.record(count, now - 10)
        gate = slow_starts.Gate(starts)
        gate.change(1000.0, rate)
        gate.register(target, now)
        return gate

    gates = [make_gate(n, 0.0) for n in range(count)]
    sent = []
    for step in range(600):
        now = idle_s + step / 100
        if is_restarted and step in {100, 200}:
            gates = [make_gate(n, now) for n in range(count)]
        for gate in gates:
            if gate.allows(target, now):
                assert gate.start(target, now)
                sent.append(now)
    assert most_per_s(sent) <= rate * 1.5 + 8
    # Most of the ramp is used.
    assert len(sent) >= 6 * rate * 0.8 - 1


def test_no_request_is_sent_while_the_number_of_entries_is_unknown():
    count = slow_starts.EntryCount()
    assert count.current(5.0) == 0
    count.record(0, 5.0)
    assert count.current(50.0) == 0
    count.record(2, 50.0)
    # Control has just started, and not all entries have reported to it.
    assert count.current(51.0) == 0
    count.record(9, 51.5)
    assert count.current(53.0) == 9
    count.record(3, 60.0)
    assert (count.current(80.0), count.current(91.0)) == (9, 3)
    for known in (0, 9):
        starts = slow_starts.SlowStarts(random.Random(1))
        starts.entries.record(known, -90.0)
        gate = slow_starts.Gate(starts)
        starts.position = 0
        gate.change(1000.0, 1e6)
        target = views.Target("t1", "", "a", 2, up_since_s=0.0)
        assert gate.allows(target, 1.0) is bool(known)


SLOW_START_S = 8.0
# Statements in their order as (time, kind, value), and when the target is cold.
STATEMENTS = {
    "declared": ([], (0.0, 8.0)),
    "declared, and a probe states nothing": ([(2.0, "answer", None)], None),
    "registered": ([(0.0, "register", 3.0)], (0.0, 3.0)),
    "warm in an answer": ([(1.0, "answer", 0.0)], None),
    "cold in an answer": ([(20.0, "answer", 5.0)], (20.0, 25.0)),
    "answer after register": (
        [(0.0, "register", 30.0), (1.0, "answer", 2.0)],
        (1.0, 3.0),
    ),
    "old register after answer": (
        [(5.0, "answer", 1.0), (5.5, "register", 30.0)],
        (5.0, 6.0),
    ),
    "cold again in the register": (
        [(0.0, "register", 1.0), (5.0, "answer", 0.0), (9.0, "register again", 4.0)],
        (9.0, 13.0),
    ),
    "probe without a statement": (
        [(0.0, "register", 6.0), (1.0, "answer", None)],
        (0.0, 6.0),
    ),
}


@pytest.mark.parametrize(
    ("statements", "cold"), STATEMENTS.values(), ids=list(STATEMENTS)
)
def test_the_newest_statement_applies(statements, cold):
    """An old report must not slow a warm target, nor hide that one is cold again."""
    starts = slow_starts.SlowStarts(random.Random(1), states_cold=True)
    gate = slow_starts.Gate(starts)
    gate.change(SLOW_START_S, RAMP_PER_S)
    target = views.Target("t1", "", "a", 2, up_since_s=0.0)
    if not any(kind == "register" for _, kind, _ in statements):
        gate.register(target, 0.0)
    for time_s, kind, value in statements:
        if kind == "answer":
            starts.record_stated(target, value, time_s)
            continue
        up_s = time_s if kind == "register again" else 0.0
        target = dataclasses.replace(
            target, warm_up_s=value, up_since_s=up_s, announced_ms=int(up_s * 1000)
        )
        gate.register(target, time_s)
    last_s = statements[-1][0] if statements else 0.0
    seen = [last_s + n / 2 for n in range(60) if gate.is_cold(target, last_s + n / 2)]
    if cold is None:
        assert not seen
    else:
        assert (seen[0], seen[-1] + 0.5) == (max(cold[0], last_s), cold[1])


def probed(pool):
    for view in pool.probe_candidates(3, 1.0):
        view.record_probe(loads.LoadReport(0), 1.0, 1.0)
    return pool.select_with_room(1.0, 0.9)


def queued(pool):
    admitted = pool.admit(5, 9.0, 1.0)
    return admitted if isinstance(admitted, views.TargetView) else None


SELECTIONS = {
    "first": lambda pool: pool.select(1.0),
    "retry": lambda pool: pool.select(1.0, ("t9",), views.AttemptKind.RETRY),
    "hedge": lambda pool: pool.select(1.0, ("t9",), views.AttemptKind.HEDGE),
    "queued": queued,
    "probed": probed,
}


@pytest.mark.parametrize("is_known", [False, True])
@pytest.mark.parametrize("select", SELECTIONS.values(), ids=list(SELECTIONS))
def test_every_kind_of_attempt_takes_a_token(select, is_known):
    """Retries and hedges add to the load of a cold target as first attempts do."""
    starts = slow_starts.SlowStarts(random.Random(1))
    starts.position = 0
    starts.entries.record(10 if is_known else 0, -10.0)
    settings = target_sets.PoolSettings(
        policy="sampled", samples_per_s=100, ramp_per_s=10.0, slow_start_s=50
    )
    pool = pools.Pool("s", settings, "a", 1.0, random.Random(1), starts=starts)
    target = views.Target("t1", "", "a", 8, up_since_s=0.0)
    pool.update_targets([target], 0.0)
    # One request per second and entry.
    starts.of(target).ramp = slow_starts.Ramp(0.5, 0.0)
    found = [select(pool)]
    if found[0] is not None:
        assert pool.start_attempt(found[0], 1.0).is_cold
        found.append(select(pool))
    assert [view is not None for view in found] == (
        [True, False] if is_known else [False]
    )
    queue_wake_s = pool.next_wake(1.0)
    assert queue_wake_s is None or queue_wake_s > 1.0
