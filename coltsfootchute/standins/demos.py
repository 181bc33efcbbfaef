"""A demo on loopback: three control, three entry and six target processes.

Requests of both kinds go through entries while one target drains and one entry
is stopped; with ``--kill`` one process is killed as well. The exit code is 0 only
if nothing was cut, lost or run twice.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import sys
import tempfile
import time
import typing

import aiohttp
import cyclopts
import uvloop

from coltsfootchute import errors
from coltsfootchute.commands import apis, statuses, tables
from coltsfootchute.standins import callers, clusters, fleets, records, reports

__all__ = ["Plan", "main", "run"]

DRAIN_TIMEOUT_S = 10.0
# 8 s of service after SIGTERM, and requests in progress.
ENTRY_STOP_TIMEOUT_S = 15.0
KILL_TIMEOUT_S = 5.0
CALLERS = 8
INTERRUPTED = 130

# Points in the run at which something happens, as shares of the requests.
DRAIN_AT = 0.15
STOP_AT = 0.25
KILL_AT = 0.4

# Calls that are started at once right before a kill, so that it hits some.
BURST = 48
# Targets work slowly before a kill, so that a target or an entry dies at work.
STRAGGLE = {"factor": 30, "for_s": 0.5}


@dataclasses.dataclass(frozen=True)
class Plan:
    """Size and faults of a demo.

    Parameters
    ----------
    requests
        Calls to send.
    rate
        Calls started in each second.
    control
        Control processes.
    entries
        Entry processes.
    targets
        Target processes.
    kill
        Role of which one process is killed: control, entry or target.
    seed
        Seed of the calls.
    folder
        Folder for settings, logs and records, which are kept; by default a
        temporary one.
    """

    requests: int = 600
    rate: float = 50.0
    control: int = 3
    entries: int = 3
    targets: int = 6
    kill: typing.Literal["", "control", "entry", "target"] = ""
    seed: int = 0
    folder: pathlib.Path | None = None


DEFAULT_PLAN = Plan()


class Demo:
    """One run of the demo.

    Parameters
    ----------
    plan
        Size and faults.
    cluster
        The processes.
    session
        HTTP client of the callers.
    """

    def __init__(
        self, plan: Plan, cluster: clusters.Cluster, session: aiohttp.ClientSession
    ):
        self._plan = plan
        self._cluster = cluster
        self._fleet = cluster.fleet
        self._session = session
        self._rng = random.Random(plan.seed)
        self._callers = [
            callers.Caller(
                clusters.SERVICE, cluster.apis, session, random.Random(number)
            )
            for number in range(CALLERS)
        ]
        self._calls: list[asyncio.Task[callers.Outcome]] = []
        self._drained_s = float("inf")
        self._stopped: fleets.Process | None = None
        self._killed: fleets.Process | None = None

    async def run(self) -> bool:
        """Send the calls; tell whether all checks passed."""
        _say("processes are up, requests start")
        outcomes = await self._send_calls()
        problems = await self._problems_of_stop()
        await self._show_status()
        await self._fleet.stop()
        return self._show(outcomes, problems)

    async def _send_calls(self) -> list[callers.Outcome]:
        plan = self._plan
        events = {
            int(plan.requests * DRAIN_AT): self._drain_target,
            int(plan.requests * STOP_AT): self._stop_entry,
        }
        if plan.kill:
            events[int(plan.requests * KILL_AT)] = self._kill
        start = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in range(plan.requests):
                if number in events:
                    group.create_task(events[number]())
                self._start_call(group)
                due = start + (number + 1) / plan.rate
                await asyncio.sleep(max(0.0, due - time.monotonic()))
        return [task.result() for task in self._calls]

    def _start_call(self, group: asyncio.TaskGroup) -> None:
        number = len(self._calls)
        caller = self._callers[number % len(self._callers)]
        self._calls.append(group.create_task(caller.call(self._call(number))))

    def _call(self, number: int) -> callers.Call:
        if self._rng.random() < 0.5:
            return callers.Call("GET", f"/items/{number}", repeatable=True)
        body = self._rng.randbytes(self._rng.randrange(1, 4096))
        return callers.Call("POST", "/orders", repeatable=False, body=body)

    async def _drain_target(self) -> None:
        _say("target t1 drains")
        url = f"http://{self._cluster.target_addresses[0]}/-/drain"
        self._drained_s = time.time()

        async def is_accepted() -> bool:
            async with self._session.post(url) as resp:
                return resp.status == apis.HTTP_OK

        await fleets.until(is_accepted, "the drain of t1 accepted", DRAIN_TIMEOUT_S)

    async def _stop_entry(self) -> None:
        self._stopped = self._fleet.of_role("entry")[-1]
        _say(f"entry {self._stopped.name} gets SIGTERM")
        self._stopped.signal(signal.SIGTERM)

    async def _kill(self) -> None:
        running = [
            process
            for process in self._fleet.of_role(self._plan.kill)
            if process is not self._stopped
        ]
        self._killed = running[-1]
        if self._plan.kill == "control":
            leader = statuses.leader_name(await self._cluster.read("/v1/status"))
            named = [process for process in running if process.name == leader]
            self._killed = (named or running)[0]
        if self._plan.kill == "target":
            await self._slow_down(self._cluster.target_addresses[-1:])
        if self._plan.kill == "entry":
            await self._slow_down(self._cluster.target_addresses)
        async with asyncio.TaskGroup() as group:
            for _ in range(BURST):
                self._start_call(group)
            await self._until_burst_arrived()
            _say(f"{self._plan.kill} {self._killed.name} gets SIGKILL")
            self._killed.signal(signal.SIGKILL)

    async def _slow_down(self, addresses: list[str]) -> None:
        for address in addresses:
            url = f"http://{address}/-/straggle"
            async with self._session.post(url, json=STRAGGLE):
                pass

    async def _until_burst_arrived(self) -> None:
        """Wait until targets work on calls of the burst, the last target too."""

        async def is_working() -> bool:
            url = f"http://{self._cluster.target_addresses[-1]}/-/load"
            async with self._session.get(url) as resp:
                return (await resp.json())["in_flight"] > 0

        await fleets.until(is_working, "the last target at work", KILL_TIMEOUT_S)

    async def _problems_of_stop(self) -> list[str]:
        """Return what is wrong with the processes after the requests."""
        problems = []
        code = await self._stopped.wait(ENTRY_STOP_TIMEOUT_S)
        if code != 0:
            problems.append(f"{self._stopped.name} stopped with exit code {code}")
        expected = (self._stopped, self._killed)
        problems += [
            f"{process.name} ended with exit code {process.exit_code}"
            for process in self._fleet.ended()
            if process not in expected
        ]
        return problems

    async def _show_status(self) -> None:
        found = await self._cluster.read("/v1/status")
        if found.get("members"):
            statuses.print_status(found)
        else:
            print("no status: no entry has it")

    def _show(self, outcomes: list[callers.Outcome], problems: list[str]) -> bool:
        paths = self._cluster.runs_paths()
        findings = reports.judge(outcomes, records.read_runs(paths), self._drained_s)
        headings = ["kind", "verdict", "calls", "resends", "replayed", "p50 ms"]
        rows = reports.outcome_rows(outcomes)
        tables.print_table([*headings, "p99 ms"], rows)
        reasons = reports.resend_rows(outcomes)
        if reasons:
            tables.print_table(["resent after", "status", "attempts"], reasons)
        counts = dataclasses.asdict(findings)
        counts["unfinished_runs"] = len(records.read_unfinished(paths))
        print(", ".join(f"{name} {count}" for name, count in counts.items()))
        broken = findings.broken(killed=self._killed is not None) + problems
        print(f"FAILED: {', '.join(broken)}" if broken else "passed")
        return not broken


def _say(text: str) -> None:
    print(f"demo: {text}", flush=True)


@contextlib.contextmanager
def _folder(plan: Plan) -> typing.Iterator[pathlib.Path]:
    if plan.folder is None:
        with tempfile.TemporaryDirectory(prefix="coltsfootchute-demo-") as name:
            yield pathlib.Path(name)
        return
    # An earlier run's data would be taken for a formed cluster.
    plan.folder.mkdir(parents=True)
    yield plan.folder.resolve()


async def run(plan: Plan) -> bool:
    """Run a demo and leave no process behind, and no file without a folder.

    Returns
    -------
    bool
        Whether all checks passed.

    Raises
    ------
    coltsfootchute.standins.fleets.StartError
        If a process doesn't start or isn't ready in time.
    """
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for signum in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signum, task.cancel)
    with _folder(plan) as folder:
        async with (
            fleets.Fleet(folder) as fleet,
            callers.open_session() as session,
        ):
            cluster = clusters.Cluster(fleet, plan.control, plan.entries, plan.targets)
            await cluster.start()
            return await Demo(plan, cluster, session).run()


def _run(
    plan: typing.Annotated[Plan, cyclopts.Parameter(name="*")] = DEFAULT_PLAN,
) -> None:
    code = INTERRUPTED
    with contextlib.suppress(asyncio.CancelledError, KeyboardInterrupt):
        try:
            code = 0 if uvloop.run(run(plan)) else 1
        except errors.ColtsfootchuteError as exc:
            print(f"demo: {exc}", file=sys.stderr)
            code = 1
    sys.exit(code)


def main(argv: typing.Sequence[str] | None = None) -> None:
    """Run the demo from command line options."""
    app = cyclopts.App(name="demos", help="Run the demo.")
    app.default(_run)
    app(argv)


if __name__ == "__main__":
    main()
