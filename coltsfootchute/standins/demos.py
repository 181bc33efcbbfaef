"""Demo on loopback with three control, three entry and six target processes.

Callers send repeatable and not repeatable requests through the entries while one
target drains and one entry is stopped. With ``--kill``, one process is killed as
well. The exit code is 0 only if no response was cut, no call was lost and none ran
twice.
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
# An entry serves for 8 s after SIGTERM and then finishes the requests in progress.
ENTRY_STOP_TIMEOUT_S = 15.0
KILL_TIMEOUT_S = 5.0
CALLER_COUNT = 8
INTERRUPTED_EXIT_CODE = 130  # 128 + SIGINT, also after SIGTERM.

# Share of the requests that have been started when the event takes place.
DRAIN_AT = 0.15
STOP_AT = 0.25
KILL_AT = 0.4

# Calls started at once right before a kill, so that some are in progress then.
BURST_CALLS = 48
# Slows targets down before a target or an entry is killed, so that requests are in
# progress at the time of the kill.
STRAGGLE_FAULT = {"factor": 30, "for_s": 0.5}


@dataclasses.dataclass(frozen=True)
class Plan:
    """Size and faults of a demo.

    Parameters
    ----------
    requests
        Number of calls to send.
    rate
        Calls started per second.
    control
        Number of control processes.
    entries
        Number of entry processes.
    targets
        Number of target processes.
    kill
        Role of the process to kill: control, entry or target.
    seed
        Seed of the random calls.
    folder
        New folder for settings, logs and run records, which are kept. By default,
        a temporary folder is used and removed.
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
        Size and faults of the demo.
    cluster
        Cluster that has been started.
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
            for number in range(CALLER_COUNT)
        ]
        self._calls: list[asyncio.Task[callers.Outcome]] = []
        self._drained_s = float("inf")
        self._stopped: fleets.Process | None = None
        self._killed: fleets.Process | None = None

    async def run(self) -> bool:
        """Send the calls, check the outcomes and return whether all checks passed."""
        _print_progress("all processes are ready, sending requests")
        outcomes = await self._send_calls()
        problems = await self._find_exit_problems()
        await self._print_status()
        await self._fleet.stop()
        return self._print_results(outcomes, problems)

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
        self._calls.append(group.create_task(caller.call(self._new_call(number))))

    def _new_call(self, number: int) -> callers.Call:
        if self._rng.random() < 0.5:
            return callers.Call("GET", f"/items/{number}", repeatable=True)
        body = self._rng.randbytes(self._rng.randrange(1, 4096))
        return callers.Call("POST", "/orders", repeatable=False, body=body)

    async def _drain_target(self) -> None:
        _print_progress("target t1 drains")
        url = f"http://{self._cluster.target_addresses[0]}/-/drain"
        self._drained_s = time.time()

        async def is_accepted() -> bool:
            async with self._session.post(url) as resp:
                return resp.status == apis.HTTP_OK

        await fleets.wait_until(
            is_accepted, "the drain of t1 is accepted", DRAIN_TIMEOUT_S
        )

    async def _stop_entry(self) -> None:
        self._stopped = self._fleet.of_role("entry")[-1]
        _print_progress(f"entry {self._stopped.name} gets SIGTERM")
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
            leaders = [process for process in running if process.name == leader]
            self._killed = (leaders or running)[0]
        if self._plan.kill == "target":
            await self._slow_down(self._cluster.target_addresses[-1:])
        if self._plan.kill == "entry":
            await self._slow_down(self._cluster.target_addresses)
        async with asyncio.TaskGroup() as group:
            for _ in range(BURST_CALLS):
                self._start_call(group)
            await self._wait_for_burst()
            if self._plan.kill == "target":
                await self._pause_in_run()
            _print_progress(f"{self._plan.kill} {self._killed.name} gets SIGKILL")
            self._killed.signal(signal.SIGKILL)

    async def _slow_down(self, addresses: list[str]) -> None:
        for address in addresses:
            url = f"http://{address}/-/straggle"
            async with self._session.post(url, json=STRAGGLE_FAULT):
                pass

    async def _wait_for_burst(self) -> None:
        """Wait until the last target has requests in progress that a kill can hit."""

        async def is_working() -> bool:
            url = f"http://{self._cluster.target_addresses[-1]}/-/load"
            async with self._session.get(url) as resp:
                return (await resp.json())["in_flight"] > 0

        await fleets.wait_until(
            is_working, "the last target has requests in progress", KILL_TIMEOUT_S
        )

    async def _pause_in_run(self) -> None:
        """Pause the target that is killed next in the middle of a run.

        Its load also counts requests that wait for a slot, and a run may end before
        the signal arrives.
        """
        path = self._cluster.runs_path(self._killed.name)

        async def is_paused_in_run() -> bool:
            self._killed.pause()
            if records.read_unfinished([path]):
                return True
            self._killed.resume()
            return False

        await fleets.wait_until(
            is_paused_in_run, "the target runs a request", KILL_TIMEOUT_S
        )

    async def _find_exit_problems(self) -> list[str]:
        """Return a description of each process that ended unexpectedly."""
        problems = []
        code = await self._stopped.wait(ENTRY_STOP_TIMEOUT_S)
        if code != 0:
            problems.append(
                f"{self._stopped.name}: exit code {code}, expected 0 "
                f"(None: still running after {ENTRY_STOP_TIMEOUT_S:.0f} s)"
            )
        expected = (self._stopped, self._killed)
        problems += [
            f"{process.name} ended unexpectedly with exit code {process.exit_code}"
            for process in self._fleet.ended_processes()
            if process not in expected
        ]
        return problems

    async def _print_status(self) -> None:
        status = await self._cluster.read("/v1/status")
        if status.get("members"):
            statuses.print_status(status)
        else:
            print("no status: no entry returned the members")

    def _print_results(
        self, outcomes: list[callers.Outcome], problems: list[str]
    ) -> bool:
        paths = self._cluster.runs_paths()
        findings = reports.check_outcomes(
            outcomes, records.read_runs(paths), self._drained_s
        )
        headings = ["kind", "verdict", "calls", "resends", "replayed", "p50 ms"]
        rows = reports.outcome_rows(outcomes)
        tables.print_table([*headings, "p99 ms"], rows)
        reasons = reports.resend_rows(outcomes)
        if reasons:
            tables.print_table(["resent after", "status", "attempts"], reasons)
        counts = dataclasses.asdict(findings)
        counts["unfinished_runs"] = len(records.read_unfinished(paths))
        print(", ".join(f"{name} {count}" for name, count in counts.items()))
        failures = findings.violations(killed=self._killed is not None) + problems
        print(f"FAILED: {', '.join(failures)}" if failures else "passed")
        return not failures


def _print_progress(text: str) -> None:
    print(f"demo: {text}", flush=True)


@contextlib.contextmanager
def _folder(plan: Plan) -> typing.Iterator[pathlib.Path]:
    if plan.folder is None:
        with tempfile.TemporaryDirectory(prefix="coltsfootchute-demo-") as name:
            yield pathlib.Path(name)
        return
    # Fails if the folder exists: control would treat the data of an earlier run as
    # those of a cluster that is already formed.
    plan.folder.mkdir(parents=True)
    yield plan.folder.resolve()


async def run(plan: Plan) -> bool:
    """Run a demo, then stop all processes and remove the temporary folder, if any.

    Returns
    -------
    bool
        True if all checks passed.

    Raises
    ------
    coltsfootchute.standins.fleets.StartError
        If a process ends early or the cluster is not ready in time.
    FileExistsError
        If the folder of the plan exists.
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
    code = INTERRUPTED_EXIT_CODE
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
