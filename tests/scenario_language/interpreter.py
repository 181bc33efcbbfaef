"""Parsing of scenarios and their execution in a simulated world."""

import asyncio
import operator
import pathlib
import random

import lark

from coltsfootchute import errors
from tests.scenario_language import clocks, entries, users, worlds
from tests.scenario_language.facts import facts

GRAMMAR = (pathlib.Path(__file__).parent / "grammar.lark").read_text()
UNITS_S = {"ms": 0.001, "min": 60.0, "s": 1.0, "h": 3600.0}
OPERATORS = {
    "is": operator.eq,
    "is not": operator.ne,
    ">=": operator.ge,
    "<=": operator.le,
}
_PARSER = lark.Lark(GRAMMAR, parser="lalr", propagate_positions=True)


class ScenarioError(Exception):
    """A mistake in a scenario; the message names its line."""


def seconds(token):
    """Return a time such as ``5s`` or ``2min`` in s."""
    unit = token.lstrip("0123456789.")
    return float(token.removesuffix(unit)) * UNITS_S[unit]


class ExpectationError(Exception):
    """An expectation that was not met in time."""


class Scenario:
    """A parsed scenario.

    Parameters
    ----------
    text
        Source text of the scenario.
    name
        Name of the scenario in messages.

    Raises
    ------
    ScenarioError
        If the text can't be parsed or names an unknown fact.
    """

    def __init__(self, text, name="scenario"):
        self.name = name
        try:
            tree = _PARSER.parse(text.rstrip() + "\n")
        except lark.UnexpectedInput as exc:
            expected = sorted(getattr(exc, "accepts", None) or exc.allowed or ())
            source = text.splitlines()[exc.line - 1 : exc.line]
            msg = f"{name}:{exc.line}: can't read {source}; expected one of {expected}"
            raise ScenarioError(msg) from exc
        self.guard = str(tree.children[0])
        self.seeds = [int(seed) for seed in tree.children[1].children]
        self.set_up, self.statements = {"section": {}}, []
        for node in tree.children[2:]:
            self._add_node(node, text.splitlines())

    def _add_node(self, node, lines):
        line = node.meta.line
        if node.data == "instances":
            kind = lines[line - 1].split()[0]
            self.set_up[kind] = [str(c) for c in node.children]
        elif node.data == "section":
            name, value = map(str, node.children)
            number = int(value) if value.isdecimal() else value
            self.set_up["section"][name] = number
        else:
            if node.data == "expect" and node.children[0] not in facts:
                raise ScenarioError(
                    f"{self.name}:{line}: no fact is named {node.children[0]}"
                )
            self.statements.append(node)

    def run(self, seed):
        """Run with a seed; return the problems that were found, and the world."""
        loop = clocks.Loop()
        world = worlds.World(loop, seed)
        try:
            with (
                clocks.virtual_time(loop, random.Random(seed)),
                entries.fake_connections(),
            ):
                problems = loop.run_until_complete(self._run_in(world))
        finally:
            loop.close()
        failures = [str(f.get("exception", f)) for f in loop.failures]
        return problems + failures, world

    async def _run_in(self, world):
        try:
            names = (self.set_up.get(k, []) for k in ("control", "entries", "targets"))
            await world.start(*names, self.set_up["section"])
            steps = Steps(world)
            unmet = []
            for node in self.statements:
                try:
                    await self._execute(steps, node)
                except ExpectationError as exc:
                    unmet = [f"{self.name}:{node.meta.line}: {exc}"]
                    break
            return unmet + await world.finish(steps.tasks)
        finally:
            await world.close()

    async def _execute(self, steps, node):
        try:
            await getattr(steps, f"do_{node.data}")(*node.children)
        except (AssertionError, KeyError, errors.RegistryError) as exc:
            raise ScenarioError(f"{self.name}:{node.meta.line}: {exc}") from exc


