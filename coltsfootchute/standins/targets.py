"""A stand-in target: an HTTP server with slots, faults and a record of its runs.

Its own endpoints start with ``/-/``; any other path is work.

=====================  ====================================================
``POST /-/drain``      announce the drain and mark all later responses
``POST /-/straggle``   ``{"factor", "for_s"}``: slow down for a time
``POST /-/noise``      pauses of all work; see `faults.Noise`
``POST /-/fail``       ``{"for_s"}``: answer 500 at once for a time
``GET /-/runs``        the record of the runs
``GET /-/health``      ``serving`` or ``draining``, as it was ``lag_s`` ago
``GET /-/load``        requests in flight, as reported
=====================  ====================================================
"""

import asyncio
import contextlib
import dataclasses
import hashlib
import os
import pathlib
import random
import signal
import time
import typing

import aiohttp
import aiohttp.web
import cyclopts
import msgspec
import uvloop

from coltsfootchute import verdicts
from coltsfootchute.standins import announcers, faults, loads, records

__all__ = [
    "CRASH_HEADER",
    "REQUEST_ID_HEADER",
    "WORK_HEADER",
    "Answer",
    "Options",
    "Target",
    "main",
    "serve",
]

CRASH_HEADER = "Standin-Crash"
REQUEST_ID_HEADER = "Standin-Request-Id"
# Service time in ms that a request asks for.
WORK_HEADER = "Standin-Work-Ms"
CHECKSUM_HEADER = "Standin-Body-Sha256"
CRASH_EXIT_CODE = 70
MAX_BODY_BYTES = 64 * 1024 * 1024
RATE_WINDOW_S = 1.0
STOP_TIMEOUT_S = 10.0

_FAULTS = {
    "straggle": faults.Straggle,
    "noise": faults.Noise,
    "fail": faults.FailFast,
}


@dataclasses.dataclass(frozen=True)
class Options:
    """Command line options of a stand-in target.

    Parameters
    ----------
    id
        Id of the target.
    listen
        IP number and port; port 0 takes a free one.
    address
        Address to announce, if it is another one, such as that of a link.
    api
        Addresses of the entries' API listeners; none announces nothing.
    failure_domain
        Failure domain to announce.
    services
        Services to announce.
    slots
        Requests that run at once.
    queue
        Requests that wait for a slot; more are shed.
    service_ms
        Median service time in ms.
    sigma
        Standard deviation of the logarithm of the service time.
    cold_s
        Time after the start in s during which work takes longer.
    cold_factor
        Multiplies the service time at the start; falls linearly to 1.
    lag_s
        Age of the reported load and health in s.
    load_factor
        Multiplies the reported load; 1 is honest.
    report_load
        Whether responses carry the load header.
    response_bytes
        Padding of each response in bytes.
    runs
        File for the record of the runs.
    seed
        Seed of the service times.
    """

    id: str = "t1"
    listen: str = "127.0.0.1:0"
    address: str = ""
    api: tuple[str, ...] = ()
    failure_domain: str = "fd-a"
    services: tuple[str, ...] = ("demo",)
    slots: int = 4
    queue: int = 0
    service_ms: float = 10.0
    sigma: float = 0.5
    cold_s: float = 0.0
    cold_factor: float = 1.0
    lag_s: float = 0.0
    load_factor: float = 1.0
    report_load: bool = True
    response_bytes: int = 0
    runs: pathlib.Path | None = None
    seed: int = 0


DEFAULTS = Options()


class Answer(msgspec.Struct, frozen=True):
    """Body of the response to a run."""

    target: str
    request_id: str
    key: str
    body_sha256: str
    body_bytes: int
    padding: str = ""


