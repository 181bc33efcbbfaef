"""Soak runs: random faults against real processes, and checks of the guarantees.

``python -m tests.soak.runs --first 1 --count 50`` runs the seeds 1 to 50. The folder
of a seed that fails is kept.
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
from tests.end_to_end import harnesses
from tests.soak import link_callers, plans

__all__ = ["FAULTS", "run_seed"]

FAULTS = registries.Registry("fault of the soak")
# R7: an accepted change is in force at every entry after this time.
IN_FORCE_BOUND_S = 3.0
# Time in which restarted processes must be current.
RECOVERY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
DELAY_S = 0.2
LIMITED_RATE_BYTES_PER_S = 40_000
RELOAD_PAUSE_S = 0.1
# Time after which a planned stop is signalled a second time.
SECOND_SIGNAL_DELAY_S = 0.5
SLOW_FACTOR = 5.0
CHANGE_PAUSE_S = 0.4
CALLS_PER_S = 30.0
# Time for which callers cache addresses, as a fraction of the time for a stop. The
# value is that of the platform.
ADDRESS_CACHE_FRACTION = 5 / 6


class Run:
    """State of a soak run, and the problems that were found in it.

    Parameters
    ----------
    harness
        The processes.
    links_by_name
        Links by the names that faults use (see `plans.Fault`): an entry for its links
        to control, ``front`` and an entry, or ``back`` and a target.
    stop_s
        Bound of a planned stop of an entry in s, None without one.
    """

    def __init__(
        self,
        harness: harnesses.ClusterHarness,
        links_by_name: dict[str, list[links.Link]],
        stop_s: float | None = None,
    ):
        self.harness = harness
        self.links_by_name = links_by_name
        self.stop_s = stop_s
        self.fault_log = link_callers.FaultLog()
        self.problems: list[str] = []

    async def end(self, name: str, signum: signal.Signals) -> None:
        """Signal a process and wait for its end."""
        process = self.harness.fleet.get_process(name)
        process.signal(signum)
        if await process.wait(STOP_TIMEOUT_S) is None:
            self.problems.append(
                f"{name} still runs {STOP_TIMEOUT_S:.0f} s after a stop"
            )
            process.signal(signal.SIGKILL)
            await process.wait(STOP_TIMEOUT_S)
        elif signum is signal.SIGTERM and process.exit_code != 0:
            self.problems.append(f"{name} ended with exit code {process.exit_code}")

    def restart(self, name: str) -> None:
        """Start an ended process again."""
        self.harness.fleet.restart(self.harness.fleet.get_process(name))


@FAULTS.register("kill")
async def kill(run: Run, fault: plans.Fault) -> None:
    """Kill processes, and restart them when the fault ends."""
    await asyncio.gather(*(run.end(name, signal.SIGKILL) for name in fault.names))
    await asyncio.sleep(fault.for_s)
    for name in fault.names:
        run.restart(name)


FAULTS.register("kill_control")(kill)


@FAULTS.register("stop")
async def stop(run: Run, fault: plans.Fault) -> None:
    """Stop a process as planned, with one signal or two, and restart it."""
    for name in fault.names:
        run.fault_log.record_stop(name, run.stop_s or math.inf)
        started = time.monotonic()
        ending = asyncio.create_task(run.end(name, signal.SIGTERM))
        if fault.detail == "signal":
            await asyncio.sleep(SECOND_SIGNAL_DELAY_S)
            run.harness.fleet.get_process(name).signal(signal.SIGTERM)
        await ending
        took_s = time.monotonic() - started
        if run.stop_s is not None and took_s > run.stop_s:
            run.problems.append(
                f"{name} took {took_s:.2f} s to stop, the bound is {run.stop_s:.2f} s"
            )
        run.restart(name)


@FAULTS.register("pause")
async def pause(run: Run, fault: plans.Fault) -> None:
    """Freeze processes, and thaw them when the fault ends."""
    processes = [run.harness.fleet.get_process(name) for name in fault.names]
    for process in processes:
        process.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    for process in processes:
        process.signal(signal.SIGCONT)


@FAULTS.register("cut")
async def cut(run: Run, fault: plans.Fault) -> None:
    """Hold back the bytes on links, in one direction or both."""
    directions = [links.Direction(fault.detail)] if fault.detail else []
    for link in run.links_by_name[fault.names[0]]:
        link.cut(*directions)
    await asyncio.sleep(fault.for_s)
    for link in run.links_by_name[fault.names[0]]:
        link.heal()


@FAULTS.register("delay")
async def delay(run: Run, fault: plans.Fault) -> None:
    """Delay the bytes on links."""
    for link in run.links_by_name[fault.names[0]]:
        link.delay(DELAY_S)
    await asyncio.sleep(fault.for_s)
    for link in run.links_by_name[fault.names[0]]:
        link.heal()


@FAULTS.register("reset")
async def reset(run: Run, fault: plans.Fault) -> None:
    """Abort the connections over links."""
    await asyncio.gather(*(link.reset() for link in run.links_by_name[fault.names[0]]))


@FAULTS.register("narrow")
async def narrow(run: Run, fault: plans.Fault) -> None:
    """Limit the data rate of links."""
    for link in run.links_by_name[fault.names[0]]:
        link.limit_rate(LIMITED_RATE_BYTES_PER_S)
    await asyncio.sleep(fault.for_s)
    for link in run.links_by_name[fault.names[0]]:
        link.heal()


@FAULTS.register("silence")
async def silence(run: Run, fault: plans.Fault) -> None:
    """Stop forwarding on the open connections of links, and reset them at the end."""
    for link in run.links_by_name[fault.names[0]]:
        link.stall_connections()
    await asyncio.sleep(fault.for_s)
    await reset(run, fault)


@FAULTS.register("reload")
async def reload(run: Run, fault: plans.Fault) -> None:
    """Signal a reload of the settings at short intervals."""
    end = time.monotonic() + fault.for_s
    while time.monotonic() < end:
        _signal_reload(run, fault.names[0])
        await asyncio.sleep(RELOAD_PAUSE_S)


def _signal_reload(run: Run, name: str) -> None:
    process = run.harness.fleet.get_process(name)
    # Until it has imported the program, SIGHUP would end the process.
    if process.has_loaded("uvloop"):
        process.signal(signal.SIGHUP)


@FAULTS.register("settings")
async def change_settings(run: Run, fault: plans.Fault) -> None:
    """Change the control addresses in the settings, with a signal or without."""
    path = run.harness.fleet.folder / f"{fault.names[0]}.jsonc"
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
    """Make the work of a target take longer for a time."""
    number = int(fault.names[0][1:])
    address = run.harness.cluster.target_addresses[number - 1]
    body = {"factor": SLOW_FACTOR, "for_s": fault.for_s}
    with contextlib.suppress(aiohttp.ClientError):
        await run.harness.post(address, "/-/straggle", body)


async def _inject(run: Run, fault: plans.Fault) -> None:
    await asyncio.sleep(fault.at_s)
    with run.fault_log.record_fault(fault):
        await FAULTS[fault.kind](run, fault)


async def _edit(editor: editors.Editor, stop_event: asyncio.Event) -> None:
    # An event in place of a cancellation, which is lost if it coincides with the
    # timeout of a request.
    while not stop_event.is_set():
        await editor.propose(RECOVERY_TIMEOUT_S)
        await asyncio.sleep(CHANGE_PAUSE_S)


def _open_session() -> aiohttp.ClientSession:
    """Return a client that keeps its connections until they are closed."""
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    # By default, aiohttp resends a request when its connection is lost.
    session._retry_connection = False
    return session


async def _check_recovery(
    run: Run, editor: editors.Editor, api_names: list[str]
) -> None:
    """Check that the cluster recovers once all faults have ended."""
    harness = run.harness
    await fleets.wait_until(harness.all_current, "current entries", RECOVERY_TIMEOUT_S)
    async with observers.Observer(harness.cluster.apis, harness.session) as observer:
        change = await editor.propose(RECOVERY_TIMEOUT_S)
        await asyncio.sleep(IN_FORCE_BOUND_S)
    samples = [s for of_api in observer.own_samples.values() for s in of_api]
    took_s = observers.time_until_in_force_s(
        samples, api_names, change.index, change.accepted_s
    )
    if took_s > IN_FORCE_BOUND_S:
        run.problems.append(
            f"a change was in force after {took_s:.1f} s, the bound is "
            f"{IN_FORCE_BOUND_S:.1f} s"
        )
    run.problems += [
        f"{process.name} ended unexpectedly with exit code {process.exit_code}"
        for process in harness.fleet.ended_processes()
    ]


class _LinkRouter:
    """Opens the links of a run, and keeps them by name."""

    def __init__(self, stack: contextlib.AsyncExitStack):
        self.by_name: dict[str, list[links.Link]] = {}
        self._stack = stack

    async def route(self, name: str, addresses: list[str]) -> list[str]:
        """Open a link to each address; return the addresses of the links."""
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
        router = _LinkRouter(stack)
        options: dict[str, typing.Any] = {"route": router.route}
        if sizes.link_faults:
            options["target_route"] = router.route_target
        if sizes.stop_s is not None:
            options["entry_settings"] = {"stop_s": sizes.stop_s}
            options["keep_s"] = sizes.stop_s * ADDRESS_CACHE_FRACTION
        numbers = (sizes.control, sizes.entries, sizes.targets)
        harness = await stack.enter_async_context(
            harnesses.running(folder, *numbers, **options)
        )
        for number, address in enumerate(harness.cluster.calls, 1):
            await router.route(f"front e{number}", [address])
        yield Run(harness, router.by_name, sizes.stop_s)


async def _run_seed(seed: int, sizes: plans.Sizes, folder: pathlib.Path) -> list[str]:
    plan = plans.draw(seed, sizes)
    async with _running(sizes, folder) as run, _open_session() as session:
        harness = run.harness
        apis = harness.cluster.apis
        pair = [
            editors.Editor(name, apis, harness.session, random.Random(f"{seed} {name}"))
            for name in ("ada", "bob")
        ]
        entry_links = {
            name.removeprefix("front "): link
            for name, (link, *_) in run.links_by_name.items()
            if name.startswith("front ")
        }
        async with (
            observers.Observer(apis, harness.session) as observer,
            workloads.Workload(apis, session, rate=CALLS_PER_S, seed=seed) as workload,
            link_callers.LinkCallers(entry_links, seed) as callers,
        ):
            stop_event = asyncio.Event()
            edits = [asyncio.create_task(_edit(editor, stop_event)) for editor in pair]
            await asyncio.gather(*(_inject(run, fault) for fault in plan))
            stop_event.set()
            results = await asyncio.gather(*edits, return_exceptions=True)
            run.problems += [repr(r) for r in results if isinstance(r, Exception)]
            await _check_recovery(run, pair[0], apis)
            await callers.stop()
            outcomes = await workload.stop()
        run.problems += callers.problems(harness.runs(), run.fault_log)
        for api, samples in observer.own_samples.items():
            # An entry that was restarted has revision 0 until it receives the feed.
            with_view = [s for s in samples if s.revisions[api]]
            decreases = observers.revision_decreases(with_view)
            run.problems += [
                f"{api}: the revision in force decreased: {pair}" for pair in decreases
            ]
        accepted = [change for editor in pair for change in editor.accepted]
        lost = editors.find_lost(accepted, await harness.history())
        run.problems += [f"accepted change {name} is lost" for name in lost]
        findings = harness.check_calls(outcomes)
        violations = findings.violations(killed=True)
        run.problems += [f"{name}: {findings}" for name in violations]
        if not outcomes or not accepted:
            run.problems.append("no call or no change was made")
    return run.problems


def run_seed(seed: int, sizes: plans.Sizes, folder: pathlib.Path) -> list[str]:
    """Run a seed; return the problems that were found."""
    return asyncio.run(_run_seed(seed, sizes, folder))


def main() -> int:
    """Run some seeds one after the other; return the exit code."""
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
        problems = run_seed(seed, sizes, folder)
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
