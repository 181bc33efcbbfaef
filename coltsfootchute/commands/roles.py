"""Start of the roles control, entry and node."""

import asyncio

import uvloop

from coltsfootchute import errors, settings
from coltsfootchute.commands import logs

__all__ = ["run"]


def run(role: str, path: str) -> None:
    """Run a role until its planned stop.

    Parameters
    ----------
    role
        ``control``, ``entry`` or ``node``.
    path
        Settings file.

    Raises
    ------
    coltsfootchute.errors.SettingsError
        If the settings have mistakes or lack the role.
    coltsfootchute.errors.StoreError
        If the data folder can't be used.
    """
    cfg = settings.load(path)
    needed = ("control", "entry") if role == "node" else (role,)
    missing = [name for name in needed if getattr(cfg, name) is None]
    if missing:
        raise errors.SettingsError([(f"$.{name}", "missing") for name in missing])
    logs.configure(cfg)
    uvloop.run(_serve(cfg, needed))


async def _serve(cfg: settings.Settings, names: tuple[str, ...]) -> None:
    daemons = [_daemon(name, cfg) for name in names]
    async with asyncio.TaskGroup() as group:
        for daemon in daemons:
            group.create_task(daemon.run())


def _daemon(name: str, cfg: settings.Settings) -> object:
    # The control role must not load what only the entry needs.
    if name == "control":
        from coltsfootchute.control import daemons as control_daemons

        return control_daemons.Daemon(cfg)
    from coltsfootchute.entry import daemons as entry_daemons

    return entry_daemons.Daemon(cfg)
