"""An entry between callers and targets: processor time, latency, connections."""

import asyncio
import contextlib
import json
import pathlib
import random
import tempfile
import time

import aiohttp

from benchmarks import slopes_fits as fits
from benchmarks import slopes_processes as processes
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = [
    "Testbed",
    "measure_calls",
    "measure_connections",
    "measure_entry_rest",
    "measure_latency",
]

SERVICE = "shop"
TARGETS = 3
SLOTS = 64
RENEW_INTERVAL_S = 8.0
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
US_PER_S = 1e6
UPLOAD_BYTES = 64 * 1024
MEAN_PAIR_PAUSE_S = 0.004
NESTED_DEPTH = 12
NESTED_SAMPLES = 20_000


def _rule(name: str, method: str, path: str, **more) -> dict:
    return {
        "name": name,
        "methods": [method],
        "path": path,
        "repeatable": True,
        "deadline_ms": 4000,
        **more,
    }


SECTION = {
    "retry_budget_percent": 10,
    "rules": [
        _rule("read", "GET", "/items/*"),
        _rule("hedged", "GET", "/hedged", hedge=True),
        _rule("upload", "PUT", "/items/*", max_body_bytes=1 << 20, replay_bytes=65536),
        _rule("order", "POST", "/orders", repeatable=False, key="required"),
    ],
}
# Kind of call -> method, path, further fields of the order, rates in calls/s.
CALL_KINDS = {
    "small": ("GET", "/items/1", {}, (100, 200, 400, 800)),
    "upload_64kb": ("PUT", "/items/1", {"body_bytes": UPLOAD_BYTES}, (50, 100, 200)),
    "claim": ("POST", "/orders", {"keyed": True}, (25, 50, 100)),
    "hedged": ("GET", "/hedged", {}, (50, 100, 200)),
    "addresses": ("GET", f"/v1/services/{SERVICE}/addresses", {}, (50, 100, 200)),
}
OTHER_ENTRY_COUNTS = (0, 50, 200)
BACKGROUND_RATES_PER_S = (0, 200, 400, 800)


