"""Options that several commands share."""

import dataclasses
import os
import typing

import cyclopts

from coltsfootchute.commands import exits

__all__ = ["API_VARIABLE", "DEFAULTS", "Common", "CommonOptions", "api_addresses"]

API_VARIABLE = "COLTSFOOTCHUTE_API"


@dataclasses.dataclass(frozen=True)
class Common:
    """Options of all commands that send requests to an entry.

    Parameters
    ----------
    api
        IP address and port of the API listener of an entry. Several are separated
        by commas and are tried in turn. Default: the variable COLTSFOOTCHUTE_API.
    json
        Print JSON instead of a table.
    """

    api: str = ""
    json: bool = False


DEFAULTS = Common()
CommonOptions = typing.Annotated[Common, cyclopts.Parameter(name="*")]


def api_addresses(common: Common) -> list[str]:
    """Return the addresses of the API listeners.

    Raises
    ------
    coltsfootchute.commands.exits.UsageError
        If neither the option nor the variable names one, or if one has no port.
    """
    text = common.api or os.environ.get(API_VARIABLE, "")
    addresses = [item.strip() for item in text.split(",") if item.strip()]
    if not addresses:
        raise exits.UsageError(f"give --api ADDRESS or set {API_VARIABLE}")
    for address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdecimal():
            raise exits.UsageError(f"{address!r} is not an IP address and a port")
    return addresses
