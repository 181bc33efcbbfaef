"""A minimal HTTP target and a caller with a given rate, each run as a process."""

import asyncio
import json
import os
import random
import re
import sys
import time
import uuid

import uvloop

__all__ = ["run_caller", "run_target"]

RESPONSE_BODY_BYTES = 100
# One in twenty responses on the slow path takes `SLOW_SERVICE_S`, so that hedges
# are sent.
SLOW_PATH = b"/hedged"
SLOW_SHARE = 0.05
SLOW_SERVICE_S = 0.02
SERVICE_S = 0.002
CALL_TIMEOUT_S = 5.0
MS_PER_S = 1000
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


class HttpProtocol(asyncio.Protocol):
    """Splits received data into HTTP messages by their ``Content-Length``."""

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self._data = bytearray()

    def connection_made(self, transport) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Handle each message that has arrived completely."""
        self._data += data
        while (end := self._data.find(b"\r\n\r\n")) >= 0:
            head = bytes(self._data[:end])
            found = _CONTENT_LENGTH.search(head)
            message_bytes = end + 4 + (int(found.group(1)) if found else 0)
            if len(self._data) < message_bytes:
                return
            del self._data[:message_bytes]
            self.message_received(head)

    def message_received(self, head: bytes) -> None:
        """Handle the head of a complete message."""
        raise NotImplementedError


class Target(HttpProtocol):
    """Responds to each request with a small body, on the slow path with a delay."""

    _response = (
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n"
        b"Content-Type: text/plain\r\n\r\n" % RESPONSE_BODY_BYTES
    ) + bytes(RESPONSE_BODY_BYTES)

    def message_received(self, head: bytes) -> None:
        """Respond at once, or after a delay on the slow path."""
        if SLOW_PATH not in head[:64]:
            self.transport.write(self._response)
            return
        delay_s = SLOW_SERVICE_S if random.random() < SLOW_SHARE else SERVICE_S
        asyncio.get_running_loop().call_later(delay_s, self._write_response)

    def _write_response(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(self._response)


class Connection(HttpProtocol):
    """A caller's connection that carries one request at a time."""

    def __init__(self):
        super().__init__()
        self.status_future: asyncio.Future | None = None

    def message_received(self, head: bytes) -> None:
        """Pass the status to the waiting call."""
        if self.status_future is not None and not self.status_future.done():
            self.status_future.set_result(int(head[9:12]))
        if b"connection: close" in head.lower():
            self.transport.close()

    def connection_lost(self, exc) -> None:
        """Give status 0 to the waiting call, which marks a failure."""
        if self.status_future is not None and not self.status_future.done():
            self.status_future.set_result(0)