class Testbed(contextlib.AsyncExitStack):
    """Three control instances, one entry, three targets and a caller.

    Parameters
    ----------
    program
        Arguments of the interpreter for the entry, before its settings file.
    """

    def __init__(self, program: tuple[str, ...] = processes.COUNTED_ENTRY_PROGRAM):
        super().__init__()
        self._program = program

    def _start_process(self, *words: str, talks: bool = False) -> processes.Process:
        process = processes.Process(*words, has_pipes=talks)
        self.callback(process.kill)
        return process

    async def __aenter__(self) -> "Testbed":
        """Start all processes."""
        await super().__aenter__()
        self.cluster = processes.Cluster(3)
        self.push_async_callback(self.cluster.stop)
        await self.cluster.start()
        folder = self.enter_context(tempfile.TemporaryDirectory(prefix="slopes-"))
        addresses = {
            name: processes.free_address() for name in ("calls", "api", "peer")
        }
        path = pathlib.Path(folder) / "e1.json"
        document = {
            "instance": {"name": "e1", "failure_domain": "fd-0"},
            "entry": {**addresses, "control": self.cluster.addresses},
            "log": {"level": "WARNING"},
        }
        path.write_text(json.dumps(document))
        self.path = path
        self.entry = self._start_process(*self._program, str(path))
        self.address, self._api = addresses["calls"], addresses["api"]
        self.caller = self._start_process(
            "-m", "benchmarks.slopes_children", "caller", talks=True
        )
        self.targets = [
            self._start_process(
                "-m", "benchmarks.slopes_children", "target", talks=True
            )
            for _ in range(TARGETS)
        ]
        self.target_addresses = [t.ask(what="address")["address"] for t in self.targets]
        await self._configure()
        renewing = asyncio.create_task(self._renew())
        self.callback(renewing.cancel)
        await self._wait_until_ready()
        return self

    async def _configure(self) -> None:
        stub = self.cluster.stub
        await stub.Propose(
            pb.Proposal(
                section=SERVICE,
                document=json.dumps(SECTION),
                team="t",
                author="a",
                request_id="r1",
            )
        )
        for number, address in enumerate(self.target_addresses):
            target = pb.Target(
                target_id=f"t{number}",
                incarnation=1,
                address=address,
                failure_domain=f"fd-{number}",
                services=[SERVICE],
                slots=SLOTS,
            )
            command = pb.TargetCommand(target=target)
            await stub.Announce(pb.AnnounceRequest(command=command))

    async def _renew(self) -> None:
        renewals = [
            pb.Renewal(target_id=f"t{n}", incarnation=1) for n in range(TARGETS)
        ]
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            await self.cluster.stub.Renew(pb.RenewRequest(renewals=renewals))

    async def _wait_until_ready(self) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            warm = await self.load("small", 50, 0.5)
            if not warm["failed"]:
                # Slow start of the targets ends 10 s after they came up.
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError("the entry does not serve")

    async def load(self, kind: str, rate: float, seconds: float, **more) -> dict:
        """Let the caller send calls of one kind at a rate."""
        method, path, fields, _ = CALL_KINDS[kind]
        is_query = kind == "addresses"
        return await self.caller.ask_async(
            address=self._api if is_query else self.address,
            method=method,
            path=path if is_query else f"/{SERVICE}{path}",
            rate=rate,
            seconds=seconds,
            seed=int(rate),
            **fields,
            **more,
        )

    async def counter(self, name: str) -> float:
        """Return the sum of the entry's counters of one name."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{self._api}/metrics") as response,
        ):
            text = await response.text()
        lines = (line for line in text.splitlines() if line.startswith(name))
        return sum(float(line.rpartition(" ")[2]) for line in lines)


async def measure_entry_rest(quick: bool) -> dict:
    """Measure what control costs an entry at rest, by the entries it knows."""
    seconds, rounds = (2.0, 1) if quick else (2.0, 2)
    found = []
    async with Testbed() as stage:
        # Control passes the list of entries on after its first seconds.
        await asyncio.sleep(6.0)
        for _ in range(rounds):
            found.append(
                {
                    size: await _measure_at_rest(stage, size, seconds)
                    for size in OTHER_ENTRY_COUNTS
                }
            )
    units = {"cpu": "us of processor time per s", "bytes": "bytes per s"}
    return {
        name: fits.figure(
            unit,
            "other entries",
            [{s: v[name] for s, v in one.items()} for one in found],
        ).data()
        for name, unit in units.items()
    }


async def _measure_at_rest(stage: Testbed, entries: int, seconds: float) -> dict:
    """Let other entries report, unchanged, as often as entries do."""
    for number in range(entries):
        instance = pb.Instance(
            name=f"other-{number}",
            calls_address=f"127.0.0.1:{10_000 + number}",
            api_address=f"127.0.0.1:{20_000 + number}",
            peer_address=f"127.0.0.1:{30_000 + number}",
            failure_domain=f"fd-{number % 4}",
            start_ms=1,
        )
        await stage.cluster.stub.Report(pb.ReportRequest(instance=instance))
    await asyncio.sleep(1.0)
    traffic = await asyncio.to_thread(stage.entry.traffic, stage.path)
    cpu, began = stage.entry.cpu_s(), time.monotonic()
    await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - began
    cpu = stage.entry.cpu_s() - cpu
    traffic = await asyncio.to_thread(stage.entry.traffic, stage.path) - traffic
    return {"cpu": cpu / elapsed_s * US_PER_S, "bytes": traffic / elapsed_s}


def _cpu_by_process(stage: Testbed) -> dict[str, float]:
    cluster = stage.cluster
    return {
        "entry": stage.entry.cpu_s(),
        "leader": cluster.leader_process.cpu_s(),
        "follower": cluster.processes[cluster.follower].cpu_s(),
        "target": sum(target.cpu_s() for target in stage.targets),
    }


async def measure_calls(quick: bool) -> dict:
    """Measure processor time per call, by kind of call and by process."""
    seconds, rounds = (1.0, 1) if quick else (1.0, 2)
    results = {}
    async with Testbed() as stage:
        for kind, (_, _, _, rates) in CALL_KINDS.items():
            measured = [
                await _measure_kind(stage, kind, rates, seconds) for _ in range(rounds)
            ]
            results[kind] = {
                name: fits.figure(
                    "us of processor time per s",
                    "calls/s",
                    [
                        {rate: used[name] for rate, used in by_rate.items()}
                        for by_rate in measured
                    ],
                ).data()
                for name in ("entry", "leader", "follower", "target")
            }
            failed = sum(used["failed"] for one in measured for used in one.values())
            calls = sum(used["calls"] for one in measured for used in one.values())
            results[kind]["calls"] = {"sent": calls, "failed": failed}
            hedges = sum(used["hedges"] for one in measured for used in one.values())
            results[kind]["calls"]["hedges"] = hedges
    return results


async def _measure_kind(
    stage: Testbed, kind: str, rates: tuple, seconds: float
) -> dict[float, dict]:
    by_rate = {}
    await stage.load(kind, rates[0], 0.3)
    for rate in rates:
        before, began = _cpu_by_process(stage), time.monotonic()
        hedges = await stage.counter("coltsfootchute_hedges_total{")
        done = await stage.load(kind, rate, seconds)
        elapsed_s = time.monotonic() - began
        after = _cpu_by_process(stage)
        used = {n: (after[n] - before[n]) / elapsed_s * US_PER_S for n in after}
        count = await stage.counter("coltsfootchute_hedges_total{") - hedges
        by_rate[rate] = {
            **used,
            "calls": done["calls"],
            "failed": done["failed"],
            "hedges": count,
        }
    return by_rate


async def measure_latency(quick: bool) -> dict:
    """Measure the time that an entry adds, beside direct calls in the same run."""
    seconds, rounds = (1.5, 1) if quick else (2.5, 2)
    found = {rate: [] for rate in BACKGROUND_RATES_PER_S}
    async with Testbed() as stage:
        for _ in range(rounds):
            for rate in BACKGROUND_RATES_PER_S:
                found[rate].append(await _measure_added_latency(stage, rate, seconds))
    points = []
    for rate, samples in found.items():
        through = [ms for one in samples for ms in one["through"]]
        direct = [ms for one in samples for ms in one["direct"]]
        added = {
            f"added_{name}_ms": fits.quantile(through, q) - fits.quantile(direct, q)
            for name, q in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99))
        }
        rounds_p99 = [
            fits.quantile(one["through"], 0.99) - fits.quantile(one["direct"], 0.99)
            for one in samples
        ]
        points.append(
            {
                "background_calls_per_s": rate,
                "utilization": round(
                    sum(one["utilization"] for one in samples) / len(samples), 3
                ),
                "pairs": len(direct),
                "failed": sum(one["failed"] for one in samples),
                "direct_p50_ms": round(fits.quantile(direct, 0.5), 3),
                "direct_p99_ms": round(fits.quantile(direct, 0.99), 3),
                **{name: round(value, 3) for name, value in added.items()},
                **_nested_latency(through, direct),
                "added_p99_rounds_ms": [round(value, 3) for value in rounds_p99],
            }
        )
    return {"unit": "ms", "points": points}


def _nested_latency(through: list[float], direct: list[float]) -> dict[str, float]:
    """Return what a chain of calls adds, each through one entry.

    The times of the hops are drawn independently from those measured.
    """
    rng = random.Random(0)
    sums = {
        name: [sum(rng.choices(times, k=NESTED_DEPTH)) for _ in range(NESTED_SAMPLES)]
        for name, times in (("through", through), ("direct", direct))
    }
    return {
        f"depth{NESTED_DEPTH}_added_{name}_ms": round(
            fits.quantile(sums["through"], q) - fits.quantile(sums["direct"], q), 3
        )
        for name, q in (("p50", 0.5), ("p99", 0.99))
    }


async def _measure_added_latency(stage: Testbed, rate: float, seconds: float) -> dict:
    before, began = stage.entry.cpu_s(), time.monotonic()
    done = await stage.load(
        "small",
        rate,
        seconds,
        direct=stage.target_addresses[0],
        direct_path=CALL_KINDS["small"][1],
        pause_s=MEAN_PAIR_PAUSE_S,
    )
    used = (stage.entry.cpu_s() - before) / (time.monotonic() - began)
    kept = {name: done[name] for name in ("through", "direct", "failed")}
    return {**kept, "utilization": used}


async def measure_connections(quick: bool) -> dict:
    """Measure resident memory of an entry by idle connections of callers."""
    sizes = (0, 200, 400, 800)
    rounds = []
    for _ in range(1 if quick else 2):
        async with Testbed() as stage:
            values = {}
            for size in sizes:
                await stage.caller.ask_async(address=stage.address, open=size)
                await asyncio.sleep(0.5)
                values[size] = stage.entry.memory().total
            rounds.append(values)
    return fits.figure("KiB resident", "connections", rounds).data()
