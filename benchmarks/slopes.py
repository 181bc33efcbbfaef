"""Measure how the cost of each role grows with its work: `make slopes`.

The results are written to `docs/capacity.json`; `benchmarks.capacity` makes the
tables of `docs/CAPACITY.md` from them.
"""

import argparse
import asyncio
import collections.abc
import json
import pathlib
import sys
import tempfile
import time

from benchmarks import (
    slopes_children,
    slopes_controls,
    slopes_entries,
    slopes_feeds,
    slopes_states,
)
from benchmarks import slopes_fits as fits
from benchmarks import slopes_processes as processes
from coltsfootchute import registries

__all__ = ["MEASUREMENTS", "main"]

RESULTS = pathlib.Path(__file__).resolve().parent.parent / "docs" / "capacity.json"
CHILD_PROGRAM = ("-m", slopes_children.__name__)
STATE_SIZES = {
    "targets": (500, 1000, 2000),
    "services": (25, 50, 100),
    "claims": (5000, 10_000, 20_000),
}
ENTRY_KINDS = ("targets", "services")
RESTART_CHANGES = (500, 2000, 8000)
APPEND_SIZES = (1, 8, 64, 512)

MEASUREMENTS = registries.Registry("measurement")


@MEASUREMENTS.register("imports")
def measure_imports(quick: bool) -> dict:
    """Measure resident memory after each import, and of roles just started."""
    rounds = 1 if quick else 2
    results: dict = {"unit": "KiB resident"}
    for role in slopes_states.IMPORTS:
        found = [
            processes.run_json(*CHILD_PROGRAM, "imports", role)
            for _ in range(1 + rounds)
        ]
        # The first run is dropped, because it may have compiled the modules.
        results[role] = {
            step: {
                part: sorted(one[step][part] for one in found[1:])[rounds // 2]
                for part in ("anonymous", "file")
            }
            for step in found[0]
        }
    results["started"] = asyncio.run(_measure_started(rounds))
    return results


async def _measure_started(rounds: int) -> dict:
    found: dict[str, list] = {"control": [], "entry": []}
    for _ in range(rounds):
        async with slopes_entries.Testbed(processes.ENTRY_PROGRAM) as testbed:
            found["entry"].append(testbed.entry.memory())
        found["control"].append(await _measure_idle_control())
    return {
        role: {
            "anonymous": sorted(m.anonymous for m in memories)[rounds // 2],
            "file": sorted(m.file for m in memories)[rounds // 2],
            "total_spread": [
                min(m.total for m in memories),
                max(m.total for m in memories),
            ],
        }
        for role, memories in found.items()
    }


async def _measure_idle_control() -> processes.Memory:
    """Return the memory of the leader of an idle cluster of three."""
    cluster = processes.Cluster(3, program=processes.CONTROL_PROGRAM)
    try:
        await cluster.start()
        await asyncio.sleep(1.0)
        return cluster.leader_process.memory()
    finally:
        await cluster.stop()


@MEASUREMENTS.register("state")
def measure_state(quick: bool) -> dict:
    """Measure the memory of replicated state in control and in an entry."""
    rounds = 1 if quick else 2
    control = {
        kind: _measure_state_sizes("control", kind, rounds) for kind in STATE_SIZES
    }
    return {
        "control": {
            kind: _fit_state_sizes(kind, found, "kib")
            for kind, found in control.items()
        },
        "entry": {
            kind: _fit_state_sizes(
                kind, _measure_state_sizes("entry", kind, rounds), "kib"
            )
            for kind in ENTRY_KINDS
        },
        "full_view": {
            kind: _fit_state_sizes(kind, control[kind], "view_bytes")
            for kind in ENTRY_KINDS
        },
    }


def _measure_state_sizes(role: str, kind: str, rounds: int) -> list[dict[int, dict]]:
    args = (*CHILD_PROGRAM, "state", role, kind)
    return [
        {size: processes.run_json(*args, str(size)) for size in STATE_SIZES[kind]}
        for _ in range(rounds)
    ]


def _fit_state_sizes(kind: str, rounds: list[dict[int, dict]], name: str) -> dict:
    unit = {"kib": "KiB resident", "view_bytes": "bytes"}[name]
    values = [{size: one[size][name] for size in one} for one in rounds]
    return fits.fit_series(unit, kind, values).data()


@MEASUREMENTS.register("log")
def measure_log(quick: bool) -> dict:
    """Measure the time of an append with its sync, by number of entries."""
    rounds = 1 if quick else 3
    sizes = ",".join(map(str, APPEND_SIZES))
    found = []
    for _ in range(rounds):
        with tempfile.TemporaryDirectory(prefix="slopes-") as folder:
            args = ("sync", folder, sizes, "40")
            found.append(processes.run_json(*CHILD_PROGRAM, *args))
    return {
        name: fits.fit_series(
            "us",
            "entries of 256 bytes",
            [{int(size): value[name] for size, value in one.items()} for one in found],
        ).data()
        for name in ("p50", "p99")
    }


@MEASUREMENTS.register("restart")
def measure_restart(quick: bool) -> dict:
    """Measure the start from a data folder, by number of changes."""
    rounds = 1 if quick else 2
    results = {}
    for mode in ("snapshots", "no_snapshots"):
        found: list[dict] = []
        for _ in range(rounds):
            values = {}
            for size in RESTART_CHANGES:
                with tempfile.TemporaryDirectory(prefix="slopes-") as folder:
                    args = (folder, str(size), mode)
                    filled = processes.run_json(*CHILD_PROGRAM, "fill", *args)
                    started = processes.run_json(
                        *CHILD_PROGRAM, "restart", folder, mode
                    )
                if started.pop("revisions") != size:
                    raise RuntimeError(
                        f"not all {size} changes were restored after restart"
                    )
                values[size] = {**filled, **started}
            found.append(values)
        units = {"bytes": "bytes", "opened_ms": "ms", "ready_ms": "ms", "kib": "KiB"}
        results[mode] = {
            name: fits.fit_series(
                unit, "changes", [{s: v[name] for s, v in one.items()} for one in found]
            ).data()
            for name, unit in units.items()
        }
    return results


def _run_async(measure) -> collections.abc.Callable[[bool], dict]:
    return lambda quick: asyncio.run(measure(quick))


MEASUREMENTS.register("rest")(_run_async(slopes_controls.measure_rest))
MEASUREMENTS.register("work")(_run_async(slopes_controls.measure_work))
MEASUREMENTS.register("force")(_run_async(slopes_feeds.measure_time_until_in_force))
MEASUREMENTS.register("news")(_run_async(slopes_feeds.measure_reports_after_change))
MEASUREMENTS.register("entry_rest")(_run_async(slopes_entries.measure_entry_rest))
MEASUREMENTS.register("calls")(_run_async(slopes_entries.measure_calls))
MEASUREMENTS.register("latency")(_run_async(slopes_entries.measure_latency))
MEASUREMENTS.register("connections")(_run_async(slopes_entries.measure_connections))


def _format_json(value: object, indent: str = "") -> str:
    """Return indented JSON with one line for each list of scalar values."""
    if isinstance(value, dict) and value:
        inner = indent + " "
        lines = (
            f"{inner}{json.dumps(str(key))}: {_format_json(item, inner)}"
            for key, item in value.items()
        )
        return "{\n" + ",\n".join(lines) + f"\n{indent}}}"
    if isinstance(value, list) and any(isinstance(item, dict) for item in value):
        lines = (f"{indent} {json.dumps(item)}" for item in value)
        return "[\n" + ",\n".join(lines) + f"\n{indent}]"
    return json.dumps(value)


def main(args: list[str] | None = None) -> int:
    """Run the selected measurements and write the results."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.slopes")
    parser.add_argument("--only", action="append", choices=MEASUREMENTS.names())
    parser.add_argument(
        "--quick", action="store_true", help="one repetition of each measurement"
    )
    options = parser.parse_args(args)
    results = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    for name in options.only or MEASUREMENTS.names():
        start_s = time.monotonic()
        results[name] = MEASUREMENTS[name](options.quick)
        results[name]["quick"] = options.quick
        RESULTS.write_text(_format_json(results) + "\n")
        print(f"{name}: {time.monotonic() - start_s:.1f} s", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
