"""A small HTTP target and a caller with a set rate, each a process of its own."""

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
# One in twenty answers of the slow path is late, so hedges have a use.
SLOW_PATH = b"/hedged"
SLOW_SHARE = 0.05
SLOW_SERVICE_S = 0.02
SERVICE_S = 0.002
CALL_TIMEOUT_S = 5.0
MS_PER_S = 1000
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


class HttpProtocol(asyncio.Protocol):
    """Finds whole messages with a ``Content-Length`` in what arrives."""

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self._data = bytearray()

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Handle all whole messages."""
        self._data += data
        while (end := self._data.find(b"\r\n\r\n")) >= 0:
            head = bytes(self._data[:end])
            found = _CONTENT_LENGTH.search(head)
            whole = end + 4 + (int(found.group(1)) if found else 0)
            if len(self._data) < whole:
                return
            del self._data[:whole]
            self.message_received(head)

    def message_received(self, head: bytes) -> None:
        """Handle the head of a whole message."""
        raise NotImplementedError


class Target(HttpProtocol):
    """Answers each request with a small body after a short time."""

    _response = (
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n"
        b"Content-Type: text/plain\r\n\r\n" % RESPONSE_BODY_BYTES
    ) + bytes(RESPONSE_BODY_BYTES)

    def message_received(self, head: bytes) -> None:
        """Answer at once, or later on the slow path."""
        if SLOW_PATH not in head[:64]:
            self.transport.write(self._response)
            return
        delay_s = SLOW_SERVICE_S if random.random() < SLOW_SHARE else SERVICE_S
        asyncio.get_running_loop().call_later(delay_s, self._write_response)

    def _write_response(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(self._response)


class Connection(HttpProtocol):
    """One caller's connection; carries one request at a time."""

    def __init__(self):
        super().__init__()
        self.status_future: asyncio.Future | None = None

    def message_received(self, head: bytes) -> None:
        """Hand the status to the waiting call."""
        if self.status_future is not None and not self.status_future.done():
            self.status_future.set_result(int(head[9:12]))
        if b"connection: close" in head.lower():
            self.transport.close()

    def connection_lost(self, exc) -> None:
        """Fail the waiting call."""
        if self.status_future is not None and not self.status_future.done():
            self.status_future.set_result(0)


class Caller:
    """Sends requests at a set rate over kept connections."""

    def __init__(self):
        self._idle: dict[str, list[Connection]] = {}

    async def call(self, address: str, request: bytes) -> tuple[int, float]:
        """Return the status (0 on a failure) and the time in ms."""
        loop = asyncio.get_running_loop()
        began = time.perf_counter()
        idle = self._idle.setdefault(address, [])
        conn = None
        while idle and (conn is None or conn.transport.is_closing()):
            conn = idle.pop()
        if conn is None or conn.transport.is_closing():
            host, _, port = address.rpartition(":")
            _, conn = await loop.create_connection(Connection, host, int(port))
            began = time.perf_counter()
        conn.status_future = loop.create_future()
        conn.transport.write(request)
        async with asyncio.timeout(CALL_TIMEOUT_S):
            status = await conn.status_future
        if not conn.transport.is_closing():
            idle.append(conn)
        return status, (time.perf_counter() - began) * MS_PER_S

    async def run_load(self, order: dict) -> dict:
        """Send what one order asks for; return what came of it."""
        rng = random.Random(order["seed"])
        results: dict[str, list] = {"load": [], "through": [], "direct": []}
        tasks = [asyncio.create_task(self._send_at_rate(order, rng, results["load"]))]
        if order.get("direct"):
            tasks.append(asyncio.create_task(self._send_pairs(order, rng, results)))
        await asyncio.gather(*tasks)
        statuses = [status for kind in results.values() for status, _ in kind]
        return {
            "calls": len(results["load"]) + len(results["through"]),
            "failed": sum(status != 200 for status in statuses),
            **{name: [ms for _, ms in kind] for name, kind in results.items()},
        }

    async def _send_at_rate(
        self, order: dict, rng: random.Random, results: list
    ) -> None:
        """Send with exponential gaps; late sends are made up for."""
        loop = asyncio.get_running_loop()
        start, due, calls = loop.time(), 0.0, []
        while order["rate"] and due < order["seconds"]:
            due += rng.expovariate(order["rate"])
            delay = start + due - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            request = _build_request(order, order["path"])
            call = self.call(order["address"], request)
            calls.append(asyncio.create_task(call))
        for call in await asyncio.gather(*calls, return_exceptions=True):
            results.append((0, 0.0) if isinstance(call, BaseException) else call)

    async def _send_pairs(self, order: dict, rng: random.Random, results: dict) -> None:
        """Alternate calls through the entry and calls to the target itself."""
        loop = asyncio.get_running_loop()
        end = loop.time() + order["seconds"]
        sides = {
            "through": (order["address"], _build_request(order, order["path"])),
            "direct": (order["direct"], _build_request(order, order["direct_path"])),
        }
        while loop.time() < end:
            for name, (address, request) in sides.items():
                results[name].append(await self.call(address, request))
                await asyncio.sleep(rng.uniform(0.5, 1.5) * order["pause_s"])


def _uuid7() -> str:
    raw = bytearray(int(time.time() * MS_PER_S).to_bytes(6, "big") + os.urandom(10))
    raw[6] = raw[6] & 0x0F | 0x70
    raw[8] = raw[8] & 0x3F | 0x80
    return str(uuid.UUID(bytes=bytes(raw)))


def _build_request(order: dict, path: str) -> bytes:
    lines = [f"{order['method']} {path} HTTP/1.1", "Host: x"]
    body = bytes(order.get("body_bytes", 0))
    if order["method"] != "GET":
        lines.append(f"Content-Length: {len(body)}")
    if order.get("keyed"):
        lines.append(f"Idempotency-Key: {_uuid7()}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def _serve_load_requests() -> None:
    caller = Caller()
    while line := await asyncio.to_thread(sys.stdin.readline):
        order = json.loads(line)
        if "open" in order:
            await _open_connections(order["address"], order["open"])
            reply = {}
        else:
            reply = await caller.run_load(order)
        print(json.dumps(reply), flush=True)


_open_transports: list[asyncio.Transport] = []


async def _open_connections(address: str, count: int) -> None:
    """Open idle connections until there are `count` of them."""
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
    """Serve orders from the standard input until it ends."""
    uvloop.run(_serve_load_requests())
    return 0


def run_target() -> int:
    """Serve HTTP until the standard input ends."""
    uvloop.run(_serve_target())
    return 0
