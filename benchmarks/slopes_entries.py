"""Measurements of an entry: processor time, latency, memory of connections."""

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
# Kind of call -> method, path, more fields of the load request, rates in calls/s.
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
        Interpreter arguments that start the entry; the settings file is appended.
    """

    def __init__(self, program: tuple[str, ...] = processes.COUNTED_ENTRY_PROGRAM):
        super().__init__()
        self._program = program

    def _start_process(self, *args: str, has_pipes: bool = False) -> processes.Process:
        process = processes.Process(*args, has_pipes=has_pipes)
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
            "-m", "benchmarks.slopes_children", "caller", has_pipes=True
        )
        self.targets = [
            self._start_process(
                "-m", "benchmarks.slopes_children", "target", has_pipes=True
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
        raise TimeoutError(
            f"the entry served no load without failed calls within {READY_TIMEOUT_S} s"
        )

    async def load(self, kind: str, rate: float, seconds: float, **more) -> dict:
        """Send calls of one kind at a rate; return the result of the caller."""
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
        """Return the sum of the entry's metrics whose lines start with a name."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{self._api}/metrics") as response,
        ):
            text = await response.text()
        lines = (line for line in text.splitlines() if line.startswith(name))
        return sum(float(line.rpartition(" ")[2]) for line in lines)


async def measure_entry_rest(quick: bool) -> dict:
    """Measure what control costs an idle entry, by number of other entries."""
    seconds, rounds = (2.0, 1) if quick else (2.0, 2)
    found = []
    async with Testbed() as testbed:
        # Control sends no list of entries in its first seconds.
        await asyncio.sleep(6.0)
        for _ in range(rounds):
            found.append(
                {
                    size: await _measure_at_rest(testbed, size, seconds)
                    for size in OTHER_ENTRY_COUNTS
                }
            )
    units = {"cpu": "us of processor time per s", "bytes": "bytes per s"}
    return {
        name: fits.fit_series(
            unit,
            "other entries",
            [{s: v[name] for s, v in one.items()} for one in found],
        ).data()
        for name, unit in units.items()
    }


async def _measure_at_rest(testbed: Testbed, entries: int, seconds: float) -> dict:
    """Measure the entry while it knows a number of other entries.

    Each of the other entries reports once before the measurement.
    """
    for number in range(entries):
        instance = pb.Instance(
            name=f"other-{number}",
            calls_address=f"127.0.0.1:{10_000 + number}",
            api_address=f"127.0.0.1:{20_000 + number}",
            peer_address=f"127.0.0.1:{30_000 + number}",
            failure_domain=f"fd-{number % 4}",
            start_ms=1,
        )
        await testbed.cluster.stub.Report(pb.ReportRequest(instance=instance))
    await asyncio.sleep(1.0)
    traffic = await asyncio.to_thread(testbed.entry.traffic, testbed.path)
    cpu, start_s = testbed.entry.cpu_s(), time.monotonic()
    await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - start_s
    cpu = testbed.entry.cpu_s() - cpu
    traffic = await asyncio.to_thread(testbed.entry.traffic, testbed.path) - traffic
    return {"cpu": cpu / elapsed_s * US_PER_S, "bytes": traffic / elapsed_s}


def _cpu_by_process(testbed: Testbed) -> dict[str, float]:
    """Return the processor time so far in s."""
    cluster = testbed.cluster
    return {
        "entry": testbed.entry.cpu_s(),
        "leader": cluster.leader_process.cpu_s(),
        "follower": cluster.processes[cluster.follower].cpu_s(),
        "target": sum(target.cpu_s() for target in testbed.targets),
    }


async def measure_calls(quick: bool) -> dict:
    """Measure processor time by rate of calls, kind of call and process."""
    seconds, rounds = (1.0, 1) if quick else (1.0, 2)
    results = {}
    async with Testbed() as testbed:
        for kind, (_, _, _, rates) in CALL_KINDS.items():
            measured = [
                await _measure_kind(testbed, kind, rates, seconds)
                for _ in range(rounds)
            ]
            results[kind] = {
                name: fits.fit_series(
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
    testbed: Testbed, kind: str, rates: tuple, seconds: float
) -> dict[float, dict]:
    by_rate = {}
    await testbed.load(kind, rates[0], 0.3)
    for rate in rates:
        before, start_s = _cpu_by_process(testbed), time.monotonic()
        hedges = await testbed.counter("coltsfootchute_hedges_total{")
        done = await testbed.load(kind, rate, seconds)
        elapsed_s = time.monotonic() - start_s
        after = _cpu_by_process(testbed)
        used = {n: (after[n] - before[n]) / elapsed_s * US_PER_S for n in after}
        count = await testbed.counter("coltsfootchute_hedges_total{") - hedges
        by_rate[rate] = {
            **used,
            "calls": done["calls"],
            "failed": done["failed"],
            "hedges": count,
        }
    return by_rate


async def measure_latency(quick: bool) -> dict:
    """Measure the latency that an entry adds to direct calls in the same run."""
    seconds, rounds = (1.5, 1) if quick else (2.5, 2)
    found = {rate: [] for rate in BACKGROUND_RATES_PER_S}
    async with Testbed() as testbed:
        for _ in range(rounds):
            for rate in BACKGROUND_RATES_PER_S:
                found[rate].append(await _measure_added_latency(testbed, rate, seconds))
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
    """Return the latency that entries add to a chain of nested calls.

    Each call of the chain goes through one entry. The latency of each is drawn
    independently from the measured ones.
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


async def _measure_added_latency(testbed: Testbed, rate: float, seconds: float) -> dict:
    before, start_s = testbed.entry.cpu_s(), time.monotonic()
    done = await testbed.load(
        "small",
        rate,
        seconds,
        direct=testbed.target_addresses[0],
        direct_path=CALL_KINDS["small"][1],
        pause_s=MEAN_PAIR_PAUSE_S,
    )
    used = (testbed.entry.cpu_s() - before) / (time.monotonic() - start_s)
    kept = {name: done[name] for name in ("through", "direct", "failed")}
    return {**kept, "utilization": used}


async def measure_connections(quick: bool) -> dict:
    """Measure resident memory of an entry by number of idle caller connections."""
    sizes = (0, 200, 400, 800)
    rounds = []
    for _ in range(1 if quick else 2):
        async with Testbed() as testbed:
            values = {}
            for size in sizes:
                await testbed.caller.ask_async(address=testbed.address, open=size)
                await asyncio.sleep(0.5)
                values[size] = testbed.entry.memory().total
            rounds.append(values)
    return fits.fit_series("KiB resident", "connections", rounds).data()
