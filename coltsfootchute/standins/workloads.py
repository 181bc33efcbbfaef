"""Calls of both kinds at a steady rate, for as long as a fault lasts."""

import asyncio
import random
import time
import typing

import aiohttp

from coltsfootchute.standins import callers, clusters

__all__ = ["Workload", "make_call"]

CALLERS = 8
MAX_BODY_BYTES = 2048


def make_call(number: int, rng: random.Random) -> callers.Call:
    """Return a read or an order of the service of `clusters.SECTION`."""
    if rng.random() < 0.5:
        return callers.Call("GET", f"/items/{number}", repeatable=True)
    body = rng.randbytes(rng.randrange(1, MAX_BODY_BYTES))
    return callers.Call("POST", "/orders", repeatable=False, body=body)


class Workload:
    """Starts calls until it is stopped, and keeps their outcomes.

    Parameters
    ----------
    apis
        Addresses of the API listeners that callers ask.
    session
        HTTP client of the callers.
    rate
        Calls started in each second, whether earlier ones have ended or not.
    seed
        Seed of the calls and the pauses before resends.
    make
        Returns a call for a number.
    resends
        Most sendings of a call after the first one.

    Attributes
    ----------
    outcomes
        The calls that have ended.
    """

    def __init__(
        self,
        apis: typing.Sequence[str],
        session: aiohttp.ClientSession,
        *,
        rate: float = 40.0,
        seed: int = 0,
        make: typing.Callable[[int, random.Random], callers.Call] = make_call,
        resends: int = callers.DEFAULT_RESENDS,
    ):
        self.outcomes: list[callers.Outcome] = []
        self._rate = rate
        self._rng = random.Random(seed)
        self._make = make
        self._callers = [
            callers.Caller(
                clusters.SERVICE,
                apis,
                session,
                random.Random(f"{seed} {number}"),
                resends,
            )
            for number in range(CALLERS)
        ]
        self._tasks: set[asyncio.Task[None]] = set()
        self._starting: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Workload":
        self._starting = asyncio.create_task(self._start_calls())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks = [self._starting, *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def stop(self) -> list[callers.Outcome]:
        """Start no more calls; return the outcomes once all have ended."""
        self._starting.cancel()
        await asyncio.gather(*self._tasks)
        return self.outcomes

    async def _start_calls(self) -> None:
        start, number = time.monotonic(), 0
        while True:
            task = asyncio.create_task(self._run(number))
            self._tasks.add(task)
            number += 1
            due_s = start + number / self._rate
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))

    async def _run(self, number: int) -> None:
        caller = self._callers[number % len(self._callers)]
        call = self._make(number, self._rng)
        self.outcomes.append(await caller.call(call))
