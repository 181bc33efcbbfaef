"""Servers of the deployment, and configurations that route to them."""

import asyncio
import collections.abc
import json
import random
import time

import deployment
import http1

__all__ = ["Server", "config"]

BEAT_S = 1.5
PROBE_S = 0.006
REPORT_TIMEOUT_S = 1.0


def config(
    version: int,
    routes: collections.abc.Iterable[dict],
    tenants: list[dict] | None = None,
) -> dict:
    """Return a configuration.

    Parameters
    ----------
    version
        Its version.
    routes
        Routes with `prefix`, `service` and `kind`, and optionally `timeout_s`.
    tenants
        Tenants with their keys; None for none.
    """
    routes = list(routes)
    paths = [
        {
            "name": route["prefix"].strip("/"),
            "path_" + "prefix": route["prefix"],
            "type": route["kind"],
            "timeout_s": route.get("timeout_s", 2.0),
            "target_latency_s": 0.5,
            "priority": 1,
            "service": route["service"],
            "attempts": 2,
        }
        for route in routes
    ]
    services = [
        {
            "name": name,
            "health_path": "/health",
            "max_connections": 240,
            "protocol": "h1",
            "tls": False,
        }
        for name in sorted({route["service"] for route in routes})
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    }
    document = {
        "version": version,
        "services": services,
        "limits": limits,
        "hosts": [{"host": "host.example", "paths": paths}],
    }
    if tenants is not None:
        document["tenants"] = tenants
    return document


class Server:
    """A sound server of one service.

    Parameters
    ----------
    machines
        The deployment, to whose core it reports.
    service
        Name of its service.
    slots
        Requests that it runs at the same time.
    work_s
        Seconds for which it works on a request.
    on_run
        Called with the server and the headers of each request that it begins to run.
    states_load
        Whether its responses state its load.
    """

    def __init__(
        self,
        machines: deployment.Deployment,
        service: str,
        *,
        slots: int = 8,
        work_s: float = 0.02,
        on_run: collections.abc.Callable[["Server", dict[str, str]], None],
        states_load: bool = True,
    ):
        self.id = f"i-{random.getrandbits(32):08x}"
        self.ip = machines.next_ip("server")
        self.service = service
        self.slots = slots
        self.state = "ready"
        self.running = 0
        self._machines = machines
        self._work_s = work_s
        self._on_run = on_run
        self._states_load = states_load
        self._born = int(time.time() * 1000)
        self._reports = 0
        self._free = asyncio.Semaphore(slots)
        self._writers: set[asyncio.StreamWriter] = set()
        # Part of the requests that it never answers; status checks are not affected.
        self.unanswered_part = 0.0

    async def start(self) -> None:
        """Listen, and report to the core from now on."""
        self._listener = await asyncio.start_server(self._serve, self.ip, 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        self._task = asyncio.ensure_future(self._report_periodically())

    def close(self) -> None:
        """Stop at once."""
        self._task.cancel()
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def report(self) -> bool:
        """Report to one core machine after another until one acknowledges it."""
        self._reports += 1
        report = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_" + "remaining_s": 0,
            "seq": self._reports,
            "born": self._born,
        }
        path, body = f"/v1/instances/{self.id}", json.dumps(report).encode()
        cores = self._machines.cores
        for machine in random.sample(cores, len(cores)):
            answer = await http1.call(
                machine.address("control"),
                "PUT",
                path,
                body,
                timeout_s=REPORT_TIMEOUT_S,
            )
            if answer is not None and 200 <= answer.status < 300:
                return True
        return False

    async def _report_periodically(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(BEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await http1.read_head(reader)
                await http1.read_body(reader, headers)
                if first.split()[1] == "/health":
                    await asyncio.sleep(PROBE_S)
                    self._write(writer, 200, {"Instance-Id": self.id}, b"")
                else:
                    await self._handle(writer, headers)
        except (EOFError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        echoed = {http1.REQUEST_ID: headers.get("request-id", "")}
        if headers.get(http1.EXPECTED_TARGET.lower(), self.id) != self.id:
            self._write(writer, 421, {**echoed, http1.NOT_RUN: "1"}, b"")
            return
        if random.random() < self.unanswered_part:
            # Nor does it answer anything later on this connection.
            await asyncio.Future()
        async with self._free:
            self.running += 1
            self._on_run(self, headers)
            try:
                await asyncio.sleep(self._work_s)
            finally:
                self.running -= 1
        body = f"{echoed[http1.REQUEST_ID]} by {self.id}".encode()
        self._write(writer, 200, {**echoed, http1.SEAL: "seal"}, body)

    def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        fields = {**headers, "Content-Length": str(len(body))}
        if self._states_load:
            fields[http1.LOAD] = f"{self.running},0,{self.slots}"
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
