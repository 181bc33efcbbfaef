"""Discrete-event run of entries in front of targets, without sockets.

Independent entries, each with only its own view, send an open-loop stream of
requests to targets with slots. This measures decisions; it doesn't model a
network or an operating system.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random

from coltsfootchute import balancing, verdicts

__all__ = ["BARE", "Case", "Size", "World"]

# The reference: two choices without hedges, retries and the entry's share.
BARE = "two_choices_bare"
MEAN_SERVICE_S = 0.010
SIGMA = 0.5
DEADLINE_S = 0.5
ONE_WAY_S = 0.0001
DISTANCE_S = 0.00025  # One way between failure domains.
FAIL_FAST_S = 0.001
QUEUE_ROUNDS = 2  # A target sheds beyond this many requests per slot.
REPORT_PERIOD_S = 0.1  # For the case with ageing reports.
NOISE_GAP_S = 0.2
NOISE_S = (0.02, 0.06)
WARM_UP = 0.2  # Share of the run that is not counted.
FAULT_AT = 0.25  # Share of the run after which faults start.
BURST_FACTOR = 3.0
BURST_S = 0.1


@dataclasses.dataclass(frozen=True)
class Size:
    """Entries, targets and failure domains of a deployment."""

    name: str
    entries: int
    targets: int
    slots: int
    domains: int


@dataclasses.dataclass(frozen=True)
class Case:
    """One run."""

    size: Size
    fault: str
    utilization: float
    policy: str
    requests: int
    seed: int


class Server:
    """A target with slots, a bounded queue and the fault of the case."""

    def __init__(self, world, number):
        self.world = world
        self.domain = number % world.case.size.domains
        self.fault = world.case.fault if number in world.faulty else ""
        self.running = set()
        self.queue = collections.deque()
        self.reported = (0.0, 0)
        self.pauses = self._pauses() if self.fault == "noise" else []

    def _pauses(self):
        rng, at, pauses = self.world.rng, self.world.fault_s, []
        while at < self.world.length_s + 1:
            at += rng.expovariate(1 / NOISE_GAP_S)
            pauses.append((at, at + rng.uniform(*NOISE_S)))
            at = pauses[-1][1]
        return pauses

    def arrive(self, attempt):
        if attempt.is_over:
            return
        is_faulty = self.world.now >= self.world.fault_s
        if self.fault == "fail_fast" and is_faulty:
            self.world.after(
                FAIL_FAST_S, self._answer, attempt, balancing.Outcome.ERROR
            )
        elif len(self.running) < self.world.case.size.slots:
            self._run(attempt)
        elif len(self.queue) < QUEUE_ROUNDS * self.world.case.size.slots:
            self.queue.append(attempt)
        else:
            self._answer(attempt, balancing.Outcome.SHED)

    def _run(self, attempt):
        self.running.add(attempt)
        self.world.after(self._service_s(), self._complete, attempt)

    def _service_s(self):
        now = self.world.now
        mu = math.log(MEAN_SERVICE_S) - SIGMA**2 / 2
        service_s = self.world.service_rng.lognormvariate(mu, SIGMA)
        age_s = now - self.world.fault_s
        if self.fault == "straggler" and age_s >= 0:
            service_s *= 10
        if self.fault == "cold":
            service_s *= 1 + 4 * math.exp(-max(0.0, age_s) / 0.3)
        end = now + service_s
        for start, stop in self.pauses:
            if start < end and stop > now:
                end += stop - max(start, now)
        return end - now

    def _complete(self, attempt):
        if attempt not in self.running:
            return
        self._free(attempt)
        self._answer(attempt, balancing.Outcome.OK)

    def _free(self, attempt):
        self.running.remove(attempt)
        if self.queue:
            self._run(self.queue.popleft())

    def cancel(self, attempt):
        if attempt in self.running:
            self._free(attempt)
        elif attempt in self.queue:
            self.queue.remove(attempt)

    def _answer(self, attempt, outcome):
        in_flight = len(self.running) + len(self.queue)
        if self.world.case.fault == "old_reports":
            if self.world.now - self.reported[0] >= REPORT_PERIOD_S:
                self.reported = (self.world.now, in_flight)
            in_flight = self.reported[1]
        load = balancing.LoadReport(in_flight=in_flight)
        self.world.after(attempt.one_way_s, attempt.ended, outcome, load)


class Attempt:
    """One request on its way to one target."""

    def __init__(self, request, token):
        self.request, self.token, self.is_over = request, token, False
        world = request.world
        self.server = world.servers[int(token.view.target.target_id)]
        is_near = self.server.domain == request.entry.domain
        self.one_way_s = ONE_WAY_S + (0 if is_near else DISTANCE_S)
        request.attempts.append(self)
        request.tried.add(token.view.target.target_id)
        world.after(self.one_way_s, self.server.arrive, self)

    def ended(self, outcome, load=None):
        if self.is_over:
            return
        self.is_over = True
        world, pool = self.request.world, self.request.entry.pool
        is_drained = self.server.fault == "drain" and world.now >= world.fault_s
        if is_drained and load is not None:
            pool.mark_draining(self.token.view.target.target_id)
        pool.finish_attempt(self.token, outcome, world.now, load)
        if outcome in (balancing.Outcome.CANCELLED, balancing.Outcome.TIMEOUT):
            world.after(self.one_way_s, self.server.cancel, self)
        self.request.ended(outcome)
        self.request.entry.wake()


class Request:
    """A caller's request: first attempt, retries, hedge and deadline."""

    def __init__(self, world, entry):
        self.world, self.entry, self.start = world, entry, world.now
        self.attempts, self.tried, self.is_done = [], set(), False
        self.ticket = None
        admitted = entry.pool.admit(5, world.now + DEADLINE_S, world.now)
        if isinstance(admitted, verdicts.Refusal):
            self.close("refused")
            return
        world.after(DEADLINE_S, self.expire)
        if isinstance(admitted, balancing.Ticket):
            self.ticket = admitted
            entry.waiting[admitted] = self
            entry.schedule()
        else:
            self.send(entry.pool.start_attempt(admitted, world.now))

    def send(self, token):
        Attempt(self, token)
        delay_s = self.entry.pool.hedge_delay(self.world.now)
        if delay_s is not None and len(self.attempts) == 1:
            self.world.after(delay_s, self.hedge)

    def again(self, kind, may_send):
        pool = self.entry.pool
        view = pool.select(self.world.now, self.tried, kind)
        if view is None or not may_send():
            return False
        self.world.count[kind.value] += 1
        Attempt(self, pool.start_attempt(view, self.world.now))
        return True

    def hedge(self):
        if not self.is_done and len(self.attempts) == 1:
            self.again(balancing.AttemptKind.HEDGE, self.entry.pool.may_hedge)

    def ended(self, outcome):
        if self.is_done:
            return
        if outcome is balancing.Outcome.OK:
            self.close("ok")
        elif not any(not attempt.is_over for attempt in self.attempts):
            may_retry = self.entry.pool.may_retry
            if not self.again(balancing.AttemptKind.RETRY, may_retry):
                self.close("failed")

    def expire(self):
        if not self.is_done:
            self.close("late", balancing.Outcome.TIMEOUT)

    def close(self, result, outcome=balancing.Outcome.CANCELLED):
        self.is_done = True
        if self.ticket is not None and self.entry.waiting.pop(self.ticket, None):
            self.entry.pool.admission.withdraw(self.ticket)
        for attempt in self.attempts:
            attempt.ended(outcome)
        self.world.record(self, result)


