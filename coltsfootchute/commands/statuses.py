"""Commands that show the state of the system through an entry."""

import datetime
import typing
import urllib.parse

from coltsfootchute.commands import apis, options, tables

__all__ = [
    "addresses",
    "leader_name",
    "print_evacuations",
    "print_status",
    "status",
    "targets",
]


def addresses(
    service: str,
    *,
    common: options.CommonOptions = options.DEFAULTS,
) -> None:
    """Show the addresses that callers of a service get.

    Parameters
    ----------
    service
        Name of the service.
    """
    quoted = urllib.parse.quote(service, safe="")
    path = f"/v1/services/{quoted}/addresses"
    found = apis.read(options.api_addresses(common), path)
    if common.json:
        tables.print_json(found)
        return
    rows = [[item["address"], item["failure_domain"]] for item in found["addresses"]]
    title = f"{service}, may be cached for {found['keep_s']} s"
    tables.print_table(["address", "failure domain"], rows, title)


def targets(*, common: options.CommonOptions = options.DEFAULTS) -> None:
    """List the registered targets with their leases."""
    found = apis.read(options.api_addresses(common), "/v1/targets")
    if common.json:
        tables.print_json(found)
        return
    headings = ["target", "address", "failure domain", "services", "slots", "state"]
    rows = [
        [
            item["id"],
            item["address"],
            item["failure_domain"],
            ", ".join(item["services"]),
            item["slots"],
            item["state"],
            _seconds(item.get("remaining_ms")),
        ]
        for item in found["targets"]
    ]
    tables.print_table([*headings, "lease left"], rows)


def status(*, common: options.CommonOptions = options.DEFAULTS) -> None:
    """Show the leader, the members, and the revision in force at each instance."""
    found = apis.read(options.api_addresses(common), "/v1/status")
    if common.json:
        tables.print_json(found)
        return
    print_status(found)


def leader_name(found: dict[str, typing.Any]) -> str:
    """Return the instance name of the leader; empty if the leader is not known."""
    names = {item["member_id"]: item["name"] for item in found.get("members", ())}
    return names.get(found.get("leader_id"), "")


def print_status(found: dict[str, typing.Any]) -> None:
    """Print a status as tables."""
    leader = leader_name(found) or "unknown"
    print(f"leader {leader}, term {found['term']}, revision {found['revision']}")
    rows = [
        [
            item["name"],
            item["address"],
            item["failure_domain"],
            "voter" if item["voter"] else "learner",
        ]
        for item in found["members"]
    ]
    tables.print_table(["member", "address", "failure domain", "vote"], rows)
    rows = [
        [
            item["name"],
            item["calls"],
            item["failure_domain"],
            "stopping" if item["stopping"] else "serving",
            item["revision"],
            "stale" if item["stale"] else "current",
        ]
        for item in found["instances"]
    ]
    headings = ["entry", "calls", "failure domain", "state", "revision", "currency"]
    tables.print_table(headings, rows)
    if found.get("evacuations"):
        print_evacuations(found["evacuations"])


def print_evacuations(found: list[dict[str, typing.Any]]) -> None:
    """Print evacuations in force as a table, with their starts in UTC."""
    rows = [[item["failure_domain"], _time(item["started_ms"])] for item in found]
    tables.print_table(["evacuated failure domain", "since"], rows)


def _time(time_ms: int) -> str:
    started = datetime.datetime.fromtimestamp(time_ms / 1000, datetime.UTC)
    return started.isoformat(" ", "seconds")


def _seconds(value_ms: int | None) -> str | None:
    return None if value_ms is None else f"{value_ms / 1000:.1f} s"
