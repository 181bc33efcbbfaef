"""Guards against metrics that differ from those of prometheus_client."""

import subprocess
import sys

import prometheus_client

from coltsfootchute.entry import counters

BOUNDS = (0.5, 1, 2)


def observe_in_both() -> tuple[counters.Family, prometheus_client.CollectorRegistry]:
    """Record the same observations in a `Family` and in the library's histogram."""
    ours = counters.Family(
        counters.Kind.HISTOGRAM, "seconds", "Some times.", ["service"], BOUNDS
    )
    registry = prometheus_client.CollectorRegistry()
    theirs = prometheus_client.Histogram(
        "seconds", "Some times.", ["service"], buckets=BOUNDS, registry=registry
    )
    for value in (0.1, 0.5, 0.51, 1.0, 1.5, 2.0, 7.0):
        ours.labels("shop").observe(value)
        theirs.labels("shop").observe(value)
    return ours, registry


def test_a_histogram_is_written_as_by_prometheus_client():
    ours, registry = observe_in_both()
    text = prometheus_client.generate_latest(registry).decode()
    wanted = [line for line in text.splitlines() if "_created" not in line]
    assert counters.exposition([ours]).decode().splitlines() == wanted


def test_counters_and_gauges_are_written_with_their_labels():
    count = counters.Family(counters.Kind.COUNTER, "refusals", "Refused.", ["reason"])
    count.labels("stale").inc()
    count.labels("stale").inc(2)
    gauge = counters.Family(counters.Kind.GAUGE, "in_flight", "In progress.")
    gauge.labels().inc()
    gauge.labels().dec()
    text = counters.exposition([count, gauge]).decode()
    assert 'refusals_total{reason="stale"} 3.0' in text
    assert "in_flight 0.0" in text
    assert count.total() == 3


PROGRAM = """
import sys
from coltsfootchute import imports
imports.load_entry()
from coltsfootchute.entry import metrics
before = set(sys.modules)
text = metrics.Metrics().exposition()
print(*before)
print(text.decode())
"""


def test_an_entry_loads_neither_openssl_nor_prometheus_client_until_metrics_are_read():
    # Guards against imports that cost each entry some megabytes of memory.
    command = [sys.executable, "-c", PROGRAM]
    text = subprocess.run(command, text=True, capture_output=True, check=True).stdout
    modules, _, page = text.partition("\n")
    unwanted = {"_ssl", "_hashlib", "prometheus_client", "cyclopts", "rich"}
    assert unwanted.isdisjoint(modules.split())
    assert "coltsfootchute_stale" in page
