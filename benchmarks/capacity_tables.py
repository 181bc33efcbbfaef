"""The registry of the tables of `docs/CAPACITY.md`, and shared functions."""

import collections.abc

from benchmarks import capacity_models as models
from coltsfootchute import registries

__all__ = [
    "KIB_PER_MIB",
    "TABLES",
    "US_PER_S",
    "control_share",
    "core_percent",
    "planned_entries",
    "table",
]

KIB_PER_MIB = 1024
US_PER_S = 1e6

TABLES = registries.Registry("table")
Rows = list[collections.abc.Sequence[str]]


def table(keys: str, head: collections.abc.Sequence[str], rows: Rows) -> str:
    """Return a Markdown table, preceded by the JSON keys of its data."""
    lines = [head, ["---"] * len(head), *rows]
    text = "\n".join("| " + " | ".join(line) + " |" for line in lines)
    key_list = ", ".join(f"`{key}`" for key in keys.split(", "))
    return f"From {key_list}.\n\n{text}\n"


def planned_entries(results: models.Results) -> float:
    """Return the number of entries that the design size needs."""
    return results.entries(models.DESIGN_SIZE, models.DESIGN_SIZE.utilization).value


def verdict(holds: bool) -> str:
    """Return the table cell for a bound that holds or is missed."""
    return "holds" if holds else "**miss**"


def core_percent(us_per_s: models.Estimate) -> str:
    """Return processor time as a percentage of a core."""
    return us_per_s.times(100 / US_PER_S).text()


def control_share(
    results: models.Results,
) -> tuple[models.Estimate, models.Estimate, models.Estimate]:
    """Return processor time (us/s), KiB and bytes/s that control costs an entry."""
    size = models.DESIGN_SIZE
    count = planned_entries(results)
    # The measured cluster has two followers, which send about the same amount.
    sent = results.report_cost_per_change(
        "leader", "bytes", count
    ) + results.report_cost_per_change("follower", "bytes", count).times(2)
    report_bytes = sent.times(size.changes_per_s / count)
    cpu = results.at("entry_rest.cpu", count - 1)
    rest = results.at("entry_rest.bytes", count - 1)
    return cpu, results.entry_state_kib(size), rest + report_bytes
