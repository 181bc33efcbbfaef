"""Starts and stops the processes of a demo or a test on loopback."""

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

__all__ = ["Fleet", "Process", "StartError", "free_ports", "wait_until"]

POLL_INTERVAL_S = 0.05
# A process that has received SIGTERM stops without further delay on SIGINT.
GRACEFUL_STOP_TIMEOUT_S = 0.5
FORCED_STOP_TIMEOUT_S = 5.0
PORT_RANGE = range(10_000, 32_000)
# Size of the block from which each test process takes ports.
PORTS_PER_PROCESS = 1000


class StartError(errors.ColtsfootchuteError):
    """A process ended early, still runs, or a condition was not met in time."""


class Process:
    """A process that this program started.

    Parameters
    ----------
    name
        Name of the process, unique in its fleet.
    role
        ``control``, ``entry`` or ``target``.
    popen
        Handle of the process.
    log_path
        Path of the file with its output.
    command
        Name of the Python module and its arguments.
    """

    def __init__(
        self,
        name: str,
        role: str,
        popen: subprocess.Popen,
        log_path: pathlib.Path,
        command: tuple[str, ...],
    ):
        self.name = name
        self.role = role
        self.log_path = log_path
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
        """Send a signal; do nothing if the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            self._popen.send_signal(signum)

    def pause(self) -> None:
        """Pause the process; return when it has stopped."""
        self.signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def resume(self) -> None:
        """Resume the process after `pause`."""
        self.signal(signal.SIGCONT)

    async def wait(self, timeout_s: float) -> int | None:
        """Wait for the end of the process; return its exit code, or None if it runs."""
        end = time.monotonic() + timeout_s
        while True:
            if self.exit_code is not None or time.monotonic() > end:
                return self.exit_code
            await asyncio.sleep(POLL_INTERVAL_S)

    def has_loaded(self, library: str) -> bool:
        """Return whether a library is mapped into the memory of the process."""
        try:
            return library in pathlib.Path(f"/proc/{self.pid}/maps").read_text()
        except OSError:
            return False

    def tail(self, lines: int = 5) -> str:
        """Return the last lines of the output of the process."""
        return "\n".join(
            self.log_path.read_text(errors="replace").splitlines()[-lines:]
        )


class Fleet:
    """The processes of a demo or a test, stopped at the end of the context.

    Parameters
    ----------
    folder
        Folder for settings, data and logs.

    Notes
    -----
    There is no await between the start of a process and its addition to the
    list, so that no cancellation can leave a process running. Each process has
    its own session: Ctrl-C reaches only this program, which then stops the
    processes in order.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.processes: list[Process] = []

    async def __aenter__(self) -> "Fleet":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.stop()

    def start(self, name: str, role: str, module: str, *args: str) -> Process:
        """Start a Python module as a process.

        A process of the same name, which must have ended, is replaced in the list.
        """
        process = self._start(name, role, (module, *args))
        names = [other.name for other in self.processes]
        index = names.index(name) if name in names else len(names)
        self.processes[index : index + 1] = [process]
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
        """Start a process that has ended again and replace it in the list.

        Raises
        ------
        StartError
            If the process still runs.
        """
        if process.exit_code is None:
            raise StartError(f"{process.name} (pid {process.pid}) still runs")
        index = self.processes.index(process)
        started = self._start(process.name, process.role, process.command)
        self.processes[index] = started
        return started

    def get_process(self, name: str) -> Process:
        """Return the process with the given name.

        Raises
        ------
        KeyError
            If there is no process of that name.
        """
        for process in self.processes:
            if process.name == name:
                return process
        raise KeyError(name)

    def start_role(self, name: str, role: str, cfg: dict[str, typing.Any]) -> Process:
        """Write a settings file and start a role with it."""
        path = self.folder / f"{name}.jsonc"
        path.write_bytes(msgspec.json.encode(cfg))
        return self.start(name, role, "coltsfootchute.commands.main", role, str(path))

    def of_role(self, role: str) -> list[Process]:
        """Return the processes of a role, in the order of the list."""
        return [process for process in self.processes if process.role == role]

    def ended_processes(self) -> list[Process]:
        """Return the processes that have ended."""
        return [p for p in self.processes if p.exit_code is not None]

    async def stop(self) -> None:
        """Stop all processes: SIGTERM, then SIGINT, then SIGKILL to those that run."""
        for process in self.processes:
            # A process suspended by SIGSTOP handles only SIGCONT and SIGKILL.
            process.signal(signal.SIGCONT)
        for signum, timeout_s in (
            (signal.SIGTERM, GRACEFUL_STOP_TIMEOUT_S),
            (signal.SIGINT, FORCED_STOP_TIMEOUT_S),
            (signal.SIGKILL, FORCED_STOP_TIMEOUT_S),
        ):
            running = [p for p in self.processes if p.exit_code is None]
            for process in running:
                process.signal(signum)
            end = time.monotonic() + timeout_s
            for process in running:
                await process.wait(max(0.0, end - time.monotonic()))


def free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that were free when they were checked.

    Notes
    -----
    The ports are below the ephemeral range of the kernel. Ports of that range
    were sometimes assigned to an outgoing connection of another process before
    the intended process had opened its listener. Test processes that run in
    parallel use different blocks of ports.
    """
    blocks = len(PORT_RANGE) // PORTS_PER_PROCESS
    first = PORT_RANGE[os.getpid() % blocks * PORTS_PER_PROCESS]
    block = range(first, first + PORTS_PER_PROCESS)
    found: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            sock = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", random.choice(block)))
                found.append(sock.getsockname()[1])
    return found


async def wait_until(
    condition: typing.Callable[[], typing.Awaitable[bool]],
    what: str,
    timeout_s: float,
    fleet: Fleet | None = None,
) -> None:
    """Poll a condition until it is true.

    Raises
    ------
    StartError
        If the condition is not met within `timeout_s`, or a process of the fleet
        has ended.
    """
    end = time.monotonic() + timeout_s
    while not await condition():
        ended = fleet.ended_processes() if fleet is not None else []
        if ended:
            first = ended[0]
            raise StartError(
                f"{first.name} ended early with exit code {first.exit_code}: "
                f"{first.tail()}"
            )
        if time.monotonic() > end:
            raise StartError(f"condition not met within {timeout_s:.0f} s: {what}")
        await asyncio.sleep(POLL_INTERVAL_S)