class Caller:
    """Sends requests at a given rate over persistent connections."""

    def __init__(self):
        self._idle: dict[str, list[Connection]] = {}

    async def call(self, address: str, request: bytes) -> tuple[int, float]:
        """Send one request; return the status (0 on failure) and the latency in ms."""
        loop = asyncio.get_running_loop()
        start_s = time.perf_counter()
        idle = self._idle.setdefault(address, [])
        conn = None
        while idle and (conn is None or conn.transport.is_closing()):
            conn = idle.pop()
        if conn is None or conn.transport.is_closing():
            host, _, port = address.rpartition(":")
            _, conn = await loop.create_connection(Connection, host, int(port))
            start_s = time.perf_counter()
        conn.status_future = loop.create_future()
        conn.transport.write(request)
        async with asyncio.timeout(CALL_TIMEOUT_S):
            status = await conn.status_future
        if not conn.transport.is_closing():
            idle.append(conn)
        return status, (time.perf_counter() - start_s) * MS_PER_S

    async def run_load(self, load_request: dict) -> dict:
        """Generate the load of one load request and return its results.

        The latencies are in ms: ``load`` of the calls at the rate, ``through`` and
        ``direct`` of the pairs.
        """
        rng = random.Random(load_request["seed"])
        results: dict[str, list] = {"load": [], "through": [], "direct": []}
        tasks = [
            asyncio.create_task(self._send_at_rate(load_request, rng, results["load"]))
        ]
        if load_request.get("direct"):
            tasks.append(
                asyncio.create_task(self._send_pairs(load_request, rng, results))
            )
        await asyncio.gather(*tasks)
        statuses = [status for kind in results.values() for status, _ in kind]
        return {
            "calls": len(results["load"]) + len(results["through"]),
            "failed": sum(status != 200 for status in statuses),
            **{name: [ms for _, ms in kind] for name, kind in results.items()},
        }

    async def _send_at_rate(
        self, load_request: dict, rng: random.Random, results: list
    ) -> None:
        """Send calls with exponential gaps; those that are late are sent at once."""
        loop = asyncio.get_running_loop()
        start, due, calls = loop.time(), 0.0, []
        while load_request["rate"] and due < load_request["seconds"]:
            due += rng.expovariate(load_request["rate"])
            delay = start + due - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            request = _build_request(load_request, load_request["path"])
            call = self.call(load_request["address"], request)
            calls.append(asyncio.create_task(call))
        for call in await asyncio.gather(*calls, return_exceptions=True):
            results.append((0, 0.0) if isinstance(call, BaseException) else call)

    async def _send_pairs(
        self, load_request: dict, rng: random.Random, results: dict
    ) -> None:
        """Alternate calls through the entry and direct calls to the target."""
        loop = asyncio.get_running_loop()
        end = loop.time() + load_request["seconds"]
        sides = {
            "through": (
                load_request["address"],
                _build_request(load_request, load_request["path"]),
            ),
            "direct": (
                load_request["direct"],
                _build_request(load_request, load_request["direct_path"]),
            ),
        }
        while loop.time() < end:
            for name, (address, request) in sides.items():
                results[name].append(await self.call(address, request))
                await asyncio.sleep(rng.uniform(0.5, 1.5) * load_request["pause_s"])


def _uuid7() -> str:
    raw = bytearray(int(time.time() * MS_PER_S).to_bytes(6, "big") + os.urandom(10))
    raw[6] = raw[6] & 0x0F | 0x70
    raw[8] = raw[8] & 0x3F | 0x80
    return str(uuid.UUID(bytes=bytes(raw)))


def _build_request(load_request: dict, path: str) -> bytes:
    lines = [f"{load_request['method']} {path} HTTP/1.1", "Host: x"]
    body = bytes(load_request.get("body_bytes", 0))
    if load_request["method"] != "GET":
        lines.append(f"Content-Length: {len(body)}")
    if load_request.get("keyed"):
        lines.append(f"Idempotency-Key: {_uuid7()}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def _serve_load_requests() -> None:
    caller = Caller()
    while line := await asyncio.to_thread(sys.stdin.readline):
        load_request = json.loads(line)
        if "open" in load_request:
            await _open_connections(load_request["address"], load_request["open"])
            reply = {}
        else:
            reply = await caller.run_load(load_request)
        print(json.dumps(reply), flush=True)


_open_transports: list[asyncio.Transport] = []


async def _open_connections(address: str, count: int) -> None:
    """Open idle connections until `count` of them are open."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    while len(_open_transports) < count:
        transport, _ = await loop.create_connection(Connection, host, int(port))
        _open_transports.append(transport)


async def _serve_target() -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Target, "127.0.0.1", 0, backlog=1024)
    port = server.sockets[0].getsockname()[1]
    while await asyncio.to_thread(sys.stdin.readline):
        print(json.dumps({"address": f"127.0.0.1:{port}"}), flush=True)


def run_caller() -> int:
    """Process load requests from the standard input until it ends."""
    uvloop.run(_serve_load_requests())
    return 0


def run_target() -> int:
    """Serve HTTP until the standard input ends."""
    uvloop.run(_serve_target())
    return 0