class Steps:
    """The statements of the language: ``do_NAME`` executes the statement NAME.

    Parameters
    ----------
    world
        The world that the statements act on.

    Notes
    -----
    `names` holds the names that ``let`` has defined. `tasks` holds the calls and
    changes that were started; ``race`` and the end of the scenario wait for their
    answers. `count` is the number of requests and changes named by the interpreter.
    """

    def __init__(self, world):
        self.world = world
        self.names = {}
        self.tasks = []
        self.count = 0

    def process_name(self, node):
        """Return the name of the instance or target that a word stands for."""
        word = str(node.children[0])
        leader = self.world.leader
        if word == "leader":
            assert leader is not None, "there is no leader"
            return leader.name
        if word in ("follower", "follower2"):
            others = [
                c.name
                for c in self.world.controls.values()
                if c is not leader
                and not c.process.is_dead
                and not (leader and (leader.name, c.name) in self.world.network.cuts)
            ]
            return others[word == "follower2"]
        name = self.names.get(word, word)
        assert name in self.world.network.hosts, f"no instance or target named {word}"
        return name

    def process_names(self, nodes):
        """Return the names that several words stand for, groups included."""
        names = []
        groups = {"control": self.world.controls, "entries": self.world.entries}
        groups["targets"] = self.world.targets
        for node in nodes:
            word = str(node.children[0])
            names += list(groups[word]) if word in groups else [self.process_name(node)]
        return names

    def start_task(self, coroutine):
        """Start a call or a change whose answer is awaited later."""
        self.tasks.append(self.world.task(coroutine))

    async def wait(self):
        """Wait for the answers of all calls and changes that were started."""
        await asyncio.wait(self.tasks, timeout=60)

    # Faults.

    async def do_kill(self, *nodes):
        for name in self.process_names(nodes):
            self.world.kill(name)

    async def do_restart(self, *nodes):
        for name in self.process_names(nodes):
            await self.world.restart(name)

    async def do_lose_disk(self, node):
        self.world.lose_disk(self.process_name(node))

    async def do_cut(self, node, *others, both=True):
        name = self.process_name(node)
        for other in self.process_names(others):
            if other != name:
                self.world.cut(name, other, both)
        now = self.world.loop.now
        if name in self.world.entries and {
            *self.world.entries,
            *self.world.controls,
        } <= {b for a, b in self.world.network.cuts if a == name} | {name}:
            self.world.history.unreachable.append((name, now, float("inf")))

    async def do_cut_one_way(self, node, *others):
        await self.do_cut(node, *others, both=False)

    async def do_heal(self):
        self.world.heal()
        self._mark_reachable()

    def _mark_reachable(self, only=None):
        history, now = self.world.history, self.world.loop.now
        history.unreachable = [
            (name, start_s, min(end_s, now))
            if only in (None, name)
            else (name, start_s, end_s)
            for name, start_s, end_s in history.unreachable
        ]

    async def do_links(self, *words):
        network = self.world.network
        for word, value in zip(words, [*words[1:], None], strict=True):
            if word.type == "TIME":
                network.delay_s = seconds(word)
            elif word == "loss":
                network.loss = int(value[:-1]) / 100
            elif word == "duplicate":
                network.duplication = int(value[:-1]) / 100

    async def do_freeze(self, *nodes):
        for name in self.process_names(nodes):
            self.world.freeze(name)
            if name in self.world.entries:
                now = self.world.loop.now
                self.world.history.unreachable.append((name, now, float("inf")))

    async def do_thaw(self, *nodes):
        for name in self.process_names(nodes):
            self.world.thaw(name)
            self._mark_reachable(name)

    async def do_straggle(self, node, time):
        self.world.targets[self.process_name(node)].latency_s = seconds(time)

    async def do_shed(self, *nodes):
        for name in self.process_names(nodes):
            self.world.targets[name].is_shedding = True

    async def do_fail(self, *nodes):
        for name in self.process_names(nodes):
            self.world.targets[name].is_failing = True

    async def do_truncate(self, node):
        self.world.targets[self.process_name(node)].truncates = True

    async def do_silence(self, *nodes):
        for name in self.process_names(nodes):
            self.world.targets[name].is_silent = True

    async def do_crash_at(self, path):
        self.world.crash_path = str(path)

    async def do_repairs(self, switch):
        self.world.repairs = switch == "on"

    # Work.

    async def do_run(self, time):
        await self.world.run(seconds(time))

    async def do_let(self, name, node):
        self.names[str(name)] = self.process_name(node)

    async def do_stop(self, *nodes):
        for name in self.process_names(nodes):
            self.tasks.append(self.world.stop(name))

    async def do_drain(self, node, silently=None):
        await self.world.drain(self.process_name(node), silently is not None)

    async def do_measure(self):
        for entry in self.world.entries.values():
            entry.process.spawn(entry.probe(users.SERVICE))

    async def do_propose(self, name, expected, via=None):
        self.start_task(self._propose(str(name), int(expected), via))
        await self.world.run(0.01)

    def _propose(self, name, expected, via):
        via = self.process_name(via) if via is not None else None
        return self.world.propose(name, users.SERVICE, expected, "ann", via=via)

    async def do_resend(self, name, via=None):
        await self._propose(str(name), 0, via)

    async def do_race(self, *words):
        *names, expected = words
        entry_names = list(self.world.entries)
        for number, name in enumerate(names):
            via = entry_names[number % len(entry_names)]
            self.start_task(
                self.world.propose(
                    str(name), users.SERVICE, int(expected), str(name), via=via
                )
            )
        await self.wait()

    async def do_change(self, count):
        for _ in range(int(count)):
            revision = await self.world.read()
            self.count += 1
            name = f"change{self.count}"
            await self.world.propose(name, users.SERVICE, revision, "bob")

    async def do_read(self, via=None):
        await self.world.read(via=self.process_name(via) if via is not None else None)

    async def do_ask(self, name, via):
        self.start_task(self.world.read(via=self.process_name(via)))

    def _request(self, node):
        name, via, path, *rest = node.children
        key = None
        if rest:
            age_s = seconds(rest[1].children[0]) if len(rest) > 1 else 0.0
            key = self.world.key(str(rest[0].children[0]), age_s)
        return self.world.call(str(name), self.process_name(via), str(path), key)

    async def do_call(self, node):
        await self._request(node)

    async def do_send(self, node):
        self.start_task(self._request(node))
        await self.world.run(0.003)

    async def do_load(self, count, *rest):
        *keyed, time = rest
        self.start_task(self._load(int(count), seconds(time), bool(keyed)))

    async def _load(self, count, length_s, keyed):
        calls = []
        for number in range(count):
            serving = [
                e.name
                for e in self.world.entries.values()
                if not e.process.is_dead and not e.own_instance().state
            ]
            self.count += 1
            name = f"load{self.count}"
            if serving:
                key = self.world.key(name) if keyed else None
                path = f"/orders/{name}" if keyed else f"/items/{name}"
                via = serving[number % len(serving)]
                calls.append(self.world.task(self.world.call(name, via, path, key)))
            await asyncio.sleep(length_s / count)
        await asyncio.gather(*calls)

    # Checks.

    async def do_expect(self, fact, *words):
        words = list(words)
        limit_s = 0.0
        if isinstance(words[-1], lark.Token) and words[-1].type == "TIME":
            limit_s = seconds(words.pop())
        # The words before the operator are the arguments of the fact.
        position = next(
            (n for n, w in enumerate(words) if isinstance(w, lark.Token)), None
        )
        assert position is not None, f"no value is given for {fact}"
        args = [self._value(w) for w in words[:position]]
        expected = self._value(words[position + 1])
        compare = OPERATORS[words[position]]

        def is_met():
            return compare(facts[str(fact)](self.world, *args), expected)

        if not await self.world.until(is_met, limit_s):
            actual = facts[str(fact)](self.world, *args)
            raise ExpectationError(
                f"{fact} is {actual!r}, not {words[position]} {expected!r}"
            )

    def _value(self, node):
        token = node.children[0]
        return int(token) if token.type == "INT" else self.names.get(token, str(token))
