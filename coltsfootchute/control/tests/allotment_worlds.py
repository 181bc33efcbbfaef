"""Simulation of entries, owners and callers of one workspace, without a network."""

import bisect
import collections
import heapq
import itertools
import random

from coltsfootchute import declarations, quotas, settings
from coltsfootchute.balancing import allotments
from coltsfootchute.control import accounts as control_accounts
from coltsfootchute.control import allotments as owners
from coltsfootchute.entry import accounts

ENTRIES = 128
# Requests of other workspaces at each entry, which make it report more often.
OTHERS_PER_S = 3.0
STEP_S = 0.01


def limits(rate, burst):
    document = [declarations.Workspace("w", rate_per_s=rate, burst=burst)]
    document.append(declarations.Workspace("others", rate_per_s=1e6, burst=1e6))
    declaration = declarations.Declaration(1, [], [], workspaces=document)
    return quotas.limits_of(declaration, settings.QuotaSettings())


class Entry:
    """An entry with its link to one owner at a time."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.is_cut = False
        self.lost = set()
        self.frozen_until = 0.0
        self.restart()

    def restart(self):
        world = self.world
        self.start_ms = int(world.now * 1000) + 1
        self.sequence = itertools.count(1)
        self.allotments = allotments.Allotments(world.rng)
        self.allotments.set_limits(world.limits, world.now)
        self.allotments.set_entries(ENTRIES, world.now)
        self.pacer = accounts.report_pacer()
        self.rank, self.reported_s = 0, -1.0
        self.connect(0)

    def reaches(self, rank):
        return not self.is_cut and rank not in self.lost

    def connect(self, rank):
        self.rank = rank % len(self.world.owners)
        self.heard_s = self.world.now
        self.returns_s = self.world.now + self.world.rng.uniform(3, 5)
        self.allotments.connect()

    def step(self):
        now, world = self.world.now, self.world
        if now - self.heard_s > accounts.IDLE_TIMEOUT_S:
            world.owners[self.rank].leave(self)
            self.connect(self.rank + 1)
        elif self.rank and now > self.returns_s:
            self.returns_s = now + 3
            if world.owners[0].is_up and self.reaches(0):
                world.owners[self.rank].leave(self)
                self.connect(0)
        is_due = (
            self.allotments.has_usage or now - self.reported_s >= accounts.IDLE_REPORT_S
        )
        if is_due and self.pacer.due_s(now, self.allotments.is_urgent) <= now:
            self.pacer.record(now)
            self.reported_s = now
            fields = {"entry": f"e{self.number}", "start_ms": self.start_ms}
            uses = self.allotments.take_usage()
            report = accounts.report_of(next(self.sequence), uses, **fields)
            world.send(self, world.owners[self.rank], report)

    def receive(self, message, rank):
        if rank == self.rank:
            self.heard_s = self.world.now
            self.allotments.apply(accounts.throttles_of(message), self.world.now)


class OwnerInstance:
    """A control instance that owns the limits for the entries that reach it."""

    def __init__(self, world, rank):
        self.world, self.rank = world, rank
        self.is_up = True
        self.restart()

    def restart(self):
        world = self.world
        self.owner = owners.Owner()
        self.owner.set_limits(1, world.limits, world.now)
        self.owner.see_entries([f"e{n}" for n in range(ENTRIES)], world.now)
        self.pacer = control_accounts.throttle_pacer()
        self.sent_s = {}

    def leave(self, entry):
        if self.is_up and entry.reaches(self.rank):
            self.owner.leave(f"e{entry.number}", entry.start_ms, self.world.now)
        self.sent_s.pop(entry.number, None)

    def receive(self, report, entry):
        self.owner.report(report, self.world.now)
        self.sent_s.setdefault(entry.number, -1.0)

    def step(self):
        now, world = self.world.now, self.world
        if not self.is_up:
            return
        self.owner.expire(now)
        self.owner.see_entries([f"e{n}" for n in range(ENTRIES)], now)
        is_news = self.owner.has_news(now) and self.pacer.due_s(now) <= now
        if is_news:
            self.pacer.record(now)
            world.messages += len(self.sent_s)
        message = self.owner.throttles(now) if is_news else None
        for number, sent_s in self.sent_s.items():
            if is_news or now - sent_s >= control_accounts.SEND_INTERVAL_S:
                self.sent_s[number] = now
                message = message or self.owner.throttles(now)
                world.send(self, world.entries[number], message)


class World:
    """Entries, owners and a clock that advances in steps."""

    def __init__(self, rate, burst, seed=1, owner_count=2, delay_s=(0.001, 0.02)):
        self.rng = random.Random(seed)
        self.now, self.delay_s = 0.0, delay_s
        self.limits = limits(rate, burst)
        self.messages = 0
        self.arrivals = {}
        self.transit, self.order = [], itertools.count()
        self.owners = [OwnerInstance(self, rank) for rank in range(owner_count)]
        self.entries = [Entry(self, n) for n in range(ENTRIES)]
        self.ran, self.refused = [], []
        self.outcomes = collections.Counter()

    def send(self, sender, receiver, message):
        entry = sender if isinstance(sender, Entry) else receiver
        owner = receiver if entry is sender else sender
        if entry.reaches(owner.rank):
            # A stream keeps the order of its messages.
            link = entry.number, owner.rank, entry is sender
            at = self.now + self.rng.uniform(*self.delay_s)
            at = self.arrivals[link] = max(at, self.arrivals.get(link, 0.0))
            item = (at, next(self.order), entry, owner, message, entry is sender)
            heapq.heappush(self.transit, item)

    def _deliver(self):
        while self.transit and self.transit[0][0] <= self.now:
            _, _, entry, owner, message, to_owner = heapq.heappop(self.transit)
            if to_owner and owner.is_up:
                owner.receive(message, entry)
            elif not to_owner and entry.frozen_until <= self.now:
                entry.receive(message, owner.rank)

    def set_limits(self, rate, burst):
        self.limits = limits(rate, burst)
        for owner in self.owners:
            owner.owner.set_limits(owner.owner.version + 1, self.limits, self.now)
        for entry in self.entries:
            entry.allotments.set_limits(self.limits, self.now)

    def run(self, seconds, per_s, entries=None):
        """Offer requests at a rate, at random times and at random entries."""
        numbers = range(ENTRIES) if entries is None else entries
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._deliver()
            for number in self._arrivals(per_s, numbers):
                self.offer(self.entries[number])
            for number in self._arrivals(OTHERS_PER_S * ENTRIES, range(ENTRIES)):
                if self.entries[number].frozen_until <= self.now:
                    self.entries[number].allotments.admit("others", self.now)
            for owner in self.owners:
                owner.step()
            for entry in self.entries:
                if entry.frozen_until <= self.now:
                    entry.step()

    def _arrivals(self, per_s, numbers):
        left = per_s * STEP_S
        while (left := left - self.rng.expovariate(1)) > 0:
            yield self.rng.choice(numbers)

    def offer(self, entry):
        if entry.frozen_until > self.now:
            return
        decision = entry.allotments.admit("w", self.now)
        self.outcomes[decision.outcome] += 1
        (self.ran if decision.is_admitted else self.refused).append(self.now)

    def worst(self, since=0.0, window_s=5.0):
        """Return the largest number of requests that ran within a sliding window."""
        times = [t for t in self.ran if t >= since]
        return max(
            (n + 1 - bisect.bisect_right(times, t - window_s))
            for n, t in enumerate(times)
        )
