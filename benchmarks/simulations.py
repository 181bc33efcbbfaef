"""Discrete-event simulation of entries in front of targets, without sockets.

An open-loop stream of requests arrives at independent entries, each of which has
only its own measurements. The entries send the requests to targets with slots. The
simulation measures the decisions of the entries; it models neither network nor
operating system, apart from fixed delays.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random

from coltsfootchute import balancing, verdicts

__all__ = ["BARE_POLICY", "Case", "Simulation", "Size"]

# The policy two_choices without hedges and retries, for comparison. Its pools get
# a share of 1 instead of one share per entry.
BARE_POLICY = "two_choices_bare"
MEAN_SERVICE_S = 0.010
SERVICE_SIGMA = 0.5
DEADLINE_S = 0.5
ONE_WAY_DELAY_S = 0.0001
CROSS_DOMAIN_DELAY_S = 0.00025  # Added to each way between failure domains.
FAIL_FAST_DELAY_S = 0.001
MAX_QUEUED_PER_SLOT = 2  # A target sheds requests beyond this queue.
REPORT_INTERVAL_S = 0.1  # In the case old_reports.
MEAN_PAUSE_INTERVAL_S = 0.2
PAUSE_RANGE_S = (0.02, 0.06)
WARM_UP_SHARE = 0.2  # Share of the run at its start that is not counted.
FAULT_START_SHARE = 0.25  # Share of the run after which faults start.
BURST_FACTOR = 3.0
BURST_DURATION_S = 0.1


@dataclasses.dataclass(frozen=True)
class Size:
    """Numbers of entries, targets, slots per target and failure domains."""

    name: str
    entries: int
    targets: int
    slots: int
    domains: int


@dataclasses.dataclass(frozen=True)
class Case:
    """Parameters of one run."""

    size: Size
    fault: str
    utilization: float
    policy: str
    requests: int
    seed: int


class SimulatedTarget:
    """A target with slots, a bounded queue and the fault of the case."""

    def __init__(self, simulation, number):
        self.simulation = simulation
        self.domain = number % simulation.case.size.domains
        self.fault = (
            simulation.case.fault if number in simulation.faulty_targets else ""
        )
        self.running = set()
        self.queue = collections.deque()
        self.last_report = (0.0, 0)
        self.pauses = self._draw_pauses() if self.fault == "noise" else []

    def _draw_pauses(self):
        rng, at, pauses = self.simulation.rng, self.simulation.fault_s, []
        while at < self.simulation.duration_s + 1:
            at += rng.expovariate(1 / MEAN_PAUSE_INTERVAL_S)
            pauses.append((at, at + rng.uniform(*PAUSE_RANGE_S)))
            at = pauses[-1][1]
        return pauses

    def arrive(self, attempt):
        if attempt.is_finished:
            return
        is_faulty = self.simulation.now >= self.simulation.fault_s
        if self.fault == "fail_fast" and is_faulty:
            self.simulation.call_later(
                FAIL_FAST_DELAY_S, self._respond, attempt, balancing.Outcome.ERROR
            )
        elif len(self.running) < self.simulation.case.size.slots:
            self._run(attempt)
        elif len(self.queue) < MAX_QUEUED_PER_SLOT * self.simulation.case.size.slots:
            self.queue.append(attempt)
        else:
            self._respond(attempt, balancing.Outcome.SHED)

    def _run(self, attempt):
        self.running.add(attempt)
        self.simulation.call_later(self._draw_service_s(), self._complete, attempt)

    def _draw_service_s(self):
        now = self.simulation.now
        mu = math.log(MEAN_SERVICE_S) - SERVICE_SIGMA**2 / 2
        service_s = self.simulation.service_rng.lognormvariate(mu, SERVICE_SIGMA)
        age_s = now - self.simulation.fault_s
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
        self._release_slot(attempt)
        self._respond(attempt, balancing.Outcome.OK)

    def _release_slot(self, attempt):
        self.running.remove(attempt)
        if self.queue:
            self._run(self.queue.popleft())

    def cancel(self, attempt):
        if attempt in self.running:
            self._release_slot(attempt)
        elif attempt in self.queue:
            self.queue.remove(attempt)

    def _respond(self, attempt, outcome):
        in_flight = len(self.running) + len(self.queue)
        if self.simulation.case.fault == "old_reports":
            if self.simulation.now - self.last_report[0] >= REPORT_INTERVAL_S:
                self.last_report = (self.simulation.now, in_flight)
            in_flight = self.last_report[1]
        load = balancing.LoadReport(in_flight=in_flight)
        self.simulation.call_later(attempt.one_way_s, attempt.finish, outcome, load)


class Attempt:
    """One attempt of a request at one target."""

    def __init__(self, request, token):
        self.request, self.token, self.is_finished = request, token, False
        simulation = request.simulation
        self.target = simulation.targets[int(token.view.target.target_id)]
        is_same_domain = self.target.domain == request.entry.domain
        self.one_way_s = ONE_WAY_DELAY_S + (
            0 if is_same_domain else CROSS_DOMAIN_DELAY_S
        )
        request.attempts.append(self)
        request.tried.add(token.view.target.target_id)
        simulation.call_later(self.one_way_s, self.target.arrive, self)

    def finish(self, outcome, load=None):
        if self.is_finished:
            return
        self.is_finished = True
        simulation, pool = self.request.simulation, self.request.entry.pool
        is_drained = (
            self.target.fault == "drain" and simulation.now >= simulation.fault_s
        )
        if is_drained and load is not None:
            pool.mark_draining(self.token.view.target.target_id)
        pool.finish_attempt(self.token, outcome, simulation.now, load)
        if outcome in (balancing.Outcome.CANCELLED, balancing.Outcome.TIMEOUT):
            simulation.call_later(self.one_way_s, self.target.cancel, self)
        self.request.attempt_finished(outcome)
        self.request.entry.process_queue()


class Request:
    """A caller's request with its first attempt, retries, hedge and deadline."""

    def __init__(self, simulation, entry):
        self.simulation, self.entry, self.start = simulation, entry, simulation.now
        self.attempts, self.tried, self.is_finished = [], set(), False
        self.ticket = None
        admitted = entry.pool.admit(5, simulation.now + DEADLINE_S, simulation.now)
        if isinstance(admitted, verdicts.Refusal):
            self.finish("refused")
            return
        simulation.call_later(DEADLINE_S, self.expire)
        if isinstance(admitted, balancing.Ticket):
            self.ticket = admitted
            entry.waiting[admitted] = self
            entry.schedule_queue_check()
        else:
            self.send(entry.pool.start_attempt(admitted, simulation.now))

    def send(self, token):
        Attempt(self, token)
        delay_s = self.entry.pool.hedge_delay(self.simulation.now)
        if delay_s is not None and len(self.attempts) == 1:
            self.simulation.call_later(delay_s, self.hedge)

    def send_another(self, kind, may_send):
        pool = self.entry.pool
        view = pool.select(self.simulation.now, self.tried, kind)
        if view is None or not may_send():
            return False
        self.simulation.counts[kind.value] += 1
        Attempt(self, pool.start_attempt(view, self.simulation.now))
        return True

    def hedge(self):
        if not self.is_finished and len(self.attempts) == 1:
            self.send_another(balancing.AttemptKind.HEDGE, self.entry.pool.may_hedge)

    def attempt_finished(self, outcome):
        if self.is_finished:
            return
        if outcome is balancing.Outcome.OK:
            self.finish("ok")
        elif not any(not attempt.is_finished for attempt in self.attempts):
            may_retry = self.entry.pool.may_retry
            if not self.send_another(balancing.AttemptKind.RETRY, may_retry):
                self.finish("failed")

    def expire(self):
        if not self.is_finished:
            self.finish("late", balancing.Outcome.TIMEOUT)

    def finish(self, result, outcome=balancing.Outcome.CANCELLED):
        self.is_finished = True
        if self.ticket is not None and self.entry.waiting.pop(self.ticket, None):
            self.entry.pool.admission.withdraw(self.ticket)
        for attempt in self.attempts:
            attempt.finish(outcome)
        self.simulation.record(self, result)


