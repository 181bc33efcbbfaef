"""Handling of calls: match, admit, claim, send, and answer with a verdict."""

import asyncio
import math
import time

import aiohttp.web
import loguru

from coltsfootchute import balancing, logs, settings, verdicts
from coltsfootchute.entry import (
    accounts,
    answers,
    attempts,
    crashes,
    dispatches,
    forwards,
    keys,
    matches,
    metrics,
    overdue_requests,
    phases,
    placements,
    pools,
    relays,
    requests,
    statements,
    stops,
    watches,
)

__all__ = ["Calls"]

# The request itself is invalid, so the caller must not be asked to retry it.
_INVALID_REQUEST_REASONS = frozenset(
    {
        verdicts.Reason.BODY_TOO_LARGE,
        verdicts.Reason.BAD_REQUEST,
        verdicts.Reason.UNKNOWN_KEY,
    }
)
# Why a request is not sent again after its key was looked up.
_KEY_REASONS = frozenset({verdicts.Reason.UNKNOWN_KEY, verdicts.Reason.STALE})
# Callers of declared routes know these statuses as "not run" as well.
_OWN_STATUS_REASONS = _INVALID_REQUEST_REASONS | {verdicts.Reason.OVER_ALLOTMENT}
# Minimum time to deliver a response that has waited for earlier requests of its
# connection.
LATE_DELIVERY_S = 1.0


