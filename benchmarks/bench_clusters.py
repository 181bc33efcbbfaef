"""One deployment under load: processes, counters, records and single runs."""

import asyncio
import collections
import concurrent.futures
import contextlib
import dataclasses
import itertools
import multiprocessing
import pathlib
import random
import tempfile
import time
import typing

import aiohttp
import msgspec

from benchmarks import bench_callers, bench_cases, bench_rows
from coltsfootchute.commands import apis
from coltsfootchute.standins import clusters, fleets, records, targets

__all__ = ["World", "opened", "service_name"]

GENERATORS = 3
ORDERS = 0.02
WARM_S = 0.7
LEAD_S = 0.3
SETTLE_S = 0.4
# Faults start after this share of the counted part.
FAULT_AT = 0.2
KEEP_S = 1.0
ECHO = "echo"
ECHO_RATE = 100.0
ECHO_S = 8.0
NS_PER_S = 1e9


@dataclasses.dataclass
class Snapshot:
    """Counters at one time."""

    time_s: float
    cpu_s: dict[str, float]
    values: collections.Counter[tuple[str, str]]


class World:
    """The processes of one deployment.

    Parameters
    ----------
    deployment
        Its size.
    cluster
        Its processes.
    session
        HTTP client.
    pool
        Worker processes of the generators.
    """

    def __init__(
        self,
        deployment: bench_cases.Deployment,
        cluster: clusters.Cluster,
        session: aiohttp.ClientSession,
        pool: concurrent.futures.Executor,
    ):
        self.deployment = deployment
        self.cluster = cluster
        self._session = session
        self._pool = pool
        self._read: dict[pathlib.Path, int] = {}
        self._turns: collections.Counter[str] = collections.Counter()

    async def run(
        self, case: str, plan: bench_cases.CasePlan, policy: str, number: int
    ) -> bench_rows.Row:
        """Run a case once under a policy."""
        rate = self.deployment.capacity * plan.utilization
        seed = random.Random(f"{case}-{number}").randrange(1 << 30)
        load = bench_callers.Plan(
            service=service_name(policy, plan.group),
            prefix=f"{case}-{policy}-{number}",
            apis=tuple(self.cluster.apis),
            start_s=time.monotonic() + LEAD_S,
            warm_s=WARM_S,
            measured_s=plan.measured_s,
            rate=rate / GENERATORS,
            orders=ORDERS,
            burst=plan.burst,
            seed=seed,
        )
        before = await self._snapshot()
        _, results = await asyncio.gather(
            self._fault(case, plan, load), self._generate(load)
        )
        row = self._row(
            self._new_runs(), results, before, await self._snapshot(), plan.measured_s
        )
        row.case, row.policy, row.round = case, policy, number
        await asyncio.sleep(SETTLE_S)
        return row

    async def warm_up(self, run: tuple[str, bench_cases.CasePlan, str, int]) -> None:
        """Run the load of a case once without its fault, and drop the figures."""
        _, plan, policy, number = run
        await self.run("steady_70", plan, policy, number)

    async def added_latency(self) -> list[bench_rows.AddedLatency]:
        """Compare calls through entries with direct calls at a low rate."""
        address = (await self.cluster.read("/v1/targets"))["targets"]
        (echo,) = (t["address"] for t in address if ECHO in t["services"])
        load = bench_callers.Plan(
            service=ECHO,
            prefix=ECHO,
            apis=tuple(self.cluster.apis),
            start_s=time.monotonic() + LEAD_S,
            warm_s=WARM_S,
            measured_s=ECHO_S,
            rate=ECHO_RATE,
        )
        # Both at the same time, so that a stall of the machine meets both.
        direct = msgspec.structs.replace(load, direct=(echo,), seed=1)
        (through,), (straight,) = await asyncio.gather(
            self._generate(load, workers=1), self._generate(direct, workers=1)
        )
        self._new_runs()
        return [self._added("direct", straight), self._added("entry", through)]

    def _added(
        self, kind: str, result: bench_callers.Result
    ) -> bench_rows.AddedLatency:
        total = bench_rows.merged([result.latency])
        return bench_rows.AddedLatency(
            deployment=self.deployment.name,
            kind=kind,
            p50_ms=total.get_value_at_percentile(50) / 1000,
            p99_ms=total.get_value_at_percentile(99) / 1000,
            calls=total.get_total_count(),
        )

    async def _generate(
        self, load: bench_callers.Plan, workers: int = GENERATORS
    ) -> list[bench_callers.Result]:
        loop = asyncio.get_running_loop()
        loads = [
            msgspec.structs.replace(
                load, prefix=f"{load.prefix}-{worker}", seed=load.seed + 7919 * worker
            )
            for worker in range(workers)
        ]
        return await asyncio.gather(
            *(loop.run_in_executor(self._pool, bench_callers.run, one) for one in loads)
        )

    async def _fault(
        self, case: str, plan: bench_cases.CasePlan, load: bench_callers.Plan
    ) -> None:
        turn = self._turns[case]
        self._turns[case] += 1
        begins = load.start_s + load.warm_s + FAULT_AT * plan.measured_s
        await asyncio.sleep(begins - time.monotonic())
        stage = bench_cases.Stage(
            cluster=self.cluster,
            session=self._session,
            turn=turn,
            left_s=(1 - FAULT_AT) * plan.measured_s,
            rng=random.Random(load.seed),
        )
        await bench_cases.CASES[case](stage)

    async def _snapshot(self) -> Snapshot:
        cpu_s = collections.defaultdict(float)
        for process in self.cluster.fleet.processes:
            cpu_s[process.role] += cpu_of(process.pid)
        texts = await asyncio.gather(*(self._metrics(api) for api in self.cluster.apis))
        values = sum(map(bench_rows.counted, texts), collections.Counter())
        return Snapshot(time.monotonic(), dict(cpu_s), values)

    async def _metrics(self, api: str) -> str:
        try:
            async with self._session.get(f"http://{api}/metrics") as resp:
                return await resp.text()
        except aiohttp.ClientError:
            return ""

    def _new_runs(self) -> list[records.Run]:
        """Return the runs that the targets recorded since the last call."""
        found = []
        for path in self.cluster.runs_paths():
            data = path.read_bytes()
            begin = self._read.get(path, 0)
            end = data.rindex(b"\n") + 1 if data else 0
            self._read[path] = end
            lines = data[begin:end].splitlines()
            found += [msgspec.json.decode(line, type=records.Run) for line in lines]
        return [run for run in found if not run.finished]

    def _row(
        self,
        runs: list[records.Run],
        results: list[bench_callers.Result],
        before: Snapshot,
        after: Snapshot,
        measured_s: float,
    ) -> bench_rows.Row:
        outcomes = sum(
            (collections.Counter(r.outcomes) for r in results), collections.Counter()
        )
        told = dict(itertools.chain.from_iterable(r.keys.items() for r in results))
        counts = records.runs_per_key(runs)
        # A restarted entry counts from 0, so its earlier calls are left out.
        change = collections.Counter(
            {key: n - before.values[key] for key, n in after.values.items()}
        )
        spent_s = after.time_s - before.time_s
        cores = {
            role: max(0.0, cpu - before.cpu_s.get(role, 0.0)) / spent_s
            for role, cpu in after.cpu_s.items()
        }
        cores["generator"] = sum(r.cpu_s for r in results) / spent_s
        sent = len({run.request_id for run in runs if run.request_id})
        return bench_rows.Row(
            deployment=self.deployment.name,
            case="",
            policy="",
            round=0,
            calls=sum(outcomes.values()),
            latency=bench_rows.merged([r.latency for r in results]).encode().decode(),
            outcomes=dict(outcomes),
            refusals=_by_label(change, "coltsfootchute_refusals_total"),
            retries=_by_label(change, "coltsfootchute_retries_total"),
            hedges=max(0, change["coltsfootchute_hedges_total", ""]),
            sent=sent,
            runs=len(runs),
            duplicates=sum(count > 1 for count in counts.values()),
            false_verdicts=sum(_is_false(v, counts[k]) for k, v in told.items()),
            probe_runs=sum(not run.request_id for run in runs),
            cores={role: round(value, 3) for role, value in cores.items()},
            entry_us=round(1e6 * cores.get("entry", 0.0) * spent_s / max(1, sent), 1),
            late_us=max(r.late_us for r in results),
            resent=sum(r.resent for r in results),
        )