class Target:
    """The server of a stand-in target.

    Parameters
    ----------
    options
        Behaviour of the target.
    """

    def __init__(self, options: Options):
        self.options = options
        self.draining = False
        self.log = records.RunLog(options.runs)
        self.announcer: announcers.Announcer | None = None
        self._rng = random.Random(options.seed)
        self._slots = asyncio.Semaphore(options.slots)
        self._in_flight = 0
        self._reporter = loads.LoadReporter(options.lag_s, options.load_factor)
        self._started = time.monotonic()
        self._drained_at = float("inf")
        self._faults = faults.Faults(self._rng)
        self._completed: list[float] = []

    def app(self) -> aiohttp.web.Application:
        """Return the web application."""
        app = aiohttp.web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/-/drain", self._handle_drain)
        for name, fault in _FAULTS.items():
            app.router.add_post(f"/-/{name}", self._fault_handler(fault))
        app.router.add_get("/-/runs", self._handle_runs)
        app.router.add_get("/-/health", self._handle_health)
        app.router.add_get("/-/load", self._handle_load)
        app.router.add_route("*", "/{path:.*}", self._handle_work)
        return app

    async def drain(self) -> bool:
        """Mark all later responses and announce the drain to the entries."""
        if not self.draining:
            self.draining = True
            self._drained_at = time.monotonic()
        return await self.announcer.drain() if self.announcer else True

    def service_time_s(self, now: float) -> float:
        """Return a lognormal service time in s, longer when cold."""
        opts = self.options
        spent_s = opts.service_ms / 1000 * self._rng.lognormvariate(0.0, opts.sigma)
        cold = 0.0
        if opts.cold_s > 0:
            cold = max(0.0, 1 - (now - self._started) / opts.cold_s)
        return spent_s * (1 + (opts.cold_factor - 1) * cold)

    async def _handle_work(self, req: aiohttp.web.Request) -> aiohttp.web.Response:
        opts = self.options
        if self._faults.fails(time.monotonic()):
            return _json_response({"detail": "fails"}, status=500)
        if self._in_flight >= opts.slots + opts.queue:
            return self._shed("all slots are taken")
        deadline_s = _deadline_s(req)
        self._count(1)
        try:
            body = await req.read()
            try:
                await asyncio.wait_for(self._slots.acquire(), deadline_s)
            except TimeoutError:
                return self._shed("no slot was free before the deadline")
            try:
                return await self._run(req, body)
            finally:
                self._slots.release()
        finally:
            self._count(-1)

    async def _run(self, req: aiohttp.web.Request, body: bytes) -> aiohttp.web.Response:
        key = req.headers.get(verdicts.KEY_HEADER, "")
        request_id = req.headers.get(REQUEST_ID_HEADER, "")
        run = records.Run(
            target=self.options.id,
            key=key,
            request_id=request_id,
            method=req.method,
            path=req.path_qs,
            time_s=time.time(),
            draining=self.draining,
        )
        self.log.add(run)
        if CRASH_HEADER in req.headers:
            os._exit(CRASH_EXIT_CODE)
        try:
            now = time.monotonic()
            end = self._faults.end_of(self._work_s(req, now), now)
            await asyncio.sleep(end - now)
        finally:
            self.log.finish(run)
        self._completed.append(time.monotonic())
        answer = Answer(
            target=self.options.id,
            request_id=request_id,
            key=key,
            body_sha256=hashlib.sha256(body).hexdigest(),
            body_bytes=len(body),
            padding="x" * self.options.response_bytes,
        )
        headers = self._headers()
        headers[REQUEST_ID_HEADER] = request_id
        headers[CHECKSUM_HEADER] = answer.body_sha256
        return _json_response(answer, headers=headers)

    def _work_s(self, req: aiohttp.web.Request, now: float) -> float:
        asked_ms = req.headers.get(WORK_HEADER, "")
        return int(asked_ms) / 1000 if asked_ms else self.service_time_s(now)

    def _shed(self, detail: str) -> aiohttp.web.Response:
        headers = self._headers()
        headers[verdicts.VERDICT_HEADER] = verdicts.Verdict.NOT_RUN.value
        return _json_response({"detail": detail}, status=503, headers=headers)

    def _headers(self) -> dict[str, str]:
        headers = {}
        load = self._reporter.report(time.monotonic())
        if self.options.report_load and load is not None:
            headers[verdicts.LOAD_HEADER] = loads.format_orca(load, self._rate())
        if self.draining:
            headers[verdicts.DRAINING_HEADER] = "1"
        return headers

    def _count(self, change: int) -> None:
        self._in_flight += change
        load = loads.Load(in_flight=self._in_flight, slots=self.options.slots)
        self._reporter.observe(load, time.monotonic())

    def _rate(self) -> float:
        start = time.monotonic() - RATE_WINDOW_S
        self._completed = [at for at in self._completed if at >= start]
        return len(self._completed) / RATE_WINDOW_S

    async def _handle_drain(self, req: aiohttp.web.Request) -> aiohttp.web.Response:
        accepted = await self.drain()
        return _json_response({"accepted": accepted}, status=200 if accepted else 503)

    def _fault_handler(self, kind: type) -> typing.Callable:
        async def handle(req: aiohttp.web.Request) -> aiohttp.web.Response:
            try:
                fault = msgspec.json.decode(await req.read(), type=kind)
            except msgspec.DecodeError as exc:
                return _json_response({"detail": str(exc)}, status=400)
            self._faults.apply(fault, time.monotonic())
            return _json_response({})

        return handle

    async def _handle_runs(self, req: aiohttp.web.Request) -> aiohttp.web.Response:
        return _json_response(self.log.runs)

    async def _handle_health(self, req: aiohttp.web.Request) -> aiohttp.web.Response:
        lagged = time.monotonic() - self.options.lag_s
        state = "draining" if lagged >= self._drained_at else "serving"
        return _json_response({"state": state})

    async def _handle_load(self, req: aiohttp.web.Request) -> aiohttp.web.Response:
        load = self._reporter.report(time.monotonic())
        return _json_response(load or loads.Load(0, self.options.slots))


