"""Callers that send requests to the entries over links, and checks of the answers."""

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

__all__ = ["FaultLog", "LinkCallers"]

CALLERS_PER_ENTRY = 4
# Means of the pause between requests and of the work, and bounds of work and uploads.
PAUSE_S, WORK_S, LONGEST_WORK_S = 0.5, 0.2, 1.2
UPLOAD_S = 0.8
BODY_BYTES = (60_000, 360_000)
# Time after a fault in which it may still cut requests, such as on connections that
# it has stalled.
AFTEREFFECT_S = 2.0


@dataclasses.dataclass
class _Span:
    fault: plans.Fault
    from_s: float
    until_s: float = float("inf")


class FaultLog:
    """The faults and planned stops of a run with their Unix times."""

    def __init__(self):
        self._spans: list[_Span] = []
        self._stops: dict[str, list[exchanges.Stop]] = {}

    @contextlib.contextmanager
    def record_fault(self, fault: plans.Fault) -> typing.Iterator[None]:
        """Record the time of a fault, which lasts as long as the context."""
        span = _Span(fault, time.time())
        self._spans.append(span)
        yield
        span.until_s = time.time() + AFTEREFFECT_S

    def record_stop(self, entry: str, limit_s: float) -> None:
        """Record the signal of a planned stop of an entry, and its bound in s."""
        self._stops.setdefault(entry, []).append(exchanges.Stop(time.time(), limit_s))

    def may_explain(self, entry: str, sent: exchanges.Exchange) -> bool:
        """Tell whether an unplanned fault may have cut a request to an entry."""
        return any(
            span.from_s <= sent.ended_s and sent.began_s <= span.until_s
            for span in self._spans
            if _may_cut(span.fault, entry)
        )

    def last_stop(self, entry: str, sent: exchanges.Exchange) -> exchanges.Stop:
        """Return the last stop before the end of a request, or one at time 0."""
        before = [s for s in self._stops.get(entry, ()) if s.at_s <= sent.ended_s]
        return before[-1] if before else exchanges.Stop(0.0, 0.0)


def _may_cut(fault: plans.Fault, entry: str) -> bool:
    if fault.kind in plans.PLANNED_KINDS:
        return False
    if fault.kind in plans.LINK_KINDS:
        # Links to control carry no calls.
        return fault.names[0] == f"front {entry}" or fault.names[0].startswith("back")
    return entry in fault.names or any(name.startswith("t") for name in fault.names)


class LinkCallers:
    """Callers that send sparse requests and uploads to each entry.

    Half of them keep their connections; the others open one for each request.

    Parameters
    ----------
    entry_links
        Links to the entries by the name of the entry.
    seed
        Seed of the requests.
    """

    def __init__(self, entry_links: dict[str, links.Link], seed: int):
        self._entry_links = entry_links
        self._seed = seed
        self._stop_event = asyncio.Event()
        self._stack = contextlib.AsyncExitStack()
        self._callers: list[tuple[str, exchanges.Caller]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._lag_monitor = exchanges.LoopLagMonitor()
        self._monitoring: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "LinkCallers":
        self._monitoring = asyncio.create_task(self._lag_monitor.run())
        for entry, link in self._entry_links.items():
            url = f"http://{link.address}/{clusters.SERVICE}"
            for number in range(CALLERS_PER_ENTRY):
                name = f"{entry}-{number}"
                caller = exchanges.Caller(url, name, keeps_alive=number % 2 == 0)
                await self._stack.enter_async_context(caller)
                self._callers.append((entry, caller))
                rng = random.Random(f"{self._seed} {name}")
                self._tasks.append(asyncio.create_task(self._send(caller, rng)))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks = [*self._tasks, self._monitoring]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._stack.aclose()

    async def stop(self) -> None:
        """Start no more requests, and wait for those in progress."""
        self._stop_event.set()
        await asyncio.gather(*self._tasks)

    async def _send(self, caller: exchanges.Caller, rng: random.Random) -> None:
        while not self._stop_event.is_set():
            await asyncio.sleep(rng.expovariate(1 / PAUSE_S))
            work_s = min(rng.expovariate(1 / WORK_S), LONGEST_WORK_S)
            if rng.random() < 0.6:
                await caller.send(work_s, path="/items/1")
                continue
            body = bytes(rng.randrange(*BODY_BYTES))
            key = str(keys.uuid7(time.time_ns() // 1_000_000, rng))
            headers = {verdicts.KEY_HEADER: key}
            upload_s = rng.uniform(0.0, UPLOAD_S)
            await caller.send(work_s, body, upload_s, "/orders", headers)

    def problems(
        self, runs: typing.Sequence[records.Run], fault_log: FaultLog
    ) -> list[str]:
        """Return the requests lost without an unplanned fault, and false refusals."""
        problems = []
        answered = 0
        for entry, caller in self._callers:
            for sent in caller.exchanges:
                answered += bool(sent.status)
                sent.loop_lag_s = self._lag_monitor.loop_lag_s(
                    sent.sent_s, sent.ended_s
                )
                stop = fault_log.last_stop(entry, sent)
                lost = exchanges.find_lost([sent], runs, stop)
                if lost and not fault_log.may_explain(entry, sent):
                    after_s = sent.ended_s - stop.at_s
                    problems.append(f"lost {after_s:.2f} s after a stop: {sent}")
            false = exchanges.find_false_refusals(caller.exchanges, runs)
            problems += [f"ran though refused as not run: {sent}" for sent in false]
        if not answered:
            problems.append("no request over a link was answered")
        return problems
