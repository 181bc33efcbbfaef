"""Measure the decision logic of an entry in seeded runs without sockets."""

import argparse
import collections
import concurrent.futures
import functools
import itertools
import json
import pathlib
import time

from benchmarks import worlds
from coltsfootchute.balancing import policies

__all__ = ["check", "main", "run"]

MAX_EXTRA_LOAD = 0.10
SEED = 20240
# Largest p99 of expected_wait, over that of two choices.
AIMS = {"straggler": 0.5, "noise": 0.5, "steady": 1.0}
SIZES = (
    worlds.Size("A13", 13, 13, 4, 3),
    worlds.Size("A6", 13, 6, 4, 3),
    worlds.Size("B16", 16, 16, 6, 4),
    worlds.Size("C3", 3, 8, 6, 3),
)
POLICIES = (*policies.POLICIES.names(), worlds.BARE)
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


def run(case: worlds.Case) -> dict:
    """Run one case and return its figures, times in ms."""
    world = worlds.World(case)
    began = time.process_time()
    world.run()
    count, ordered = world.count, sorted(world.times_s)
    counted = sum(count[name] for name in ("ok", "refused", "failed", "late"))
    extra = count["retry"] + count["hedge"]
    quantiles = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999}
    return {
        "size": case.size.name,
        "fault": case.fault,
        "utilization": case.utilization,
        "policy": case.policy,
        **{
            name: round(1000 * ordered[int(q * len(ordered))], 2)
            for name, q in quantiles.items()
        },
        "goodput": round(count["ok"] / counted, 4),
        "refused": count["refused"],
        "failed": count["failed"] + count["late"],
        "retries": count["retry"],
        "hedges": count["hedge"],
        "extra": round(extra / count["requests"], 4),
        "cpu_us": round(1e6 * (time.process_time() - began) / count["requests"], 1),
    }


def check(rows: list[dict]) -> list[str]:
    """Return for each aim whether the figures meet it."""
    key = ("size", "fault", "utilization")
    groups = collections.defaultdict(dict)
    for row in rows:
        groups[tuple(row[name] for name in key)][row["policy"]] = row
    lines = []
    for (size, fault, utilization), by_policy in groups.items():
        place = f"{size} {fault} {utilization:.0%}"
        factor = AIMS.get(fault)
        for other in ("two_choices", worlds.BARE) if factor else ():
            ours, theirs = by_policy["expected_wait"], by_policy[other]
            ratio = ours["p99"] / theirs["p99"]
            word = "met" if ratio <= factor else "MISSED"
            lines.append(
                f"{word}: {place}: p99 is {ratio:.2f} of {other}, aim {factor}"
            )
        lines += [
            f"MISSED: {place}: {name} adds {row['extra']:.1%} load"
            for name, row in by_policy.items()
            if row["extra"] > MAX_EXTRA_LOAD
        ]
    return lines


def main() -> None:
    """Run the set of cases and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="a few seconds")
    parser.add_argument("--json", type=pathlib.Path, help="also write JSON here")
    parser.add_argument("--policy", nargs="*", default=POLICIES)
    parser.add_argument("--fault", nargs="*", default=CASES)
    parser.add_argument("--size", nargs="*", default=[size.name for size in SIZES])
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--requests", type=int, help="per run")
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    sizes = [size for size in SIZES if size.name in args.size]
    sizes = sizes[2:3] if args.quick else sizes
    requests = args.requests or (2000 if args.quick else 4000)
    make = functools.partial(worlds.Case, requests=requests, seed=args.seed)
    order = itertools.product(sizes, args.fault, (0.7, 0.95), args.policy)
    cases = [make(*fields) for fields in order]
    with concurrent.futures.ProcessPoolExecutor(args.jobs) as pool:
        rows = list(pool.map(run, cases, chunksize=2))
    for number, row in enumerate(rows):
        if number % len(args.policy) == 0:
            print(" ".join(f"{name:>11}" for name in row))
        print(" ".join(f"{value:>11}"[:16] for value in row.values()))
    lines = check(rows) if set(POLICIES) <= set(args.policy) else []
    print(*lines, sep="\n")
    if args.json:
        args.json.write_text(json.dumps({"rows": rows, "aims": lines}, indent=1))


if __name__ == "__main__":
    main()