class Entry:
    """An entry with its own pool."""

    def __init__(self, world, number):
        size = world.case.size
        self.world, self.waiting, self.timer_s = world, {}, math.inf
        self.domain = number % size.domains
        settings = balancing.PoolSettings(policy=world.case.policy)
        if world.case.policy == BARE:
            settings = balancing.PoolSettings("two_choices", retry_budget_percent=0)
        self.pool = balancing.Pool(
            "service",
            settings,
            str(self.domain),
            1 if world.case.policy == BARE else 1 / size.entries,
            random.Random(f"{world.case.seed}/{number}"),
        )
        self.update({})

    def update(self, states):
        size, serving = self.world.case.size, balancing.TargetState.SERVING
        targets = [
            balancing.Target(
                str(i), "", str(i % size.domains), size.slots, states.get(i, serving)
            )
            for i in range(size.targets)
            if i not in self.world.absent()
        ]
        self.pool.update_targets(targets, self.world.now)

    def wake(self):
        for grant in self.pool.start_queued(self.world.now):
            self.waiting.pop(grant.ticket).send(grant.token)
        for ticket, _ in self.pool.admission.pop_expired(self.world.now):
            self.waiting.pop(ticket).close("refused")
        self.schedule()

    def schedule(self):
        due_s = self.pool.next_wake(self.world.now)
        if due_s is None or self.world.now < self.timer_s <= due_s:
            return
        self.timer_s = max(due_s, self.world.now)
        self.world.after(self.timer_s - self.world.now, self.wake)


