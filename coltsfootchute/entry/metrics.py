"""Metrics of the entry role."""

from coltsfootchute import balancing, verdicts
from coltsfootchute.entry import counters, phases

__all__ = ["CallMeter", "Metrics"]

# From the latency that an entry adds (0.59 ms) up to the length of deadlines.
BUCKETS_S = (
    *(0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032),
    *(0.064, 0.125, 0.25, 0.5, 1, 2, 4, 8),
)


class CallMeter:
    """Metrics of one service, looked up once rather than at each call."""

    __slots__ = ("attempts", "hedges", "in_flight", "latency")

    def __init__(self, metrics: "Metrics", service: str):
        self.latency = metrics.latency.labels(service)
        self.in_flight = metrics.in_flight.labels(service)
        self.hedges = metrics.hedges.labels(service)
        self.attempts = {
            v: metrics.attempts.labels(service, v.value) for v in verdicts.Verdict
        }


class Metrics:
    """All metrics of one entry."""

    def __init__(self):
        self.families: list[counters.Family] = []
        self.refusals = self._add_counter(
            "coltsfootchute_refusals", "Requests that the entry refused.", ["reason"]
        )
        self.retries = self._add_counter(
            "coltsfootchute_retries",
            "Attempts that followed a failed one, by the reason of its failure.",
            ["reason"],
        )
        for reason in verdicts.Reason:
            self.refusals.labels(reason.value)
            self.retries.labels(reason.value)
        self.attempts = self._add_counter(
            "coltsfootchute_attempts", "Attempts by verdict.", ["service", "verdict"]
        )
        self.hedges = self._add_counter(
            "coltsfootchute_hedges",
            "Second attempts sent before the first one responded.",
            ["service"],
        )
        self.truncated = self._add_counter(
            "coltsfootchute_truncated_answers",
            "Answers that ended early because the target's response did.",
        ).labels()
        self.cut_requests = self._add_counter(
            "coltsfootchute_cut_requests",
            "Requests that the entry cut off as it stopped, by their phase.",
            ["phase"],
        )
        self.left_requests = self._add_counter(
            "coltsfootchute_left_requests",
            "Requests whose callers disconnected before the answer, by their phase.",
            ["phase"],
        )
        for phase in phases.Phase:
            self.cut_requests.labels(phase.value)
            self.left_requests.labels(phase.value)
        self.stop_ends = self._add_counter(
            "coltsfootchute_stop_ends",
            "Requests that ended after a planned stop began, by outcome.",
            ["end"],
        )
        self.refused_documents = self._add_counter(
            "coltsfootchute_refused_documents",
            "Declarations and reports of targets refused as invalid, by kind.",
            ["kind"],
        )
        for kind in ("declaration", "report"):
            self.refused_documents.labels(kind)
        self.statements = self._add_counter(
            "coltsfootchute_target_statements",
            "Responses in which a target stated that it leaves, is cold or wants no "
            "requests.",
            ["kind"],
        )
        for kind in ("leaving", "rest", "unreadable", "cold"):
            self.statements.labels(kind)
        self.cold_attempts = self._add_counter(
            "coltsfootchute_cold_attempts", "Attempts at cold targets.", ["service"]
        )
        self.overdue_attempts = self._add_counter(
            "coltsfootchute_overdue_attempts",
            "Attempts that their targets did not answer in time, by evidence.",
            ["service", "evidence"],
        )
        self.hangs = self._add_counter(
            "coltsfootchute_target_hangs",
            "Targets that began or ended to hang, and trial requests to them.",
            ["service", "event"],
        )
        self.key_checks = self._add_counter(
            "coltsfootchute_key_checks",
            "Look-ups of callers' keys on routes of deployments with workspaces.",
            ["outcome"],
        )
        for outcome in ("known", "missing", "repeated", "unknown", "removed"):
            self.key_checks.labels(outcome)
        self.probe_seconds = self._add_counter(
            "coltsfootchute_probe_seconds",
            "Time spent on probes of idle targets.",
            ["service"],
        )
        self.allotments = self._add_counter(
            "coltsfootchute_allotments",
            "Requests of workspaces with a limit, by the decision on them.",
            ["outcome"],
        )
        for outcome in balancing.allotments.Outcome:
            self.allotments.labels(outcome.value)
        self.allotments.labels("given_back")
        self.owner_changes = self._add_counter(
            "coltsfootchute_owner_changes",
            "Control instances that became the owner of the limits on workspaces.",
        ).labels()
        self.owner_connected = self._add_gauge(
            "coltsfootchute_owner_connected",
            "1 while an owner of the limits on workspaces answers.",
        ).labels()
        self.latency = self._add(
            counters.Family(
                counters.Kind.HISTOGRAM,
                "coltsfootchute_call_seconds",
                "Time from the request head to the end of the answer.",
                ["service"],
                BUCKETS_S,
            )
        )
        self.in_flight = self._add_gauge(
            "coltsfootchute_calls_in_flight", "Calls in progress.", ["service"]
        )
        self.stale = self._add_gauge(
            "coltsfootchute_stale",
            "1 while the entry can't prove that its state is current.",
        ).labels()
        self.revision = self._add_gauge(
            "coltsfootchute_revision_in_force",
            "Log index of the last change in force.",
        ).labels()
        self.evacuated = self._add_gauge(
            "coltsfootchute_evacuated_failure_domains",
            "Failure domains whose targets get no new requests from this entry.",
        ).labels()
        self._meters: dict[str, CallMeter] = {}

    def _add(self, family: counters.Family) -> counters.Family:
        self.families.append(family)
        return family

    def _add_counter(self, name, help_text, label_names=()) -> counters.Family:
        kind = counters.Kind.COUNTER
        return self._add(counters.Family(kind, name, help_text, label_names))

    def _add_gauge(self, name, help_text, label_names=()) -> counters.Family:
        kind = counters.Kind.GAUGE
        return self._add(counters.Family(kind, name, help_text, label_names))

    def meter(self, service: str) -> CallMeter:
        """Return the metrics of a service."""
        found = self._meters.get(service)
        if found is None:
            found = self._meters[service] = CallMeter(self, service)
        return found

    def exposition(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return counters.exposition(self.families)
