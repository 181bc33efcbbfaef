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
import msgspec
import uvloop

from coltsfootchute import errors
from coltsfootchute.commands import apis, exits, statuses, tables
from coltsfootchute.standins import callers, fleets, records, reports, targets

__all__ = ["Plan", "main", "run"]

SERVICE = "demo"
TEAM = "demo-team"
DOMAINS = ("fd-a", "fd-b", "fd-c")
START_TIMEOUT_S = 20.0
DRAIN_TIMEOUT_S = 10.0
# 8 s of service after SIGTERM, and requests in progress.
ENTRY_STOP_TIMEOUT_S = 15.0
INTERRUPTED = 130

# Points in the run at which something happens, as shares of the requests.
DRAIN_AT = 0.15
STOP_AT = 0.25
KILL_AT = 0.4

SECTION = {
    "policy": "expected_wait",
    "queue": {"length": 64, "wait_ms": 500},
    "retry_budget_percent": 20,
    "rules": [
        {
            "name": "read_item",
            "methods": ["GET"],
            "path": "/items/*",
            "repeatable": True,
            "deadline_ms": 2000,
            "hedge": True,
        },
        {
            "name": "create_order",
            "methods": ["POST"],
            "path": "/orders",
            "repeatable": False,
            "key": "required",
            "deadline_ms": 3000,
            "priority": 9,
        },
    ],
}


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
    """

    requests: int = 600
    rate: float = 50.0
    control: int = 3
    entries: int = 3
    targets: int = 6
    kill: typing.Literal["", "control", "entry", "target"] = ""
    seed: int = 0


DEFAULT_PLAN = Plan()


class Demo:
    """One run of the demo.

    Parameters
    ----------
    plan
        Size and faults.
    fleet
        Starts the processes.
    session
        HTTP client of the callers.
    """

    def __init__(self, plan: Plan, fleet: fleets.Fleet, session: aiohttp.ClientSession):
        self._plan = plan
        self._fleet = fleet
        self._session = session
        self._rng = random.Random(plan.seed)
        self._drained_s = float("inf")
        self._apis: list[str] = []
        self._target_addresses: list[str] = []
        self._stopped: fleets.Process | None = None
        self._killed: fleets.Process | None = None

    async def run(self) -> bool:
        """Run the demo; tell whether all checks passed."""
        self._start_roles()
        await fleets.until(self._has_leader, "a leader", START_TIMEOUT_S, self._fleet)
        await self._propose()
        self._start_targets()
        await fleets.until(
            self._is_ready, "targets known to entries", START_TIMEOUT_S, self._fleet
        )
        _say("processes are up, requests start")
        outcomes = await self._send_calls()
        problems = await self._problems_of_stop()
        await self._show_status()
        await self._fleet.stop()
        return self._show(outcomes, problems)

    def _start_roles(self) -> None:
        plan = self._plan
        ports = iter(fleets.free_ports(plan.control + 3 * plan.entries))
        members = [
            {"name": f"c{number}", "address": f"127.0.0.1:{next(ports)}"}
            for number in range(1, plan.control + 1)
        ]
        for number, member in enumerate(members):
            instance = {"name": member["name"], "failure_domain": _domain(number)}
            control = {
                "peer": member["address"],
                "data": f"data-{member['name']}",
                "initial": members,
            }
            cfg = {"instance": instance, "control": control}
            self._fleet.start_role(member["name"], "control", cfg)
        for number in range(plan.entries):
            name = f"e{number + 1}"
            entry = {
                listener: f"127.0.0.1:{next(ports)}"
                for listener in ("calls", "api", "peer")
            }
            self._apis.append(entry["api"])
            entry["control"] = [member["address"] for member in members]
            instance = {"name": name, "failure_domain": _domain(number)}
            self._fleet.start_role(
                name, "entry", {"instance": instance, "entry": entry}
            )

    def _start_targets(self) -> None:
        ports = fleets.free_ports(self._plan.targets)
        for number, port in enumerate(ports):
            name = f"t{number + 1}"
            address = f"127.0.0.1:{port}"
            self._target_addresses.append(address)
            args = {
                "--id": name,
                "--listen": address,
                "--failure-domain": _domain(number),
                "--services": SERVICE,
                "--runs": str(self._runs_path(name)),
                "--seed": str(number),
            }
            flat = [part for pair in args.items() for part in pair]
            flat += [part for api in self._apis for part in ("--api", api)]
            self._fleet.start(name, "target", targets.__name__, *flat)

    def _runs_path(self, name: str) -> pathlib.Path:
        return self._fleet.folder / f"runs-{name}.jsonl"

    async def _has_leader(self) -> bool:
        found = await self._read("/v1/status")
        names = {item["name"] for item in found.get("instances", ())}
        return bool(statuses.leader_name(found)) and len(names) >= self._plan.entries

    async def _is_ready(self) -> bool:
        ready = [await self._is_entry_ready(api) for api in self._apis]
        return all(ready)

    async def _is_entry_ready(self, api: str) -> bool:
        found = await self._read("/v1/targets", [api])
        known = len(found.get("targets", ())) == self._plan.targets
        path = f"/v1/services/{SERVICE}/addresses"
        found = await self._read(path, [api])
        return known and len(found.get("addresses", ())) == self._plan.entries

    async def _read(
        self, path: str, addresses: list[str] | None = None
    ) -> dict[str, typing.Any]:
        try:
            reply = await apis.fetch(addresses or self._apis, path)
        except exits.UnreachableError:
            return {}
        return reply.body if isinstance(reply.body, dict) else {}

    async def _propose(self) -> None:
        body = {
            "expected_revision": 0,
            "document": msgspec.json.encode(SECTION).decode(),
            "author": "demo",
            "request_id": f"demo-{self._plan.seed}",
        }
        path = f"/v1/sections/{SERVICE}"
        headers = {"Coltsfootchute-Team": TEAM}
        reply = await apis.send_change(self._apis, path, body, headers)
        if reply.status != apis.HTTP_OK:
            raise fleets.StartError(f"section refused: {apis.reason(reply)}")

    async def _send_calls(self) -> list[callers.Outcome]:
        plan = self._plan
        events = {
            int(plan.requests * DRAIN_AT): self._drain_target,
            int(plan.requests * STOP_AT): self._stop_entry,
        }
        if plan.kill:
            events[int(plan.requests * KILL_AT)] = self._kill
        people = [
            callers.Caller(SERVICE, self._apis, self._session, random.Random(number))
            for number in range(8)
        ]
        start = time.monotonic()
        async with asyncio.TaskGroup() as group:
            tasks = []
            for number in range(plan.requests):
                if number in events:
                    group.create_task(events[number]())
                caller = people[number % len(people)]
                tasks.append(group.create_task(caller.call(self._call(number))))
                due = start + (number + 1) / plan.rate
                await asyncio.sleep(max(0.0, due - time.monotonic()))
        return [task.result() for task in tasks]

    def _call(self, number: int) -> callers.Call:
        if self._rng.random() < 0.5:
            return callers.Call("GET", f"/items/{number}", repeatable=True)
        body = self._rng.randbytes(self._rng.randrange(1, 4096))
        return callers.Call("POST", "/orders", repeatable=False, body=body)

    async def _drain_target(self) -> None:
        _say("target t1 drains")
        url = f"http://{self._target_addresses[0]}/-/drain"
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
            leader = statuses.leader_name(await self._read("/v1/status"))
            named = [process for process in running if process.name == leader]
            self._killed = (named or running)[0]
        _say(f"{self._plan.kill} {self._killed.name} gets SIGKILL")
        self._killed.signal(signal.SIGKILL)

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
        running = [
            api
            for api, process in zip(
                self._apis, self._fleet.of_role("entry"), strict=True
            )
            if process.exit_code is None
        ]
        found = await self._read("/v1/status", running)
        if found:
            statuses.print_status(found)
        else:
            print("no status: no entry responds")

    def _show(self, outcomes: list[callers.Outcome], problems: list[str]) -> bool:
        names = [process.name for process in self._fleet.of_role("target")]
        paths = [path for name in names if (path := self._runs_path(name)).exists()]
        runs = records.read_runs(paths)
        findings = reports.judge(outcomes, runs, self._drained_s)
        headings = ["kind", "verdict", "calls", "resends", "replayed", "p50 ms"]
        rows = reports.outcome_rows(outcomes)
        tables.print_table([*headings, "p99 ms"], rows)
        reasons = reports.resend_rows(outcomes)
        if reasons:
            tables.print_table(["resent after", "status", "attempts"], reasons)
        counts = dataclasses.asdict(findings)
        print(", ".join(f"{name} {count}" for name, count in counts.items()))
        broken = findings.broken(killed=self._killed is not None) + problems
        print(f"FAILED: {', '.join(broken)}" if broken else "passed")
        return not broken


def _domain(number: int) -> str:
    return DOMAINS[number % len(DOMAINS)]


def _say(text: str) -> None:
    print(f"demo: {text}", flush=True)


async def run(plan: Plan) -> bool:
    """Run a demo and leave no process and no file behind.

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
    with tempfile.TemporaryDirectory(prefix="coltsfootchute-demo-") as folder:
        async with (
            fleets.Fleet(pathlib.Path(folder)) as fleet,
            callers.open_session() as session,
        ):
            return await Demo(plan, fleet, session).run()


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