class World:
    """The event queue and the counts of one run."""

    def __init__(self, case):
        self.case, self.now, self.events = case, 0.0, []
        self.numbers = itertools.count()
        self.rng = random.Random(case.seed)
        self.service_rng = random.Random(case.seed + 1)
        self.count = collections.Counter()
        self.times_s = []
        size = case.size
        self.rate = case.utilization * size.targets * size.slots / MEAN_SERVICE_S
        self.length_s = case.requests / self.rate
        self.fault_s = self.length_s * FAULT_AT
        several = max(1, size.targets // 3 if case.fault == "noise" else 2)
        self.faulty = range(1 if case.fault in ("straggler", "fail_fast") else several)
        self.servers = [Server(self, i) for i in range(size.targets)]
        self.entries = [Entry(self, i) for i in range(size.entries)]

    def absent(self):
        """Return the targets that have not come up yet."""
        is_early = self.case.fault == "cold" and self.now < self.fault_s
        return self.faulty if is_early else ()

    def after(self, delay_s, act, *args):
        """Schedule a call."""
        event = (self.now + delay_s, next(self.numbers), act, args)
        heapq.heappush(self.events, event)

    def arrive(self):
        """Send a request and schedule the next one."""
        if self.now >= self.length_s:
            return
        middle_s = self.length_s / 2
        is_burst = self.case.fault == "burst" and 0 <= self.now - middle_s < BURST_S
        rate = self.rate * (BURST_FACTOR if is_burst else 1)
        self.after(self.rng.expovariate(rate), self.arrive)
        self.count["requests"] += 1
        Request(self, self.entries[int(self.rng.random() * len(self.entries))])

    def announce(self):
        """Bring the entries the feed's news, each at its own time."""
        draining = balancing.TargetState.DRAINING
        states = dict.fromkeys(self.faulty, draining)
        for entry in self.entries:
            news = states if self.case.fault == "drain" else {}
            self.after(self.rng.uniform(0, 0.3), entry.update, news)

    def record(self, request, result):
        """Count a request unless it belongs to the warm-up."""
        if request.start < self.length_s * WARM_UP:
            return
        self.count[result] += 1
        if result == "ok":
            self.times_s.append(self.now - request.start)

    def run(self):
        """Run until the last request has ended."""
        self.after(0, self.arrive)
        self.after(self.fault_s, self.announce)
        while self.events:
            self.now, _, act, args = heapq.heappop(self.events)
            act(*args)
        for view in itertools.chain(*(e.pool.all_views for e in self.entries)):
            assert view.in_flight == 0, "an attempt was not finished"
