"""Commands that evacuate failure domains."""

import asyncio
import urllib.parse

from coltsfootchute.commands import apis, exits, options, statuses, tables

__all__ = ["end", "show", "start"]


def start(domain: str, *, common: options.CommonOptions = options.DEFAULTS) -> None:
    """Send no new requests to the targets of a failure domain.

    Requests in progress there complete. Starting an evacuation that is in force
    changes nothing.

    Parameters
    ----------
    domain
        Name of the failure domain.
    """
    _send("PUT", domain, common)


def end(domain: str, *, common: options.CommonOptions = options.DEFAULTS) -> None:
    """Use the targets of a failure domain again.

    Ending an evacuation that is not in force changes nothing.

    Parameters
    ----------
    domain
        Name of the failure domain.
    """
    _send("DELETE", domain, common)


def show(*, common: options.CommonOptions = options.DEFAULTS) -> None:
    """List the failure domains that an entry treats as evacuated."""
    found = apis.read(options.api_addresses(common), "/v1/evacuations")
    if common.json:
        tables.print_json(found)
        return
    statuses.print_evacuations(found["evacuations"])
    if found["stale"]:
        print("This entry has lost contact with control, and its list may be old.")


def _send(method: str, domain: str, common: options.Common) -> None:
    quoted = urllib.parse.quote(domain, safe="")
    path = f"/v1/failure-domains/{quoted}/evacuation"
    reply = asyncio.run(
        apis.send_change(options.api_addresses(common), path, None, {}, method)
    )
    if reply.status != apis.HTTP_OK:
        raise exits.RefusedError(apis.reason(reply))
    if common.json:
        tables.print_json(reply.body)
        return
    names = [item["failure_domain"] for item in reply.body["evacuations"]]
    effect = "changed" if reply.body["applied"] else "unchanged"
    print(f"{domain}: {effect}; evacuated: {', '.join(names) or 'none'}")
