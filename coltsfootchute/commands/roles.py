"""Start of the roles control, entry and node."""

import asyncio
import contextlib
import dataclasses
import os
import signal
import sys
import typing

import uvloop

from coltsfootchute import errors, expositions, logs, settings, signals

__all__ = ["SettingsSource", "end_process", "run", "run_configured_roles"]

# Interval at which the settings file is checked for changes without a signal.
FILE_CHECK_INTERVAL_S = 1.0
# Share of the remaining stop time that an entry gets if control stops after it.
ENTRY_STOP_SHARE = 0.7


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
    source = SettingsSource(path, lambda: settings.load(path))
    uvloop.run(_serve(cfg, needed, source, None))


@dataclasses.dataclass(frozen=True)
class SettingsSource:
    """The settings file of a process and the function that reads it.

    Parameters
    ----------
    path
        The settings file.
    load
        Function that reads and checks the settings.
    """

    path: str
    load: typing.Callable[[], settings.Settings]


def run_configured_roles(source: SettingsSource, extend: typing.Any = None) -> None:
    """Run all roles that the settings contain until a planned stop.

    Parameters
    ----------
    source
        The settings.
    extend
        Function that adds routes to the `api` listener; see `entry.apis.Extension`.

    Raises
    ------
    coltsfootchute.errors.SettingsError
        If the settings have mistakes.
    coltsfootchute.errors.StoreError
        If the data folder can't be used.
    """
    cfg = source.load()
    logs.configure(cfg, sys.stdout)
    names = [name for name in ("control", "entry") if getattr(cfg, name) is not None]
    uvloop.run(_serve(cfg, tuple(names), source, extend))


def end_process(code: int = 0) -> typing.NoReturn:
    """Exit the process without the cleanup of the interpreter.

    Parameters
    ----------
    code
        Exit code.

    Notes
    -----
    Call it only after a role has stopped: its responses are delivered, its store is
    synced and closed, and no task, thread or exit handler has work left. Freeing all
    objects one by one would use a part of the time for a planned stop.
    """
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError, ValueError):
            stream.flush()
    os._exit(code)


@dataclasses.dataclass
class _Deadline:
    """The time by which the process must have stopped.

    Parameters
    ----------
    end_s
        Time of the event loop; None without a limit.
    """

    end_s: float | None = None

    def end_of_share(self, share: float) -> float | None:
        """Return when a share of the remaining time ends; None without a limit."""
        if self.end_s is None:
            return None
        now_s = asyncio.get_running_loop().time()
        return now_s + share * (self.end_s - now_s)


async def _serve(
    cfg: settings.Settings,
    names: tuple[str, ...],
    source: SettingsSource,
    extend: typing.Any,
) -> None:
    loop = asyncio.get_running_loop()
    stopping = signals.handle_stop_signals(loop)
    changed = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    logs.log_event("process", "starting", roles=names, settings=source.path)
    async with contextlib.AsyncExitStack() as stack:
        failures, daemons, deadline = [], [], _Deadline()
        # The listener closes last, so that metrics show the whole stop.
        listener = expositions.Listener(cfg.metrics)
        stack.push_async_callback(listener.stop)
        for name in names:
            daemon = _daemon(name, cfg, extend)
            await daemon.start()
            daemons.append(daemon)
            # The entry is started last and stopped first, because it needs control
            # for its claims until it has stopped.
            share = ENTRY_STOP_SHARE if len(daemons) > 1 else 1.0
            stack.push_async_callback(_stop, daemon, deadline, share)
            failures += [daemon.failed] if hasattr(daemon, "failed") else []
        await listener.start([daemon.exposition for daemon in daemons])
        reloads = asyncio.ensure_future(_reload(source, changed, daemons))
        stack.callback(reloads.cancel)
        await _wait_for_any(stopping, failures)
        if cfg.entry is not None and cfg.entry.stop_s is not None:
            deadline.end_s = loop.time() + cfg.entry.stop_s
        logs.log_event("process", "stopping", by_signal=stopping.is_set())
        # A role that has failed must not write anything more, so the process
        # exits without a planned stop.
        for failure in failures:
            if failure.done():
                stack.pop_all()
                raise failure.exception()
    # When the loop closes, it would restore the default handler of SIGHUP, which ends
    # the process.
    loop.remove_signal_handler(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logs.log_event("process", "stopped")


async def _stop(daemon: typing.Any, deadline: _Deadline, share: float) -> None:
    await daemon.stop(deadline.end_of_share(share))


async def _wait_for_any(
    stopping: asyncio.Event, failures: list[asyncio.Future]
) -> None:
    signalled = asyncio.ensure_future(stopping.wait())
    await asyncio.wait([signalled, *failures], return_when=asyncio.FIRST_COMPLETED)
    signalled.cancel()


async def _reload(
    source: SettingsSource, changed: asyncio.Event, daemons: list[typing.Any]
) -> None:
    """Reload the settings after SIGHUP or a change of the settings file."""
    seen = _file_stamp(source.path)
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(changed.wait(), FILE_CHECK_INTERVAL_S)
        stamp = _file_stamp(source.path)
        if not changed.is_set() and stamp == seen:
            continue
        seen = stamp
        by_signal = changed.is_set()
        changed.clear()
        try:
            cfg = source.load()
        except errors.SettingsError as exc:
            logs.log_event("process", "kept the previous settings", error=str(exc))
            continue
        for daemon in daemons:
            daemon.reload(cfg)
        logs.log_event(
            "process",
            "reloaded the settings",
            by_signal=by_signal,
            settings=source.path,
        )


def _file_stamp(path: str) -> tuple[int, int] | None:
    try:
        found = os.stat(path)
    except OSError:
        # The file may be in the middle of a replacement; the next check finds it.
        return None
    return found.st_mtime_ns, found.st_size


def _daemon(name: str, cfg: settings.Settings, extend: typing.Any) -> typing.Any:
    # Imported here, since the control role must not load what only the entry needs.
    if name == "control":
        from coltsfootchute.control import daemons as control_daemons

        return control_daemons.Daemon(cfg)
    from coltsfootchute.entry import daemons as entry_daemons

    return entry_daemons.Daemon(cfg, extend)
