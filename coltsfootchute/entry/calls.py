"""The life of a call: match, admit, claim, send, and answer by the verdict."""

import asyncio
import math
import time

import aiohttp.web
import loguru

from coltsfootchute import balancing, declarations, logs, settings, verdicts
from coltsfootchute.entry import (
    answers,
    attempts,
    crashes,
    dispatches,
    forwards,
    keys,
    metrics,
    phases,
    placements,
    pools,
    relays,
    requests,
    stops,
    watches,
)

__all__ = ["Calls"]

# The request itself is at fault, so it must not come back.
_FINAL_REASONS = frozenset(
    {verdicts.Reason.BODY_TOO_LARGE, verdicts.Reason.BAD_REQUEST}
)


class Calls(dispatches.Dispatcher):
    """Handler of the `calls` listener.

    Parameters
    ----------
    view
        The replicated state, for currency and revision.
    services
        Prepared services by name.
    forwarder
        Connections to targets.
    claims
        Claims and settlements.
    reporter
        Takes crash reports.
    meters
        Metrics.
    stop
        Takes the requests that end during a stop, or without an answer.
    placer
        Finds targets for requests of declared routes by probes; None for no probes.
    names
        Names of headers.
    retry_after_s
        Seconds after which a refused caller should come back.
    """

    def __init__(
        self,
        *,
        view: watches.View,
        services: pools.Services,
        forwarder: forwards.Forwarder,
        claims: keys.Claims,
        reporter: crashes.CrashReporter,
        meters: metrics.Metrics,
        stop: stops.Stop,
        placer: placements.Placer | None = None,
        names: settings.HeaderSettings | None = None,
        retry_after_s: float = answers.RETRY_AFTER_S,
    ):
        super().__init__(
            view=view,
            forwarder=forwarder,
            reporter=reporter,
            meters=meters,
            placer=placer,
            names=names or settings.HeaderSettings(),
        )
        self._retry_after_s = retry_after_s
        self._services = services.by_name
        self._claims = claims
        self._stop = stop
        # Whether answers close their connections.
        self.closes_connections = False
        self.in_progress = 0
        self._is_refusing = False
        # Latest time at which a call ends, on the clock of the loop.
        self._ends_by_s = math.inf
        self._limits: dict[requests.Call, asyncio.Timeout] = {}

    async def handle(self, request: aiohttp.web.BaseRequest) -> answers.WrittenAnswer:
        """Answer one request of a caller."""
        self.in_progress += 1
        try:
            written = await self._handle(request)
        except ConnectionError:
            # The connection is closed; an answer can't be written.
            self._note_unanswered(request)
            return answers.CLOSE_CONNECTION
        except asyncio.CancelledError:
            self._note_unanswered(request)
            raise
        except Exception:
            # A reset says nothing about whether the request ran, which is right
            # for a fault of the entry itself.
            loguru.logger.exception("entry: a call failed")
            return answers.abort(request)
        else:
            self._stop.record_answered(request)
            return written
        finally:
            self.in_progress -= 1

    def _note_unanswered(self, request: aiohttp.web.BaseRequest) -> None:
        request_id = requests.request_id_of(request, self._names)
        self._stop.record_unanswered(request, request_id)

    def cap_deadlines(self, end_s: float) -> None:
        """Answer all calls by a time, also those that come later.

        Parameters
        ----------
        end_s
            Time on the clock of the loop.
        """
        self._ends_by_s = end_s
        for call, limit in self._limits.items():
            call.deadline = min(call.deadline, end_s)
            if not limit.expired():
                limit.reschedule(call.deadline)

    def refuse_new(self) -> None:
        """Refuse calls from now on; answers close their connections."""
        self.closes_connections = True
        self._is_refusing = True

    async def _handle(self, request: aiohttp.web.BaseRequest) -> answers.WrittenAnswer:
        started = time.monotonic()
        try:
            self._check_stopping()
            await self._view.wait_for_first_message()
            call = self._match(request, started)
        except pools.RefusedError as exc:
            logs.log_event(
                "entry",
                "refused",
                request=requests.request_id_of(request, self._names),
                reason=exc.refusal.reason.value,
                detail=exc.refusal.detail,
                revision=self._view.revision,
            )
            return await self._refuse(request, exc.refusal)
        request[stops.CALL_KEY] = call
        meter = self._meters.meter(call.service.name)
        meter.in_flight.inc()
        call.deadline = min(call.deadline, self._ends_by_s)
        try:
            async with asyncio.timeout_at(call.deadline) as limit:
                self._limits[call] = limit
                try:
                    return await self._serve(call)
                finally:
                    del self._limits[call]
        except pools.RefusedError as exc:
            return await self._end(call, exc.refusal)
        except TimeoutError:
            return await self._end_late(call)
        finally:
            self._claims.release_unless_run(call)
            meter.in_flight.dec()
            meter.latency.observe(time.monotonic() - started)

    def _check_stopping(self) -> None:
        if self._is_refusing:
            raise requests.refused(verdicts.Reason.STOPPING, "the entry is stopping")

    def _match(self, request: aiohttp.web.BaseRequest, now: float) -> requests.Call:
        routes = self._view.routes
        if routes is not None:
            return self._match_route(request, routes, now)
        if not self._view.revision:
            raise requests.refused(
                verdicts.Reason.STALE, "the entry has had no contact with control yet"
            )
        name, path, query = requests.split_target(request.raw_path)
        service = self._services.get(name)
        if service is None:
            raise requests.refused(verdicts.Reason.NO_SERVICE, f"no service {name!r}")
        rule = service.rule_table.match(request.method, path)
        if rule is None:
            detail = f"no rule of {name!r} matches {request.method} {path}"
            raise requests.refused(verdicts.Reason.NO_RULE, detail)
        place = (path, query)
        return requests.Call(request, service, rule, place, now, names=self._names)

    def _match_route(
        self,
        request: aiohttp.web.BaseRequest,
        routes: declarations.RouteTable,
        now: float,
    ) -> requests.Call:
        place = requests.check_path(request.raw_path)
        host = request.headers.get("Host", "")
        route = routes.match(host, place[0])
        if route is None:
            detail = f"no route of {host!r} matches {place[0]}"
            raise requests.refused(verdicts.Reason.NO_RULE, detail)
        service = self._services[routes.service_of(route)]
        rule = requests.rule_of(route, routes.declaration.limits)
        return requests.Call(
            request,
            service,
            rule,
            place,
            now,
            names=self._names,
            is_declared=True,
        )

    async def _serve(self, call: requests.Call) -> answers.WrittenAnswer:
        await self._view.wait_for_update_after_freeze()
        self._check_currency(call)
        needs_key = call.rule.key == "required"
        key = requests.parse_key(call.request.headers) if needs_key else None
        call.phase = phases.Phase.READING_BODY
        call.body = await requests.read_body(call)
        call.phase = phases.Phase.WAITING
        # A body may take until after the entry has stopped to take requests.
        self._check_stopping()
        self._check_quarantine(call)
        service = call.service
        if self._places(call):
            token = await self._placer.place(call)
            attempt, token = await self._attempts(call, token)
            return await self._answer(call, attempt, token)
        now = time.monotonic()
        token = await service.admit(call.rule.priority, call.deadline, now)
        if key is not None:
            # A claim holds no place at a target: if control hangs, repeatable
            # requests still get theirs.
            service.finish(token, balancing.Outcome.CANCELLED)
            stored = await self._claims.claim(call, key)
            if stored is not None:
                return await answers.replay(call.request, stored, self._keeps(call))
            token = await service.readmit(call.rule.priority, call.deadline)
        attempt, token = await self._attempts(call, token)
        return await self._answer(call, attempt, token)

    def _check_currency(self, call: requests.Call) -> None:
        # A declared request needs no claim, and its target checks that it is meant.
        if call.is_declared or not self._view.is_stale(watches.clock()):
            return
        if call.rule.repeatable and call.service.section.when_stale == "serve":
            return
        raise requests.refused(
            verdicts.Reason.STALE, "the entry has had no contact with control for 3 s"
        )

    async def _answer(
        self,
        call: requests.Call,
        attempt: attempts.Attempt,
        token: balancing.AttemptToken,
    ) -> answers.WrittenAnswer:
        code = attempt.message.code
        outcome = balancing.Outcome.OK if code < 500 else balancing.Outcome.ERROR
        relay = relays.Relay(call, attempt, self._keeps(call), self._is_stale())
        try:
            written = await relay.run()
        except attempts.TruncatedError as exc:
            outcome = balancing.Outcome.CONNECTION_LOST
            self._crashes.crashed(call, token.view.target, attempt)
            return self._truncate(call, exc)
        except BaseException:
            outcome = self._interruption(call)
            raise
        finally:
            attempt.finish()
            call.service.finish(token, outcome)
        self._meters.meter(call.service.name).attempts[verdicts.Verdict.RAN].inc()
        self._complete(call, relay)
        logs.log_event(
            "entry",
            "answered",
            routine=code < 500,
            request=call.request_id,
            service=call.service.name,
            status=code,
            took_s=round(time.monotonic() - call.started_s, 4),
            **dispatches.inputs_of(call),
        )
        return written

    def _complete(self, call: requests.Call, relay: relays.Relay) -> None:
        if call.claim is not None and relay.is_provably_complete:
            self._claims.settle(call, relay.stored_answer())
        if call.service.has_crashes:
            self._crashes.answered(call)

    def _truncate(self, call: requests.Call, exc: Exception) -> answers.WrittenAnswer:
        self._meters.truncated.inc()
        meter = self._meters.meter(call.service.name)
        meter.attempts[verdicts.Verdict.MAY_HAVE_RUN].inc()
        loguru.logger.warning(
            "entry: an answer of {} was truncated: {}", call.service.name, exc
        )
        return answers.abort(call.request)

    def _keeps(self, call: requests.Call) -> bool:
        call.keep_alive = call.request.keep_alive and not self.closes_connections
        return call.keep_alive

    def _is_stale(self) -> bool:
        return self._view.is_stale(watches.clock())

    async def _end_late(self, call: requests.Call) -> answers.WrittenAnswer:
        is_cut = call.deadline < call.requested_deadline
        if is_cut:
            self._stop.record_cut_off(call.request, call.request_id)
        if call.may_have_run:
            reason = verdicts.Reason.TARGET_TIMEOUT
            limit = "before the entry stopped" if is_cut else "in time"
            detail = f"no response {limit}"
        elif is_cut:
            reason, detail = verdicts.Reason.STOPPING, "the entry stopped"
        else:
            reason = verdicts.Reason.DEADLINE
            detail = "the deadline passed before sending"
        return await self._end(call, verdicts.Refusal(call.verdict, reason, detail))

    async def _end(
        self, call: requests.Call, refusal: verdicts.Refusal
    ) -> answers.WrittenAnswer:
        logs.log_event(
            "entry",
            "failed",
            request=call.request_id,
            service=call.service.name,
            reason=refusal.reason.value,
            verdict=refusal.verdict.value,
            detail=refusal.detail,
            left_s=round(call.deadline - time.monotonic(), 3),
            revision=self._view.revision,
            proof_age_s=round(watches.clock() - self._view.proof_at, 3),
            waiting=len(call.service.pool.admission),
            tokens=round(call.service.pool.retry_tokens, 1),
            **dispatches.inputs_of(call),
        )
        if call.is_answering:
            return answers.abort(call.request)
        if call.may_have_run and refusal.verdict is verdicts.Verdict.NOT_RUN:
            # An earlier attempt of this call may have run.
            refusal = verdicts.Refusal(call.verdict, refusal.reason, refusal.detail)
        status = None
        if call.is_declared and refusal.verdict is verdicts.Verdict.NOT_RUN:
            # The caller of a declared route has no other sign of the verdict.
            status = None if refusal.reason in _FINAL_REASONS else 503
        return await self._refuse(call.request, refusal, status)

    async def _refuse(
        self,
        request: aiohttp.web.BaseRequest,
        refusal: verdicts.Refusal,
        status: int | None = None,
    ) -> answers.WrittenAnswer:
        self._meters.refusals.labels(refusal.reason.value).inc()
        keeps = request.keep_alive and not self.closes_connections
        extra = {verdicts.STALE_HEADER: "1"} if self._is_stale() else None
        # A body that was not read may still arrive on the connection.
        keeps = keeps and (not request.body_exists or request.content.at_eof())
        return await answers.refuse(
            request,
            refusal,
            keeps,
            extra,
            retry_after_s=self._retry_after_s,
            status=status,
        )
