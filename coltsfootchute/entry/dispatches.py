"""Attempts of a call: selection of targets, retries and hedges."""

import time
import typing

from coltsfootchute import balancing, logs, settings, verdicts
from coltsfootchute.entry import (
    attempts,
    crashes,
    digests,
    forwards,
    keys,
    metrics,
    overdue_requests,
    phases,
    placements,
    pools,
    races,
    requests,
    statements,
    watches,
    workspaces,
)

__all__ = ["Dispatcher", "selection_fields"]

# Limits the connections that one call tries while many targets are down.
MAX_FREE_RETRIES = 3
# Callers of declared routes take these statuses as a statement that the request has not
# run, so only a target that states this itself may cause one of them.
NOT_RUN_STATUSES = frozenset({408, statements.MISDIRECTED_STATUS, 429, 503})
_OUTCOMES = {
    verdicts.Reason.CONNECTION_FAILED: balancing.Outcome.CONNECTION_FAILED,
    verdicts.Reason.CONNECTION_LOST: balancing.Outcome.CONNECTION_LOST,
    verdicts.Reason.TARGET_SHED: balancing.Outcome.SHED,
    verdicts.Reason.TARGET_FAILED: balancing.Outcome.ERROR,
}


class Dispatcher:
    """Sends a call to targets until one of them responds.

    The subclass `calls.Calls` adds the steps before and after: matching, admission,
    claims and the answer.

    Parameters
    ----------
    view
        View of the replicated state and its revision.
    forwarder
        Connections to targets.
    reporter
        Counts and reports possible crashes of targets.
    meters
        Metrics.
    placer
        Selects targets for requests of declared routes by probes; None for no probes.
    recorder
        Records what targets state in their responses.
    names
        Names of headers.
    watch
        Watches for requests that are overdue; None if none is ever.
    """

    def __init__(
        self,
        *,
        view: watches.View,
        forwarder: forwards.Forwarder,
        reporter: crashes.CrashReporter,
        meters: metrics.Metrics,
        placer: placements.Placer | None,
        recorder: statements.Recorder,
        names: settings.HeaderSettings,
        watch: overdue_requests.Watch | None = None,
    ):
        self._watch = watch
        self._view = view
        self._forwarder = forwarder
        self._crashes = reporter
        self._meters = meters
        self._placer = placer
        self._recorder = recorder
        self._names = names
        self._checker = workspaces.Checker(view, meters, names)

    def _check_quarantine(self, call: requests.Call) -> None:
        # For a request with a key, control checks the quarantine as part of the claim,
        # so that a request that has already run still gets its stored answer.
        if call.rule.key == "required" or not call.service.has_crashes:
            return
        guard, now = call.service.pool.crashes, time.monotonic()
        if any(
            guard.is_quarantined(digest, now) for digest in digests.crash_digests(call)
        ):
            raise requests.refused(verdicts.Reason.QUARANTINED, keys.QUARANTINE_DETAIL)

    async def _run_attempts(self, call: requests.Call, token: balancing.AttemptToken):
        while True:
            try:
                attempt, token = await self._attempt_with_hedge(call, token)
            except attempts.AttemptError as exc:
                token = await self._retry(call, exc)
                continue
            if attempt.message.code < 500:
                return attempt, token
            next_token = await self._retry_server_error(call)
            if next_token is None:
                return attempt, token
            attempt.finish()
            call.service.finish(token, balancing.Outcome.ERROR)
            token = next_token

    async def _retry_server_error(
        self, call: requests.Call
    ) -> balancing.AttemptToken | None:
        """Start a new attempt after a 5xx response; None to pass the response on."""
        may_retry = call.is_declared and call.rule.repeatable and call.can_resend
        if not may_retry or not call.has_attempts_left:
            return None
        if await self._checker.renew(call) is not None:
            return None
        pool, now = call.service.pool, time.monotonic()
        if self._uses_probes(call):
            view = await self._placer.find(call, placements.MAX_OCCUPANCY)
        else:
            view = pool.select(now, call.tried_target_ids, balancing.AttemptKind.RETRY)
        if view is None or not pool.may_retry():
            return None
        self._meters.retries.labels(verdicts.Reason.TARGET_FAILED.value).inc()
        return self._start(call, view)

    async def _attempt_with_hedge(
        self, call: requests.Call, token: balancing.AttemptToken
    ) -> races.AttemptResult:
        delay_s = None
        if call.can_hedge:
            now = time.monotonic()
            uses_probes = self._uses_probes(call)
            delay_s = (
                self._placer.hedge_delay_s(call, now)
                if uses_probes
                else call.hedge_delay(now)
            )
        if delay_s is None:
            return await self._attempt(call, token)

        def hedge() -> (
            typing.Coroutine[typing.Any, typing.Any, races.AttemptResult] | None
        ):
            if self._uses_probes(call):
                return self._place_hedge(call, token)
            second = self._hedge(call)
            return None if second is None else self._attempt(call, second)

        return await races.run(
            self._attempt(call, token), delay_s, hedge, self._discard_callback(call)
        )

    def _discard_callback(
        self, call: requests.Call
    ) -> typing.Callable[[races.AttemptResult], None]:
        def discard(result: races.AttemptResult) -> None:
            attempt, token = result
            attempt.abort()
            call.service.finish(token, balancing.Outcome.CANCELLED)

        return discard

    def _hedge(self, call: requests.Call) -> balancing.AttemptToken | None:
        pool = call.service.pool
        now = time.monotonic()
        view = pool.select(now, call.tried_target_ids, balancing.AttemptKind.HEDGE)
        if view is None or not pool.may_hedge():
            return None
        return self._start_hedge(call, view)

    def _start_hedge(
        self, call: requests.Call, view: balancing.TargetView
    ) -> balancing.AttemptToken:
        now = time.monotonic()
        self._meters.meter(call.service.name).hedges.inc()
        logs.log_event(
            "entry",
            "hedges",
            request=call.request_id,
            waited_s=round(now - call.started_s, 4),
            following=view.target.target_id,
            **selection_fields(call),
        )
        return self._start(call, view)

    def _start(
        self, call: requests.Call, view: balancing.TargetView
    ) -> balancing.AttemptToken:
        now = time.monotonic()
        if self._uses_probes(call):
            return self._placer.start(call, view, now)
        return call.service.pool.start_attempt(view, now)

    async def _retry(
        self, call: requests.Call, error: attempts.AttemptError
    ) -> balancing.AttemptToken:
        now = time.monotonic()
        call.phase = phases.Phase.WAITING
        refusal = verdicts.Refusal(error.verdict, error.reason, error.detail)
        allowed = (
            error.verdict.allows_retry(repeatable=call.rule.repeatable)
            and call.can_resend
            and call.may_retry
            and call.has_attempts_left
            and now < call.deadline
        )
        if not allowed:
            raise pools.RefusedError(refusal)
        self._check_quarantine(call)
        key_refusal = await self._checker.renew(call)
        if key_refusal is not None:
            raise pools.RefusedError(key_refusal)
        token = await self._start_next(call, error, now)
        if token is None:
            at_rest = None
            if error.reason is verdicts.Reason.TARGET_SHED:
                at_rest = call.service.pool.rest_refusal(now, now)
            raise pools.RefusedError(at_rest or refusal)
        self._meters.retries.labels(error.reason.value).inc()
        logs.log_event(
            "entry",
            "retries",
            request=call.request_id,
            reason=error.reason.value,
            verdict=error.verdict.value,
            detail=error.detail,
            following=token.view.target.target_id,
            **selection_fields(call),
        )
        return token

    async def _start_next(
        self, call: requests.Call, error: attempts.AttemptError, now: float
    ) -> balancing.AttemptToken | None:
        """Start the attempt that follows a failed one, or return None."""
        pool = call.service.pool
        if self._uses_probes(call):
            return await self._place_retry(call, error)
        # If the connection failed, no target has received the request. Another attempt
        # adds no load and needs no retry token, and may queue like the first one.
        is_free = error.reason is verdicts.Reason.CONNECTION_FAILED
        is_free = is_free and len(call.tried_target_ids) <= MAX_FREE_RETRIES
        view = pool.select(now, call.tried_target_ids, balancing.AttemptKind.RETRY)
        if view is not None and (is_free or pool.may_retry()):
            return pool.start_attempt(view, now)
        if view is not None or not is_free:
            return None
        try:
            return await call.service.readmit(call.rule.priority, call.deadline)
        except pools.RefusedError:
            return None

    def _uses_probes(self, call: requests.Call) -> bool:
        return call.is_declared and self._placer is not None

    async def _place_retry(
        self, call: requests.Call, error: attempts.AttemptError
    ) -> balancing.AttemptToken | None:
        """Start an attempt at another target with free slots after a failed one."""
        pool = call.service.pool
        view = await self._placer.find(call, placements.MAX_OCCUPANCY)
        is_free = error.reason is verdicts.Reason.CONNECTION_FAILED
        is_free = is_free and len(call.tried_target_ids) <= MAX_FREE_RETRIES
        if view is None or not (is_free or pool.may_retry()):
            return None
        return self._start(call, view)

    async def _place_hedge(
        self, call: requests.Call, first: balancing.AttemptToken
    ) -> races.AttemptResult:
        """Send a hedge if a probed target has spare slots and the hedge gains."""
        pool = call.service.pool
        view = await self._placer.find_hedge(call, first)
        if view is None or not pool.may_hedge():
            raise attempts.AttemptError(
                verdicts.Verdict.NOT_RUN,
                verdicts.Reason.NO_TARGET,
                "no second attempt: the first one ended, or no target had spare slots",
            )
        return await self._attempt(call, self._start_hedge(call, view))

    async def _attempt(
        self, call: requests.Call, token: balancing.AttemptToken
    ) -> races.AttemptResult:
        if self._watch is None or not call.is_declared:
            return await self._attempt_once(call, token)
        return await self._watch.run(
            call, token, self._attempt_once, self._move, self._discard_callback(call)
        )

    async def _move(self, call: requests.Call) -> balancing.AttemptToken | None:
        """Start an attempt at another target in place of an overdue one."""
        if await self._checker.renew(call) is not None:
            return None
        pool = call.service.pool
        if self._uses_probes(call):
            view = await self._placer.find(call, placements.MAX_OCCUPANCY)
        else:
            now = time.monotonic()
            view = pool.select(now, call.tried_target_ids, balancing.AttemptKind.RETRY)
        if view is None or not call.has_attempts_left or not pool.may_retry():
            return None
        return pool.start_attempt(view, time.monotonic())

    async def _attempt_once(
        self, call: requests.Call, token: balancing.AttemptToken
    ) -> races.AttemptResult:
        target = token.view.target
        call.tried_target_ids.append(target.target_id)
        call.loads.append(token.view.describe_load(time.monotonic()))
        attempt = attempts.Attempt()
        attempt.request_id = call.request_id
        call.attempts.append(attempt)
        call.phase = phases.Phase.AT_TARGET
        if token.is_cold:
            self._meters.cold_attempts.labels(call.service.name).inc()
        try:
            key_refusal = await self._checker.renew(call)
            if key_refusal is not None:
                raise attempts.AttemptError(
                    key_refusal.verdict, key_refusal.reason, key_refusal.detail
                )
            attempt.revision = self._view.revision
            attempt.started_s = time.monotonic()
            await self._forwarder.send(
                attempt,
                call.service.endpoint(target.address),
                call.target_line,
                call.attempt_headers(attempt.started_s, target.target_id),
                call.body,
                fresh=not call.rule.repeatable,
                head_only=call.request.method == "HEAD",
            )
            self._recorder.record(target, attempt)
            if self._watch is not None:
                self._watch.record_head(call, token, attempt)
            self._check_shed(attempt)
            if call.is_declared:
                self._check_status(attempt)
            if call.rule.whole_bytes:
                await attempt.read_ahead(call.rule.whole_bytes)
            self._check_seal(attempt)
        except attempts.AttemptError as exc:
            self._record_failure(call, token, exc)
            if exc.is_possible_crash:
                self._crashes.record_lost_connection(call, target, attempt)
            raise
        except BaseException:
            call.service.finish(token, self._interrupted_outcome(call))
            raise
        self._record_head(call, attempt, token)
        return attempt, token

    def _interrupted_outcome(self, call: requests.Call) -> balancing.Outcome:
        if time.monotonic() >= call.deadline:
            return balancing.Outcome.TIMEOUT
        return balancing.Outcome.CANCELLED

    def _record_failure(
        self,
        call: requests.Call,
        token: balancing.AttemptToken,
        exc: attempts.AttemptError,
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
        if attempt.message.code == statements.MISDIRECTED_STATUS:
            reason = verdicts.Reason.MISDIRECTED
        detail = f"the target did not run the request (status {attempt.message.code})"
        raise attempts.AttemptError(verdicts.Verdict.NOT_RUN, reason, detail)

    def _check_status(self, attempt: attempts.Attempt) -> None:
        status = attempt.message.code
        if status not in NOT_RUN_STATUSES:
            return
        attempt.abort()
        raise attempts.AttemptError(
            verdicts.Verdict.MAY_HAVE_RUN,
            verdicts.Reason.TARGET_FAILED,
            f"the target does not state that it did not run the request ({status})",
        )

    def _states_not_run(self, attempt: attempts.Attempt) -> bool:
        code, headers = attempt.message.code, attempt.headers
        if (
            self._names.expected_target is not None
            and code == statements.MISDIRECTED_STATUS
        ):
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
            f"a response with status {attempt.message.code} lacks the header {seal}",
        )

    def _record_head(
        self,
        call: requests.Call,
        attempt: attempts.Attempt,
        token: balancing.AttemptToken,
    ) -> None:
        pool = call.service.pool
        if attempt.message.code < 500:
            pool.record_response(
                token, time.monotonic(), requests.load_of(attempt, self._names)
            )


def selection_fields(call: requests.Call) -> dict[str, typing.Any]:
    """Return log fields: the tried targets and the loads that selected them."""
    return {
        "rule": call.rule.name,
        "tried": list(call.tried_target_ids),
        "loads": call.loads,
    }
