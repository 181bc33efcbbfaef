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
    """Options of all commands that ask an entry.

    Parameters
    ----------
    api
        IP number and port of an entry's API listener; several are separated by
        commas and tried in turn. Default: the variable COLTSFOOTCHUTE_API.
    json
        Print JSON instead of a table.
    """

    api: str = ""
    json: bool = False


DEFAULTS = Common()
CommonOptions = typing.Annotated[Common, cyclopts.Parameter(name="*")]


def api_addresses(common: Common) -> list[str]:
    """Return the addresses to ask.

    Raises
    ------
    coltsfootchute.commands.exits.UsageError
        If neither the option nor the variable names one, or one has no port.
    """
    text = common.api or os.environ.get(API_VARIABLE, "")
    addresses = [part.strip() for part in text.split(",") if part.strip()]
    if not addresses:
        raise exits.UsageError(f"give --api ADDRESS or set {API_VARIABLE}")
    for address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdecimal():
            raise exits.UsageError(f"{address!r} is not an address and a port")
    return addresses