class Calls(dispatches.Dispatcher):
    """Handler of the `calls` listener.

    Parameters
    ----------
    view
        View of the replicated state, its revision and whether it is current.
    services
        Prepared services by name.
    forwarder
        Connections to targets.
    claims
        Claims and settlements of idempotency keys.
    reporter
        Counts and reports possible crashes of targets.
    meters
        Metrics.
    stop
        Records requests that end during a stop, or without an answer.
    placer
        Selects targets for requests of declared routes by probes; None for no probes.
    recorder
        Records what targets state in their responses.
    accounts
        Limits on the requests of workspaces; None for no limits.
    names
        Names of headers.
    retry_after_s
        Seconds after which a refused caller should retry.
    watch
        Watches for requests that are overdue; None if none is ever.
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
        recorder: statements.Recorder,
        placer: placements.Placer | None = None,
        accounts: accounts.Accounts | None = None,
        names: settings.HeaderSettings | None = None,
        retry_after_s: float = answers.RETRY_AFTER_S,
        watch: overdue_requests.Watch | None = None,
    ):
        super().__init__(
            view=view,
            forwarder=forwarder,
            reporter=reporter,
            meters=meters,
            placer=placer,
            recorder=recorder,
            names=names or settings.HeaderSettings(),
            watch=watch,
        )
        self._retry_after_s = retry_after_s
        self._matcher = matches.Matcher(view, services, self._names, self._checker)
        self._claims = claims
        self._accounts = accounts
        self._stop = stop
        # Whether answers close their connections.
        self.closes_connections = False
        self.in_progress = 0
        self._refuses_new = False
        # Upper bound of the deadlines of all calls, on the clock of the event loop.
        self._latest_deadline_s = math.inf
        self._limits: dict[requests.Call, asyncio.Timeout] = {}

    def may_run_early(self, request: aiohttp.web.BaseRequest) -> bool:
        """Return whether a request may run while earlier ones are unanswered.

        If the connection is lost before its answer, the caller can't tell whether it
        ran, so it must be repeatable.
        """
        if self.closes_connections or request.body_exists:
            return False
        return self._matcher.is_repeatable(request)

    async def handle(self, request: aiohttp.web.BaseRequest) -> answers.WrittenAnswer:
        """Answer one request of a caller."""
        self.in_progress += 1
        try:
            written = await self._handle(request)
        except ConnectionError:
            # The connection is closed, so no answer can be written.
            self._record_unanswered(request)
            return answers.CLOSE_CONNECTION
        except asyncio.CancelledError:
            self._record_unanswered(request)
            raise
        except Exception:
            # It is not known whether the request ran, and a reset makes no statement
            # about that.
            loguru.logger.exception("entry: unhandled error in a call")
            await answers.wait_turn(request)
            return answers.abort(request)
        else:
            self._stop.record_answered(request)
            return written
        finally:
            self.in_progress -= 1

    def _record_unanswered(self, request: aiohttp.web.BaseRequest) -> None:
        request_id = requests.request_id_of(request, self._names)
        self._stop.record_unanswered(request, request_id)

    def cap_deadlines(self, end_s: float) -> None:
        """Cap the deadlines of all calls in progress and of all later calls.

        Parameters
        ----------
        end_s
            Latest deadline, on the clock of the event loop.
        """
        self._latest_deadline_s = end_s
        for call, limit in self._limits.items():
            call.deadline = min(call.deadline, end_s)
            if not limit.expired():
                when = limit.when()
                limit.reschedule(end_s if when is None else min(when, end_s))

    def refuse_new(self) -> None:
        """Refuse new calls, and close the connection after each answer."""
        self.closes_connections = True
        self._refuses_new = True

    async def _handle(self, request: aiohttp.web.BaseRequest) -> answers.WrittenAnswer:
        started = time.monotonic()
        try:
            self._check_stopping()
            await self._view.wait_for_first_message()
            call = await self._matcher.match(request, started)
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
        call.deadline = min(call.deadline, self._latest_deadline_s)
        try:
            async with asyncio.timeout_at(call.deadline) as limit:
                self._limits[call] = limit
                try:
                    return await self._serve(call)
                finally:
                    del self._limits[call]
        except pools.RefusedError as exc:
            return await self._answer_failure(call, exc.refusal)
        except TimeoutError:
            return await self._answer_timeout(call)
        finally:
            self._claims.release_unless_run(call)
            if self._accounts is not None:
                self._accounts.settle(call)
            meter.in_flight.dec()
            meter.latency.observe(time.monotonic() - started)

    def _check_stopping(self) -> None:
        if self._refuses_new:
            raise requests.refused(verdicts.Reason.STOPPING, "the entry is stopping")

    async def _serve(self, call: requests.Call) -> answers.WrittenAnswer:
        await self._view.wait_for_update_after_freeze()
        self._check_currency(call)
        needs_key = call.rule.key == "required"
        key = requests.parse_key(call.request.headers) if needs_key else None
        call.phase = phases.Phase.READING_BODY
        call.body = await requests.read_body(call)
        call.phase = phases.Phase.WAITING
        # The entry may have begun to refuse requests while the body arrived.
        self._check_stopping()
        self._check_quarantine(call)
        if self._accounts is not None:
            self._accounts.admit(call)
        service = call.service
        if self._uses_probes(call):
            token = await self._placer.place(call)
            attempt, token = await self._run_attempts(call, token)
            return await self._answer(call, attempt, token)
        now = time.monotonic()
        token = await service.admit(call.rule.priority, call.deadline, now)
        if key is not None:
            # Release the slot of the target during the claim, so that repeatable
            # requests can use it if control does not reply.
            service.finish(token, balancing.Outcome.CANCELLED)
            stored = await self._claims.claim(call, key)
            if stored is not None:
                return await answers.replay(
                    call.request, stored, self._keep_alive(call)
                )
            token = await service.readmit(call.rule.priority, call.deadline)
        attempt, token = await self._run_attempts(call, token)
        return await self._answer(call, attempt, token)

    def _check_currency(self, call: requests.Call) -> None:
        # A request of a declared route needs no claim, and a target checks that the
        # request is meant for it.
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
        is_released = await self._wait_turn(call, attempt, token, outcome)
        relay = relays.Relay(call, attempt, self._keep_alive(call), self._is_stale())
        try:
            written = await relay.run()
        except attempts.TruncatedError as exc:
            outcome = balancing.Outcome.CONNECTION_LOST
            self._crashes.record_lost_connection(call, token.view.target, attempt)
            return self._truncate(call, exc)
        except BaseException:
            outcome = self._interrupted_outcome(call)
            raise
        finally:
            attempt.finish()
            if not is_released:
                call.service.finish(token, outcome)
        self._meters.meter(call.service.name).attempts[verdicts.Verdict.RAN].inc()
        self._record_complete(call, relay)
        logs.log_event(
            "entry",
            "answered",
            routine=code < 500,
            request=call.request_id,
            service=call.service.name,
            status=code,
            took_s=round(time.monotonic() - call.started_s, 4),
            **dispatches.selection_fields(call),
        )
        return written

    async def _wait_turn(
        self,
        call: requests.Call,
        attempt: attempts.Attempt,
        token: balancing.AttemptToken,
        outcome: balancing.Outcome,
    ) -> bool:
        """Wait for the turn of the answer; return whether the target was released.

        A response that is in memory must not occupy its target meanwhile.
        """
        if answers.has_turn(call.request):
            return False
        is_received = attempt.payload.is_eof() and not attempt.close_delimited
        limit = self._limits[call]
        if is_received:
            attempt.finish()
            call.service.finish(token, outcome)
            # It is delivered, also if the requests before it take longer.
            limit.reschedule(None)
        try:
            await answers.wait_turn(call.request)
            if is_received:
                now = asyncio.get_running_loop().time()
                limit.reschedule(max(call.deadline, now + LATE_DELIVERY_S))
        except BaseException:
            if not is_received:
                attempt.abort()
                call.service.finish(token, self._interrupted_outcome(call))
            raise
        return is_received

    def _record_complete(self, call: requests.Call, relay: relays.Relay) -> None:
        if call.claim is not None and relay.is_provably_complete:
            self._claims.settle(call, relay.stored_answer())
        if call.service.has_crashes:
            self._crashes.record_response(call)

    def _truncate(self, call: requests.Call, exc: Exception) -> answers.WrittenAnswer:
        self._meters.truncated.inc()
        meter = self._meters.meter(call.service.name)
        meter.attempts[verdicts.Verdict.MAY_HAVE_RUN].inc()
        loguru.logger.warning(
            "entry: response of {} was truncated: {}", call.service.name, exc
        )
        return answers.abort(call.request)

    def _keep_alive(self, call: requests.Call) -> bool:
        call.keep_alive = answers.keeps_open(call.request, self.closes_connections)
        return call.keep_alive

    def _is_stale(self) -> bool:
        return self._view.is_stale(watches.clock())

    async def _answer_timeout(self, call: requests.Call) -> answers.WrittenAnswer:
        is_cut = call.deadline < call.requested_deadline
        if is_cut:
            self._stop.record_cut_off(call.request, call.request_id)
        if call.may_have_run:
            reason = verdicts.Reason.TARGET_TIMEOUT
            limit = "before the entry stopped" if is_cut else "in time"
            detail = f"no response from the target {limit}"
        elif is_cut:
            reason, detail = verdicts.Reason.STOPPING, "the entry stopped"
        else:
            reason = verdicts.Reason.DEADLINE
            detail = "the deadline passed before the request was sent"
        return await self._answer_failure(
            call, verdicts.Refusal(call.verdict, reason, detail)
        )

    async def _answer_failure(
        self, call: requests.Call, refusal: verdicts.Refusal
    ) -> answers.WrittenAnswer:
        logs.log_event(
            "entry",
            "failed",
            routine=refusal.reason is verdicts.Reason.OVER_ALLOTMENT,
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
            **dispatches.selection_fields(call),
        )
        if call.is_answering:
            return answers.abort(call.request)
        if call.may_have_run and refusal.verdict is verdicts.Verdict.NOT_RUN:
            # An earlier attempt of this call may have run.
            refusal = verdicts.Refusal(call.verdict, refusal.reason, refusal.detail)
        status = None
        if call.may_have_run and refusal.reason in _KEY_REASONS:
            # Callers take 401 and 503 as a statement that the request has not run.
            status = 502
        if call.is_declared and refusal.verdict is verdicts.Verdict.NOT_RUN:
            # Callers of declared routes know the verdict from the status alone.
            status = None if refusal.reason in _OWN_STATUS_REASONS else 503
        return await self._refuse(call.request, refusal, status)

    async def _refuse(
        self,
        request: aiohttp.web.BaseRequest,
        refusal: verdicts.Refusal,
        status: int | None = None,
    ) -> answers.WrittenAnswer:
        self._meters.refusals.labels(refusal.reason.value).inc()
        headers = {verdicts.STALE_HEADER: "1"} if self._is_stale() else None
        await answers.wait_turn(request)
        # The rest of a body that was not read may still arrive on the connection.
        is_body_read = not request.body_exists or request.content.at_eof()
        keep_alive = answers.keeps_open(
            request, self.closes_connections or not is_body_read
        )
        return await answers.refuse(
            request,
            refusal,
            keep_alive,
            headers,
            retry_after_s=(
                self._retry_after_s
                if refusal.retry_after_s is None
                else refusal.retry_after_s
            ),
            status=status,
        )
