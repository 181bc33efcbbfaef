"""Start of the roles control, entry and node."""

import asyncio
import contextlib
import os
import signal
import sys
import typing

import uvloop

from coltsfootchute import errors, logs, settings

__all__ = ["run", "run_settings"]

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
    uvloop.run(_serve(cfg, needed, None))


def run_settings(cfg: settings.Settings, extend: typing.Any = None) -> None:
    """Run all roles of checked settings until a planned stop.

    Parameters
    ----------
    cfg
        Settings of the instance.
    extend
        Adds routes to the `api` listener; see `entry.apis.Extension`.

    Raises
    ------
    coltsfootchute.errors.StoreError
        If the data folder can't be used.
    """
    logs.configure(cfg, sys.stdout)
    names = [name for name in ("control", "entry") if getattr(cfg, name) is not None]
    uvloop.run(_serve(cfg, tuple(names), extend))


async def _serve(
    cfg: settings.Settings, names: tuple[str, ...], extend: typing.Any
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, _signalled, stopping)
    async with contextlib.AsyncExitStack() as stack:
        failures = []
        for name in names:
            daemon = _daemon(name, cfg, extend)
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


def _daemon(name: str, cfg: settings.Settings, extend: typing.Any) -> typing.Any:
    # The control role must not load what only the entry needs.
    if name == "control":
        from coltsfootchute.control import daemons as control_daemons

        return control_daemons.Daemon(cfg)
    from coltsfootchute.entry import daemons as entry_daemons

    return entry_daemons.Daemon(cfg, extend)
