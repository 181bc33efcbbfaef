"""Tables of claims, voters, events and the verdicts on all bounds."""

from benchmarks import capacity_models as models
from benchmarks import capacity_tables as tables

__all__: list[str] = []

NON_REPEATABLE_SHARES = (0.001, 0.01, 0.1)
CLAIM_UTILIZATION = 0.7
VOTER_COUNTS = (3, 5, 7)


@tables.TABLES.register("claims")
def claims(results: models.Results) -> str:
    """Return the claims/s that one log can process and the claim groups needed."""
    size = models.DESIGN_SIZE
    carried = results.claims_per_s(CLAIM_UTILIZATION)
    rows = []
    for share in NON_REPEATABLE_SHARES:
        rate = size.calls_per_s * share
        kept = rate * size.retention_s
        groups = -(-rate // carried.value)
        memory_mib = (
            kept * results.slope("state.control.claims").value / tables.KIB_PER_MIB
        )
        rows.append(
            (
                f"{share:.1%}",
                f"{rate:,.0f}",
                f"{groups:,.0f}",
                f"{kept / groups:,.0f}†",
                f"{memory_mib / groups:,.0f}†",
            )
        )
    head = (
        "not repeatable",
        "claims/s",
        "claim groups",
        "claims kept in each",
        "MiB for them",
    )
    text = tables.table("calls.claim.leader, state.control.claims", head, rows)
    control_kib = results.control_kib(size, tables.planned_entries(results))
    free = max(0.0, size.node_kib - control_kib.value)
    rate = results.claims_that_fit(free).value / size.retention_s
    return (
        f"{text}\nOne log carries {carried.text()} claims/s with "
        f"{CLAIM_UTILIZATION:.0%} of the leader's core. Without claims the role takes "
        f"{control_kib.times(1 / tables.KIB_PER_MIB).text(3)} MiB; the rest of 32 MiB "
        f"holds the claims of {rate:.1f} claims/s for {size.retention_s:g} s.\n"
    )


@tables.TABLES.register("placements")
def placements(results: models.Results) -> str:
    """Return placements of voters that keep a quorum without any failure domain."""
    rows = []
    for voters in VOTER_COUNTS:
        for placement in models.placements(voters, models.DESIGN_SIZE.domains):
            region = placement.quorate_region()
            rows.append(
                (
                    f"{voters}",
                    " + ".join(map(str, placement.voters[:2])),
                    " + ".join(map(str, placement.voters[2:])),
                    f"region {region}" if region else "neither",
                    "yes" if placement.survives_domain_and_voter() else "no",
                )
            )
    head = (
        "voters",
        "domains of region 1",
        "domains of region 2",
        "quorum when the regions part",
        "survives a domain and one voter",
    )
    return tables.table("benchmarks.capacity_models.placements", head, rows)


@tables.TABLES.register("events")
def events(results: models.Results) -> str:
    """Return the effects of events such as restarts, and how long they last."""
    size = models.DESIGN_SIZE
    count = tables.planned_entries(results)
    view = results.full_view_bytes(size)
    ready = results.get("restart.snapshots.ready_ms")["medians"][-1]
    quarter = count / size.domains
    after = size.utilization * size.domains / (size.domains - 1)
    rows = [
        (
            "entry killed",
            f"1/{count:g} of the calls; those in flight break, and resends of its "
            "keys get `may_have_run`",
            f"until the address answer ends, {size.keep_s:g} s; callers use another "
            "address meanwhile",
        ),
        (
            "entry restarted",
            f"1/{count:g} of the calls, none interrupted; then one full view of "
            f"{view.text()} bytes",
            "8 s of leaving",
        ),
        (
            "target killed",
            f"1/{size.targets} of the targets' work; calls in flight get "
            "`may_have_run` or are retried",
            "new calls at once; ejected for 1 to 30 s at a time; its lease ends "
            "within 30 s",
        ),
        (
            "control instance restarted",
            f"its {count / size.members:.0f} watchers; changes in the log since then",
            f"{ready:.0f} ms to apply its folder; the feed's next source at once",
        ),
        (
            "leader killed",
            "claims and changes are refused or unknown",
            "1.2 to 2.4 s, the election",
        ),
        (
            "failure domain lost",
            f"{quarter:.0f} entries, {size.targets / size.domains:.0f} targets, at "
            "most 2 of 5 voters",
            f"calls at once; entries at {after:.0%} of a core until it is back; "
            "leases end after 30 s, a quarter of each service at most",
        ),
    ]
    head = ("event", "what moves", "for how long")
    return tables.table("state.full_view, restart, calls.small.entry", head, rows)


@tables.TABLES.register("verdicts")
def verdicts(results: models.Results) -> str:
    """Return whether the measurements meet each bound of the design."""
    size = models.DESIGN_SIZE
    count = tables.planned_entries(results)
    max_utilization = results.max_utilization_within(size.added_p99_ms)
    points = results.get("latency.points")
    best_p50, best_p99 = (
        min(point[f"added_{name}_ms"] for point in points) for name in ("p50", "p99")
    )
    slowest = max(f["max_ms"] for f in results.get("force.by_watchers").values())
    share = tables.control_share(results)
    leader = [results.control("leader", name, size, count) for name in ("cpu", "bytes")]
    kib = results.control_kib(size, count)
    started = results.startup_kib("control")
    rows = [
        (
            f"{size.added_p99_ms} ms added at p99",
            "at no measured utilization"
            if max_utilization is None
            else f"up to {max_utilization:.0%}",
            f"least measured: {best_p99:.2f} ms; at p50 {best_p50:.2f} ms",
            tables.verdict(max_utilization is not None),
        ),
        (
            "100,000 calls/s",
            f"{count:g} entries at {size.utilization:.0%} of a core",
            "latency bound aside",
            tables.verdict(True),
        ),
        (
            "changes in force within 3 s",
            f"{slowest:.0f} ms at most",
            "up to 200 watchers",
            tables.verdict(slowest <= size.in_force_s * 1000),
        ),
        (
            "control in 32 MiB",
            f"{started.times(1 / tables.KIB_PER_MIB).text(3)} MiB just started",
            f"{kib.times(1 / tables.KIB_PER_MIB).text(3)} MiB with the state",
            tables.verdict(kib.value <= size.node_kib),
        ),
        (
            "1.1 % of a core",
            f"leader {tables.core_percent(leader[0])} %",
            f"entry's share {tables.core_percent(share[0])} %",
            tables.verdict(leader[0].value <= size.node_core_share * tables.US_PER_S),
        ),
        (
            "4 KiB/s",
            f"leader {leader[1].text()} bytes/s",
            f"entry's share {share[2].text()} bytes/s",
            tables.verdict(leader[1].value <= size.node_bytes_per_s),
        ),
        (
            f"at most {size.most_members} control instances",
            f"{size.members} voters",
            "entries also serve the feed",
            tables.verdict(size.members <= size.most_members),
        ),
    ]
    head = ("bound", "worked out", "beside it", "verdict")
    return tables.table(
        "latency, calls, force, imports, state, restart, rest, work, news", head, rows
    )
