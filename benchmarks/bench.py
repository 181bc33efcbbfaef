"""Benchmark the whole system on loopback, for each policy and fault."""

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

__all__ = ["main", "select_runs"]

DOCS_DIR = pathlib.Path(__file__).parent.parent / "docs"
POLICIES = (*policies.POLICIES.names(), bench_cases.BARE_POLICY)
QUICK_CASES = ("straggler", "noise")
QUICK_POLICIES = ("two_choices", "expected_wait")
QUICK_MEASURED_S = 2.0
INTERRUPTED_EXIT_CODE = 130
# A call that starts this much after its planned time shows that the machine
# stalled. Such a run is repeated, and the run with the shortest delay counts. The
# selection doesn't depend on the latency of the calls.
MAX_START_DELAY_US = 40_000
MAX_REPEATS = 2
# Time from the start of the benchmark after which no run is repeated, so that all
# runs together take less than 8 minutes.
REPEAT_TIME_LIMIT_S = 200.0


def parse_args(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
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


def select_runs(
    args: argparse.Namespace, deployment: str
) -> list[tuple[str, bench_cases.CasePlan, str, int]]:
    """Return the runs of a deployment as (case, plan, policy, round number).

    Policies alternate within each round.
    """
    cases = args.case or (QUICK_CASES if args.quick else bench_cases.PLANS)
    runs = []
    for case in cases:
        plan = bench_cases.PLANS[case]
        if args.quick:
            plan = dataclasses.replace(plan, rounds=1, measured_s=QUICK_MEASURED_S)
        if deployment not in plan.deployments and not args.deployment:
            continue
        default = QUICK_POLICIES if args.quick else plan.default_policies
        rounds = range(args.rounds or (plan.rounds if deployment == "A" else 1))
        order = itertools.product(rounds, args.policy or default)
        runs += [(case, plan, policy, number) for number, policy in order]
    return runs


async def _measure_until_signal(args: argparse.Namespace) -> bench_reports.Results:
    """Measure; on SIGINT or SIGTERM stop all started processes and cancel."""
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for signum in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signum, task.cancel)
    return await _measure(args)


async def _measure(args: argparse.Namespace) -> bench_reports.Results:
    start_s = time.monotonic()
    results = bench_reports.Results(rows=[], added=[])
    names = args.deployment or (["A"] if args.quick else ["A", "B"])
    for name in names:
        runs = select_runs(args, name)
        services = {
            bench_clusters.service_name(policy, plan.group): policy
            for _, plan, policy, _ in runs
        }
        if not runs:
            continue
        deployment = bench_cases.DEPLOYMENTS[name]
        async with bench_clusters.running_testbed(deployment, services) as testbed:
            # The slow start of the targets ends during this measurement.
            results.added += await testbed.measure_added_latency()
            await testbed.warm_up(runs[0])
            for case, plan, policy, number in runs:
                tries = [await testbed.run(case, plan, policy, number)]
                while _should_repeat(tries, plan, start_s):
                    tries.append(await testbed.run(case, plan, policy, number))
                tries.sort(key=operator.attrgetter("late_us"))
                results.rows.append(tries[0])
                results.disturbed += tries[1:]
                _print_row(tries[0])
    return results


def _should_repeat(
    tries: list[bench_rows.Row], plan: bench_cases.CasePlan, start_s: float
) -> bool:
    was_late = all(row.late_us > MAX_START_DELAY_US for row in tries)
    in_time = time.monotonic() < start_s + (0 if plan.is_long else REPEAT_TIME_LIMIT_S)
    return was_late and in_time and len(tries) <= MAX_REPEATS


def _print_row(row: bench_rows.Row) -> None:
    (summary,) = bench_reports.summarize([row])
    print(
        f"{summary.deployment} {summary.case:13} {summary.policy:16} "
        f"p50 {summary.p50:6} p99 {summary.p99:6} p99.9 {summary.p999:6} "
        f"goodput {summary.goodput:7.2%} refused {summary.refused} "
        f"errors {summary.errors} unknown {summary.unknown} "
        f"extra {summary.extra:.1%} {summary.retries} entry {summary.entry_us} us "
        f"late {row.late_us / 1000:.0f} ms cores {row.cores}",
        flush=True,
    )


def _write_results(results: bench_reports.Results) -> None:
    data = msgspec.json.format(msgspec.json.encode(results), indent=1)
    (DOCS_DIR / "bench.json").write_bytes(data + b"\n")
    page = DOCS_DIR / "bench.md"
    text = page.read_text()
    page.write_text(bench_reports.replace_between(text, bench_reports.tables(results)))
    if not bench_reports.draw(results, DOCS_DIR / "bench.svg"):
        print("bench.svg not drawn: matplotlib is not installed")


def main(argv: list[str] | None = None) -> int:
    """Run the selected cases and print the results and the aims."""
    args = parse_args(argv)
    start_s = time.monotonic()
    try:
        results = uvloop.run(_measure_until_signal(args))
    except asyncio.CancelledError:
        print("interrupted", file=sys.stderr)
        return INTERRUPTED_EXIT_CODE
    results.seconds = round(time.monotonic() - start_s, 1)
    print(*bench_reports.check_aims(results), sep="\n")
    print(f"{results.seconds} s")
    if args.json:
        args.json.write_bytes(msgspec.json.encode(results))
    if args.write:
        _write_results(results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
