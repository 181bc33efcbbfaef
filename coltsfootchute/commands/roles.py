"""Start of the roles control, entry and node."""

import asyncio
import contextlib
import os
import signal
import typing

import uvloop

from coltsfootchute import errors, logs, settings

__all__ = ["run"]

FORCED_EXIT_CODE = 1


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
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, _signalled, stopping)
    async with contextlib.AsyncExitStack() as stack:
        failures = []
        for name in names:
            daemon = _daemon(name, cfg)
            await daemon.start()
            # The entry was started last and stops first: until then it needs
            # control for its claims.
            stack.push_async_callback(daemon.stop)
            failures += [daemon.failed] if hasattr(daemon, "failed") else []
        await _wait_for_any(stopping, failures)
        # A role that can't go on must not write anything more, so the process
        # ends without a graceful stop.
        for failure in failures:
            if failure.done():
                stack.pop_all()
                raise failure.exception()


async def _wait_for_any(
    stopping: asyncio.Event, failures: list[asyncio.Future]
) -> None:
    signalled = asyncio.ensure_future(stopping.wait())
    await asyncio.wait([signalled, *failures], return_when=asyncio.FIRST_COMPLETED)
    signalled.cancel()


def _signalled(stopping: asyncio.Event) -> None:
    if stopping.is_set():
        # The second signal ends the process at once, as the operator asked.
        os._exit(FORCED_EXIT_CODE)
    stopping.set()


def _daemon(name: str, cfg: settings.Settings) -> typing.Any:
    # The control role must not load what only the entry needs.
    if name == "control":
        from coltsfootchute.control import daemons as control_daemons

        return control_daemons.Daemon(cfg)
    from coltsfootchute.entry import daemons as entry_daemons

    return entry_daemons.Daemon(cfg)
