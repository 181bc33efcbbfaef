"""Soak runs: real processes, faults from outside, and checks of the guarantees.

``python -m tests.soak.runs --first 1 --count 50`` plays fifty seeds. The folder of a
seed that fails is kept.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import math
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import typing

import aiohttp

from coltsfootchute import registries
from coltsfootchute.standins import editors, fleets, links, observers, workloads
from tests.end_to_end import stages
from tests.soak import plans, visits

__all__ = ["FAULTS", "play"]

FAULTS = registries.Registry("fault of the soak")
# R7: an accepted change is in force everywhere after this time.
IN_FORCE_S = 3.0
# Time for processes that were started again to be current.
SETTLE_S = 30.0
STOP_LIMIT_S = 30.0
DELAY_S = 0.2
NARROW_BYTES_PER_S = 40_000
RELOAD_PAUSE_S = 0.1
# When a planned stop is signalled once more.
REPEAT_S = 0.5
SLOW_FACTOR = 5.0
CHANGE_PAUSE_S = 0.4
RATE = 30.0
# Of the time for a stop, how long callers keep addresses, as on the platform.
KEEP_PART = 5 / 6


class Run:
    """State of one run.

    Parameters
    ----------
    stage
        The processes.
    ways
        Links by the names of faults: those of an entry to the control instances, and
        those to the processes named after ``front`` or ``back``.
    stop_s
        Bound of a planned stop of an entry, if it has one.
    """

    def __init__(
        self,
        stage: stages.Stage,
        ways: dict[str, list[links.Link]],
        stop_s: float | None = None,
    ):
        self.stage = stage
        self.ways = ways
        self.stop_s = stop_s
        self.faults = visits.Disturbances()
        self.problems: list[str] = []

    async def end(self, name: str, signum: signal.Signals) -> None:
        """Signal a process and start it again once it has ended."""
        process = self.stage.fleet.named(name)
        process.signal(signum)
        if await process.wait(STOP_LIMIT_S) is None:
            self.problems.append(f"{name} still runs {STOP_LIMIT_S:.0f} s after a stop")
            process.signal(signal.SIGKILL)
            await process.wait(STOP_LIMIT_S)
        elif signum is signal.SIGTERM and process.exit_code != 0:
            self.problems.append(f"{name} ended with status {process.exit_code}")

    def start(self, name: str) -> None:
        """Start a process again."""
        self.stage.fleet.restart(self.stage.fleet.named(name))


@FAULTS.register("kill")
async def kill(run: Run, fault: plans.Fault) -> None:
    """End processes at once; start them again later."""
    await asyncio.gather(*(run.end(name, signal.SIGKILL) for name in fault.names))
    await asyncio.sleep(fault.for_s)
    for name in fault.names:
        run.start(name)


FAULTS.register("herd")(kill)


@FAULTS.register("stop")
async def stop(run: Run, fault: plans.Fault) -> None:
    """Stop a process as planned, with one signal or two, and start it again."""
    for name in fault.names:
        run.faults.stopped(name, run.stop_s or math.inf)
        started = time.monotonic()
        ending = asyncio.create_task(run.end(name, signal.SIGTERM))
        if fault.detail == "signal":
            await asyncio.sleep(REPEAT_S)
            run.stage.fleet.named(name).signal(signal.SIGTERM)
        await ending
        took_s = time.monotonic() - started
        if run.stop_s is not None and took_s > run.stop_s:
            run.problems.append(f"{name} took {took_s:.2f} s to stop")
        run.start(name)


@FAULTS.register("pause")
async def pause(run: Run, fault: plans.Fault) -> None:
    """Freeze processes for a time."""
    processes = [run.stage.fleet.named(name) for name in fault.names]
    for process in processes:
        process.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    for process in processes:
        process.signal(signal.SIGCONT)


@FAULTS.register("cut")
async def cut(run: Run, fault: plans.Fault) -> None:
    """Hold back what passes on links, in one direction or both."""
    directions = [links.Direction(fault.detail)] if fault.detail else []
    for link in run.ways[fault.names[0]]:
        link.cut(*directions)
    await asyncio.sleep(fault.for_s)
    for link in run.ways[fault.names[0]]:
        link.heal()


@FAULTS.register("delay")
async def delay(run: Run, fault: plans.Fault) -> None:
    """Delay what passes on links."""
    for link in run.ways[fault.names[0]]:
        link.delay(DELAY_S)
    await asyncio.sleep(fault.for_s)
    for link in run.ways[fault.names[0]]:
        link.heal()


@FAULTS.register("reset")
async def reset(run: Run, fault: plans.Fault) -> None:
    """Abort the connections of links."""
    await asyncio.gather(*(link.reset() for link in run.ways[fault.names[0]]))


@FAULTS.register("narrow")
async def narrow(run: Run, fault: plans.Fault) -> None:
    """Limit the rate of links."""
    for link in run.ways[fault.names[0]]:
        link.pace(NARROW_BYTES_PER_S)
    await asyncio.sleep(fault.for_s)
    for link in run.ways[fault.names[0]]:
        link.heal()


@FAULTS.register("silence")
async def silence(run: Run, fault: plans.Fault) -> None:
    """Let the present connections of links carry nothing for a time, then reset."""
    for link in run.ways[fault.names[0]]:
        link.silence()
    await asyncio.sleep(fault.for_s)
    await reset(run, fault)


@FAULTS.register("reload")
async def reload(run: Run, fault: plans.Fault) -> None:
    """Signal a change of the settings again and again."""
    end = time.monotonic() + fault.for_s
    while time.monotonic() < end:
        _signal_reload(run, fault.names[0])
        await asyncio.sleep(RELOAD_PAUSE_S)


def _signal_reload(run: Run, name: str) -> None:
    process = run.stage.fleet.named(name)
    # Before that the interpreter itself starts, and the signal would end it.
    if process.has_loaded("uvloop"):
        process.signal(signal.SIGHUP)


@FAULTS.register("settings")
async def change_settings(run: Run, fault: plans.Fault) -> None:
    """Name other control instances in the settings, with a signal or without."""
    path = run.stage.fleet.folder / f"{fault.names[0]}.jsonc"
    cfg = json.loads(path.read_bytes())
    addresses = cfg["entry"]["control"]
    for rotated in itertools.islice(_rotations(addresses), 1, None):
        _replace(path, {**cfg, "entry": {**cfg["entry"], "control": rotated[:2]}})
        if fault.detail:
            _signal_reload(run, fault.names[0])
        await asyncio.sleep(fault.for_s / len(addresses))
    _replace(path, cfg)


def _rotations(items: list[str]) -> typing.Iterator[list[str]]:
    return (items[at:] + items[:at] for at in range(len(items)))


def _replace(path: pathlib.Path, cfg: dict[str, typing.Any]) -> None:
    new = path.with_suffix(".new")
    new.write_text(json.dumps(cfg))
    os.replace(new, path)


@FAULTS.register("slow")
async def slow(run: Run, fault: plans.Fault) -> None:
    """Let the work of a target take longer for a time."""
    number = int(fault.names[0][1:])
    address = run.stage.cluster.target_addresses[number - 1]
    body = {"factor": SLOW_FACTOR, "for_s": fault.for_s}
    with contextlib.suppress(aiohttp.ClientError):
        await run.stage.post(address, "/-/straggle", body)


async def _inject(run: Run, fault: plans.Fault) -> None:
    await asyncio.sleep(fault.at_s)
    with run.faults.during(fault):
        await FAULTS[fault.kind](run, fault)


async def _edit(editor: editors.Editor, over: asyncio.Event) -> None:
    # A cancellation would be lost if it met the timeout of a request.
    while not over.is_set():
        await editor.propose(SETTLE_S)
        await asyncio.sleep(CHANGE_PAUSE_S)


def _open_session() -> aiohttp.ClientSession:
    """Return a client that uses its connections until they are closed."""
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    # aiohttp would send a request again by itself.
    session._retry_connection = False
    return session


async def _check_end(run: Run, editor: editors.Editor, api_names: list[str]) -> None:
    """Check what must hold once all faults are over."""
    stage = run.stage
    await fleets.until(stage.all_current, "current entries", SETTLE_S)
    async with observers.Observer(stage.cluster.apis, stage.session) as observer:
        change = await editor.propose(SETTLE_S)
        await asyncio.sleep(IN_FORCE_S)
    samples = [s for found in observer.own.values() for s in found]
    took_s = observers.in_force_s(samples, api_names, change.index, change.accepted_s)
    if took_s > IN_FORCE_S:
        run.problems.append(f"a change is in force after {took_s:.1f} s")
    run.problems += [
        f"{process.name} ended by itself with status {process.exit_code}"
        for process in stage.fleet.ended()
    ]


class _Ways:
    """Opens the links of a run."""

    def __init__(self, stack: contextlib.AsyncExitStack):
        self.by_name: dict[str, list[links.Link]] = {}
        self._stack = stack

    async def route(self, name: str, addresses: list[str]) -> list[str]:
        """Open links to addresses; return the addresses of the links."""
        self.by_name[name] = [
            await self._stack.enter_async_context(links.Link(address))
            for address in addresses
        ]
        return [link.address for link in self.by_name[name]]

    async def route_target(self, name: str, addresses: list[str]) -> list[str]:
        """Open a link to a target."""
        return await self.route(f"back {name}", addresses)


@contextlib.asynccontextmanager
async def _running(
    sizes: plans.Sizes, folder: pathlib.Path
) -> typing.AsyncIterator[Run]:
    async with contextlib.AsyncExitStack() as stack:
        ways = _Ways(stack)
        options: dict[str, typing.Any] = {"route": ways.route}
        if sizes.link_faults:
            options["target_route"] = ways.route_target
        if sizes.stop_s is not None:
            options["entry_settings"] = {"stop_s": sizes.stop_s}
            options["keep_s"] = sizes.stop_s * KEEP_PART
        numbers = (sizes.control, sizes.entries, sizes.targets)
        stage = await stack.enter_async_context(
            stages.running(folder, *numbers, **options)
        )
        for number, address in enumerate(stage.cluster.calls, 1):
            await ways.route(f"front e{number}", [address])
        yield Run(stage, ways.by_name, sizes.stop_s)


async def _play(seed: int, sizes: plans.Sizes, folder: pathlib.Path) -> list[str]:
    plan = plans.draw(seed, sizes)
    async with _running(sizes, folder) as run, _open_session() as session:
        stage = run.stage
        apis = stage.cluster.apis
        pair = [
            editors.Editor(name, apis, stage.session, random.Random(f"{seed} {name}"))
            for name in ("ada", "bob")
        ]
        fronts = {
            name.removeprefix("front "): link
            for name, (link, *_) in run.ways.items()
            if name.startswith("front ")
        }
        async with (
            observers.Observer(apis, stage.session) as observer,
            workloads.Workload(apis, session, rate=RATE, seed=seed) as workload,
            visits.Visits(fronts, seed) as visit,
        ):
            over = asyncio.Event()
            edits = [asyncio.create_task(_edit(editor, over)) for editor in pair]
            await asyncio.gather(*(_inject(run, fault) for fault in plan))
            over.set()
            ended = await asyncio.gather(*edits, return_exceptions=True)
            run.problems += [repr(e) for e in ended if isinstance(e, Exception)]
            await _check_end(run, pair[0], apis)
            await visit.stop()
            outcomes = await workload.stop()
        run.problems += visit.problems(stage.runs(), run.faults)
        for api, samples in observer.own.items():
            # An entry that was started again has nothing in force at first.
            known = [s for s in samples if s.revisions[api]]
            back = observers.setbacks(known)
            run.problems += [f"{api} went back: {pair}" for pair in back]
        accepted = [change for editor in pair for change in editor.accepted]
        lost = editors.find_lost(accepted, await stage.history())
        run.problems += [f"accepted change {name} is lost" for name in lost]
        findings = stage.judge(outcomes)
        broken = findings.broken(killed=True)
        run.problems += [f"{name}: {findings}" for name in broken]
        if not outcomes or not accepted:
            run.problems.append("no call or no change was made")
    return run.problems


def play(seed: int, sizes: plans.Sizes, folder: pathlib.Path) -> list[str]:
    """Play a seed; return what was broken."""
    return asyncio.run(_play(seed, sizes, folder))


def main() -> int:
    """Play some seeds one after the other; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=10)
    for name, default in (
        ("faults", plans.Sizes.faults),
        ("link-faults", 5),
        ("planned", 6),
    ):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--stop-s", type=float, default=3.0, help="0 for no bound")
    args = parser.parse_args()
    sizes = plans.Sizes(
        faults=args.faults,
        link_faults=args.link_faults,
        planned=args.planned,
        stop_s=args.stop_s or None,
    )
    failed = []
    for seed in range(args.first, args.first + args.count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        started = time.monotonic()
        problems = play(seed, sizes, folder)
        print(
            f"seed {seed}: {time.monotonic() - started:.0f} s, {problems or 'passed'}"
        )
        sys.stdout.flush()
        if problems:
            failed.append(seed)
            print(f"  logs in {folder}")
        else:
            shutil.rmtree(folder)
    print(f"{args.count - len(failed)} passed, {len(failed)} failed: {failed}")
    return bool(failed)


if __name__ == "__main__":
    sys.exit(main())
