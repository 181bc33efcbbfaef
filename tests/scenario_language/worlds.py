"""The simulated world of a scenario: processes, faults, callers, and the history."""

import asyncio
import random

from coltsfootchute.agreement import formations, memberships
from coltsfootchute.agreement.tests import fakes
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from tests import checkers
from tests.scenario_language import controls, entries, links, targets, users

RULES = [
    {
        "name": "read",
        "methods": ["GET"],
        "path": "/items/**",
        "repeatable": True,
        "deadline_ms": 3000,
    },
    {
        "name": "hedged",
        "methods": ["GET"],
        "path": "/hedged/**",
        "repeatable": True,
        "hedge": True,
        "deadline_ms": 3000,
    },
    {
        "name": "order",
        "methods": ["POST"],
        "path": "/orders/**",
        "repeatable": False,
        "key": "required",
        "deadline_ms": 8000,
    },
]
RENEW_S = 10.0


class World(users.Users):
    """The simulated cluster, its callers and operators, and the recorded history.

    Parameters
    ----------
    loop
        Event loop with virtual time.
    seed
        Seed of all randomness.

    Notes
    -----
    `crash_path` is the path whose requests crash the targets that run them, and
    `repairs` tells whether replaced instances join the cluster again.
    """

    def __init__(self, loop, seed):
        self.loop = loop
        self.rng = random.Random(seed)
        self.network = links.Network(loop, random.Random(self.rng.random()))
        self.history = checkers.History()
        self.controls, self.entries, self.targets = {}, {}, {}
        self.control_names = []
        self.by_member = {}
        self.crashes = []  # Processes that ended on a failure, and the failure.
        self.crash_path = ""
        self.truncated_callers = set()  # Callers whose response a target truncated.
        self.keys = {}
        self.answers = {}
        self.outcomes = {}
        self.operations = {}
        self.tasks = set()
        self.repairs = True

    # Start.

    async def start(self, control_names, entry_names, target_names, section):
        self.control_names = list(control_names)
        for name in control_names:
            self._add_control(name, self._new_disk())
        self._form()
        await self.until(lambda: self.leader is not None, 20)
        for name in entry_names:
            self._add_entry(name)
        await self.run(0.5)
        self.section = {"rules": RULES, **section}
        self.history.probe_budget_s = section.get("measuring_budget_ms_per_s", 0) / 1e3
        await self.propose("first", users.SERVICE, 0, "ann")
        for name in target_names:
            self.targets[name] = targets.Target(self, name)
            self.network.hosts[name] = self.targets[name]
            await self.announce(name)
            self.task(self._renew(name))
        await self.run(11)  # Until the slow start of the targets has ended.
        self.task(self._repair())

    def task(self, coroutine):
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def _new_disk(self):
        return fakes.MemoryDisk(random.Random(self.rng.random()))

    def _add_control(self, name, disk):
        control = controls.Control(self, name, disk)
        self.controls[name] = self.network.hosts[name] = control
        control.begin()
        return control

    def _add_entry(self, name):
        entry = entries.Entry(self, name)
        self.entries[name] = self.network.hosts[name] = entry
        entry.begin()
        return entry

    def _form(self):
        first, *others = sorted(self.controls)
        hellos = {n: self.controls[n].hello() for n in others}
        identity = self.controls[first].identity
        decision = formations.decide(identity, self.control_names, hellos, self.rng)
        for control in self.controls.values():
            control.form(decision.membership)

    # Time.

    async def run(self, seconds):
        await asyncio.sleep(seconds)

    async def until(self, condition, seconds):
        """Wait for a condition; return whether it was met within the time."""
        end_s = self.loop.now + seconds
        while not condition():
            if self.loop.now >= end_s:
                return False
            await asyncio.sleep(0.01)
        return True

    # Control.

    @property
    def leader(self):
        """The control instance that is leader and holds its lease, or None."""
        leaders = [c for c in self.controls.values() if c.is_leader]
        assert len(leaders) <= 1, "two leaders hold a lease"
        return leaders[0] if leaders else None

    def is_voter(self, name):
        leader = self.leader
        if leader is None:
            return False
        membership = leader.core.replica.committed_membership
        return memberships.is_voter(membership, self.controls[name].identity.member_id)

    async def _repair(self):
        """Repeatedly add running instances that are no members of the cluster to it."""
        while True:
            await asyncio.sleep(0.2)
            leader = self.leader
            if leader is None or not self.repairs:
                continue
            member_ids = {m.member_id for m in leader.core.replica.membership.members}
            for control in list(self.controls.values()):
                can_reach = not self.network.cuts & {(control.name, leader.name)}
                is_new = control.identity.member_id not in member_ids
                if is_new and can_reach and not control.process.is_dead:
                    leader.admit(control)

    # Faults.

    def process(self, name):
        return self.network.hosts[name].process

    def kill(self, name):
        host = self.network.hosts[name]
        host.process.is_dead = True
        for reply in list(host.open_replies):
            if not reply.done():
                reply.set_exception(ConnectionResetError(name))
        for stream in list(host.open_streams):
            stream.reset()
        if name in self.entries:
            for done in list(host.requests.values()):
                if not done.done():
                    done.set_exception(ConnectionResetError(name))

    async def restart(self, name):
        if not self.process(name).is_dead:
            self.kill(name)
        if name in self.controls:
            disk = self.controls[name].disk
            disk.crash()
            self._add_control(name, disk)
        elif name in self.entries:
            self._add_entry(name)
        else:
            await self._restart_target(name)

    async def _restart_target(self, name):
        old = self.targets[name]
        new = self.targets[name] = targets.Target(self, name)
        new.incarnation = old.incarnation + 1
        self.network.hosts[name] = new
        self.history.drains.pop(name, None)
        await self.announce(name)

    def lose_disk(self, name):
        if not self.process(name).is_dead:
            self.kill(name)
        old_id = self.controls[name].identity.member_id
        self.history.votes_before_disk_loss[old_id] = len(self.history.votes)
        self._add_control(name, self._new_disk())

    def cut(self, first, second, both=True):
        self.network.cuts.add((first, second))
        if both:
            self.network.cuts.add((second, first))

    def heal(self):
        self.network.cuts.clear()

    def freeze(self, name):
        self.process(name).is_frozen = True

    def thaw(self, name):
        self.process(name).thaw(messages_first=self.rng.random() < 0.5)

    def stop(self, name):
        """Start a planned stop of an instance; return its task."""
        host = self.network.hosts[name]
        start_s = self.loop.now

        async def stop_host():
            await host.stop()
            self.history.stops.append((name, start_s, self.loop.now))
            self.kill(name)

        return host.process.spawn(stop_host())

    # Targets.

    def _usable_entry(self):
        """Return a running entry, if possible with links to all of control.

        None if no entry is running.
        """
        running = [
            e
            for e in self.entries.values()
            if not (e.process.is_dead or e.process.is_frozen)
        ]
        cuts = self.network.cuts
        entry_links = [(e, {(e.name, c) for c in self.control_names}) for e in running]
        connected = [e for e, control_links in entry_links if not cuts & control_links]
        return next(iter(connected or running), None)

    async def announce(self, name):
        target = self.targets[name]
        announced = pb.Target(
            target_id=name,
            incarnation=target.incarnation,
            address=targets.address_of(name),
            failure_domain="fd-a",
            services=[users.SERVICE],
            slots=8,
        )
        return await self._command(pb.TargetCommand.KIND_ANNOUNCE, announced)

    async def _command(self, kind, target):
        command = pb.TargetCommand(kind=kind, target=target)
        request = pb.AnnounceRequest(command=command)
        return await self.ask(None, "Announce", request)

    async def drain(self, name, silently=False):
        """Drain a target; silently, only its own responses say so."""
        self.targets[name].is_draining = True
        if silently:
            return
        await self._command(pb.TargetCommand.KIND_DRAIN, pb.Target(target_id=name))
        self.history.drains.setdefault(name, []).append(self.loop.now)

    async def _renew(self, name):
        while True:
            await asyncio.sleep(RENEW_S)
            target = self.targets[name]
            silent = target.process.is_dead or target.is_silent
            if not silent:
                renewal = pb.Renewal(target_id=name, incarnation=target.incarnation)
                request = pb.RenewRequest(renewals=[renewal])
                self.task(self.ask(None, "Renew", request))

    # End.

    def final_sections(self):
        """Return all sections of the leader, each with its documents by revision."""
        return {
            section.name: {r.revision: r.document for r in section.history}
            for section in self.leader.core.machine.sections.read()
        }

    async def finish(self, tasks=()):
        """End all faults, wait for a leader, and return what the checkers find."""
        self.heal()
        self.network.loss = self.network.duplication = 0.0
        self.network.delay_s = 0.001
        for name, host in list(self.network.hosts.items()):
            if host.process.is_frozen:
                self.thaw(name)
            if name in self.controls and host.process.is_dead:
                await self.restart(name)
        recovered = await self.until(lambda: self.leader is not None, 60)
        if not recovered:
            return ["no leader after all faults ended"]
        await self.run(5)
        if tasks:
            _, late = await asyncio.wait(tasks, timeout=60)
            if late:
                return [f"{len(late)} callers or operators got no answer"]
        names = [f"{e.name}/{id(e)}" for e in self.entries.values()]
        return checkers.check_all(self.history, self.final_sections(), names)

    async def close(self):
        """Cancel all tasks that are still running."""
        self.loop.is_closing = True
        for host in self.network.hosts.values():
            host.process.thaw()
        for _ in range(5):
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            if tasks:
                await asyncio.wait(tasks, timeout=10)
