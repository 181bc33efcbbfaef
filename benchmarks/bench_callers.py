"""Open-loop load of stand-in callers, run in a worker process of the bench."""

import asyncio
import collections
import collections.abc
import itertools
import random
import time

import aiohttp
import hdrh.histogram
import msgspec
import uvloop

from coltsfootchute import errors, verdicts
from coltsfootchute.standins import callers, keys, targets

__all__ = ["LONGEST_US", "Plan", "Result", "arrivals", "new_histogram", "run"]

LONGEST_US = 60_000_000
DIGITS = 3
ATTEMPT_TIMEOUT_S = 5.0
# A call whose connection breaks goes to another address at once, this often.
SENDINGS = 4
ORDER_BODY = b"x" * 64
OK = range(200, 300)


class Plan(msgspec.Struct, frozen=True):
    """Load of one worker process.

    Parameters
    ----------
    service
        Name of the service.
    prefix
        Start of all request ids.
    apis
        API listeners, to ask for addresses.
    start_s, warm_s, measured_s
        Monotonic start, and lengths of the uncounted and the counted part.
    rate
        Mean calls in each second.
    callers
        Stand-in callers, each with its own addresses.
    orders
        Share of calls that are not repeatable.
    burst
        Start and end in s within the counted part, and factor of the rate.
    direct
        Addresses of targets to call without an entry.
    seed
        Seed of the arrivals.
    """

    service: str
    prefix: str
    apis: tuple[str, ...]
    start_s: float
    warm_s: float
    measured_s: float
    rate: float
    callers: int = 12
    orders: float = 0.0
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    direct: tuple[str, ...] = ()
    seed: int = 0


class Result(msgspec.Struct):
    """What the callers of one worker process saw in the counted part.

    Parameters
    ----------
    latency
        Encoded HdrHistogram of complete responses, in µs from the planned start.
    outcomes
        Calls by outcome: ``ok``, ``error``, ``not_run:…``, ``may_have_run:…``,
        ``lost`` or ``wrong``.
    keys
        Key and verdict of each call that is not repeatable, uncounted ones too.
    resent
        Sendings to another address after a broken connection.
    late_us
        Worst delay between a planned and a real start; shows an overloaded
        generator.
    cpu_s
        Processor time of the process.
    """

    latency: bytes
    outcomes: dict[str, int]
    keys: dict[str, str]
    resent: int
    late_us: int
    cpu_s: float


def new_histogram() -> hdrh.histogram.HdrHistogram:
    """Return an empty histogram from 1 µs to a minute."""
    return hdrh.histogram.HdrHistogram(1, LONGEST_US, DIGITS)


def arrivals(plan: Plan) -> collections.abc.Iterator[float]:
    """Yield planned starts in s after the start of the plan.

    Notes
    -----
    A Poisson process by thinning: drawn at the highest rate, then kept with the
    probability of the present rate over the highest.
    """
    rng = random.Random(plan.seed)
    begin, end, factor = plan.burst
    highest = plan.rate * max(1.0, factor)
    at = rng.expovariate(highest)
    while at < plan.warm_s + plan.measured_s:
        in_burst = begin <= at - plan.warm_s < end
        if rng.random() * highest < plan.rate * (factor if in_burst else 1.0):
            yield at
        at += rng.expovariate(highest)


class Load:
    """The callers of one plan.

    Parameters
    ----------
    plan
        The load.
    session
        HTTP client that keeps connections and resends nothing by itself.
    """

    def __init__(self, plan: Plan, session: aiohttp.ClientSession):
        self._plan = plan
        self._session = session
        self._rng = random.Random(plan.seed + 1)
        self._books = [
            callers.AddressBook(plan.service, plan.apis, session, self._rng)
            for _ in range(plan.callers)
        ]
        self._turns = itertools.count(plan.seed)
        self._histogram = new_histogram()
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._keys: dict[str, str] = {}
        self._resent = 0
        self._late_s = 0.0

    async def run(self) -> Result:
        """Start each call at its time and wait for the last response."""
        began = time.process_time()
        async with asyncio.TaskGroup() as group:
            for number, after_s in enumerate(arrivals(self._plan)):
                due = self._plan.start_s + after_s
                wait_s = due - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                counted = after_s >= self._plan.warm_s
                group.create_task(self._call(number, due, counted))
        return Result(
            latency=self._histogram.encode(),
            outcomes=dict(self._outcomes),
            keys=self._keys,
            resent=self._resent,
            late_us=int(self._late_s * 1e6),
            cpu_s=time.process_time() - began,
        )

    async def _call(self, number: int, due: float, counted: bool) -> None:
        key = ""
        if self._rng.random() < self._plan.orders:
            key = str(keys.uuid7(time.time_ns() // 1_000_000, self._rng))
        if counted:
            self._late_s = max(self._late_s, time.monotonic() - due)
        request_id = key or f"{self._plan.prefix}-{number}"
        outcome = await self._send(number, request_id, key)
        if key:
            self._keys[key] = outcome
        if not counted:
            return
        self._outcomes[outcome] += 1
        if outcome == "ok":
            took_us = int((time.monotonic() - due) * 1e6)
            self._histogram.record_value(min(LONGEST_US, max(1, took_us)))

    async def _send(self, number: int, request_id: str, key: str) -> str:
        turn = next(self._turns)
        risked = ""
        for sending in range(SENDINGS):
            if self._plan.direct:
                addresses, prefix = self._plan.direct, ""
            else:
                book = self._books[turn % len(self._books)]
                try:
                    addresses = await book.addresses()
                except errors.UnavailableError:
                    return "lost"
                prefix = f"/{self._plan.service}"
            place = (turn // len(self._books) + sending) % len(addresses)
            path = "/orders" if key else f"/items/{number}"
            url = f"http://{addresses[place]}{prefix}{path}"
            try:
                return await self._attempt(url, request_id, key)
            except (aiohttp.ClientError, TimeoutError) as exc:
                if not isinstance(exc, aiohttp.ClientConnectorError):
                    risked = "may_have_run:no_response"
                self._resent += 1
        return risked or "lost"

    async def _attempt(self, url: str, request_id: str, key: str) -> str:
        headers = {targets.REQUEST_ID_HEADER: request_id}
        if key:
            headers[verdicts.KEY_HEADER] = key
        method, body = ("POST", ORDER_BODY) if key else ("GET", None)
        timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
        async with self._session.request(
            method, url, data=body, headers=headers, timeout=timeout
        ) as resp:
            await resp.read()
        verdict = resp.headers.get(verdicts.VERDICT_HEADER)
        if verdict is not None:
            return f"{verdict}:{resp.headers.get(verdicts.REASON_HEADER, '')}"
        if resp.status not in OK:
            return "error"
        is_own = resp.headers.get(targets.REQUEST_ID_HEADER) == request_id
        return "ok" if is_own else "wrong"


async def _run(plan: Plan) -> Result:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        # aiohttp would resend a GET by itself, which hides a broken connection.
        session._retry_connection = False
        return await Load(plan, session).run()


def run(plan: Plan) -> Result:
    """Run a plan in this process until the last response."""
    return uvloop.run(_run(plan))
