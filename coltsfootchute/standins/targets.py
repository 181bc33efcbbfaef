"""Stand-in target: an HTTP server with slots, injected faults and recorded runs.

The following endpoints control the target; requests to all other paths are work.

=====================  ====================================================
``POST /-/drain``      announce the drain and mark all later responses
``POST /-/straggle``   ``{"factor", "for_s"}``: see `faults.Straggle`
``POST /-/noise``      pause all work repeatedly: see `faults.Noise`
``POST /-/fail``       ``{"for_s"}``: respond with 500: see `faults.FailFast`
``POST /-/hang``       ``{"for_s"}``: never respond: see `faults.Hang`
``POST /-/cool``       ``{"for_s"}``: become cold: see `faults.Cool`
``GET /-/runs``        the recorded runs
``GET /-/health``      ``serving`` or ``draining``, as it was ``lag_s`` ago
``GET /-/load``        requests in flight, delayed and scaled as in reports
=====================  ====================================================
"""

import asyncio
import contextlib
import hashlib
import os
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
from coltsfootchute.standins import (
    announcers,
    arrivals,
    colds,
    faults,
    loads,
    records,
    target_options,
)

__all__ = [
    "COLD_HEADER",
    "CRASH_HEADER",
    "ENTRY_HEADER",
    "KEY_PREFIX",
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
# Header with the service time of a request in ms, in place of a random one.
WORK_HEADER = "Standin-Work-Ms"
# Header with the remaining cold time in ms, in responses to health checks.
COLD_HEADER = "Standin-Cold-Ms"
# Header with the name of the entry to which a caller sent a request.
ENTRY_HEADER = "Standin-Entry"
WORKSPACE_HEADER = "Coltsfootchute-Workspace"
# First characters of all keys of stand-in callers, which must reach no target.
KEY_PREFIX = "standin-secret-"
CHECKSUM_HEADER = "Standin-Body-Sha256"
CRASH_EXIT_CODE = 70
MAX_BODY_BYTES = 64 * 1024 * 1024
RATE_WINDOW_S = 1.0
STOP_TIMEOUT_S = 10.0

_FAULT_TYPES = {
    "straggle": faults.Straggle,
    "noise": faults.Noise,
    "fail": faults.FailFast,
    "hang": faults.Hang,
    "cool": faults.Cool,
}


Options = target_options.Options
DEFAULTS = Options()


class Answer(msgspec.Struct, frozen=True):
    """Body of the response of a run, with the digest of the request's body."""

    target: str
    request_id: str
    key: str
    body_sha256: str
    body_bytes: int
    padding: str = ""


class Target:
    """HTTP server of a stand-in target.

    Parameters
    ----------
    options
        Command line options of the target.
    """

    def __init__(self, options: Options):
        self.options = options
        self.is_draining = False
        self.run_log = records.RunLog(options.runs)
        self.announcer: announcers.Announcer | None = None
        self._rng = random.Random(options.seed)
        self._slots = asyncio.Semaphore(options.slots)
        self._in_flight = 0
        self._reporter = loads.LoadReporter(options.lag_s, options.load_factor)
        self._cold = colds.ColdStart(
            options.cold_s, options.cold_factor, options.ramp_per_s, time.monotonic()
        )
        self.arrival_log = arrivals.ArrivalLog(options.arrivals)
        self._drained_s = float("inf")
        self._faults = faults.Faults(self._rng)
        self._completion_times_s: list[float] = []

    def make_app(self) -> aiohttp.web.Application:
        """Return a web application with the handlers of the target."""
        app = aiohttp.web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/-/drain", self._handle_drain)
        for name, fault in _FAULT_TYPES.items():
            app.router.add_post(f"/-/{name}", self._fault_handler(fault))
        app.router.add_get("/-/runs", self._handle_runs)
        app.router.add_get("/-/health", self._handle_health)
        app.router.add_get("/-/load", self._handle_load)
        app.router.add_route("*", "/{path:.*}", self._handle_work)
        return app

    async def drain(self) -> bool:
        """Mark all later responses and announce the drain to the entries.

        Returns
        -------
        bool
            Whether an entry accepted the drain; True if nothing is announced.
        """
        if not self.is_draining:
            self.is_draining = True
            self._drained_s = time.monotonic()
        return await self.announcer.drain() if self.announcer else True

    def service_time_s(self, now: float) -> float:
        """Draw a lognormal service time in s, longer during the cold start.

        Parameters
        ----------
        now
            Monotonic time in s.
        """
        opts = self.options
        service_s = opts.service_ms / 1000 * self._rng.lognormvariate(0.0, opts.sigma)
        return service_s * self._cold.slowdown(now)

    async def _handle_work(self, req: aiohttp.web.Request) -> aiohttp.web.Response:
        now = time.monotonic()
        fields = [f"{name}: {value}" for name, value in req.headers.items()]
        arrival = arrivals.Arrival(
            target=self.options.id,
            request_id=req.headers.get(REQUEST_ID_HEADER, ""),
            entry=req.headers.get(ENTRY_HEADER, ""),
            workspaces=req.headers.getall(WORKSPACE_HEADER, []),
            time_s=time.time(),
            leaked=[f.partition(":")[0] for f in fields if KEY_PREFIX in f],
            is_cold=self._cold.remaining_s(now) > 0,
            is_over_ramp=self._cold.exceeds(now),
            is_hung=self._hangs(now),
        )
        self.arrival_log.begin(arrival)
        arrival.end = arrivals.End.CANCELLED
        try:
            if arrival.is_hung:
                await asyncio.Event().wait()
            resp = await self._serve(req)
            is_shed = verdicts.VERDICT_HEADER in resp.headers
            arrival.end = arrivals.End.SHED if is_shed else arrivals.End.ANSWERED
            return resp
        finally:
            arrival.ended_s = time.time()
            self.arrival_log.write(arrival)

    def _hangs(self, now: float) -> bool:
        """Return whether a request that arrives now is never answered."""
        is_full = self._in_flight >= self.options.slots + self.options.queue
        hangs_when_full = self.options.when_full == "hang"
        return self._faults.is_hanging(now) or (hangs_when_full and is_full)

    async def _serve(self, req: aiohttp.web.Request) -> aiohttp.web.Response:
        opts = self.options
        if self._faults.is_failing(time.monotonic()):
            return _json_response({"detail": "failure injected by /-/fail"}, status=500)
        if self._in_flight >= opts.slots + opts.queue:
            return self._shed(
                f"all {opts.slots} slots and {opts.queue} queue places are in use"
            )
        deadline_s = _deadline_s(req)
        self._change_in_flight(1)
        try:
            body = await req.read()
            try:
                await asyncio.wait_for(self._slots.acquire(), deadline_s)
            except TimeoutError:
                return self._shed(f"no free slot within the deadline of {deadline_s} s")
            try:
                return await self._run(req, body)
            finally:
                self._slots.release()
        finally:
            self._change_in_flight(-1)

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
            draining=self.is_draining,
        )
        self.run_log.add(run)
        if CRASH_HEADER in req.headers:
            os._exit(CRASH_EXIT_CODE)
        try:
            now = time.monotonic()
            end = self._faults.completion_time_s(self._work_time_s(req, now), now)
            await asyncio.sleep(end - now)
        finally:
            self.run_log.finish(run)
        self._completion_times_s.append(time.monotonic())
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

    def _work_time_s(self, req: aiohttp.web.Request, now: float) -> float:
        requested_ms = req.headers.get(WORK_HEADER, "")
        return int(requested_ms) / 1000 if requested_ms else self.service_time_s(now)

    def _shed(self, detail: str) -> aiohttp.web.Response:
        headers = self._headers()
        headers[verdicts.VERDICT_HEADER] = verdicts.Verdict.NOT_RUN.value
        return _json_response({"detail": detail}, status=503, headers=headers)

    def _headers(self) -> dict[str, str]:
        headers = {}
        load = self._reporter.report(time.monotonic())
        if self.options.report_load and load is not None:
            headers[verdicts.LOAD_HEADER] = loads.format_orca(
                load, self._completed_per_s()
            )
        if self.is_draining:
            headers[verdicts.DRAINING_HEADER] = "1"
        return headers

    def _change_in_flight(self, change: int) -> None:
        self._in_flight += change
        load = loads.Load(in_flight=self._in_flight, slots=self.options.slots)
        self._reporter.record(load, time.monotonic())

    def _completed_per_s(self) -> float:
        start = time.monotonic() - RATE_WINDOW_S
        self._completion_times_s = [
            at for at in self._completion_times_s if at >= start
        ]
        return len(self._completion_times_s) / RATE_WINDOW_S

    async def _handle_drain(self, req: aiohttp.web.Request) -> aiohttp.web.Response:
        accepted = await self.drain()
        return _json_response({"accepted": accepted}, status=200 if accepted else 503)

    def _fault_handler(self, kind: type) -> typing.Callable:
        async def handle(req: aiohttp.web.Request) -> aiohttp.web.Response:
            try:
                fault = msgspec.json.decode(await req.read(), type=kind)
            except msgspec.DecodeError as exc:
                return _json_response({"detail": str(exc)}, status=400)
            if isinstance(fault, faults.Cool):
                self._cold.restart(fault.for_s, time.monotonic())
            else:
                self._faults.apply(fault, time.monotonic())
            return _json_response({})

        return handle

    async def _handle_runs(self, req: aiohttp.web.Request) -> aiohttp.web.Response:
        return _json_response(self.run_log.runs)

    async def _handle_health(self, req: aiohttp.web.Request) -> aiohttp.web.Response:
        reported_s = time.monotonic() - self.options.lag_s
        state = "draining" if reported_s >= self._drained_s else "serving"
        headers = self._headers()
        remaining_s = self._cold.remaining_s(time.monotonic())
        headers[COLD_HEADER] = str(round(remaining_s * 1000))
        return _json_response({"state": state}, headers=headers)

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
    options: Options, on_listening: typing.Callable[[str, Target], None] | None = None
) -> None:
    """Serve until SIGTERM or SIGINT, then withdraw and finish requests in progress.

    Parameters
    ----------
    options
        Command line options of the target.
    on_listening
        Called with the address and the target when the listener is open.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    target = Target(options)
    # With handler cancellation, a request whose connection closes frees its slot.
    runner = aiohttp.web.AppRunner(
        target.make_app(),
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
    if on_listening is not None:
        on_listening(address, target)
    async with aiohttp.ClientSession() as session:
        await _announce_until_stopped(stop, target, address, session)
    await runner.cleanup()
    target.run_log.close()
    target.arrival_log.close()


async def _announce_until_stopped(
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
