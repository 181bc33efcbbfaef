"""Metrics of the entry role."""

import prometheus_client

from coltsfootchute import verdicts

__all__ = ["CallMeter", "Metrics"]

# Latencies of interest reach from the added 0.59 ms to whole deadlines.
BUCKETS_S = (
    *(0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032),
    *(0.064, 0.125, 0.25, 0.5, 1, 2, 4, 8),
)


class CallMeter:
    """The metrics of one service, looked up once instead of at each call."""

    __slots__ = ("attempts", "hedges", "in_flight", "latency")

    def __init__(self, metrics: "Metrics", service: str):
        self.latency = metrics.latency.labels(service)
        self.in_flight = metrics.in_flight.labels(service)
        self.hedges = metrics.hedges.labels(service)
        self.attempts = {
            v: metrics.attempts.labels(service, v.value) for v in verdicts.Verdict
        }


class Metrics:
    """All metrics, in a registry of their own."""

    def __init__(self):
        self.registry = registry = prometheus_client.CollectorRegistry()
        self.refusals = prometheus_client.Counter(
            "coltsfootchute_refusals",
            "Requests that the entry refused.",
            ["reason"],
            registry=registry,
        )
        self.retries = prometheus_client.Counter(
            "coltsfootchute_retries",
            "Attempts that followed a failed one, by its reason.",
            ["reason"],
            registry=registry,
        )
        for reason in verdicts.Reason:
            self.refusals.labels(reason.value)
            self.retries.labels(reason.value)
        self.attempts = prometheus_client.Counter(
            "coltsfootchute_attempts",
            "Attempts by verdict.",
            ["service", "verdict"],
            registry=registry,
        )
        self.hedges = prometheus_client.Counter(
            "coltsfootchute_hedges",
            "Second attempts sent before the first one responded.",
            ["service"],
            registry=registry,
        )
        self.truncated = prometheus_client.Counter(
            "coltsfootchute_truncated_answers",
            "Answers that ended early because the target's response did.",
            registry=registry,
        )
        self.probe_seconds = prometheus_client.Counter(
            "coltsfootchute_probe_seconds",
            "Time spent on probes of quiet targets.",
            ["service"],
            registry=registry,
        )
        self.latency = prometheus_client.Histogram(
            "coltsfootchute_call_seconds",
            "Time from the request head to the end of the answer.",
            ["service"],
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.in_flight = prometheus_client.Gauge(
            "coltsfootchute_calls_in_flight",
            "Calls in progress.",
            ["service"],
            registry=registry,
        )
        self.stale = prometheus_client.Gauge(
            "coltsfootchute_stale",
            "1 while the entry can't prove that its state is current.",
            registry=registry,
        )
        self.revision = prometheus_client.Gauge(
            "coltsfootchute_revision_in_force",
            "Log index of the last change in force.",
            registry=registry,
        )
        self._meters: dict[str, CallMeter] = {}

    def meter(self, service: str) -> CallMeter:
        """Return the metrics of a service."""
        found = self._meters.get(service)
        if found is None:
            found = self._meters[service] = CallMeter(self, service)
        return found

    def exposition(self) -> bytes:
        """Return all metrics in the text format."""
        return prometheus_client.generate_latest(self.registry)
