"""Simulation of a service under hard load: many entries, few slots, returning callers.

Each entry has its own pool and probes targets before each request; decisions are those
of `balancing.placements`. Targets run a request at a speed that depends on the spells
of their host and on the slots in use. No sockets, no processes; all random numbers come
from the seed. The work of a request belongs to the request, so a second attempt at
another target takes as long unless its host is faster. Targets do not notice that a
caller has left: what they began, they end.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random

from benchmarks import deployments, overload_targets
from coltsfootchute import balancing, verdicts
from coltsfootchute.balancing import hedges, placements, second_attempts

__all__ = ["Case", "Simulation", "run_case"]

PROBES_PER_TARGET_S = 40 * 0.95
PROBE_WAIT_S = 0.03
WORK_SIGMA = 0.35
WARM_UP_S = 4.0
LATE_VALUE = 0.1
MAX_RETURNS = 2
IDLE_CONNECTION_S = 15.0
RETRY_PERCENT = 20.0
RETRY_BURST = 200.0
DEFAULT_RETRY_AFTER_S = 0.15
# Shares of callers that return after Retry-After, at once, and not at all.
CALLERS = {"returns": 0.7, "at_once": 0.15, "gives_up": 0.15}
AT_ONCE_S = 0.01
MAX_HEDGE_OCCUPANCY = 0.55


@dataclasses.dataclass(frozen=True)
class Case:
    """Parameters of one run.

    Parameters
    ----------
    service, load, placement
        Names in `deployments.SERVICES`, `deployments.LOADS` and
        `placements.PLACEMENTS`.
    seed
        Seed of the random numbers.
    duration_s
        Time in which calls are counted.
    scale
        Part of the entries and targets that run.
    """

    service: str
    load: str
    placement: str
    seed: int = 1
    duration_s: float = 20.0
    scale: float = 1.0


class Attempt:
    """One attempt of a request at one target."""

    def __init__(self, request, token):
        self.request, self.token = request, token
        simulation, view = request.simulation, token.view
        request.attempts.append(self)
        request.waiting.tried.append(view.target.target_id)
        number = int(view.target.target_id)
        is_fresh = not request.route.is_repeatable
        simulation.count_connection(request.entry, number, is_fresh)
        simulation.call_later(
            overload_targets.ONE_WAY_S, simulation.targets[number].arrive, self
        )

    def finish(self, outcome, load=None):
        """Record the end of the attempt at the entry."""
        pool, now = self.request.entry.pool, self.request.simulation.now
        if self.token.is_open:
            pool.finish_attempt(self.token, outcome, now, load)
            self.request.attempt_finished(outcome)


class Request:
    """A request of a caller at one entry: placement, attempts, hedge and answer."""

    def __init__(self, simulation, entry, call):
        self.simulation, self.entry, self.call = simulation, entry, call
        self.route, self.work_s, self.start_s = call.route, call.work_s, simulation.now
        self.attempts, self.is_over = [], False
        priority = self.route.priority
        self.waiting = placements.Waiting(
            self.route.name,
            (priority, priority),
            self.route.objective_s,
            call.start_s,
            call.start_s + self.route.deadline_s,
            self.route.is_repeatable,
            [],
        )
        entry.pool.deposit()
        self.placement = placements.make(entry.pool, self.waiting, simulation.now)
        simulation.call_later(call.deadline_s - simulation.now, self.expire)
        self.place()

    def place(self):
        """Probe, and decide after the answers."""
        if self.is_over:
            return
        count = self.entry.sample(self.waiting.tried, self.placement.left_probes)
        if count:
            self.simulation.call_later(
                overload_targets.PROBE_RTT_S + 1e-4, self.step, count
            )
        else:
            self.step(count)

    def step(self, count):
        """Start, refuse or wait."""
        if self.is_over:
            return
        now = self.simulation.now
        found = self.placement.step(now)
        if isinstance(found, balancing.TargetView):
            self.send(found)
        elif isinstance(found, verdicts.Refusal):
            self.refuse(found)
        elif count:
            self.place()
        else:
            jitter = self.simulation.rng.uniform(0.7, 1.3)
            self.simulation.call_later(placements.PROBE_INTERVAL_S * jitter, self.place)

    def send(self, view):
        """Start the first attempt, and plan the hedge."""
        now, pool = self.simulation.now, self.entry.pool
        Attempt(self, placements.start(pool, self.waiting, view, now))
        if not self.route.is_repeatable:
            return
        if self.simulation.case.placement == "ranked":
            self.check_later()
            return
        delay_s = hedges.early_delay_s(
            pool.typical_response_s,
            self.route.objective_s - (now - self.call.start_s),
            pool.hedge_delay(now),
        )
        if delay_s is not None:
            self.simulation.call_later(delay_s, self.hedge)

    def check_later(self):
        """Look at the request again while it is in progress."""
        typical_s = placements.typical_s(self.entry.pool, self.waiting)
        delay_s = second_attempts.check_interval_s(typical_s)
        self.simulation.call_later(delay_s, self.check)

    def check(self):
        """Probe the first target and others."""
        if self.is_over or len(self.attempts) > 1:
            return
        token = self.attempts[0].token
        self.entry.sample(self.waiting.tried, also=token.view)
        delay_s = overload_targets.PROBE_RTT_S + 1e-4
        if self.simulation.targets[int(token.view.target.target_id)].is_stalled:
            delay_s = PROBE_WAIT_S
        self.simulation.call_later(delay_s, self.decide)

    def decide(self):
        """Send a second attempt if it gains."""
        if self.is_over:
            return
        if second_attempts.gains(self.attempts[0].token, self.simulation.now):
            self.send_hedge()
        if len(self.attempts) == 1:
            self.check_later()

    def hedge(self):
        """Probe for a second target."""
        if self.is_over:
            return
        self.entry.sample(self.waiting.tried)
        self.simulation.call_later(overload_targets.PROBE_RTT_S + 1e-4, self.send_hedge)

    def send_hedge(self):
        """Send a hedge if a probed target has spare slots."""
        now, pool = self.simulation.now, self.entry.pool
        if self.is_over:
            return
        tried = self.waiting.tried
        view = pool.select_with_room(now, MAX_HEDGE_OCCUPANCY, tried)
        if view is not None and pool.may_hedge():
            self.simulation.counts["hedges"] += 1
            Attempt(self, placements.start(pool, self.waiting, view, now))

    def attempt_finished(self, outcome):
        """End the request with an answer, or try another target after a refusal."""
        if self.is_over:
            return
        if outcome is balancing.Outcome.OK:
            self.end()
            age_s = self.simulation.now - self.call.start_s
            is_in_time = age_s <= self.route.objective_s
            self.call.end("in_time" if is_in_time else "late")
        elif not any(a.token.is_open for a in self.attempts):
            pool, now = self.entry.pool, self.simulation.now
            tried = self.waiting.tried
            view = pool.select_with_room(now, placements.MAX_OCCUPANCY, tried)
            if len(self.attempts) < 3 and view is not None and pool.may_retry():
                self.simulation.counts["retries"] += 1
                Attempt(self, placements.start(pool, self.waiting, view, now))
            else:
                self.refuse(placements.not_run(verdicts.Reason.TARGET_SHED, ""))

    def refuse(self, refusal):
        """Answer with a refusal."""
        self.end()
        waited_s = self.simulation.now - self.start_s
        is_early = waited_s <= self.route.objective_s / 8
        self.simulation.count(self.call, "quick" if is_early else "slow")
        retry_after_s = refusal.retry_after_s
        if retry_after_s is None:
            retry_after_s = DEFAULT_RETRY_AFTER_S
        self.call.refused(retry_after_s)

    def expire(self):
        """End at the deadline."""
        if not self.is_over:
            self.end()
            self.call.end("failed")

    def end(self):
        """Release the attempts that no one waits for."""
        self.is_over, self.placement = True, None
        for attempt in self.attempts:
            pool, now = self.entry.pool, self.simulation.now
            pool.finish_attempt(attempt.token, balancing.Outcome.CANCELLED, now)


class Call:
    """What a caller wants, over all requests that it sends for it."""

    def __init__(self, simulation, route):
        self.simulation, self.route, self.start_s = simulation, route, simulation.now
        self.deadline_s = self.start_s + route.deadline_s
        self.work_s = simulation.draw_work_s(route)
        kinds, weights = zip(*CALLERS.items(), strict=True)
        self.kind = simulation.rng.choices(kinds, weights)[0]
        self.returns = 0
        simulation.count(self, "calls")
        self.send()

    def send(self):
        """Send a request to some entry."""
        entries = self.simulation.entries
        entry = entries[int(self.simulation.rng.random() * len(entries))]
        Request(self.simulation, entry, self)

    def refused(self, retry_after_s):
        """Return, or give up."""
        left_s = self.deadline_s - self.simulation.now
        if self.kind == "gives_up" or self.returns >= MAX_RETURNS:
            self.end("refused")
            return
        self.returns += 1
        wait_s = min(retry_after_s, left_s / 3)
        wait_s = AT_ONCE_S if self.kind == "at_once" else wait_s
        self.simulation.call_later(wait_s, self.send)

    def end(self, result):
        """Count what the caller got."""
        self.simulation.count(self, result)


class Entry:
    """An entry with its own pool."""

    def __init__(self, simulation, number):
        service = simulation.service
        self.simulation, self.number = simulation, number
        domain = str(number % service.domains)
        samples_per_s = PROBES_PER_TARGET_S / service.entries
        is_ranked = simulation.case.placement == "ranked"
        settings = balancing.PoolSettings(
            policy="sampled_near" if is_ranked else "sampled",
            retry_budget_percent=RETRY_PERCENT,
            retry_burst=max(1.0, 0.8 * RETRY_BURST / service.entries),
            shares_burst=True,
            samples_per_s=samples_per_s,
            placement=simulation.case.placement,
        )
        rng = random.Random(f"{simulation.case.seed}/{number}")
        self.pool = balancing.Pool("service", settings, domain, 1.0, rng)
        self.pool.urgencies.declare(route.priority for route in service.routes)
        targets = [
            balancing.Target(str(i), f"{i}:1", str(i % service.domains), service.slots)
            for i in range(service.targets)
        ]
        self.pool.update_targets(targets, 0.0)

    def sample(self, tried, leave=0.0, also=None):
        """Probe some targets, first the one given; return how many."""
        simulation = self.simulation
        now = simulation.now
        found = self.pool.probe_candidates(
            simulation.service.fan_out, now, tried, leave, also
        )
        for view in found:
            view.probe_sent_s = now
            number = int(view.target.target_id)
            simulation.counts["probes"] += 1
            simulation.count_connection(self, number, False)
            target = simulation.targets[number]
            simulation.call_later(overload_targets.PROBE_RTT_S / 2, target.probe, view)
        return len(found)


class Simulation:
    """The event queue, the processes and the counters of one run."""

    def __init__(self, case):
        self.case, self.now, self.events = case, 0.0, []
        service = deployments.SERVICES[case.service]
        self.service = dataclasses.replace(
            service,
            entries=round(case.scale * service.entries),
            targets=round(case.scale * service.targets),
        )
        self.load = deployments.LOADS[case.load]
        self.numbers = itertools.count()
        # One generator for each purpose, so that placements see the same load.
        self.rng = random.Random(f"{case.seed}/callers")
        self.stall_rng = random.Random(f"{case.seed}/stalls")
        self.host_rng = random.Random(f"{case.seed}/hosts")
        self.arrival_rngs = {
            r.name: random.Random(f"{case.seed}/{r.name}") for r in self.service.routes
        }
        self.counts, self.by_route = collections.Counter(), collections.Counter()
        self.latencies_s = collections.defaultdict(list)
        self.connections = {}
        self.end_s = WARM_UP_S + case.duration_s
        self.targets = [
            overload_targets.Target(self, i) for i in range(self.service.targets)
        ]
        self.entries = [Entry(self, i) for i in range(self.service.entries)]
        shares = sum(r.share for r in self.service.routes)
        base = self.load.level * self.service.requests_per_s / shares
        for route in self.service.routes:
            self._arrive_later(route, base * route.share)

    def call_later(self, delay_s, callback, *args):
        """Schedule a callback after a delay of the simulated time."""
        event = (self.now + delay_s, next(self.numbers), callback, args)
        heapq.heappush(self.events, event)

    def draw_work_s(self, route):
        """Draw the work of a request."""
        rng = self.arrival_rngs[route.name]
        work_s = route.work_s * rng.lognormvariate(0.0, WORK_SIGMA)
        is_large = rng.random() < self.service.large_share
        return work_s * (deployments.LARGE_FACTOR if is_large else 1.0)

    def _arrive_later(self, route, rate):
        middle_s = WARM_UP_S + self.case.duration_s / 3
        is_burst = (
            route.name == self.load.burst_route
            and 0 <= self.now - middle_s < self.load.burst_s
        )
        factor = self.load.burst_factor if is_burst else 1.0
        delay_s = self.arrival_rngs[route.name].expovariate(rate * factor)
        self.call_later(delay_s, self._arrive, route, rate)

    def _arrive(self, route, rate):
        if self.now < self.end_s:
            Call(self, route)
            self._arrive_later(route, rate)

    def count(self, call, result):
        """Count what happened to a call unless it started during the warm-up."""
        if call.start_s < WARM_UP_S:
            return
        self.by_route[call.route.name, result] += 1
        if result in ("in_time", "late"):
            self.latencies_s[call.route.name].append(self.now - call.start_s)

    def count_connection(self, entry, number, is_fresh):
        """Count a new connection unless an idle one exists."""
        key = entry.number, number
        last_s = self.connections.get(key, -math.inf)
        if is_fresh:
            self.counts["connections"] += 1
            return
        self.counts["connections"] += self.now - last_s > IDLE_CONNECTION_S
        self.connections[key] = self.now

    def run(self):
        """Run until the last deadline."""
        last_s = self.end_s + max(r.deadline_s for r in self.service.routes) + 1
        while self.events and self.events[0][0] <= last_s:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)


def run_case(case: Case) -> list[dict]:
    """Play a case; return one row for all routes and one for each."""
    simulation = Simulation(case)
    simulation.run()
    rows, earned, offered = [], 0.0, 0.0
    for route in simulation.service.routes:
        counts = {
            result: simulation.by_route[route.name, result]
            for result in (
                "calls",
                "in_time",
                "late",
                "refused",
                "failed",
                "quick",
                "slow",
            )
        }
        value = counts["in_time"] + LATE_VALUE * counts["late"]
        earned += route.value * value
        offered += route.value * counts["calls"]
        latencies_s = sorted(simulation.latencies_s[route.name]) or [math.inf]
        rows.append(
            {
                "service": case.service,
                "load": case.load,
                "placement": case.placement,
                "route": route.name,
                "value": round(value / max(1, counts["calls"]), 3),
                **counts,
                "p50": round(latencies_s[len(latencies_s) // 2], 2),
                "p99": round(latencies_s[int(0.99 * len(latencies_s))], 2),
            }
        )
    keys = ("probes", "connections", "hedges", "retries", "sheds", "hangs")
    total = {
        **dict.fromkeys(rows[0], ""),
        **{k: rows[0][k] for k in ("service", "load", "placement")},
        "route": "all",
        "value": round(earned / offered, 3),
        **{key: simulation.counts[key] for key in keys},
    }
    return [total, *rows]
