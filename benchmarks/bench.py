"""Measure the whole system on loopback, policy by policy and fault by fault."""

import argparse
import asyncio
import dataclasses
import itertools
import operator
import pathlib
import signal
import sys
import time

import msgspec
import uvloop

from benchmarks import bench_cases, bench_clusters, bench_reports, bench_rows
from coltsfootchute.balancing import policies

__all__ = ["chosen", "main"]

DOCS = pathlib.Path(__file__).parent.parent / "docs"
POLICIES = (*policies.POLICIES.names(), bench_cases.BARE)
QUICK_CASES = ("straggler", "noise")
QUICK_POLICIES = ("two_choices", "expected_wait")
QUICK_S = 2.0
INTERRUPTED = 130
# Calls that start later than this show that the machine stalled; such a run is
# repeated, and the one with the least delay counts. The choice doesn't look at
# the latency of the calls.
LATE_US = 40_000
MAX_REPEATS = 2
# No run is repeated after this time, so that the whole set takes under 8 minutes.
REPEAT_UNTIL_S = 200.0


def parse(argv: list[str] | None = None) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="under a minute")
    parser.add_argument("--case", nargs="*", choices=list(bench_cases.PLANS))
    parser.add_argument("--policy", nargs="*", choices=POLICIES)
    parser.add_argument("--deployment", nargs="*", choices=["A", "B"])
    parser.add_argument("--rounds", type=int, help="runs of each policy and case")
    parser.add_argument("--json", type=pathlib.Path, help="write the results here")
    parser.add_argument(
        "--write", action="store_true", help="write docs/bench.json and docs/bench.md"
    )
    return parser.parse_args(argv)


def chosen(
    args: argparse.Namespace, deployment: str
) -> list[tuple[str, bench_cases.CasePlan, str, int]]:
    """Return the runs of a deployment: policies alternate within each round."""
    cases = args.case or (QUICK_CASES if args.quick else bench_cases.PLANS)
    runs = []
    for case in cases:
        plan = bench_cases.PLANS[case]
        if args.quick:
            plan = dataclasses.replace(plan, rounds=1, measured_s=QUICK_S)
        if deployment not in plan.deployments and not args.deployment:
            continue
        default = QUICK_POLICIES if args.quick else plan.only
        rounds = range(args.rounds or (plan.rounds if deployment == "A" else 1))
        order = itertools.product(rounds, args.policy or default)
        runs += [(case, plan, policy, number) for number, policy in order]
    return runs


async def _measured_or_interrupted(args: argparse.Namespace) -> bench_reports.Results:
    """Measure; a signal ends all started processes before this one."""
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for signum in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signum, task.cancel)
    return await _measure(args)


async def _measure(args: argparse.Namespace) -> bench_reports.Results:
    began = time.monotonic()
    results = bench_reports.Results(rows=[], added=[])
    names = args.deployment or (["A"] if args.quick else ["A", "B"])
    for name in names:
        runs = chosen(args, name)
        services = {
            bench_clusters.service_name(policy, plan.group): policy
            for _, plan, policy, _ in runs
        }
        if not runs:
            continue
        deployment = bench_cases.DEPLOYMENTS[name]
        async with bench_clusters.opened(deployment, services) as world:
            # Meanwhile the targets leave their slow start.
            results.added += await world.added_latency()
            await world.warm_up(runs[0])
            for case, plan, policy, number in runs:
                tries = [await world.run(case, plan, policy, number)]
                while _may_repeat(tries, plan, began):
                    tries.append(await world.run(case, plan, policy, number))
                tries.sort(key=operator.attrgetter("late_us"))
                results.rows.append(tries[0])
                results.disturbed += tries[1:]
                _show(tries[0])
    return results


def _may_repeat(
    tries: list[bench_rows.Row], plan: bench_cases.CasePlan, began: float
) -> bool:
    is_late = all(row.late_us > LATE_US for row in tries)
    in_time = time.monotonic() < began + (0 if plan.is_long else REPEAT_UNTIL_S)
    return is_late and in_time and len(tries) <= MAX_REPEATS


def _show(row: bench_rows.Row) -> None:
    (f,) = bench_reports.summarize([row])
    print(
        f"{f.deployment} {f.case:13} {f.policy:16} p50 {f.p50:6} p99 {f.p99:6} "
        f"p99.9 {f.p999:6} goodput {f.goodput:7.2%} refused {f.refused} "
        f"errors {f.errors} unknown {f.unknown} extra {f.extra:.1%} "
        f"{f.retries} entry {f.entry_us} us late {row.late_us / 1000:.0f} ms "
        f"cores {row.cores}",
        flush=True,
    )


def _write(results: bench_reports.Results) -> None:
    data = msgspec.json.format(msgspec.json.encode(results), indent=1)
    (DOCS / "bench.json").write_bytes(data + b"\n")
    page = DOCS / "bench.md"
    text = page.read_text()
    page.write_text(bench_reports.replace_between(text, bench_reports.tables(results)))
    if not bench_reports.draw(results, DOCS / "bench.svg"):
        print("no picture: matplotlib is not installed")


def main(argv: list[str] | None = None) -> int:
    """Run the chosen cases and print the figures and aims."""
    args = parse(argv)
    began = time.monotonic()
    try:
        results = uvloop.run(_measured_or_interrupted(args))
    except asyncio.CancelledError:
        print("interrupted", file=sys.stderr)
        return INTERRUPTED
    results.seconds = round(time.monotonic() - began, 1)
    print(*bench_reports.aims(results), sep="\n")
    print(f"{results.seconds} s")
    if args.json:
        args.json.write_bytes(msgspec.json.encode(results))
    if args.write:
        _write(results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
