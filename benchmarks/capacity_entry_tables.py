"""Tables of entries and calls, and the table of all fitted lines."""

from benchmarks import capacity_models as models
from benchmarks import capacity_tables as tables

__all__: list[str] = []

UTILIZATIONS = (0.3, 0.5, 0.7)


def _entries_at(results: models.Results, utilization: float) -> float:
    return results.entries(models.DESIGN_SIZE, utilization).value


@tables.TABLES.register("slopes")
def slopes(results: models.Results) -> str:
    """Return all fitted lines with their slopes."""
    rows = []

    def walk(key: str, found: object) -> None:
        if not isinstance(found, dict):
            return
        if "medians" not in found:
            for name, item in found.items():
                walk(f"{key}.{name}".strip("."), item)
            return
        low, high = found["slope_spread"]
        sizes = f"{found['sizes'][0]:g} to {found['sizes'][-1]:g}"
        rows.append(
            (
                f"`{key}`",
                f"{found['unit']} by {found['per']}",
                f"{sizes} ({len(found['sizes'])})",
                f"{found['slope']:.3g}",
                f"{low:.3g} to {high:.3g}",
                f"{found['intercept']:.3g}",
            )
        )

    walk("", results.data)
    head = ("key", "what", "sizes (count)", "slope", "slope over rounds", "at 0")
    return tables.table(
        "calls, connections, entry_rest, log, news, rest, restart, state, work",
        head,
        sorted(rows),
    )


@tables.TABLES.register("entries")
def entries(results: models.Results) -> str:
    """Return how many entries the calls need, by utilization."""
    size = models.DESIGN_SIZE
    rows = [
        (
            f"{utilization:.0%}",
            results.entries(size, utilization).text(3),
            f"{utilization * 4 / 3:.0%}",
            models.Estimate(size.calls_per_s / _entries_at(results, utilization)).text(
                3
            ),
        )
        for utilization in UTILIZATIONS
    ]
    head = (
        "core used by calls",
        "entries",
        "after a failure domain",
        "calls/s an entry",
    )
    return tables.table("calls.small.entry", head, rows)


@tables.TABLES.register("per_call")
def per_call(results: models.Results) -> str:
    """Return processor time per call, by kind of call and process."""
    kinds = [kind for kind in results.get("calls") if kind != "quick"]
    target = results.call_us("small", "target").value
    rows = []
    for kind in kinds:
        rate, _ = results.at_highest_size(f"calls.{kind}.entry")
        entry = results.call_us(kind)
        sent = results.get(f"calls.{kind}.calls")
        row = [
            kind,
            f"{rate:g}",
            entry.text(3),
            results.slope(f"calls.{kind}.entry").text(3),
            f"{entry.value / target:.1f}",
        ]
        for process in ("leader", "follower"):
            used = results.slope(f"calls.{kind}.{process}")
            row.append(used.text(2) if used.value > 100 else "-")
        rows.append(
            [*row, f"{sent['failed']} of {sent['sent']}", f"{sent['hedges']:g}"]
        )
    head = (
        "call",
        "calls/s",
        "entry, us",
        "entry, slope in us",
        "over a stand-in target's small call",
        "leader, slope in us",
        "follower, slope in us",
        "failed",
        "hedges",
    )
    return tables.table("calls", head, rows)


@tables.TABLES.register("latency")
def latency(results: models.Results) -> str:
    """Return added latency of single and nested calls, by utilization."""
    bound = models.DESIGN_SIZE.added_p99_ms
    rows = [
        (
            f"{point['background_calls_per_s']}",
            f"{point['utilization']:.0%}",
            f"{point['pairs']}",
            f"{point['direct_p50_ms']:.2f} / {point['direct_p99_ms']:.2f}",
            f"{point['added_p50_ms']:.2f}",
            f"{point['added_p99_ms']:.2f}",
            " ".join(f"{value:.2f}" for value in point["added_p99_rounds_ms"]),
            tables.verdict(point["added_p99_ms"] <= bound),
            " / ".join(f"{point[f'depth12_added_{q}_ms']:.1f}" for q in ("p50", "p99")),
        )
        for point in results.get("latency.points")
    ]
    head = (
        "other calls/s",
        "core used",
        "pairs",
        "direct p50 / p99",
        "added p50",
        "added p99",
        "p99 of each round",
        f"{bound} ms at p99",
        "12 deep: added p50 / p99",
    )
    return tables.table("latency.points", head, rows)


@tables.TABLES.register("connections")
def connections(results: models.Results) -> str:
    """Return connections and requests in flight at a target, by entries."""
    size = models.DESIGN_SIZE
    rows = []
    for utilization in UTILIZATIONS:
        count = _entries_at(results, utilization)
        share = max(1, -(-size.slots * 1.5 // count))
        rows.append(
            (
                f"{count:g}",
                f"{count:g}",
                f"{size.calls_per_s / size.targets:.0f}",
                f"{share * count:g} for {size.slots}",
            )
        )
    head = (
        "entries",
        "pooled connections a target",
        "calls/s a target",
        "requests allowed in flight, for slots",
    )
    return tables.table("calls.small.entry", head, rows)