class Entry:
    """An entry with its own pool of targets."""

    def __init__(self, simulation, number):
        size = simulation.case.size
        self.simulation, self.waiting, self.queue_check_s = simulation, {}, math.inf
        self.domain = number % size.domains
        settings = balancing.PoolSettings(policy=simulation.case.policy)
        if simulation.case.policy == BARE_POLICY:
            settings = balancing.PoolSettings("two_choices", retry_budget_percent=0)
        self.pool = balancing.Pool(
            "service",
            settings,
            str(self.domain),
            1 if simulation.case.policy == BARE_POLICY else 1 / size.entries,
            random.Random(f"{simulation.case.seed}/{number}"),
        )
        self.update({})

    def update(self, states):
        size, serving = self.simulation.case.size, balancing.TargetState.SERVING
        targets = [
            balancing.Target(
                str(i), "", str(i % size.domains), size.slots, states.get(i, serving)
            )
            for i in range(size.targets)
            if i not in self.simulation.absent_targets()
        ]
        self.pool.update_targets(targets, self.simulation.now)

    def process_queue(self):
        for grant in self.pool.start_queued(self.simulation.now):
            self.waiting.pop(grant.ticket).send(grant.token)
        for ticket, _ in self.pool.admission.pop_expired(self.simulation.now):
            self.waiting.pop(ticket).finish("refused")
        self.schedule_queue_check()

    def schedule_queue_check(self):
        due_s = self.pool.next_wake(self.simulation.now)
        if due_s is None or self.simulation.now < self.queue_check_s <= due_s:
            return
        self.queue_check_s = max(due_s, self.simulation.now)
        self.simulation.call_later(
            self.queue_check_s - self.simulation.now, self.process_queue
        )