def _deadline_s(req: aiohttp.web.Request) -> float | None:
    text = req.headers.get(verdicts.DEADLINE_HEADER, "")
    return int(text) / 1000 if text.isdigit() else None


def _json_response(
    value: object, *, status: int = 200, headers: dict[str, str] | None = None
) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        body=msgspec.json.encode(value),
        status=status,
        headers=headers,
        content_type="application/json",
    )


async def serve(
    options: Options, ready: typing.Callable[[str, Target], None] | None = None
) -> None:
    """Serve until SIGTERM or SIGINT, then withdraw and finish what runs.

    Parameters
    ----------
    options
        Behaviour of the target.
    ready
        Called with the address and the target once it listens.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    target = Target(options)
    # A caller that goes away cancels its request; the slot is free again.
    runner = aiohttp.web.AppRunner(
        target.app(),
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout=STOP_TIMEOUT_S,
    )
    await runner.setup()
    host, _, port = options.listen.rpartition(":")
    site = aiohttp.web.TCPSite(runner, host, int(port))
    await site.start()
    host, port = runner.addresses[0][:2]
    address = f"{host}:{port}"
    if ready is not None:
        ready(address, target)
    async with aiohttp.ClientSession() as session:
        await _announce_until(stop, target, address, session)
    await runner.cleanup()
    target.log.close()


async def _announce_until(
    stop: asyncio.Event,
    target: Target,
    address: str,
    session: aiohttp.ClientSession,
) -> None:
    opts = target.options
    if not opts.api:
        await stop.wait()
        return
    announcement = announcers.Announcement(
        id=opts.id,
        incarnation=time.time_ns() // 1_000_000,
        address=opts.address or address,
        failure_domain=opts.failure_domain,
        services=opts.services,
        slots=opts.slots,
    )
    target.announcer = announcers.Announcer(announcement, opts.api, session)
    renewals = asyncio.ensure_future(target.announcer.run())
    await stop.wait()
    renewals.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await renewals
    await target.announcer.withdraw()


def _run(
    options: typing.Annotated[Options, cyclopts.Parameter(name="*")] = DEFAULTS,
) -> None:
    uvloop.run(serve(options, lambda address, _: print(address, flush=True)))


def main(argv: typing.Sequence[str] | None = None) -> None:
    """Run a stand-in target from command line options."""
    app = cyclopts.App(name="targets", help="Run a stand-in target.")
    app.default(_run)
    app(argv)


if __name__ == "__main__":
    main()
