"""Callers that reach the entries over links, and what their requests must get."""

import asyncio
import contextlib
import dataclasses
import random
import time
import typing

from coltsfootchute import verdicts
from coltsfootchute.standins import clusters, keys, links, records
from tests.end_to_end import exchanges
from tests.soak import plans

__all__ = ["Disturbances", "Visits"]

CALLERS_PER_ENTRY = 4
# Means of the time between requests and of the work, and bounds of uploads.
PAUSE_S, WORK_S, LONGEST_WORK_S = 0.5, 0.2, 1.2
SENDING_S = 0.8
BODY_BYTES = (60_000, 360_000)
# A fault acts on for a while, such as on connections that it left silent.
AFTERWARDS_S = 2.0


@dataclasses.dataclass
class _Span:
    fault: plans.Fault
    from_s: float
    until_s: float = float("inf")


class Disturbances:
    """Faults and planned stops with their Unix times, as they came."""

    def __init__(self):
        self._spans: list[_Span] = []
        self._stops: dict[str, list[exchanges.Stop]] = {}

    @contextlib.contextmanager
    def during(self, fault: plans.Fault) -> typing.Iterator[None]:
        """Note a fault while it lasts."""
        span = _Span(fault, time.time())
        self._spans.append(span)
        yield
        span.until_s = time.time() + AFTERWARDS_S

    def stopped(self, entry: str, limit_s: float) -> None:
        """Note the signal of a planned stop."""
        self._stops.setdefault(entry, []).append(exchanges.Stop(time.time(), limit_s))

    def excuses(self, entry: str, found: exchanges.Exchange) -> bool:
        """Tell whether an unplanned fault may have cut a request at an entry."""
        return any(
            span.from_s <= found.ended_s and found.began_s <= span.until_s
            for span in self._spans
            if _may_cut(span.fault, entry)
        )

    def stop_of(self, entry: str, found: exchanges.Exchange) -> exchanges.Stop:
        """Return the last stop before the end of a request, or one long ago."""
        before = [s for s in self._stops.get(entry, ()) if s.at_s <= found.ended_s]
        return before[-1] if before else exchanges.Stop(0.0, 0.0)


def _may_cut(fault: plans.Fault, entry: str) -> bool:
    if fault.kind in plans.PLANNED_KINDS:
        return False
    if fault.kind in plans.LINK_KINDS:
        # Links to control carry no calls.
        return fault.names[0] == f"front {entry}" or fault.names[0].startswith("back")
    return entry in fault.names or any(name.startswith("t") for name in fault.names)


class Visits:
    """Sparse requests and uploads to each entry on kept and new connections.

    Parameters
    ----------
    fronts
        Links to the entries by name.
    seed
        Seed of the requests.
    """

    def __init__(self, fronts: dict[str, links.Link], seed: int):
        self._fronts = fronts
        self._seed = seed
        self._over = asyncio.Event()
        self._stack = contextlib.AsyncExitStack()
        self._callers: list[tuple[str, exchanges.Caller]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._clock = exchanges.Clock()
        self._ticking: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Visits":
        self._ticking = asyncio.create_task(self._clock.run())
        for entry, link in self._fronts.items():
            url = f"http://{link.address}/{clusters.SERVICE}"
            for number in range(CALLERS_PER_ENTRY):
                name = f"{entry}-{number}"
                caller = exchanges.Caller(url, name, keeps=number % 2 == 0)
                await self._stack.enter_async_context(caller)
                self._callers.append((entry, caller))
                rng = random.Random(f"{self._seed} {name}")
                self._tasks.append(asyncio.create_task(self._send(caller, rng)))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks = [*self._tasks, self._ticking]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._stack.aclose()

    async def stop(self) -> None:
        """Start no more requests and await those under way."""
        self._over.set()
        await asyncio.gather(*self._tasks)

    async def _send(self, caller: exchanges.Caller, rng: random.Random) -> None:
        while not self._over.is_set():
            await asyncio.sleep(rng.expovariate(1 / PAUSE_S))
            work_s = min(rng.expovariate(1 / WORK_S), LONGEST_WORK_S)
            if rng.random() < 0.6:
                await caller.send(work_s, path="/items/1")
                continue
            body = bytes(rng.randrange(*BODY_BYTES))
            key = str(keys.uuid7(time.time_ns() // 1_000_000, rng))
            headers = {verdicts.KEY_HEADER: key}
            sending_s = rng.uniform(0.0, SENDING_S)
            await caller.send(work_s, body, sending_s, "/orders", headers)

    def problems(
        self, runs: typing.Sequence[records.Run], faults: Disturbances
    ) -> list[str]:
        """Return what was lost without an unplanned fault, and false refusals."""
        found = []
        answered = 0
        for entry, caller in self._callers:
            for sent in caller.exchanges:
                answered += bool(sent.status)
                sent.held_up_s = self._clock.held_up_s(sent.sent_s, sent.ended_s)
                stop = faults.stop_of(entry, sent)
                lost = exchanges.find_lost([sent], runs, stop)
                if lost and not faults.excuses(entry, sent):
                    after_s = sent.ended_s - stop.at_s
                    found.append(f"lost {after_s:.2f} s after a stop: {sent}")
            false = exchanges.find_false_refusals(caller.exchanges, runs)
            found += [f"ran though refused as not run: {sent}" for sent in false]
        if not answered:
            found.append("no request over a link was answered")
        return found
