"""Workload of repeatable and not repeatable calls at a constant rate."""

import asyncio
import random
import time
import typing

import aiohttp

from coltsfootchute.standins import callers, clusters

__all__ = ["Workload", "make_call"]

CALLER_COUNT = 8
MAX_BODY_BYTES = 2048


def make_call(number: int, rng: random.Random) -> callers.Call:
    """Return a random call, a read or an order, that `clusters.SECTION` allows."""
    if rng.random() < 0.5:
        return callers.Call("GET", f"/items/{number}", repeatable=True)
    body = rng.randbytes(rng.randrange(1, MAX_BODY_BYTES))
    return callers.Call("POST", "/orders", repeatable=False, body=body)


class Workload:
    """Starts calls until it is stopped and collects their outcomes.

    Parameters
    ----------
    apis
        Addresses of the API listeners at which callers look up entries.
    session
        HTTP client of the callers.
    rate
        Calls started per second, whether or not earlier ones have ended.
    seed
        Seed of the calls, the choice of API listeners and the backoff.
    new_call
        Function that returns the call with the given number.
    max_resends
        Maximum number of attempts of a call after the first one.

    Attributes
    ----------
    outcomes
        Outcomes of the calls that have ended, in the order of their end.
    """

    def __init__(
        self,
        apis: typing.Sequence[str],
        session: aiohttp.ClientSession,
        *,
        rate: float = 40.0,
        seed: int = 0,
        new_call: typing.Callable[[int, random.Random], callers.Call] = make_call,
        max_resends: int = callers.DEFAULT_MAX_RESENDS,
    ):
        self.outcomes: list[callers.Outcome] = []
        self._rate = rate
        self._rng = random.Random(seed)
        self._new_call = new_call
        self._callers = [
            callers.Caller(
                clusters.SERVICE,
                apis,
                session,
                random.Random(f"{seed} {number}"),
                max_resends,
            )
            for number in range(CALLER_COUNT)
        ]
        self._tasks: set[asyncio.Task[None]] = set()
        self._start_task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Workload":
        self._start_task = asyncio.create_task(self._start_calls())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks = [self._start_task, *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def stop(self) -> list[callers.Outcome]:
        """Start no more calls, wait for the started ones and return all outcomes."""
        self._start_task.cancel()
        await asyncio.gather(*self._tasks)
        return self.outcomes

    async def _start_calls(self) -> None:
        start, number = time.monotonic(), 0
        while True:
            task = asyncio.create_task(self._run_call(number))
            self._tasks.add(task)
            number += 1
            due_s = start + number / self._rate
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))

    async def _run_call(self, number: int) -> None:
        caller = self._callers[number % len(self._callers)]
        call = self._new_call(number, self._rng)
        self.outcomes.append(await caller.call(call))
