"""Targets of the simulation in `overloads`: slots, queue, spells and stalls."""

import collections
import math

from benchmarks import deployments
from coltsfootchute import balancing

__all__ = ["ONE_WAY_S", "PROBE_RTT_S", "Target"]

PROBE_WORK_S = 0.006
PROBE_RTT_S = 0.004
PROBE_TIMEOUT_S = 0.5
ONE_WAY_S = 0.001


class Target:
    """A target with slots, a queue, spells of its host and dynamic speed."""

    def __init__(self, simulation, number):
        self.simulation, self.number = simulation, number
        self.service = simulation.service
        self.running, self.queue = {}, collections.deque()
        self.updated_s, self.version, self.is_slow = 0.0, 0, False
        self.is_stalled = False
        self._toggle_later()
        if simulation.load.stall_share:
            self._stall_later()

    def _stall_later(self):
        share, mean_s = self.simulation.load.stall_share, deployments.STALL_S
        if not self.is_stalled:
            mean_s *= (1 - share) / share
        delay_s = self.simulation.stall_rng.expovariate(1 / mean_s)
        self.simulation.call_later(delay_s, self._stall)

    def _stall(self):
        self._advance()
        self.is_stalled = not self.is_stalled
        self._schedule()
        self._stall_later()

    def _toggle_later(self):
        share = self.service.spell_share
        mean_s = deployments.SPELL_S
        if not self.is_slow:
            mean_s *= (1 - share) / share
        delay_s = self.simulation.host_rng.expovariate(1 / mean_s)
        self.simulation.call_later(delay_s, self._toggle)

    def _toggle(self):
        self._advance()
        self.is_slow = not self.is_slow
        self._schedule()
        self._toggle_later()

    @property
    def slowdown(self):
        """Slowdown that the target states."""
        return deployments.SPELL_SLOWDOWN if self.is_slow else 1.0

    def _advance(self):
        now = self.simulation.now
        speed = 0.0 if self.is_stalled else 1 / self.slowdown
        speed /= self.service.crowding(len(self.running))
        done_s = (now - self.updated_s) * speed
        for attempt in self.running:
            self.running[attempt] -= done_s
        self.updated_s = now

    def _schedule(self):
        self.version += 1
        if not self.running or self.is_stalled:
            return
        factor = self.slowdown * self.service.crowding(len(self.running))
        delay_s = max(0.0, min(self.running.values())) * factor
        self.simulation.call_later(delay_s, self._complete, self.version)

    def probe(self, view):
        """Report the load, and spend the work of the probe."""
        if self.is_stalled:
            self.simulation.call_later(PROBE_TIMEOUT_S, self._time_out, view)
            return
        self._advance()
        for attempt in self.running:
            self.running[attempt] += PROBE_WORK_S / self.service.slots
        self._schedule()
        in_flight = len(self.running) + len(self.queue)
        report = balancing.LoadReport(in_flight, None, self.slowdown)
        self.simulation.call_later(PROBE_RTT_S / 2, self._report, view, report)

    def _time_out(self, view):
        view.probe_sent_s = math.inf

    def _report(self, view, report):
        view.probe_sent_s = math.inf
        view.record_load(report, self.simulation.now)

    def arrive(self, attempt):
        """Run, queue or shed an attempt, or never answer it."""
        if len(self.running) < self.service.slots:
            self._advance()
            self.running[attempt] = attempt.request.work_s
            self._schedule()
        elif len(self.queue) < self.service.queue:
            self.queue.append(attempt)
        elif self.service.hangs:
            self.simulation.counts["hangs"] += 1
        else:
            self.simulation.counts["sheds"] += 1
            outcome = balancing.Outcome.SHED
            self.simulation.call_later(ONE_WAY_S, attempt.finish, outcome)

    def _complete(self, version):
        if version != self.version:
            return
        self._advance()
        in_flight = len(self.running) + len(self.queue)
        report = balancing.LoadReport(in_flight, None, self.slowdown)
        done = [a for a, left_s in self.running.items() if left_s <= 1e-9]
        for attempt in done:
            del self.running[attempt]
            outcome = balancing.Outcome.OK
            self.simulation.call_later(ONE_WAY_S, attempt.finish, outcome, report)
        while self.queue and len(self.running) < self.service.slots:
            attempt = self.queue.popleft()
            self.running[attempt] = attempt.request.work_s
        self._schedule()