class Simulation:
    """The event queue, the processes and the counters of one run."""

    def __init__(self, case):
        self.case, self.now, self.events = case, 0.0, []
        self.event_numbers = itertools.count()
        self.rng = random.Random(case.seed)
        self.service_rng = random.Random(case.seed + 1)
        self.counts = collections.Counter()
        self.latencies_s = []
        size = case.size
        self.rate = case.utilization * size.targets * size.slots / MEAN_SERVICE_S
        self.duration_s = case.requests / self.rate
        self.fault_s = self.duration_s * FAULT_START_SHARE
        default_count = max(1, size.targets // 3 if case.fault == "noise" else 2)
        self.faulty_targets = range(
            1 if case.fault in ("straggler", "fail_fast") else default_count
        )
        self.targets = [SimulatedTarget(self, i) for i in range(size.targets)]
        self.entries = [Entry(self, i) for i in range(size.entries)]

    def absent_targets(self):
        """Return the numbers of the targets that have not started yet."""
        is_early = self.case.fault == "cold" and self.now < self.fault_s
        return self.faulty_targets if is_early else ()

    def call_later(self, delay_s, callback, *args):
        """Schedule a callback after a delay of the simulated time."""
        event = (self.now + delay_s, next(self.event_numbers), callback, args)
        heapq.heappush(self.events, event)

    def arrive(self):
        """Start a request and schedule the next arrival."""
        if self.now >= self.duration_s:
            return
        middle_s = self.duration_s / 2
        is_burst = (
            self.case.fault == "burst" and 0 <= self.now - middle_s < BURST_DURATION_S
        )
        rate = self.rate * (BURST_FACTOR if is_burst else 1)
        self.call_later(self.rng.expovariate(rate), self.arrive)
        self.counts["requests"] += 1
        Request(self, self.entries[int(self.rng.random() * len(self.entries))])

    def update_entries(self):
        """Deliver the target states to each entry after a random delay."""
        draining = balancing.TargetState.DRAINING
        states = dict.fromkeys(self.faulty_targets, draining)
        for entry in self.entries:
            update = states if self.case.fault == "drain" else {}
            self.call_later(self.rng.uniform(0, 0.3), entry.update, update)

    def record(self, request, result):
        """Count a finished request unless it started during the warm-up."""
        if request.start < self.duration_s * WARM_UP_SHARE:
            return
        self.counts[result] += 1
        if result == "ok":
            self.latencies_s.append(self.now - request.start)

    def run(self):
        """Run until no event is left, and check that every attempt has finished."""
        self.call_later(0, self.arrive)
        self.call_later(self.fault_s, self.update_entries)
        while self.events:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        for view in itertools.chain(*(e.pool.all_views for e in self.entries)):
            assert view.in_flight == 0, f"{view.in_flight} attempts did not finish"
