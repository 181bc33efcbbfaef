"""The life of a call: match, admit, claim, send, and answer by the verdict."""

import asyncio
import contextlib
import time
import typing

import aiohttp.web
import loguru

from coltsfootchute import balancing, declarations, logs, settings, verdicts
from coltsfootchute.entry import (
    answers,
    attempts,
    crashes,
    forwards,
    keys,
    metrics,
    placements,
    pools,
    races,
    relays,
    requests,
    watches,
)

__all__ = ["Calls"]

# Bounds the connections that one call tries while many targets are down.
MAX_FREE_RETRIES = 3

# The request itself is at fault, so it must not come back.
_FINAL_REASONS = frozenset(
    {verdicts.Reason.BODY_TOO_LARGE, verdicts.Reason.BAD_REQUEST}
)
MISDIRECTED = 421
_OUTCOMES = {
    verdicts.Reason.CONNECTION_FAILED: balancing.Outcome.CONNECTION_FAILED,
    verdicts.Reason.CONNECTION_LOST: balancing.Outcome.CONNECTION_LOST,
    verdicts.Reason.TARGET_SHED: balancing.Outcome.SHED,
}


class Calls:
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
        placer: placements.Placer | None = None,
        names: settings.HeaderSettings | None = None,
        retry_after_s: float = answers.RETRY_AFTER_S,
    ):
        self._placer = placer
        self._names = names or settings.HeaderSettings()
        self._retry_after_s = retry_after_s
        self._view = view
        self._services = services.by_name
        self._forwarder = forwarder
        self._claims = claims
        self._crashes = reporter
        self._meters = meters
        self.is_closing = False
        self.in_progress = 0
        self.idle = asyncio.Event()

    async def handle(self, request: aiohttp.web.BaseRequest) -> answers.Written:
        """Answer one request of a caller."""
        self.in_progress += 1
        try:
            return await self._handle(request)
        except ConnectionError:
            # The caller is gone; an answer can't be written.
            logs.note("entry", "the caller left", request=self._id_of(request))
            return answers.CLOSED
        except asyncio.CancelledError:
            logs.note("entry", "the caller left", request=self._id_of(request))
            raise
        except Exception:
            # A reset says nothing about whether the request ran, which is right
            # for a fault of the entry itself.
            loguru.logger.exception("entry: a call failed")
            return answers.abort(request)
        finally:
            self.in_progress -= 1
            if self.is_closing and not self.in_progress:
                self.idle.set()

    def _id_of(self, request: aiohttp.web.BaseRequest) -> tuple[str, str] | None:
        name = self._names.request_id
        value = request.headers.get(name) if name else None
        return None if value is None else (name, value)

    async def close(self, limit_s: float) -> None:
        """Wait until no call is in progress; answers close their connections."""
        self.is_closing = True
        if self.in_progress:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.idle.wait(), limit_s)

    async def _handle(self, request: aiohttp.web.BaseRequest) -> answers.Written:
        started = time.monotonic()
        await self._view.begin()
        try:
            call = self._match(request, started)
        except pools.RefusedError as exc:
            logs.note(
                "entry",
                "refused",
                request=self._id_of(request),
                reason=exc.refusal.reason.value,
                detail=exc.refusal.detail,
                revision=self._view.revision,
            )
            return await self._refuse(request, exc.refusal)
        meter = self._meters.meter(call.service.name)
        meter.in_flight.inc()
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self._serve(call)
        except pools.RefusedError as exc:
            return await self._end(call, exc.refusal)
        except TimeoutError:
            return await self._end(call, _late(call))
        finally:
            self._claims.release_unless_run(call)
            meter.in_flight.dec()
            meter.latency.observe(time.monotonic() - started)

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
        rule = service.table.match(request.method, path)
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

    async def _serve(self, call: requests.Call) -> answers.Written:
        await self._view.catch_up()
        self._check_currency(call)
        needs_key = call.rule.key == "required"
        key = requests.parse_key(call.request.headers) if needs_key else None
        call.body = await requests.read_body(call)
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

    def _check_quarantine(self, call: requests.Call) -> None:
        # For a request that is not repeatable the check is part of the claim, so
        # that a key that has run gets its answer.
        if call.rule.key == "required" or not call.service.has_crashes:
            return
        crashes = call.service.pool.crashes
        if crashes.is_quarantined(call.crash_digest(), time.monotonic()):
            raise requests.refused(verdicts.Reason.QUARANTINED, keys.QUARANTINE_DETAIL)

    async def _attempts(self, call: requests.Call, token: balancing.Token):
        while True:
            try:
                attempt, token = await self._race(call, token)
            except attempts.AttemptError as exc:
                token = await self._retry(call, exc)
                continue
            if attempt.message.code < 500:
                return attempt, token
            following = await self._replace_failure(call)
            if following is None:
                return attempt, token
            attempt.finish()
            call.service.finish(token, balancing.Outcome.ERROR)
            token = following

    async def _replace_failure(self, call: requests.Call) -> balancing.Token | None:
        """Return an attempt in place of a target's failure; None to pass it on."""
        may_retry = call.is_declared and call.rule.repeatable and call.can_repeat
        if not may_retry or not call.has_attempts:
            return None
        pool, now = call.service.pool, time.monotonic()
        if self._places(call):
            view = await self._placer.find(call, placements.OCCUPANCY)
        else:
            view = pool.select(now, call.tried, balancing.AttemptKind.RETRY)
        if view is None or not pool.may_retry():
            return None
        self._meters.retries.labels(verdicts.Reason.TARGET_FAILED.value).inc()
        return pool.started(view, time.monotonic())

    async def _race(self, call: requests.Call, token: balancing.Token) -> races.Won:
        delay_s = None
        if call.can_hedge:
            delay_s = call.hedge_delay(time.monotonic())
        if delay_s is None:
            return await self._attempt(call, token)

        def hedge() -> typing.Coroutine[typing.Any, typing.Any, races.Won] | None:
            if self._places(call):
                return self._place_hedge(call)
            second = self._hedge(call)
            return None if second is None else self._attempt(call, second)

        return await races.run(
            self._attempt(call, token), delay_s, hedge, self._drop_loser(call)
        )

    def _drop_loser(self, call: requests.Call) -> typing.Callable[[races.Won], None]:
        def drop(won: races.Won) -> None:
            attempt, token = won
            attempt.abort()
            call.service.finish(token, balancing.Outcome.CANCELLED)

        return drop

    def _hedge(self, call: requests.Call) -> balancing.Token | None:
        pool = call.service.pool
        now = time.monotonic()
        view = pool.select(now, call.tried, balancing.AttemptKind.HEDGE)
        if view is None or not pool.may_hedge():
            return None
        return self._start_hedge(call, view)

    def _start_hedge(
        self, call: requests.Call, view: balancing.TargetView
    ) -> balancing.Token:
        now = time.monotonic()
        self._meters.meter(call.service.name).hedges.inc()
        logs.note(
            "entry",
            "hedges",
            request=call.request_id,
            waited_s=round(now - call.started_s, 4),
            following=view.target.target_id,
            **_inputs(call),
        )
        return call.service.pool.started(view, now)

    async def _retry(
        self, call: requests.Call, error: attempts.AttemptError
    ) -> balancing.Token:
        now = time.monotonic()
        refusal = verdicts.Refusal(error.verdict, error.reason, error.detail)
        allowed = (
            error.verdict.allows_retry(repeatable=call.rule.repeatable)
            and call.can_repeat
            and call.may_retry
            and call.has_attempts
            and now < call.deadline
        )
        if not allowed:
            raise pools.RefusedError(refusal)
        self._check_quarantine(call)
        token = await self._next(call, error, now)
        if token is None:
            raise pools.RefusedError(refusal)
        self._meters.retries.labels(error.reason.value).inc()
        logs.note(
            "entry",
            "retries",
            request=call.request_id,
            reason=error.reason.value,
            verdict=error.verdict.value,
            detail=error.detail,
            following=token.view.target.target_id,
            **_inputs(call),
        )
        return token

    async def _next(
        self, call: requests.Call, error: attempts.AttemptError, now: float
    ) -> balancing.Token | None:
        """Return the attempt that follows a failed one; None for none."""
        pool = call.service.pool
        if self._places(call):
            return await self._place_again(call, error)
        # No target has seen a request whose connection failed, so another attempt
        # adds no load and takes no token; it may wait for a target like the first.
        is_free = error.reason is verdicts.Reason.CONNECTION_FAILED
        is_free = is_free and len(call.tried) <= MAX_FREE_RETRIES
        view = pool.select(now, call.tried, balancing.AttemptKind.RETRY)
        if view is not None and (is_free or pool.may_retry()):
            return pool.started(view, now)
        if view is not None or not is_free:
            return None
        try:
            return await call.service.readmit(call.rule.priority, call.deadline)
        except pools.RefusedError:
            return None

    def _places(self, call: requests.Call) -> bool:
        return call.is_declared and self._placer is not None

    async def _place_again(
        self, call: requests.Call, error: attempts.AttemptError
    ) -> balancing.Token | None:
        """Return an attempt after a failed one on another target with room."""
        pool = call.service.pool
        view = await self._placer.find(call, placements.OCCUPANCY)
        is_free = error.reason is verdicts.Reason.CONNECTION_FAILED
        is_free = is_free and len(call.tried) <= MAX_FREE_RETRIES
        if view is None or not (is_free or pool.may_retry()):
            return None
        return pool.started(view, time.monotonic())

    async def _place_hedge(self, call: requests.Call) -> races.Won:
        """Send a second attempt if a target has spare slots."""
        pool = call.service.pool
        view = await self._placer.find(call)
        if view is None or not pool.may_hedge():
            raise attempts.AttemptError(
                verdicts.Verdict.NOT_RUN, verdicts.Reason.NO_TARGET, "no spare target"
            )
        return await self._attempt(call, self._start_hedge(call, view))

    async def _attempt(self, call: requests.Call, token: balancing.Token) -> races.Won:
        target = token.view.target
        call.tried.append(target.target_id)
        call.loads.append(token.view.describe_load(time.monotonic()))
        attempt = attempts.Attempt()
        attempt.request_id = call.request_id
        call.attempts.append(attempt)
        attempt.revision = self._view.revision
        attempt.started_s = time.monotonic()
        try:
            await self._forwarder.send(
                attempt,
                call.service.endpoint(target.address),
                call.target_line,
                call.attempt_headers(attempt.started_s, target.target_id),
                call.body,
                fresh=not call.rule.repeatable,
                head_only=call.request.method == "HEAD",
            )
            self._check_shed(attempt)
            if call.rule.whole_bytes:
                await attempt.read_ahead(call.rule.whole_bytes)
            self._check_seal(attempt)
        except attempts.AttemptError as exc:
            self._fail(call, token, exc)
            if exc.broke:
                self._crashes.crashed(call, target, attempt)
            raise
        except BaseException:
            call.service.finish(token, self._interruption(call))
            raise
        self._note_head(call, attempt, token)
        return attempt, token

    def _interruption(self, call: requests.Call) -> balancing.Outcome:
        if time.monotonic() >= call.deadline:
            return balancing.Outcome.TIMEOUT
        return balancing.Outcome.CANCELLED

    def _fail(
        self, call: requests.Call, token: balancing.Token, exc: attempts.AttemptError
    ) -> None:
        self._meters.meter(call.service.name).attempts[exc.verdict].inc()
        outcome = _OUTCOMES.get(exc.reason, balancing.Outcome.CANCELLED)
        call.service.finish(token, outcome)

    def _check_shed(self, attempt: attempts.Attempt) -> None:
        if not self._states_not_run(attempt):
            return
        attempt.was_shed = True
        attempt.abort()
        reason = verdicts.Reason.TARGET_SHED
        if attempt.message.code == MISDIRECTED:
            reason = verdicts.Reason.MISDIRECTED
        detail = "the target refused the request before it ran"
        raise attempts.AttemptError(verdicts.Verdict.NOT_RUN, reason, detail)

    def _states_not_run(self, attempt: attempts.Attempt) -> bool:
        code, headers = attempt.message.code, attempt.headers
        if self._names.expected_target is not None and code == MISDIRECTED:
            return True
        if self._names.not_run is not None:
            return code >= 400 and self._names.not_run in headers
        not_run = verdicts.Verdict.NOT_RUN.value
        return code == 503 and headers.get(verdicts.VERDICT_HEADER) == not_run

    def _check_seal(self, attempt: attempts.Attempt) -> None:
        seal = self._names.seal
        if seal is None or attempt.message.code >= 300 or seal in attempt.headers:
            return
        attempt.abort()
        raise attempts.AttemptError(
            verdicts.Verdict.MAY_HAVE_RUN,
            verdicts.Reason.CONNECTION_LOST,
            "a success without the header of a complete one",
        )

    def _note_head(
        self, call: requests.Call, attempt: attempts.Attempt, token: balancing.Token
    ) -> None:
        pool = call.service.pool
        if verdicts.DRAINING_HEADER in attempt.headers:
            pool.draining(token.view.target.target_id)
        if attempt.message.code < 500:
            pool.responded(
                token, time.monotonic(), requests.load_of(attempt, self._names)
            )

    async def _answer(
        self, call: requests.Call, attempt: attempts.Attempt, token: balancing.Token
    ) -> answers.Written:
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
        logs.note(
            "entry",
            "answered",
            routine=code < 500,
            request=call.request_id,
            service=call.service.name,
            status=code,
            took_s=round(time.monotonic() - call.started_s, 4),
            **_inputs(call),
        )
        return written

    def _complete(self, call: requests.Call, relay: relays.Relay) -> None:
        if call.claim is not None and relay.is_provably_complete:
            self._claims.settle(call, relay.stored_answer())
        if call.service.has_crashes:
            self._crashes.answered(call)

    def _truncate(self, call: requests.Call, exc: Exception) -> answers.Written:
        self._meters.truncated.inc()
        meter = self._meters.meter(call.service.name)
        meter.attempts[verdicts.Verdict.MAY_HAVE_RUN].inc()
        loguru.logger.warning(
            "entry: an answer of {} was truncated: {}", call.service.name, exc
        )
        return answers.abort(call.request)

    def _keeps(self, call: requests.Call) -> bool:
        call.keep_alive = call.request.keep_alive and not self.is_closing
        return call.keep_alive

    def _is_stale(self) -> bool:
        return self._view.is_stale(watches.clock())

    async def _end(
        self, call: requests.Call, refusal: verdicts.Refusal
    ) -> answers.Written:
        logs.note(
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
            **_inputs(call),
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
    ) -> answers.Written:
        self._meters.refusals.labels(refusal.reason.value).inc()
        keeps = request.keep_alive and not self.is_closing
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


def _inputs(call: requests.Call) -> dict[str, typing.Any]:
    """Return the targets of a call with the loads by which they were selected."""
    return {"rule": call.rule.name, "tried": list(call.tried), "loads": call.loads}


def _late(call: requests.Call) -> verdicts.Refusal:
    if call.may_have_run:
        reason, detail = verdicts.Reason.TARGET_TIMEOUT, "no response in time"
    else:
        reason, detail = verdicts.Reason.DEADLINE, "the deadline passed before sending"
    return verdicts.Refusal(call.verdict, reason, detail)
