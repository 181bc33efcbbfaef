"""Run the cases of the benchmark against the processes of one deployment."""

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

__all__ = ["Testbed", "running_testbed", "service_name"]

GENERATOR_PROCESSES = 3
ORDER_SHARE = 0.02
WARM_UP_S = 0.7
START_DELAY_S = 0.3
PAUSE_AFTER_RUN_S = 0.4
# A fault starts after this share of the counted part.
FAULT_START_SHARE = 0.2
ADDRESS_KEEP_S = 1.0
ECHO_SERVICE = "echo"
ECHO_CALLS_PER_S = 100.0
ECHO_MEASURED_S = 8.0
NS_PER_S = 1e9


@dataclasses.dataclass
class Snapshot:
    """Processor time by role and counters of the entries at one time."""

    time_s: float
    cpu_s: dict[str, float]
    values: collections.Counter[tuple[str, str]]


class Testbed:
    """A running deployment and the load generators.

    Parameters
    ----------
    deployment
        The size of the deployment.
    cluster
        The processes of the deployment.
    session
        HTTP client for metrics and fault endpoints.
    pool
        Worker processes that generate the load.
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
        self._read_offsets: dict[pathlib.Path, int] = {}
        self._run_counts: collections.Counter[str] = collections.Counter()

    async def run(
        self, case: str, plan: bench_cases.CasePlan, policy: str, number: int
    ) -> bench_rows.Row:
        """Run a case once with a policy and return its results."""
        rate = self.deployment.capacity * plan.utilization
        seed = random.Random(f"{case}-{number}").randrange(1 << 30)
        load = bench_callers.LoadPlan(
            service=service_name(policy, plan.group),
            prefix=f"{case}-{policy}-{number}",
            apis=tuple(self.cluster.apis),
            start_s=time.monotonic() + START_DELAY_S,
            warm_s=WARM_UP_S,
            measured_s=plan.measured_s,
            rate=rate / GENERATOR_PROCESSES,
            orders=ORDER_SHARE,
            burst=plan.burst,
            seed=seed,
        )
        before = await self._snapshot()
        _, results = await asyncio.gather(
            self._inject_fault(case, plan, load), self._run_load(load)
        )
        row = self._build_row(
            self._read_new_runs(),
            results,
            before,
            await self._snapshot(),
            plan.measured_s,
        )
        row.case, row.policy, row.round = case, policy, number
        await asyncio.sleep(PAUSE_AFTER_RUN_S)
        return row

    async def warm_up(self, run: tuple[str, bench_cases.CasePlan, str, int]) -> None:
        """Run the load of a case once without its fault, and discard the results."""
        _, plan, policy, number = run
        await self.run("steady_70", plan, policy, number)

    async def measure_added_latency(self) -> list[bench_rows.AddedLatency]:
        """Measure calls through entries and direct calls at a low rate."""
        known = (await self.cluster.read("/v1/targets"))["targets"]
        (echo_address,) = (t["address"] for t in known if ECHO_SERVICE in t["services"])
        load = bench_callers.LoadPlan(
            service=ECHO_SERVICE,
            prefix=ECHO_SERVICE,
            apis=tuple(self.cluster.apis),
            start_s=time.monotonic() + START_DELAY_S,
            warm_s=WARM_UP_S,
            measured_s=ECHO_MEASURED_S,
            rate=ECHO_CALLS_PER_S,
        )
        # Both run at the same time, so that a stall of the machine affects both alike.
        direct = msgspec.structs.replace(load, direct=(echo_address,), seed=1)
        (entry_result,), (direct_result,) = await asyncio.gather(
            self._run_load(load, workers=1), self._run_load(direct, workers=1)
        )
        self._read_new_runs()
        return [
            self._latency_row("direct", direct_result),
            self._latency_row("entry", entry_result),
        ]

    def _latency_row(
        self, kind: str, result: bench_callers.LoadResult
    ) -> bench_rows.AddedLatency:
        total = bench_rows.merge_histograms([result.latency])
        return bench_rows.AddedLatency(
            deployment=self.deployment.name,
            kind=kind,
            p50_ms=total.get_value_at_percentile(50) / 1000,
            p99_ms=total.get_value_at_percentile(99) / 1000,
            calls=total.get_total_count(),
        )

    async def _run_load(
        self, load: bench_callers.LoadPlan, workers: int = GENERATOR_PROCESSES
    ) -> list[bench_callers.LoadResult]:
        loop = asyncio.get_running_loop()
        loads = [
            msgspec.structs.replace(
                load, prefix=f"{load.prefix}-{worker}", seed=load.seed + 7919 * worker
            )
            for worker in range(workers)
        ]
        return await asyncio.gather(
            *(
                loop.run_in_executor(self._pool, bench_callers.run_load, one)
                for one in loads
            )
        )

    async def _inject_fault(
        self, case: str, plan: bench_cases.CasePlan, load: bench_callers.LoadPlan
    ) -> None:
        run_number = self._run_counts[case]
        self._run_counts[case] += 1
        fault_start_s = load.start_s + load.warm_s + FAULT_START_SHARE * plan.measured_s
        await asyncio.sleep(fault_start_s - time.monotonic())
        context = bench_cases.FaultContext(
            cluster=self.cluster,
            session=self._session,
            run_number=run_number,
            left_s=(1 - FAULT_START_SHARE) * plan.measured_s,
            rng=random.Random(load.seed),
        )
        await bench_cases.CASES[case](context)

    async def _snapshot(self) -> Snapshot:
        cpu_s = collections.defaultdict(float)
        for process in self.cluster.fleet.processes:
            cpu_s[process.role] += process_cpu_s(process.pid)
        texts = await asyncio.gather(
            *(self._read_metrics(api) for api in self.cluster.apis)
        )
        values = sum(map(bench_rows.parse_counters, texts), collections.Counter())
        return Snapshot(time.monotonic(), dict(cpu_s), values)

    async def _read_metrics(self, api: str) -> str:
        try:
            async with self._session.get(f"http://{api}/metrics") as resp:
                return await resp.text()
        except aiohttp.ClientError:
            return ""

    def _read_new_runs(self) -> list[records.Run]:
        """Return the runs that the targets recorded since the last call."""
        found = []
        for path in self.cluster.runs_paths():
            data = path.read_bytes()
            begin = self._read_offsets.get(path, 0)
            end = data.rindex(b"\n") + 1 if data else 0
            self._read_offsets[path] = end
            lines = data[begin:end].splitlines()
            found += [msgspec.json.decode(line, type=records.Run) for line in lines]
        return [run for run in found if not run.finished]

    def _build_row(
        self,
        runs: list[records.Run],
        results: list[bench_callers.LoadResult],
        before: Snapshot,
        after: Snapshot,
        measured_s: float,
    ) -> bench_rows.Row:
        outcomes = sum(
            (collections.Counter(r.outcomes) for r in results), collections.Counter()
        )
        outcome_by_key = dict(
            itertools.chain.from_iterable(r.keys.items() for r in results)
        )
        runs_by_key = records.runs_per_key(runs)
        # Counters of a restarted entry begin at 0, so its earlier calls are not
        # counted.
        increments = collections.Counter(
            {key: n - before.values[key] for key, n in after.values.items()}
        )
        elapsed_s = after.time_s - before.time_s
        cores = {
            role: max(0.0, cpu - before.cpu_s.get(role, 0.0)) / elapsed_s
            for role, cpu in after.cpu_s.items()
        }
        cores["generator"] = sum(r.cpu_s for r in results) / elapsed_s
        sent = len({run.request_id for run in runs if run.request_id})
        return bench_rows.Row(
            deployment=self.deployment.name,
            case="",
            policy="",
            round=0,
            calls=sum(outcomes.values()),
            latency=bench_rows.merge_histograms([r.latency for r in results])
            .encode()
            .decode(),
            outcomes=dict(outcomes),
            refusals=_increments_by_label(increments, "coltsfootchute_refusals_total"),
            retries=_increments_by_label(increments, "coltsfootchute_retries_total"),
            hedges=max(0, increments["coltsfootchute_hedges_total", ""]),
            sent=sent,
            runs=len(runs),
            duplicates=sum(count > 1 for count in runs_by_key.values()),
            false_verdicts=sum(
                _is_false_verdict(v, runs_by_key[k]) for k, v in outcome_by_key.items()
            ),
            probe_runs=sum(not run.request_id for run in runs),
            cores={role: round(value, 3) for role, value in cores.items()},
            entry_us=round(1e6 * cores.get("entry", 0.0) * elapsed_s / max(1, sent), 1),
            late_us=max(r.late_us for r in results),
            resent=sum(r.resent for r in results),
        )


def process_cpu_s(pid: int) -> float:
    """Return the processor time of a process in s; 0 if it has exited.

    Each role runs on a single thread, the one that ``schedstat`` counts.
    """
    try:
        text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    except OSError:
        return 0.0
    return int(text.split()[0]) / NS_PER_S


def service_name(policy: str, group: str) -> str:
    """Return the name of the service for a policy and a group of cases."""
    return f"{policy}-{group}"


def _increments_by_label(
    increments: collections.Counter[tuple[str, str]], name: str
) -> dict[str, int]:
    return {
        label: n for (other, label), n in increments.items() if other == name and n > 0
    }


def _is_false_verdict(outcome: str, runs: int) -> bool:
    if outcome == "ok":
        return not runs
    return outcome.startswith("not_run:") and runs > 0


@contextlib.asynccontextmanager
async def running_testbed(
    deployment: bench_cases.Deployment, services: dict[str, str]
) -> typing.AsyncIterator[Testbed]:
    """Start a deployment, and stop all of its processes at the end.

    Parameters
    ----------
    deployment
        The size of the deployment.
    services
        Policy by service name.
    """
    options = {
        "--slots": str(deployment.slots),
        "--queue": str(2 * deployment.slots),
        "--service-ms": str(deployment.service_ms),
    }
    spawn = multiprocessing.get_context("spawn")
    with (
        tempfile.TemporaryDirectory(prefix="coltsfootchute-bench-") as folder,
        concurrent.futures.ProcessPoolExecutor(GENERATOR_PROCESSES, spawn) as pool,
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
                keep_s=ADDRESS_KEEP_S,
            )
            await cluster.start()
            await _start_echo(cluster)
            for name, policy in services.items():
                await cluster.propose(name, bench_cases.section(policy))
            yield Testbed(deployment, cluster, session, pool)


async def _start_echo(cluster: clusters.Cluster) -> None:
    """Start a target that responds at once, to measure the added latency."""
    section = bench_cases.section("expected_wait")
    section["rules"][0]["hedge"] = False
    await cluster.propose(ECHO_SERVICE, section)
    args = ["--id", ECHO_SERVICE, "--services", ECHO_SERVICE, "--slots", "64"]
    args += ["--service-ms", "0", "--sigma", "0"]
    args += [part for api in cluster.apis for part in ("--api", api)]
    cluster.fleet.start(ECHO_SERVICE, "echo", targets.__name__, *args)

    async def is_known() -> bool:
        found = await apis.fetch(cluster.apis, "/v1/targets")
        return any(t["id"] == ECHO_SERVICE for t in found.body.get("targets", ()))

    await fleets.wait_until(
        is_known, "an entry knows the echo target", clusters.START_TIMEOUT_S
    )
