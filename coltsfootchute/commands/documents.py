"""Commands that read and change section documents through an entry."""

import asyncio
import getpass
import os
import pathlib
import typing
import urllib.parse
import uuid

from coltsfootchute import errors, sections
from coltsfootchute.commands import apis, checks, exits, options, tables

__all__ = [
    "TEAM_HEADER",
    "TEAM_VARIABLE",
    "TOKEN_VARIABLE",
    "get",
    "history",
    "put",
    "send",
]

TEAM_HEADER = "Coltsfootchute-Team"
TEAM_VARIABLE = "COLTSFOOTCHUTE_TEAM"
TOKEN_VARIABLE = "COLTSFOOTCHUTE_TOKEN"

HTTP_OK = 200


def get(name: str = "", *, common: options.CommonOptions = options.DEFAULTS) -> None:
    """Print the section document in force of a service, or list all sections.

    Parameters
    ----------
    name
        Name of the service; without it, all sections are listed.
    """
    addresses = options.api_addresses(common)
    if name:
        found = apis.read(addresses, _path(name))
        if common.json:
            tables.print_json(found)
        else:
            print(found["document"])
        return
    found = apis.read(addresses, "/v1/sections")
    if common.json:
        tables.print_json(found)
        return
    rows = [
        [item["name"], item["owner"], item["revision"], item.get("author")]
        for item in found["sections"]
    ]
    tables.print_table(["section", "owner", "revision", "author"], rows)


def history(name: str, *, common: options.CommonOptions = options.DEFAULTS) -> None:
    """List the stored revisions of a section.

    Parameters
    ----------
    name
        Name of the service.
    """
    found = apis.read(options.api_addresses(common), f"{_path(name)}/history")
    if common.json:
        tables.print_json(found)
        return
    rows = [
        [item["revision"], item["author"], item["request_id"], item["time_ms"]]
        for item in found["history"]
    ]
    tables.print_table(["revision", "author", "request id", "time in ms"], rows)


def put(
    name: str,
    file: pathlib.Path,
    *,
    expected_revision: int,
    author: str = "",
    team: str = "",
    request_id: str = "",
    common: options.CommonOptions = options.DEFAULTS,
) -> None:
    """Propose a section document.

    The request is resent with the same id while its outcome is unknown. The token
    is read from the variable COLTSFOOTCHUTE_TOKEN and is not an option, because
    other users of the machine can see the options of a process.

    Parameters
    ----------
    name
        Name of the service.
    file
        Section document, JSON with comments.
    expected_revision
        Revision that the change is based on; 0 creates the section.
    author
        Who makes the change. Default: the user name.
    team
        Team for entries without operator tokens. Default: the variable
        COLTSFOOTCHUTE_TEAM.
    request_id
        Id of an earlier request whose outcome is unknown. Default: a new one.
    """
    addresses = options.api_addresses(common)
    try:
        text = checks.read_section(file)
        sections.parse(text)
    except errors.DocumentError as exc:
        raise exits.RefusedError(f"{file}: {exc}") from None
    body = {
        "expected_revision": expected_revision,
        "document": text,
        "author": author or getpass.getuser(),
        "request_id": request_id or str(uuid.uuid4()),
    }
    reply = asyncio.run(send(addresses, name, body, team))
    if common.json:
        tables.print_json({**reply.body, "request_id": body["request_id"]})
        return
    print(f"{name}: revision {reply.body['revision']} accepted")


async def send(
    addresses: list[str], name: str, body: dict[str, typing.Any], team: str
) -> apis.Reply:
    """Propose a document.

    Parameters
    ----------
    addresses
        API listeners.
    name
        Name of the section.
    body
        The proposal.
    team
        Team for entries without operator tokens.

    Returns
    -------
    coltsfootchute.commands.apis.Reply
        The response to an accepted proposal.

    Raises
    ------
    coltsfootchute.commands.exits.CommandError
        If the proposal is refused or its outcome is unknown.
    """
    change = apis.send_change(addresses, _path(name), body, _credentials(team))
    reply = await change
    _raise_for(reply, name)
    return reply


def _path(name: str) -> str:
    return f"/v1/sections/{urllib.parse.quote(name, safe='')}"


def _credentials(team: str) -> dict[str, str]:
    headers = {}
    if token := os.environ.get(TOKEN_VARIABLE, ""):
        headers["Authorization"] = f"Bearer {token}"
    if name := team or os.environ.get(TEAM_VARIABLE, ""):
        headers[TEAM_HEADER] = name
    return headers


def _raise_for(reply: apis.Reply, name: str) -> None:
    if reply.status == HTTP_OK:
        return
    body: dict[str, typing.Any] = reply.body if isinstance(reply.body, dict) else {}
    if body.get("error") == "conflict":
        current = f"revision {body['revision']} by {body.get('author', 'unknown')}"
        raise exits.ConflictError(f"{name}: conflict: {current} is in force")
    problems = body.get("errors") or []
    listed = "; ".join(f"{item['path']}: {item['reason']}" for item in problems)
    raise exits.RefusedError(f"{name}: {listed or apis.reason(reply)}")
