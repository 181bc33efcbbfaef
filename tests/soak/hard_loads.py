"""Soak runs of workspaces, allotments, evacuations, cold and hanging targets.

``python -m tests.soak.hard_loads --first 1 --count 5`` runs the seeds 1 to 5. The
folder of a seed that fails is kept.
"""

import argparse
import asyncio
import http
import pathlib
import random
import shutil
import sys
import tempfile
import time
import typing

import aiohttp

from coltsfootchute import errors, registries
from coltsfootchute.standins import arrivals, fleets
from tests.end_to_end import harnesses
from tests.soak import hard_callers, hard_rules, plans, runs

__all__ = ["FAULTS", "draw", "run_seed"]

FAULTS = registries.Registry("fault of the soak of hard load")
CONTROL, ENTRIES, TARGETS = 3, 3, 6
TARGET_OPTIONS = {
    "--slots": "2",
    "--queue": "4",
    "--when-full": "hang",
    "--cold-s": "4",
    "--cold-factor": "3",
    "--ramp-per-s": "2.5",
}
# Kinds of faults, and bounds of their lengths in s. An evacuation lasts longer than the
# bound after which targets get no more requests.
KINDS = {
    "rekey": (0.0, 0.0),
    "burst": (2.0, 6.0),
    "evacuate": (6.0, 9.0),
    "cool": (2.0, 5.0),
    "hang": (2.0, 6.0),
    "kill": (0.3, 2.0),
    "pause": (0.3, 3.0),
}
# Faults during and after which an entry may be out of date or end requests.
DISTURBING_KINDS = ("kill", "pause")
AFTEREFFECT_S = 4.0
SETTLE_S = 3.0
# Time for a target that was restarted to listen, before a fault begins at it.
LISTEN_TIMEOUT_S = 10.0
# Errors of a fault that can't begin. They fail the run, but do not end it.
FAULT_ERRORS = (
    aiohttp.ClientError,
    errors.ColtsfootchuteError,
    OSError,
    RuntimeError,
    TimeoutError,
)


def draw(
    seed: int, length_s: float, kinds: typing.Collection[str]
) -> list[plans.Fault]:
    """Return two faults of each kind at random times, in the order of their start.

    Processes are killed or frozen in different parts of the run, one at a time.
    """
    rng = random.Random(f"{seed} hard")
    plan = []
    for kind in [kind for kind in KINDS if kind in kinds]:
        for half in range(2):
            at_s = (half + rng.uniform(0.0, 0.4)) * length_s / 2
            for_s = rng.uniform(*KINDS[kind])
            if kind in DISTURBING_KINDS:
                # Each of them has a quarter of the run for itself.
                quarter_s = length_s / 4
                place = 2 * half + DISTURBING_KINDS.index(kind)
                at_s = (place + rng.uniform(0.0, 0.4)) * quarter_s
                for_s = min(for_s, quarter_s / 2)
            role, count = rng.choice([("e", ENTRIES), ("t", TARGETS), ("c", CONTROL)])
            if kind in ("cool", "hang"):
                role, count = "t", TARGETS
            name = f"{role}{rng.randint(1, count)}"
            if kind == "evacuate":
                name = rng.choice(["fd-a", "fd-b", "fd-c"])
            plan.append(plans.Fault(kind, at_s, for_s, (name,), ""))
    return sorted(plan, key=lambda fault: fault.at_s)


class Run(runs.Run):
    """State of a run: the processes, the operator and the callers."""

    def __init__(self, harness: harnesses.ClusterHarness, seed: int):
        super().__init__(harness, {})
        rng = random.Random(f"{seed} operator")
        self.record = hard_rules.Record(limits=hard_callers.LIMITS)
        self.operator = hard_callers.Operator(harness, self.record, rng)
        addresses = {f"e{n}": a for n, a in enumerate(harness.cluster.calls, 1)}
        self.callers = hard_callers.Callers(addresses, self.record, seed)

    async def post_to_target(
        self, fault: plans.Fault, path: str, timeout_s: float = LISTEN_TIMEOUT_S
    ) -> None:
        """Start a fault at a target, once the target listens.

        Raises
        ------
        coltsfootchute.standins.fleets.StartError
            If the target does not listen within `timeout_s`, or refuses the fault.
        """
        name = fault.names[0]
        address = self.harness.cluster.target_addresses[int(name[1:]) - 1]

        async def is_listening() -> bool:
            try:
                _, writer = await asyncio.open_connection(*address.rsplit(":", 1))
            except OSError:
                return False
            writer.close()
            return True

        await fleets.wait_until(is_listening, f"{name} listens", timeout_s)
        status, _ = await self.harness.post(address, path, {"for_s": fault.for_s})
        if status != http.HTTPStatus.OK:
            raise fleets.StartError(f"{name} answered {path} with status {status}")


