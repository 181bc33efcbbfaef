"""Samples the revision that each entry has in force."""

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

__all__ = ["Observer", "Sample", "revision_decreases", "time_until_in_force_s"]

POLL_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True)
class Sample:
    """Revisions in force in one response.

    Parameters
    ----------
    sent_s, received_s
        Monotonic times of the request and its response in s.
    revisions
        Revision in force, by API address for samples of ``/readyz``, by name of the
        instance for those of ``/v1/status``.
    """

    sent_s: float
    received_s: float
    revisions: typing.Mapping[str, int]


class Observer:
    """Samples ``/readyz`` and ``/v1/status`` of each entry repeatedly.

    Parameters
    ----------
    addresses
        Addresses of API listeners.
    session
        HTTP client.

    Attributes
    ----------
    own_samples
        Samples of ``/readyz`` by API address: the revision that this entry has in
        force.
    status_samples
        Samples of ``/v1/status`` by API address: the revisions that the instances
        reported.
    stale_entries
        API addresses of the entries that reported at any time that they are stale.
    """

    def __init__(self, addresses: typing.Sequence[str], session: aiohttp.ClientSession):
        self.own_samples: dict[str, list[Sample]] = collections.defaultdict(list)
        self.status_samples: dict[str, list[Sample]] = collections.defaultdict(list)
        self.stale_entries: set[str] = set()
        self._addresses = list(addresses)
        self._session = session
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "Observer":
        for address in self._addresses:
            for take_sample in (self._sample_own, self._sample_status):
                self._tasks.append(
                    asyncio.create_task(self._repeat(take_sample, address))
                )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _repeat(
        self, take_sample: typing.Callable[[str], typing.Awaitable[None]], address: str
    ) -> None:
        while True:
            # An entry that is down or suspended does not respond: no sample is added.
            with contextlib.suppress(
                aiohttp.ClientError, TimeoutError, msgspec.DecodeError, KeyError
            ):
                await take_sample(address)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _sample_own(self, address: str) -> None:
        sent_s = time.monotonic()
        _, body = await self._get(address, "/readyz")
        sample = Sample(sent_s, time.monotonic(), {address: body["revision"]})
        self.own_samples[address].append(sample)
        if body["stale"]:
            self.stale_entries.add(address)

    async def _sample_status(self, address: str) -> None:
        sent_s = time.monotonic()
        status, body = await self._get(address, "/v1/status")
        if status == apis.HTTP_OK:
            found = {item["name"]: item["revision"] for item in body["instances"]}
            self.status_samples[address].append(Sample(sent_s, time.monotonic(), found))

    async def _get(self, address: str, path: str) -> tuple[int, typing.Any]:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with self._session.get(f"http://{address}{path}", timeout=timeout) as rsp:
            return rsp.status, msgspec.json.decode(await rsp.read())


def revision_decreases(samples: typing.Sequence[Sample]) -> list[tuple[int, int]]:
    """Return the revisions before and after each decrease between two samples."""
    pairs = itertools.pairwise(samples)
    return [
        (before.revisions[name], after.revisions[name])
        for before, after in pairs
        for name in before.revisions.keys() & after.revisions.keys()
        if after.revisions[name] < before.revisions[name]
    ]


def time_until_in_force_s(
    samples: typing.Sequence[Sample],
    names: typing.Collection[str],
    index: int,
    since_s: float,
) -> float:
    """Return the time in s until all entries have a revision in force; inf if never.

    Parameters
    ----------
    samples
        Samples of any of the entries, in any order.
    names
        Names of the entries, as in the samples.
    index
        Log index of the revision.
    since_s
        Monotonic time of the acceptance in s, from which the time counts.
    """
    first = dict.fromkeys(names, math.inf)
    for sample in samples:
        for name, revision in sample.revisions.items():
            if name in first and revision >= index:
                first[name] = min(first[name], sample.received_s)
    return max(0.0, max(first.values(), default=0.0) - since_s)
