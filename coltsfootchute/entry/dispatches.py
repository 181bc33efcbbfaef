"""Attempts of a call: where they are sent, repeated and hedged."""

import time
import typing

from coltsfootchute import balancing, logs, settings, verdicts
from coltsfootchute.entry import (
    attempts,
    crashes,
    forwards,
    keys,
    metrics,
    phases,
    placements,
    pools,
    races,
    requests,
    watches,
)

__all__ = ["Dispatcher", "inputs_of"]

# Bounds the connections that one call tries while many targets are down.
MAX_FREE_RETRIES = 3
MISDIRECTED = 421
_OUTCOMES = {
    verdicts.Reason.CONNECTION_FAILED: balancing.Outcome.CONNECTION_FAILED,
    verdicts.Reason.CONNECTION_LOST: balancing.Outcome.CONNECTION_LOST,
    verdicts.Reason.TARGET_SHED: balancing.Outcome.SHED,
}


class Dispatcher:
    """Sends a call to targets until one of them responds.

    `calls.Calls` adds what comes before and after: matching, admission, claims and
    the answer.

    Parameters
    ----------
    view
        The replicated state, for the revision.
    forwarder
        Connections to targets.
    reporter
        Takes crash reports.
    meters
        Metrics.
    placer
        Finds targets for requests of declared routes by probes; None for no probes.
    names
        Names of headers.
    """

    def __init__(
        self,
        *,
        view: watches.View,
        forwarder: forwards.Forwarder,
        reporter: crashes.CrashReporter,
        meters: metrics.Metrics,
        placer: placements.Placer | None,
        names: settings.HeaderSettings,
    ):
        self._view = view
        self._forwarder = forwarder
        self._crashes = reporter
        self._meters = meters
        self._placer = placer
        self._names = names

    def _check_quarantine(self, call: requests.Call) -> None:
        # For a request that is not repeatable the check is part of the claim, so
        # that a key that has run gets its answer.
        if call.rule.key == "required" or not call.service.has_crashes:
            return
        crashes = call.service.pool.crashes
        if crashes.is_quarantined(call.crash_digest(), time.monotonic()):
            raise requests.refused(verdicts.Reason.QUARANTINED, keys.QUARANTINE_DETAIL)

    async def _attempts(self, call: requests.Call, token: balancing.AttemptToken):
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

    async def _replace_failure(
        self, call: requests.Call
    ) -> balancing.AttemptToken | None:
        """Return an attempt in place of a target's failure; None to pass it on."""
        may_retry = call.is_declared and call.rule.repeatable and call.can_repeat
        if not may_retry or not call.has_attempts:
            return None
        pool, now = call.service.pool, time.monotonic()
        if self._places(call):
            view = await self._placer.find(call, placements.OCCUPANCY)
        else:
            view = pool.select(now, call.tried_target_ids, balancing.AttemptKind.RETRY)
        if view is None or not pool.may_retry():
            return None
        self._meters.retries.labels(verdicts.Reason.TARGET_FAILED.value).inc()
        return pool.start_attempt(view, time.monotonic())

    async def _race(
        self, call: requests.Call, token: balancing.AttemptToken
    ) -> races.Won:
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
            **inputs_of(call),
        )
        return call.service.pool.start_attempt(view, now)

    async def _retry(
        self, call: requests.Call, error: attempts.AttemptError
    ) -> balancing.AttemptToken:
        now = time.monotonic()
        call.phase = phases.Phase.WAITING
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
        logs.log_event(
            "entry",
            "retries",
            request=call.request_id,
            reason=error.reason.value,
            verdict=error.verdict.value,
            detail=error.detail,
            following=token.view.target.target_id,
            **inputs_of(call),
        )
        return token

    async def _next(
        self, call: requests.Call, error: attempts.AttemptError, now: float
    ) -> balancing.AttemptToken | None:
        """Return the attempt that follows a failed one; None for none."""
        pool = call.service.pool
        if self._places(call):
            return await self._place_again(call, error)
        # No target has seen a request whose connection failed, so another attempt
        # adds no load and takes no token; it may wait for a target like the first.
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

    def _places(self, call: requests.Call) -> bool:
        return call.is_declared and self._placer is not None

    async def _place_again(
        self, call: requests.Call, error: attempts.AttemptError
    ) -> balancing.AttemptToken | None:
        """Return an attempt after a failed one on another target with room."""
        pool = call.service.pool
        view = await self._placer.find(call, placements.OCCUPANCY)
        is_free = error.reason is verdicts.Reason.CONNECTION_FAILED
        is_free = is_free and len(call.tried_target_ids) <= MAX_FREE_RETRIES
        if view is None or not (is_free or pool.may_retry()):
            return None
        return pool.start_attempt(view, time.monotonic())

    async def _place_hedge(self, call: requests.Call) -> races.Won:
        """Send a second attempt if a target has spare slots."""
        pool = call.service.pool
        view = await self._placer.find(call)
        if view is None or not pool.may_hedge():
            raise attempts.AttemptError(
                verdicts.Verdict.NOT_RUN, verdicts.Reason.NO_TARGET, "no spare target"
            )
        return await self._attempt(call, self._start_hedge(call, view))

    async def _attempt(
        self, call: requests.Call, token: balancing.AttemptToken
    ) -> races.Won:
        target = token.view.target
        call.tried_target_ids.append(target.target_id)
        call.loads.append(token.view.describe_load(time.monotonic()))
        attempt = attempts.Attempt()
        attempt.request_id = call.request_id
        call.attempts.append(attempt)
        call.phase = phases.Phase.AT_TARGET
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
            if exc.is_possible_crash:
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
        self,
        call: requests.Call,
        attempt: attempts.Attempt,
        token: balancing.AttemptToken,
    ) -> None:
        pool = call.service.pool
        if verdicts.DRAINING_HEADER in attempt.headers:
            pool.mark_draining(token.view.target.target_id)
        if attempt.message.code < 500:
            pool.record_response(
                token, time.monotonic(), requests.load_of(attempt, self._names)
            )


def inputs_of(call: requests.Call) -> dict[str, typing.Any]:
    """Return the targets of a call with the loads by which they were selected."""
    return {
        "rule": call.rule.name,
        "tried": list(call.tried_target_ids),
        "loads": call.loads,
    }
