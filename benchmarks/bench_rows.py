"""Results of single runs, and functions that parse and merge them."""

import collections
import typing

import msgspec
import prometheus_client.parser

from benchmarks import bench_callers

__all__ = ["AddedLatency", "Row", "merge_histograms", "parse_counters"]

LABEL_BY_COUNTER = {
    "coltsfootchute_refusals_total": "reason",
    "coltsfootchute_retries_total": "reason",
    "coltsfootchute_hedges_total": "",
}


class Row(msgspec.Struct, kw_only=True):
    """Results of one run.

    Parameters
    ----------
    deployment, case, policy, round
        Deployment, case, policy and round number of the run.
    calls
        Calls in the counted part.
    latency
        Encoded HdrHistogram of the latency of the calls with outcome ``ok``, in µs.
    outcomes
        Calls in the counted part by outcome.
    refusals, retries
        Numbers by reason for the whole run, from the counters of the entries.
    hedges
        Number for the whole run, from the counters of the entries.
    sent
        Calls of the whole run, warm-up included.
    runs
        Requests that the targets executed, for the whole run.
    duplicates
        Keys whose request was executed more than once.
    false_verdicts
        Keys whose request was executed although the caller got a "not run" verdict,
        or was not executed although the caller got a response.
    probe_runs
        Requests that the targets executed and that belong to no call.
    cores
        Processor time divided by the duration of the run, by role.
    entry_us
        Processor time of the entries per call in µs.
    late_us
        Longest delay between the planned and the actual start of a call in µs.
    resent
        Attempts of callers that failed with a connection error or a timeout.
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
        Name of the deployment.
    kind
        ``direct`` or ``entry``.
    p50_ms, p99_ms
        Quantiles of the latency in ms.
    calls
        Number of responses.
    """

    deployment: str
    kind: str
    p50_ms: float
    p99_ms: float
    calls: int


def merge_histograms(encoded: typing.Iterable[bytes]) -> typing.Any:
    """Decode histograms and return their sum."""
    total = bench_callers.new_histogram()
    for one in encoded:
        total.decode_and_add(one)
    return total


def parse_counters(text: str) -> collections.Counter[tuple[str, str]]:
    """Return the values of `LABEL_BY_COUNTER` by counter name and label value.

    Parameters
    ----------
    text
        Metrics in the text exposition format.
    """
    found: collections.Counter[tuple[str, str]] = collections.Counter()
    for family in prometheus_client.parser.text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name in LABEL_BY_COUNTER:
                label = sample.labels.get(LABEL_BY_COUNTER[sample.name], "")
                found[sample.name, label] += int(sample.value)
    return found
