"""Open-loop load generator, run in a worker process of the benchmark."""

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

__all__ = [
    "MAX_LATENCY_US",
    "LoadPlan",
    "LoadResult",
    "arrival_times",
    "new_histogram",
    "run_load",
]

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
ATTEMPT_TIMEOUT_S = 5.0
# A call whose connection fails is sent to another address at once; this limits the
# attempts of one call.
MAX_ATTEMPTS = 4
ORDER_BODY = b"x" * 64
SUCCESS_STATUSES = range(200, 300)


class LoadPlan(msgspec.Struct, frozen=True):
    """Load that one worker process generates.

    Parameters
    ----------
    service
        Name of the service.
    prefix
        Prefix of all request ids.
    apis
        Addresses of the API listeners, which return the addresses of entries.
    start_s, warm_s, measured_s
        Monotonic start time, length of the warm-up, whose calls are not counted, and
        length of the counted part, in s.
    rate
        Mean calls/s.
    callers
        Number of stand-in callers, each with its own list of addresses.
    orders
        Share of calls that are not repeatable, from 0 to 1.
    burst
        Start and end of a burst in s after the start of the counted part, and the
        factor by which it multiplies the rate.
    direct
        Addresses of targets to call directly, without an entry.
    seed
        Seed of the arrival times.
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


class LoadResult(msgspec.Struct):
    """Results of one worker process in the counted part.

    Parameters
    ----------
    latency
        Encoded HdrHistogram of the time from the planned start of a call to its
        complete response, in µs.
    outcomes
        Number of calls by outcome: ``ok``, ``error``, ``not_run:…``,
        ``may_have_run:…``, ``lost`` or ``wrong``.
    keys
        Outcome by key of each call that is not repeatable, warm-up included.
    resent
        Attempts that failed with a connection error or a timeout.
    late_us
        Longest delay between the planned and the actual start of a call in µs. A
        long delay shows an overloaded generator.
    cpu_s
        Processor time of the process in s.
    """

    latency: bytes
    outcomes: dict[str, int]
    keys: dict[str, str]
    resent: int
    late_us: int
    cpu_s: float


def new_histogram() -> hdrh.histogram.HdrHistogram:
    """Return an empty histogram from 1 µs to a minute."""
    return hdrh.histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def arrival_times(plan: LoadPlan) -> collections.abc.Iterator[float]:
    """Yield the planned start times in s after the start of the plan.

    Notes
    -----
    The times are a Poisson process with a varying rate, drawn by thinning:
    candidates are drawn at the highest rate, and each is accepted with the
    probability of the current rate over the highest rate.
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


class LoadGenerator:
    """Sends the calls of one plan and counts their outcomes.

    Parameters
    ----------
    plan
        The load.
    session
        HTTP client that reuses connections and doesn't resend requests itself.
    """

    def __init__(self, plan: LoadPlan, session: aiohttp.ClientSession):
        self._plan = plan
        self._session = session
        self._rng = random.Random(plan.seed + 1)
        self._address_books = [
            callers.AddressBook(plan.service, plan.apis, session, self._rng)
            for _ in range(plan.callers)
        ]
        self._call_numbers = itertools.count(plan.seed)
        self._histogram = new_histogram()
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._keys: dict[str, str] = {}
        self._resent = 0
        self._max_start_delay_s = 0.0

    async def run(self) -> LoadResult:
        """Start each call at its planned time and wait for the last response."""
        start_cpu_s = time.process_time()
        async with asyncio.TaskGroup() as group:
            for number, after_s in enumerate(arrival_times(self._plan)):
                due = self._plan.start_s + after_s
                wait_s = due - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                counted = after_s >= self._plan.warm_s
                group.create_task(self._call(number, due, counted))
        return LoadResult(
            latency=self._histogram.encode(),
            outcomes=dict(self._outcomes),
            keys=self._keys,
            resent=self._resent,
            late_us=int(self._max_start_delay_s * 1e6),
            cpu_s=time.process_time() - start_cpu_s,
        )

    async def _call(self, number: int, due: float, counted: bool) -> None:
        key = ""
        if self._rng.random() < self._plan.orders:
            key = str(keys.uuid7(time.time_ns() // 1_000_000, self._rng))
        if counted:
            self._max_start_delay_s = max(
                self._max_start_delay_s, time.monotonic() - due
            )
        request_id = key or f"{self._plan.prefix}-{number}"
        outcome = await self._send(number, request_id, key)
        if key:
            self._keys[key] = outcome
        if not counted:
            return
        self._outcomes[outcome] += 1
        if outcome == "ok":
            latency_us = int((time.monotonic() - due) * 1e6)
            self._histogram.record_value(min(MAX_LATENCY_US, max(1, latency_us)))

    async def _send(self, number: int, request_id: str, key: str) -> str:
        call_number = next(self._call_numbers)
        unknown_outcome = ""
        for attempt in range(MAX_ATTEMPTS):
            if self._plan.direct:
                addresses, prefix = self._plan.direct, ""
            else:
                book = self._address_books[call_number % len(self._address_books)]
                try:
                    addresses = await book.addresses()
                except errors.UnavailableError:
                    return "lost"
                prefix = f"/{self._plan.service}"
            index = (call_number // len(self._address_books) + attempt) % len(addresses)
            path = "/orders" if key else f"/items/{number}"
            url = f"http://{addresses[index]}{prefix}{path}"
            try:
                return await self._attempt(url, request_id, key)
            except (aiohttp.ClientError, TimeoutError) as exc:
                if not isinstance(exc, aiohttp.ClientConnectorError):
                    unknown_outcome = "may_have_run:no_response"
                self._resent += 1
        return unknown_outcome or "lost"

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
        if resp.status not in SUCCESS_STATUSES:
            return "error"
        is_matching = resp.headers.get(targets.REQUEST_ID_HEADER) == request_id
        return "ok" if is_matching else "wrong"


async def _run(plan: LoadPlan) -> LoadResult:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        # aiohttp resends a GET after a connection error, which would hide the error.
        session._retry_connection = False
        return await LoadGenerator(plan, session).run()


def run_load(plan: LoadPlan) -> LoadResult:
    """Run a plan in this process and return after the last response."""
    return uvloop.run(_run(plan))
