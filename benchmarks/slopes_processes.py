"""Processes that are measured: start, resource usage from the kernel, and stop."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from coltsfootchute.control import links
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = [
    "CONTROL_PROGRAM",
    "COUNTED_ENTRY_PROGRAM",
    "ENTRY_PROGRAM",
    "Cluster",
    "Memory",
    "Process",
    "free_address",
    "observe",
    "run_json",
    "running_cluster",
]

STOP_TIMEOUT_S = 15.0
READY_TIMEOUT_S = 20.0
RUN_TIMEOUT_S = 120.0
POLL_INTERVAL_S = 0.05
TRAFFIC_TIMEOUT_S = 5.0
TRAFFIC_POLL_INTERVAL_S = 0.005
NS_PER_S = 1e9
US_PER_S = 1e6
TRAFFIC_SIGNAL = signal.SIGUSR1
CONTROL_PROGRAM = ("-m", "coltsfootchute.control")
# The same role, which also writes the bytes of its connections on a signal.
COUNTED_CONTROL_PROGRAM = ("-m", "benchmarks.slopes_children", "control")
ENTRY_PROGRAM = ("-m", "coltsfootchute.entry")
COUNTED_ENTRY_PROGRAM = ("-m", "benchmarks.slopes_children", "entry")
REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
# Bytecode is cached, as in an installed package: compiling the modules at start
# would add memory that the process of an installed package does not use.
_BYTECODE_DIR = (
    pathlib.Path(tempfile.gettempdir()) / f"coltsfootchute-slopes-{os.getuid()}"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Memory:
    """Resident memory of a process in KiB.

    Parameters
    ----------
    anonymous
        Anonymous pages, which belong to the process alone.
    file
        Pages of mapped files, which processes share.
    """

    anonymous: float
    file: float

    @property
    def total(self) -> float:
        """Return the total resident memory in KiB."""
        return self.anonymous + self.file


def _environment() -> dict[str, str]:
    environment = dict(os.environ)
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    environment["PYTHONPYCACHEPREFIX"] = str(_BYTECODE_DIR)
    return environment


def python_command(*args: str) -> list[str]:
    """Return the command line that runs the interpreter with arguments."""
    return [sys.executable, *args]


def run_json(*args: str) -> dict:
    """Run a Python program until it exits and return the JSON that it prints."""
    done = subprocess.run(
        python_command(*args),
        cwd=REPOSITORY,
        env=_environment(),
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=True,
    )
    return json.loads(done.stdout)


class Process:
    """A child process that runs the Python interpreter.

    Parameters
    ----------
    args
        Arguments of the interpreter.
    has_pipes
        Whether standard input and output are pipes, which `ask` needs.
    """

    def __init__(self, *args: str, has_pipes: bool = False):
        pipe = subprocess.PIPE if has_pipes else subprocess.DEVNULL
        self._popen = subprocess.Popen(
            python_command(*args),
            cwd=REPOSITORY,
            env=_environment(),
            stdin=pipe,
            stdout=pipe,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self._proc_dir = pathlib.Path("/proc") / str(self._popen.pid)

    def ask(self, **request) -> dict:
        """Send a request as a line of JSON and return the decoded reply."""
        self._popen.stdin.write(json.dumps(request) + "\n")
        self._popen.stdin.flush()
        return json.loads(self._popen.stdout.readline())

    async def ask_async(self, **request) -> dict:
        """Call `ask` in a thread, so that it doesn't block the event loop."""
        return await asyncio.to_thread(self.ask, **request)

    def cpu_s(self) -> float:
        """Return the processor time of all threads so far in s."""
        tasks = (self._proc_dir / "task").iterdir()
        return sum(
            int((task / "schedstat").read_text().split()[0]) / NS_PER_S
            for task in tasks
        )

    def memory(self) -> Memory:
        """Return the resident memory."""
        status = (self._proc_dir / "status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines())
        anonymous, file = (
            int(fields[name].split()[0]) for name in ("RssAnon", "RssFile")
        )
        return Memory(anonymous, file)

    def traffic(self, settings: pathlib.Path) -> int:
        """Return the bytes over the open TCP connections of a role that counts them.

        Parameters
        ----------
        settings
            The settings file of the role, which writes the count to a file in the
            same folder.

        Raises
        ------
        TimeoutError
            If the count isn't written within `TRAFFIC_TIMEOUT_S`.
        """
        path = settings.with_name(f"{settings.name}.bytes")
        path.unlink(missing_ok=True)
        self._popen.send_signal(TRAFFIC_SIGNAL)
        deadline_s = time.monotonic() + TRAFFIC_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(FileNotFoundError):
                return int(path.read_text())
            time.sleep(TRAFFIC_POLL_INTERVAL_S)
        raise TimeoutError(
            f"process {self._popen.pid} did not write {path.name} within "
            f"{TRAFFIC_TIMEOUT_S} s"
        )

    def stop(self) -> None:
        """Stop the process by SIGTERM, or by SIGKILL after `STOP_TIMEOUT_S`."""
        if self._popen.stdin is not None:
            self._popen.stdin.close()
        self._popen.terminate()
        try:
            self._popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()

    def kill(self) -> None:
        """Stop the process by SIGKILL."""
        self._popen.kill()
        self._popen.wait(STOP_TIMEOUT_S)


def free_address() -> str:
    """Return a loopback address whose port was free when it was checked."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return f"127.0.0.1:{sock.getsockname()[1]}"


class Cluster:
    """Control instances, each in a process of its own.

    Parameters
    ----------
    members
        Number of control instances.
    program
        Interpreter arguments that start an instance; the settings file is appended.
    """

    def __init__(
        self, members: int, program: tuple[str, ...] = COUNTED_CONTROL_PROGRAM
    ):
        self._folder = tempfile.TemporaryDirectory(prefix="slopes-")
        self._program = program
        self.addresses = [free_address() for _ in range(members)]
        self.processes: list[Process] = []
        self.channels = [links.open_channel(address) for address in self.addresses]
        self.leader = 0

    async def start(self) -> None:
        """Start all instances and wait until they have one leader and one term."""
        initial = [
            {"name": f"c{n}", "address": address}
            for n, address in enumerate(self.addresses)
        ]
        for number, address in enumerate(self.addresses):
            path = self.settings_path(number)
            control = {"peer": address, "data": f"c{number}", "initial": initial}
            instance = {"name": f"c{number}", "failure_domain": f"fd-{number}"}
            document = {"instance": instance, "control": control}
            document["log"] = {"level": "WARNING"}
            path.write_text(json.dumps(document))
            self.processes.append(Process(*self._program, str(path)))
        await self._find_leader()

    async def _find_leader(self) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(OSError, TimeoutError):
                replies = [
                    await rpc.ControlStub(channel).Status(
                        pb.StatusRequest(), timeout=1.0
                    )
                    for channel in self.channels
                ]
                roles = [reply.role for reply in replies]
                if roles.count("leader") == 1 and len({r.term for r in replies}) == 1:
                    self.leader = roles.index("leader")
                    return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"no single leader in one term within {READY_TIMEOUT_S} s")

    @property
    def stub(self) -> rpc.ControlStub:
        """Return a stub of the leader's Control service."""
        return rpc.ControlStub(self.channels[self.leader])

    @property
    def leader_process(self) -> Process:
        """Return the leader's process."""
        return self.processes[self.leader]

    @property
    def follower(self) -> int:
        """Return the number of a follower."""
        return (self.leader + 1) % len(self.processes)

    def settings_path(self, number: int) -> pathlib.Path:
        """Return the settings file of an instance."""
        return pathlib.Path(self._folder.name) / f"c{number}.json"

    def traffic(self, number: int) -> int:
        """Return the bytes of an instance over its open TCP connections."""
        return self.processes[number].traffic(self.settings_path(number))

    async def stop(self) -> None:
        """Stop all instances and remove their data."""
        for channel in self.channels:
            channel.close()
        for process in self.processes:
            process.kill()
        self._folder.cleanup()


@contextlib.asynccontextmanager
async def running_cluster(members: int):
    """Start control instances, and stop them at the end of the context."""
    cluster = Cluster(members)
    try:
        await cluster.start()
        yield cluster
    finally:
        await cluster.stop()


async def observe(
    cluster: Cluster, numbers: list[int], seconds: float
) -> dict[int, dict]:
    """Return processor time (us/s), traffic (bytes/s) and memory (KiB) by number."""
    traffic = {n: await asyncio.to_thread(cluster.traffic, n) for n in numbers}
    cpu = {n: cluster.processes[n].cpu_s() for n in numbers}
    start_s = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - start_s
    found = {
        n: {"cpu": (cluster.processes[n].cpu_s() - cpu[n]) / elapsed_s * US_PER_S}
        for n in numbers
    }
    for n in numbers:
        traffic_bytes = await asyncio.to_thread(cluster.traffic, n) - traffic[n]
        found[n]["bytes"] = traffic_bytes / elapsed_s
        found[n]["memory"] = cluster.processes[n].memory().total
    return found
