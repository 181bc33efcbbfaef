"""Processes that a demo or a test starts on loopback, and ends again."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import typing

import msgspec

from coltsfootchute import errors

__all__ = ["Fleet", "Process", "StartError", "free_ports", "until"]

POLL_S = 0.05
# A stopping process ends at once on SIGINT.
FORCED_STOP_S = 0.5
STOP_TIMEOUT_S = 5.0
PORTS = range(10_000, 32_000)
PORTS_PER_PROCESS = 1000


class StartError(errors.ColtsfootchuteError):
    """A process ended early, or a condition didn't come true in time."""


class Process:
    """A process that this program started.

    Parameters
    ----------
    name
        Name in messages; also of the log file.
    role
        ``control``, ``entry`` or ``target``.
    popen
        The process.
    log
        File with its output.
    command
        Module and arguments.
    """

    def __init__(
        self,
        name: str,
        role: str,
        popen: subprocess.Popen,
        log: pathlib.Path,
        command: tuple[str, ...],
    ):
        self.name = name
        self.role = role
        self.log = log
        self.command = command
        self._popen = popen

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process runs."""
        return self._popen.poll()

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            self._popen.send_signal(signum)

    async def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if the process still runs."""
        end = time.monotonic() + timeout_s
        while True:
            if self.exit_code is not None or time.monotonic() > end:
                return self.exit_code
            await asyncio.sleep(POLL_S)

    def has_loaded(self, library: str) -> bool:
        """Tell whether the process has a library in its memory."""
        try:
            return library in pathlib.Path(f"/proc/{self.pid}/maps").read_text()
        except OSError:
            return False

    def tail(self, lines: int = 5) -> str:
        """Return the last lines of its output."""
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-lines:])


class Fleet:
    """All processes of a demo.

    Parameters
    ----------
    folder
        Folder for settings, data and logs.

    Notes
    -----
    Each process is started without an await between the start and its entry in
    the list, so that no cancellation can leave one behind. Each is in a session
    of its own: Ctrl-C reaches only this program, which then ends them in order.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.processes: list[Process] = []

    async def __aenter__(self) -> "Fleet":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.stop()

    def start(self, name: str, role: str, module: str, *args: str) -> Process:
        """Start a module of this package as a process.

        It takes the place of a process of the same name that has ended.
        """
        process = self._start(name, role, (module, *args))
        names = [other.name for other in self.processes]
        place = names.index(name) if name in names else len(names)
        self.processes[place : place + 1] = [process]
        return process

    def _start(self, name: str, role: str, command: tuple[str, ...]) -> Process:
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            popen = subprocess.Popen(
                [sys.executable, "-m", *command],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        return Process(name, role, popen, log, command)

    def restart(self, process: Process) -> Process:
        """Start a process that has ended again, in its place in the list.

        Raises
        ------
        StartError
            If it still runs.
        """
        if process.exit_code is None:
            raise StartError(f"{process.name} still runs")
        place = self.processes.index(process)
        started = self._start(process.name, process.role, process.command)
        self.processes[place] = started
        return started

    def named(self, name: str) -> Process:
        """Return the process with a name.

        Raises
        ------
        KeyError
            If there is none.
        """
        for process in self.processes:
            if process.name == name:
                return process
        raise KeyError(name)

    def start_role(self, name: str, role: str, cfg: dict[str, typing.Any]) -> Process:
        """Write settings and start a role with them."""
        path = self.folder / f"{name}.jsonc"
        path.write_bytes(msgspec.json.encode(cfg))
        return self.start(name, role, "coltsfootchute.commands.main", role, str(path))

    def of_role(self, role: str) -> list[Process]:
        """Return the processes of a role in the order of their start."""
        return [process for process in self.processes if process.role == role]

    def ended(self) -> list[Process]:
        """Return the processes that have ended."""
        return [p for p in self.processes if p.exit_code is not None]

    async def stop(self) -> None:
        """End all processes: SIGTERM, SIGINT, then SIGKILL."""
        for process in self.processes:
            # A stopped process handles no other signal but SIGKILL.
            process.signal(signal.SIGCONT)
        for signum, timeout_s in (
            (signal.SIGTERM, FORCED_STOP_S),
            (signal.SIGINT, STOP_TIMEOUT_S),
            (signal.SIGKILL, STOP_TIMEOUT_S),
        ):
            running = [p for p in self.processes if p.exit_code is None]
            for process in running:
                process.signal(signum)
            end = time.monotonic() + timeout_s
            for process in running:
                await process.wait(max(0.0, end - time.monotonic()))


def free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that were free a moment ago.

    Notes
    -----
    They are below the range that the kernel gives to outgoing connections: of
    that range, a connection of another process sometimes took a port before the
    process that it was meant for was up. Test processes that run side by side take
    them from different parts.
    """
    parts = len(PORTS) // PORTS_PER_PROCESS
    first = PORTS[os.getpid() % parts * PORTS_PER_PROCESS]
    part = range(first, first + PORTS_PER_PROCESS)
    found: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            sock = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", random.choice(part)))
                found.append(sock.getsockname()[1])
    return found


async def until(
    condition: typing.Callable[[], typing.Awaitable[bool]],
    what: str,
    timeout_s: float,
    fleet: Fleet | None = None,
) -> None:
    """Wait for a condition.

    Raises
    ------
    StartError
        If it isn't true in time, or a process of the fleet ends meanwhile.
    """
    end = time.monotonic() + timeout_s
    while not await condition():
        ended = fleet.ended() if fleet is not None else []
        if ended:
            first = ended[0]
            raise StartError(f"{first.name} ended early: {first.tail()}")
        if time.monotonic() > end:
            raise StartError(f"not within {timeout_s:.0f} s: {what}")
        await asyncio.sleep(POLL_S)
