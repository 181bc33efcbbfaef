"""Figures of single runs, and how they are read and merged."""

import collections
import typing

import msgspec
import prometheus_client.parser

from benchmarks import bench_callers

__all__ = ["AddedLatency", "Row", "counted", "merged"]

COUNTERS = {
    "coltsfootchute_refusals_total": "reason",
    "coltsfootchute_retries_total": "reason",
    "coltsfootchute_hedges_total": "",
}


class Row(msgspec.Struct, kw_only=True):
    """Figures of one run.

    Parameters
    ----------
    deployment, case, policy, round
        What ran.
    calls
        Calls in the counted part.
    latency
        Encoded HdrHistogram of the calls that were answered, in µs.
    outcomes
        Calls in the counted part by outcome.
    refusals, retries
        By reason, from the entries' counters, for the whole run.
    hedges
        From the entries' counters, for the whole run.
    sent
        Calls of the whole run, warm-up included.
    runs
        Runs at the targets.
    duplicates
        Keys that ran more than once.
    false_verdicts
        Keys that ran although refused as not run, or the reverse.
    probe_runs
        Runs at the targets that belong to no call.
    cores
        Processor time over the time of the run, by role.
    entry_us
        Processor time of the entries for each call in µs.
    late_us
        Worst delay of the generators in µs.
    resent
        Sendings of callers to another entry.
    """

    deployment: str
    case: str
    policy: str
    round: int
    calls: int
    latency: str
    outcomes: dict[str, int]
    refusals: dict[str, int]
    retries: dict[str, int]
    hedges: int
    sent: int
    runs: int
    duplicates: int
    false_verdicts: int
    probe_runs: int
    cores: dict[str, float]
    entry_us: float
    late_us: int
    resent: int


class AddedLatency(msgspec.Struct, kw_only=True):
    """Latency of calls through entries and of direct calls to the same target.

    Parameters
    ----------
    deployment
        Where it was measured.
    kind
        ``direct`` or ``entry``.
    p50_ms, p99_ms
        Of the responses.
    calls
        Responses.
    """

    deployment: str
    kind: str
    p50_ms: float
    p99_ms: float
    calls: int


def merged(encoded: typing.Iterable[bytes]) -> typing.Any:
    """Return the sum of encoded histograms."""
    total = bench_callers.new_histogram()
    for one in encoded:
        total.decode_and_add(one)
    return total


def counted(text: str) -> collections.Counter[tuple[str, str]]:
    """Return the counters of a text exposition by name and label."""
    found: collections.Counter[tuple[str, str]] = collections.Counter()
    for family in prometheus_client.parser.text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name in COUNTERS:
                label = sample.labels.get(COUNTERS[sample.name], "")
                found[sample.name, label] += int(sample.value)
    return found
