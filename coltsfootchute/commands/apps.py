"""The commands as one cyclopts application."""

import pathlib

import cyclopts

import coltsfootchute
from coltsfootchute.commands import (
    checks,
    declarations,
    documents,
    evacuations,
    explanations,
    statuses,
)

__all__ = ["build"]

HELP = """A load balancer for servers whose load shifts in milliseconds.

Exit codes: 0 done, 1 refused, 2 wrong command line, 3 no entry responded,
4 outcome unknown (resend), 5 conflict.
"""


def build() -> cyclopts.App:
    """Return the application."""
    app = cyclopts.App(
        name="coltsfootchute", help=HELP, version=coltsfootchute.__version__
    )
    app.command(control)
    app.command(entry)
    app.command(node)
    app.command(checks.check_settings, name="check")
    app.command(checks.check_section, name="check-section")
    app.command(statuses.addresses)
    app.command(_build_section())
    app.command(_build_evacuation())
    app.command(statuses.status)
    app.command(statuses.targets)
    app.command(explanations.explain)
    return app


def _build_section() -> cyclopts.App:
    app = cyclopts.App(name="section", help="Read and change section documents.")
    app.command(documents.get)
    app.command(documents.put)
    app.command(declarations.apply)
    app.command(documents.history)
    return app


def _build_evacuation() -> cyclopts.App:
    text = "Keep requests away from the targets of a failure domain."
    app = cyclopts.App(name="evacuation", help=text)
    app.command(evacuations.start)
    app.command(evacuations.end)
    app.command(evacuations.show, name="list")
    return app


def control(path: pathlib.Path, /) -> None:
    """Run the control role.

    Parameters
    ----------
    path
        Settings file.
    """
    _run("control", path)


def entry(path: pathlib.Path, /) -> None:
    """Run the entry role.

    Parameters
    ----------
    path
        Settings file.
    """
    _run("entry", path)


def node(path: pathlib.Path, /) -> None:
    """Run both roles in one process.

    Parameters
    ----------
    path
        Settings file.
    """
    _run("node", path)


def _run(role: str, path: pathlib.Path) -> None:
    from coltsfootchute.commands import roles

    roles.run(role, str(path))
