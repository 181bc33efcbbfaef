"""Measure target selection by an entry in seeded simulations without sockets."""

import argparse
import collections
import concurrent.futures
import functools
import itertools
import json
import pathlib
import time

from benchmarks import deployments, overloads, simulations
from coltsfootchute.balancing import placements, policies

__all__ = ["check_aims", "main", "run_case"]

MAX_EXTRA_LOAD = 0.10
SEED = 20240
# Highest p99 of expected_wait relative to that of each variant of two_choices.
MAX_P99_RATIOS = {"straggler": 0.5, "noise": 0.5, "steady": 1.0}
SIZES = (
    simulations.Size("A13", 13, 13, 4, 3),
    simulations.Size("A6", 13, 6, 4, 3),
    simulations.Size("B16", 16, 16, 6, 4),
    simulations.Size("C3", 3, 8, 6, 3),
)
POLICIES = (*policies.POLICIES.names(), simulations.BARE_POLICY)
CASES = (
    "steady",
    "straggler",
    "noise",
    "fail_fast",
    "cold",
    "drain",
    "burst",
    "old_reports",
)


def run_case(case: simulations.Case) -> dict:
    """Simulate one case and return its results; latencies are in ms."""
    simulation = simulations.Simulation(case)
    start_cpu_s = time.process_time()
    simulation.run()
    counts, latencies_s = simulation.counts, sorted(simulation.latencies_s)
    counted = sum(counts[name] for name in ("ok", "refused", "failed", "late"))
    extra = counts["retry"] + counts["hedge"]
    quantiles = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999}
    return {
        "size": case.size.name,
        "fault": case.fault,
        "utilization": case.utilization,
        "policy": case.policy,
        **{
            name: round(1000 * latencies_s[int(q * len(latencies_s))], 2)
            for name, q in quantiles.items()
        },
        "goodput": round(counts["ok"] / counted, 4),
        "refused": counts["refused"],
        "failed": counts["failed"] + counts["late"],
        "retries": counts["retry"],
        "hedges": counts["hedge"],
        "extra": round(extra / counts["requests"], 4),
        "cpu_us": round(
            1e6 * (time.process_time() - start_cpu_s) / counts["requests"], 1
        ),
    }


def check_aims(rows: list[dict]) -> list[str]:
    """Return a line for each comparison of p99 and each excess of extra load."""
    key = ("size", "fault", "utilization")
    groups = collections.defaultdict(dict)
    for row in rows:
        groups[tuple(row[name] for name in key)][row["policy"]] = row
    lines = []
    for (size, fault, utilization), by_policy in groups.items():
        place = f"{size} {fault} {utilization:.0%}"
        factor = MAX_P99_RATIOS.get(fault)
        for other in ("two_choices", simulations.BARE_POLICY) if factor else ():
            candidate, reference = by_policy["expected_wait"], by_policy[other]
            ratio = candidate["p99"] / reference["p99"]
            status = "met" if ratio <= factor else "MISSED"
            lines.append(
                f"{status}: {place}: p99 is {ratio:.2f} of {other}, aim {factor}"
            )
        lines += [
            f"MISSED: {place}: {name} adds {row['extra']:.1%} load"
            for name, row in by_policy.items()
            if row["extra"] > MAX_EXTRA_LOAD
        ]
    return lines


def print_overloads(args: argparse.Namespace) -> list[dict]:
    """Play hard loads with each placement and print what callers got by route."""
    make = functools.partial(
        overloads.Case, duration_s=args.seconds, scale=args.scale, seed=args.seed
    )
    order = itertools.product(args.service, args.load, args.placement)
    with concurrent.futures.ProcessPoolExecutor(args.jobs) as pool:
        tables = list(pool.map(overloads.run_case, itertools.starmap(make, order)))
    names = list(dict.fromkeys(itertools.chain(*itertools.chain(*tables))))
    print(" ".join(f"{name:>11}" for name in names))
    rows = list(itertools.chain(*tables))
    for row in rows:
        print(" ".join(f"{row.get(name, '')!s:>11}"[:16] for name in names))
    return rows


def main() -> None:
    """Run the selected cases and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--quick", action="store_true", help="run a subset in a few seconds"
    )
    parser.add_argument(
        "--json", type=pathlib.Path, help="write the results to this file as JSON"
    )
    parser.add_argument("--policy", nargs="*", default=POLICIES)
    parser.add_argument("--fault", nargs="*", default=CASES)
    parser.add_argument("--size", nargs="*", default=[size.name for size in SIZES])
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--requests", type=int, help="number of requests per run")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument(
        "--load", nargs="*", help="play these hard loads in place of the faults"
    )
    parser.add_argument("--service", nargs="*", default=[*deployments.SERVICES])
    parser.add_argument("--placement", nargs="*", default=placements.PLACEMENTS.names())
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--scale", type=float, default=1.0)
    args = parser.parse_args()
    if args.load is not None:
        rows = print_overloads(args)
        if args.json:
            args.json.write_text(json.dumps({"rows": rows}, indent=1))
        return
    sizes = [size for size in SIZES if size.name in args.size]
    sizes = sizes[2:3] if args.quick else sizes
    requests = args.requests or (2000 if args.quick else 4000)
    make = functools.partial(simulations.Case, requests=requests, seed=args.seed)
    order = itertools.product(sizes, args.fault, (0.7, 0.95), args.policy)
    cases = [make(*fields) for fields in order]
    with concurrent.futures.ProcessPoolExecutor(args.jobs) as pool:
        rows = list(pool.map(run_case, cases, chunksize=2))
    for number, row in enumerate(rows):
        if number % len(args.policy) == 0:
            print(" ".join(f"{name:>11}" for name in row))
        print(" ".join(f"{value:>11}"[:16] for value in row.values()))
    lines = check_aims(rows) if set(POLICIES) <= set(args.policy) else []
    print(*lines, sep="\n")
    if args.json:
        args.json.write_text(json.dumps({"rows": rows, "aims": lines}, indent=1))


if __name__ == "__main__":
    main()