def cpu_of(pid: int) -> float:
    """Return the processor time of a process in s; 0 if it has ended.

    All roles run on one thread, the one that the scheduler's file counts.
    """
    try:
        text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    except OSError:
        return 0.0
    return int(text.split()[0]) / NS_PER_S


def service_name(policy: str, group: str) -> str:
    """Return the service of a policy in a group of cases."""
    return f"{policy}-{group}"


def _by_label(
    change: collections.Counter[tuple[str, str]], name: str
) -> dict[str, int]:
    return {label: n for (other, label), n in change.items() if other == name and n > 0}


def _is_false(told: str, ran: int) -> bool:
    if told == "ok":
        return not ran
    return told.startswith("not_run:") and ran > 0


@contextlib.asynccontextmanager
async def opened(
    deployment: bench_cases.Deployment, services: dict[str, str]
) -> typing.AsyncIterator[World]:
    """Start a deployment and end all of its processes afterwards.

    Parameters
    ----------
    deployment
        Its size.
    services
        Policy by name of the service.
    """
    options = {
        "--slots": str(deployment.slots),
        "--queue": str(2 * deployment.slots),
        "--service-ms": str(deployment.service_ms),
    }
    spawn = multiprocessing.get_context("spawn")
    with (
        tempfile.TemporaryDirectory(prefix="coltsfootchute-bench-") as folder,
        concurrent.futures.ProcessPoolExecutor(GENERATORS, spawn) as pool,
    ):
        async with (
            fleets.Fleet(pathlib.Path(folder)) as fleet,
            aiohttp.ClientSession() as session,
        ):
            cluster = clusters.Cluster(
                fleet,
                1,
                deployment.entries,
                deployment.targets,
                section=bench_cases.section("expected_wait"),
                services=(clusters.SERVICE, *services),
                domains=deployment.domains,
                target_options=options,
                keep_s=KEEP_S,
            )
            await cluster.start()
            await _start_echo(cluster)
            for name, policy in services.items():
                await cluster.propose(name, bench_cases.section(policy))
            yield World(deployment, cluster, session, pool)


async def _start_echo(cluster: clusters.Cluster) -> None:
    """Start a target that responds at once, to measure what an entry adds."""
    section = bench_cases.section("expected_wait")
    section["rules"][0]["hedge"] = False
    await cluster.propose(ECHO, section)
    args = ["--id", ECHO, "--services", ECHO, "--slots", "64"]
    args += ["--service-ms", "0", "--sigma", "0"]
    args += [part for api in cluster.apis for part in ("--api", api)]
    cluster.fleet.start(ECHO, "echo", targets.__name__, *args)

    async def is_known() -> bool:
        found = await apis.fetch(cluster.apis, "/v1/targets")
        return any(t["id"] == ECHO for t in found.body.get("targets", ()))

    await fleets.until(is_known, "the echo target", clusters.START_TIMEOUT_S)
