"""Records which revision each entry has in force over time."""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import math
import time
import typing

import aiohttp
import msgspec

from coltsfootchute.commands import apis

__all__ = ["Observer", "Sample", "in_force_s", "setbacks"]

PERIOD_S = 0.05
TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True)
class Sample:
    """Revisions at one time.

    Parameters
    ----------
    asked_s, time_s
        Monotonic times in s of the question and its response.
    revisions
        Revision in force by entry.
    """

    asked_s: float
    time_s: float
    revisions: typing.Mapping[str, int]


class Observer:
    """Asks each entry for its own revision, and for the status of all.

    Parameters
    ----------
    addresses
        Addresses of API listeners.
    session
        HTTP client.

    Attributes
    ----------
    own
        Samples of ``/readyz``: the revision that an entry itself has in force.
    status
        Samples of ``/v1/status``, by the entry that was asked: the revisions
        that the instances reported.
    stale
        Entries that reported to be stale at any time.
    """

    def __init__(self, addresses: typing.Sequence[str], session: aiohttp.ClientSession):
        self.own: dict[str, list[Sample]] = collections.defaultdict(list)
        self.status: dict[str, list[Sample]] = collections.defaultdict(list)
        self.stale: set[str] = set()
        self._addresses = list(addresses)
        self._session = session
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "Observer":
        for address in self._addresses:
            for ask in (self._ask_own, self._ask_status):
                self._tasks.append(asyncio.create_task(self._repeat(ask, address)))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _repeat(
        self, ask: typing.Callable[[str], typing.Awaitable[None]], address: str
    ) -> None:
        while True:
            # An entry that is down or frozen has nothing in force.
            with contextlib.suppress(
                aiohttp.ClientError, TimeoutError, msgspec.DecodeError, KeyError
            ):
                await ask(address)
            await asyncio.sleep(PERIOD_S)

    async def _ask_own(self, address: str) -> None:
        asked = time.monotonic()
        _, body = await self._get(address, "/readyz")
        sample = Sample(asked, time.monotonic(), {address: body["revision"]})
        self.own[address].append(sample)
        if body["stale"]:
            self.stale.add(address)

    async def _ask_status(self, address: str) -> None:
        asked = time.monotonic()
        status, body = await self._get(address, "/v1/status")
        if status == apis.HTTP_OK:
            found = {item["name"]: item["revision"] for item in body["instances"]}
            self.status[address].append(Sample(asked, time.monotonic(), found))

    async def _get(self, address: str, path: str) -> tuple[int, typing.Any]:
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with self._session.get(f"http://{address}{path}", timeout=timeout) as rsp:
            return rsp.status, msgspec.json.decode(await rsp.read())


def setbacks(samples: typing.Sequence[Sample]) -> list[tuple[int, int]]:
    """Return the pairs of revisions in which an entry's revision went back."""
    pairs = itertools.pairwise(samples)
    return [
        (before.revisions[name], after.revisions[name])
        for before, after in pairs
        for name in before.revisions.keys() & after.revisions.keys()
        if after.revisions[name] < before.revisions[name]
    ]


def in_force_s(
    samples: typing.Sequence[Sample],
    names: typing.Collection[str],
    index: int,
    since_s: float,
) -> float:
    """Return how long after a time all entries have a revision; inf if never.

    Parameters
    ----------
    samples
        Samples that each show some of the entries, in any order.
    names
        The entries.
    index
        The revision, a log index.
    since_s
        Monotonic time in s of the acceptance.
    """
    first = dict.fromkeys(names, math.inf)
    for sample in samples:
        for name, revision in sample.revisions.items():
            if name in first and revision >= index:
                first[name] = min(first[name], sample.time_s)
    return max(0.0, max(first.values(), default=0.0) - since_s)
