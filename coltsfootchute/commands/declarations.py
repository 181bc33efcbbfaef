"""The command that proposes the section documents of a folder."""

import asyncio
import dataclasses
import enum
import getpass
import hashlib
import pathlib
import uuid

from coltsfootchute import errors, sections
from coltsfootchute.commands import apis, checks, documents, exits, options, tables

__all__ = ["apply"]

SUFFIXES = (".jsonc", ".json")
# Namespace of the request ids of this command.
REQUEST_NAMESPACE = uuid.UUID("6c9a4c0e-0e0f-5d0b-9d7e-3b1f5a2c7d10")


class Action(enum.Enum):
    """What the command does with a section."""

    UNCHANGED = "unchanged"
    CREATE = "create"
    CHANGE = "change"


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A section of the folder and what is to be done with it.

    Parameters
    ----------
    name
        Name of the section, which is the file's name without its suffix.
    action
        What the command does with the section.
    base_revision
        Revision in force that the step is based on; 0 if there is none.
    document
        The declared document.
    """

    name: str
    action: Action
    base_revision: int
    document: str

    @property
    def request_id(self) -> str:
        """Id of the proposal, which is the same for equal steps.

        If a pipeline did not receive the response and runs again, it gets the
        outcome of its first run instead of a conflict with its own change.
        """
        digest = hashlib.sha256(self.document.encode()).hexdigest()
        return str(
            uuid.uuid5(REQUEST_NAMESPACE, f"{self.name} {self.base_revision} {digest}")
        )


def apply(
    folder: pathlib.Path,
    *,
    author: str = "",
    team: str = "",
    dry_run: bool = False,
    common: options.CommonOptions = options.DEFAULTS,
) -> None:
    """Propose every section of a folder that differs from the one in force.

    All files are checked before the first proposal. Sections without a file are
    not changed. Each proposal is based on the revision that was read at the start,
    so a change made in the meantime leads to a conflict and is not overwritten.
    After a failure the remaining sections are still proposed, and the exit code is
    that of the first failure.

    Parameters
    ----------
    folder
        Folder with one document for each section, named after its service.
    author
        Who makes the changes. Default: the user name.
    team
        Team for entries without operator tokens. Default: the variable
        COLTSFOOTCHUTE_TEAM.
    dry_run
        Show what would be proposed, and propose nothing.
    """
    addresses = options.api_addresses(common)
    declared = _read(folder)
    in_force = apis.read(addresses, "/v1/sections")["sections"]
    steps = plan(declared, {item["name"]: item for item in in_force})
    results: dict[str, str] = {step.name: step.action.value for step in steps}
    failures: list[exits.CommandError] = []
    for step in steps if not dry_run else []:
        if step.action is Action.UNCHANGED:
            continue
        try:
            revision = _propose(addresses, step, author, team)
            results[step.name] = f"revision {revision} accepted"
        except exits.CommandError as exc:
            results[step.name] = str(exc)
            failures.append(exc)
    if common.json:
        tables.print_json({"dry_run": dry_run, "sections": results})
    else:
        tables.print_table(["section", "result"], [[*row] for row in results.items()])
    if failures:
        raise failures[0]


def plan(declared: dict[str, str], in_force: dict[str, dict]) -> list[Step]:
    """Compare declared documents with those in force.

    Parameters
    ----------
    declared
        Documents by section name.
    in_force
        Sections in force by name, as an entry describes them.

    Returns
    -------
    list of Step
        In alphabetical order.
    """
    steps = []
    for name, document in sorted(declared.items()):
        item = in_force.get(name)
        if item is None:
            steps.append(Step(name, Action.CREATE, 0, document))
            continue
        is_same = item["document"] == document
        action = Action.UNCHANGED if is_same else Action.CHANGE
        steps.append(Step(name, action, item["revision"], document))
    return steps


def _read(folder: pathlib.Path) -> dict[str, str]:
    """Read and check all documents, and report all mistakes at once."""
    if not folder.is_dir():
        raise exits.RefusedError(f"{folder}: not a folder")
    declared: dict[str, str] = {}
    problems: list[str] = []
    for file in sorted(folder.iterdir()):
        if file.suffix not in SUFFIXES:
            continue
        if file.stem in declared:
            problems.append(f"{file}: section {file.stem!r} has two files")
            continue
        try:
            declared[file.stem] = checks.read_section(file)
            sections.parse(declared[file.stem])
        except errors.DocumentError as exc:
            problems.append(f"{file}: {exc}")
    if problems:
        raise exits.RefusedError("; ".join(problems))
    if not declared:
        raise exits.RefusedError(
            f"{folder}: no section documents ({' or '.join(SUFFIXES)} files)"
        )
    return declared


def _propose(addresses: list[str], step: Step, author: str, team: str) -> int:
    body = {
        "expected_revision": step.base_revision,
        "document": step.document,
        "author": author or getpass.getuser(),
        "request_id": step.request_id,
    }
    reply = asyncio.run(documents.send(addresses, step.name, body, team))
    return reply.body["revision"]
