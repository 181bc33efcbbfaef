"""Tables of processor time, memory and traffic of control."""

from benchmarks import capacity_models as models
from benchmarks import capacity_tables as tables

__all__: list[str] = []


@tables.TABLES.register("roles")
def roles(results: models.Results) -> str:
    """Return processor time, memory and traffic of each role at the design size."""
    size = models.DESIGN_SIZE
    count = tables.planned_entries(results)
    rows = []
    for role in ("leader", "follower"):
        cpu = results.control(role, "cpu", size, count).times(100 / tables.US_PER_S)
        rows.append(
            (
                f"control {role}",
                cpu.text(),
                results.control_kib(size, count).times(1 / tables.KIB_PER_MIB).text(3),
                results.control(role, "bytes", size, count).text(),
            )
        )
    calls = tables.core_percent(models.Estimate(size.utilization * tables.US_PER_S))
    view = results.full_view_bytes(size)
    rows.append(
        (
            "entry",
            calls,
            results.entry_kib(size).times(1 / tables.KIB_PER_MIB).text(3),
            "the calls",
        )
    )
    queries = size.address_queries_per_s / count
    query_us = results.call_us("addresses").value
    rows.append(
        (
            "address questions at one entry",
            tables.core_percent(models.Estimate(queries * query_us)),
            "-",
            f"{queries:.1f} queries/s",
        )
    )
    cpu, kib, sent = tables.control_share(results)
    rows.append(
        (
            "share of control in an entry (state only)",
            tables.core_percent(cpu),
            kib.times(1 / tables.KIB_PER_MIB).text(),
            sent.text(),
        )
    )
    text = tables.table(
        "imports.started, state, restart.snapshots.kib, rest, work, news, calls, "
        "connections, entry_rest",
        ("role", "% of a core", "MiB resident", "bytes/s"),
        rows,
    )
    return text + f"\nA full view of the feed has {view.text(3)} bytes.\n"


@tables.TABLES.register("node")
def node(results: models.Results) -> str:
    """Return what the roles use, compared with the bounds of one node."""
    size = models.DESIGN_SIZE
    count = tables.planned_entries(results)
    share_cpu, share_kib, share_bytes = tables.control_share(results)
    columns = {
        "entry, share of control": (share_cpu, share_kib, share_bytes),
        **{
            f"control {role}": (
                results.control(role, "cpu", size, count),
                results.control_kib(size, count),
                results.control(role, "bytes", size, count),
            )
            for role in ("follower", "leader")
        },
    }
    bounds = (
        size.node_core_share * tables.US_PER_S,
        size.node_kib,
        size.node_bytes_per_s,
    )
    rows = []
    for name, values in columns.items():
        cpu, kib, sent = values
        cells = (
            tables.core_percent(cpu) + " %",
            kib.times(1 / tables.KIB_PER_MIB).text(3) + " MiB",
            sent.text() + " bytes/s",
        )
        verdicts = [
            f"{cell}: {tables.verdict(value.value <= bound)}"
            for cell, value, bound in zip(cells, values, bounds, strict=True)
        ]
        rows.append((name, *verdicts))
    head = ("process", "1.1 % of a core", "32 MiB", "4 KiB/s")
    return tables.table(
        "entry_rest, state, rest, work, news, imports.started, restart.snapshots.kib",
        head,
        rows,
    )


@tables.TABLES.register("leader_parts")
def leader_parts(results: models.Results) -> str:
    """Return the parts of the leader's processor time and traffic."""
    size = models.DESIGN_SIZE
    count = tables.planned_entries(results)
    parts = {
        f"at rest, {size.members} members": ("rest.members", size.members, "at"),
        f"{count / size.members:.0f} watchers": (
            "rest.watchers",
            count / size.members,
            "growth",
        ),
        f"reports of {count:.0f} entries": (
            "work.reports",
            count / size.report_s,
            "growth",
        ),
        f"renewals of {size.targets} targets": (
            "work.renew_messages",
            size.renew_messages_per_s(count),
            "growth",
        ),
        f"{size.changes_per_day} changes a day": (
            "work.changes",
            size.changes_per_s,
            "growth",
        ),
    }
    rows = []
    for name, (key, amount, kind) in parts.items():
        cpu, sent = (
            getattr(results, kind)(f"{key}.leader.{part}", amount)
            for part in ("cpu", "bytes")
        )
        rows.append((name, f"`{key}`", tables.core_percent(cpu), sent.text()))
    cpu, sent = (
        results.report_cost_per_change("leader", part, count).times(size.changes_per_s)
        for part in ("cpu", "bytes")
    )
    rows.append(
        (
            "lists of entries after changes",
            "`news`",
            tables.core_percent(cpu),
            sent.text(),
        )
    )
    head = ("part", "key", "% of a core", "bytes/s")
    return tables.table("rest, work, news", head, rows)


@tables.TABLES.register("force")
def force(results: models.Results) -> str:
    """Return the time until a change is in force, by number of watchers."""
    rows = [
        (
            count,
            f"{found['changes']}",
            f"{found['p50_ms']:.0f}",
            f"{found['max_ms']:.0f}",
            tables.verdict(found["max_ms"] <= models.DESIGN_SIZE.in_force_s * 1000),
        )
        for count, found in results.get("force.by_watchers").items()
    ]
    head = ("watchers", "changes", "p50, ms", "max, ms", "3 s")
    return tables.table("force.by_watchers", head, rows)


@tables.TABLES.register("restart")
def restart(results: models.Results) -> str:
    """Return start times, bytes on disk and memory by number of changes."""
    rows = []
    for mode in ("snapshots", "no_snapshots"):
        found = {
            name: results.get(f"restart.{mode}.{name}")
            for name in ("bytes", "opened_ms", "ready_ms", "kib")
        }
        for place, changes in enumerate(found["bytes"]["sizes"]):
            values = [found[name]["medians"][place] for name in found]
            rows.append((mode, f"{changes:g}", *(f"{value:,.0f}" for value in values)))
    head = ("mode", "changes", "bytes on disk", "opened, ms", "applied, ms", "KiB")
    return tables.table("restart", head, rows)


@tables.TABLES.register("log")
def log(results: models.Results) -> str:
    """Return the time of an append with its sync, by number of entries."""
    p50, p99 = (results.get(f"log.{name}") for name in ("p50", "p99"))
    rows = [
        (f"{size:g}", f"{median:,.0f}", f"{high:,.0f}")
        for size, median, high in zip(
            p50["sizes"], p50["medians"], p99["medians"], strict=True
        )
    ]
    return tables.table("log", ("entries in one append", "p50, us", "p99, us"), rows)


@tables.TABLES.register("memory")
def memory(results: models.Results) -> str:
    """Return resident memory after each import step."""
    control, entry = (results.get(f"imports.{role}") for role in ("control", "entry"))
    rows = []
    for step in dict.fromkeys([*control, *entry]):
        cells = [
            f"{found[step]['anonymous']:,.0f} + {found[step]['file']:,.0f}"
            if step in found
            else "-"
            for found in (control, entry)
        ]
        rows.append((f"`{step}`" if step != "interpreter" else step, *cells))
    started = results.get("imports.started")
    cells = [
        f"{started[role]['anonymous']:,.0f} + {started[role]['file']:,.0f}"
        for role in ("control", "entry")
    ]
    rows.append(("process just started, in all", *cells))
    head = ("import step", "control: anonymous + file, KiB", "entry: the same")
    return tables.table("imports", head, rows)