FAULTS.register("kill")(runs.kill)
FAULTS.register("pause")(runs.pause)


@FAULTS.register("rekey")
async def rekey(run: Run, fault: plans.Fault) -> None:
    """Move, add or remove a key."""
    await run.operator.rekey()


@FAULTS.register("burst")
async def burst(run: Run, fault: plans.Fault) -> None:
    """Let one workspace send several times its usual number of requests."""
    run.callers.factor = hard_callers.BURST_FACTOR
    await asyncio.sleep(fault.for_s)
    run.callers.factor = 1.0


@FAULTS.register("evacuate")
async def evacuate(run: Run, fault: plans.Fault) -> None:
    """Evacuate a failure domain."""
    await run.operator.evacuate(fault.names[0], fault.for_s)


@FAULTS.register("cool")
async def cool(run: Run, fault: plans.Fault) -> None:
    """Make a target cold without a restart."""
    await run.post_to_target(fault, "/-/cool")


@FAULTS.register("hang")
async def hang(run: Run, fault: plans.Fault) -> None:
    """Let a target answer no request that arrives."""
    await run.post_to_target(fault, "/-/hang")


async def _inject(run: Run, fault: plans.Fault) -> None:
    await asyncio.sleep(fault.at_s)
    began_s = time.time()
    try:
        await FAULTS[fault.kind](run, fault)
    except FAULT_ERRORS as exc:
        run.problems.append(f"{fault} could not begin: {exc!r}")
    if fault.kind in DISTURBING_KINDS:
        until_s = time.time() + AFTEREFFECT_S
        run.record.disturbances.append((began_s, until_s))


async def _run_seed(
    seed: int, length_s: float, kinds: typing.Collection[str], folder: pathlib.Path
) -> Run:
    options = {
        "target_options": TARGET_OPTIONS,
        "entry_settings": {
            "headers": hard_callers.HEADERS,
            "samples": {"per_target_s": 50.0},
            "hangs": {"factor": 1.5},
        },
    }
    async with harnesses.running(
        folder, CONTROL, ENTRIES, TARGETS, **options
    ) as harness:
        run = Run(harness, seed)
        await run.operator.rekey()
        await asyncio.sleep(SETTLE_S)
        sending = asyncio.create_task(run.callers.run())
        await asyncio.gather(*(_inject(run, f) for f in draw(seed, length_s, kinds)))
        await asyncio.sleep(SETTLE_S)
        run.callers.stop()
        await sending
        await fleets.wait_until(harness.all_current, "current entries", 30.0)
        run.record.runs = harness.runs()
    names = [process.name for process in harness.fleet.of_role("target")]
    paths = [harness.cluster.arrivals_path(name) for name in names]
    run.record.arrived = arrivals.read_arrivals(p for p in paths if p.exists())
    run.record.domains = {
        name: harness.cluster.failure_domain(number)
        for number, name in enumerate(names)
    }
    return run


def run_seed(
    seed: int,
    folder: pathlib.Path,
    length_s: float = 20.0,
    kinds: typing.Collection[str] = tuple(KINDS),
    rules: typing.Collection[str] = (),
) -> list[str]:
    """Run a seed; return the violations of the rules, by default of all rules."""
    run = asyncio.run(_run_seed(seed, length_s, kinds, folder))
    run.record.logs = sorted(folder.glob("*.log"))
    print(f"seed {seed}: {run.record.summary()}")
    if not {200, 401} <= {sent.status for sent in run.record.sent}:
        run.problems.append("no request was served, or none was refused for its key")
    for name in rules or hard_rules.RULES.names():
        found = hard_rules.RULES[name](run.record)
        run.problems += [f"{name}: {problem}" for problem in found]
    return run.problems


def main() -> int:
    """Run some seeds one after the other; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--length-s", type=float, default=20.0)
    parser.add_argument("--kinds", nargs="*", default=list(KINDS))
    parser.add_argument("--rules", nargs="*", default=[])
    args = parser.parse_args()
    failed = []
    for seed in range(args.first, args.first + args.count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"hard-{seed}-"))
        problems = run_seed(seed, folder, args.length_s, args.kinds, args.rules)
        print(f"{len(problems)} problems", *problems[:20], sep="\n  ")
        if problems:
            failed.append(seed)
            print(f"  logs in {folder}")
        else:
            shutil.rmtree(folder)
    print(f"{args.count - len(failed)} passed, {len(failed)} failed: {failed}")
    return bool(failed)


if __name__ == "__main__":
    sys.exit(main())
