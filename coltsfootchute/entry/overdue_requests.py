"""Requests that their targets do not answer in time, and targets that hang."""

import asyncio
import collections.abc
import enum
import time

from coltsfootchute import balancing, logs, verdicts
from coltsfootchute.entry import attempts, metrics, races, requests, samplers

__all__ = ["Watch"]

# A request this old is watched. Its target is asked for its load, as the report shows
# whether it runs or queues the request.
FIRST_CHECK_S = 0.5
CHECK_INTERVAL_S = 0.1
# Interval between the probes for one request, and between attempts to move it.
PROBE_INTERVAL_S = 0.5
MOVE_INTERVAL_S = 0.25


class HangEvent(enum.Enum):
    """Event of a target that hangs, as counted in the metrics."""

    BEGAN = "began"
    TRIAL = "trial"
    ENDED = "ended"


_MESSAGES = {
    HangEvent.BEGAN: "a target hangs",
    HangEvent.TRIAL: "a target that hangs gets a trial request",
    HangEvent.ENDED: "a target no longer hangs",
}
_Send = collections.abc.Callable[
    [requests.Call, balancing.AttemptToken],
    collections.abc.Coroutine[object, object, races.AttemptResult],
]
_Move = collections.abc.Callable[
    [requests.Call],
    collections.abc.Awaitable[balancing.AttemptToken | None],
]


class Watch:
    """Watches attempts until the head of their response arrives.

    Parameters
    ----------
    sampler
        Probes the targets of requests that take long.
    meters
        Metrics.

    Notes
    -----
    A repeatable request that is overdue is sent to another target as soon as the retry
    budget, its attempts and the load of the targets allow it. The connection of its
    first attempt is closed only then, since the target may still answer. A request
    that runs at most once stays with its target until its time limit.
    """

    def __init__(self, sampler: samplers.Sampler, meters: metrics.Metrics):
        self._sampler = sampler
        self._meters = meters

    async def run(
        self,
        call: requests.Call,
        token: balancing.AttemptToken,
        send: _Send,
        move: _Move,
        discard: collections.abc.Callable[[races.AttemptResult], None],
    ) -> races.AttemptResult:
        """Make an attempt, and another one elsewhere each time that it is overdue.

        Parameters
        ----------
        call, token
            The call and its started attempt.
        send
            Makes an attempt and ends its token, unless it returns.
        move
            Starts an attempt at another target, or returns None if none is possible.
        discard
            Called with an attempt whose response arrived too late.

        Raises
        ------
        AttemptError
            If the last attempt failed.
        """
        while True:
            self._record_new_hangs(call)
            if token.is_trial:
                self._record_hang(call, token.view, HangEvent.TRIAL)
            task = asyncio.ensure_future(send(call, token))
            try:
                following = await self._watch(call, token, task, move)
            except BaseException:
                races.cancel(task, discard)
                raise
            if following is None:
                return task.result()
            if task.done() and not task.cancelled() and task.exception() is None:
                call.service.finish(following, balancing.Outcome.CANCELLED)
                return task.result()
            races.cancel(task, discard)
            self._record_move(call, token, following)
            token = following

    async def _watch(
        self,
        call: requests.Call,
        token: balancing.AttemptToken,
        task: asyncio.Task[races.AttemptResult],
        move: _Move,
    ) -> balancing.AttemptToken | None:
        """Return the attempt that replaces one, or None once that one has ended."""
        timeout_s, probed_s, moved_s = FIRST_CHECK_S, 0.0, 0.0
        while True:
            done, _ = await asyncio.wait([task], timeout=timeout_s)
            if done:
                return None
            timeout_s, now = CHECK_INTERVAL_S, time.monotonic()
            if token.is_answered:
                await asyncio.wait([task])
                return None
            if not token.is_overdue:
                self._check(call, token, now)
            if not token.is_overdue:
                if now - probed_s >= PROBE_INTERVAL_S:
                    probed_s = now
                    self._sampler.start_probe(call.service, token.view)
            elif may_move(call) and now - moved_s >= MOVE_INTERVAL_S:
                moved_s = now
                following = await move(call)
                if following is not None:
                    return following

    def _check(
        self, call: requests.Call, token: balancing.AttemptToken, now: float
    ) -> None:
        pool, name = call.service.pool, call.service.name
        evidence = pool.overdue.evidence(token, now)
        if evidence is None:
            return
        self._meters.overdue_attempts.labels(name, evidence.value).inc()
        pool.mark_overdue(token)
        logs.log_event(
            "entry",
            "a request is overdue",
            request=call.request_id,
            service=name,
            target=token.view.target.target_id,
            evidence=evidence.value,
            waited_s=round(now - token.started_s, 3),
            limit_s=pool.overdue.limit_s(),
            load=token.view.describe_load(now),
        )
        self._record_new_hangs(call)

    def record_head(
        self,
        call: requests.Call,
        token: balancing.AttemptToken,
        attempt: attempts.Attempt,
    ) -> None:
        """Record the head of a response, which ends the hang of its target."""
        attempt.must_close = token.is_overdue
        if call.service.pool.record_head(token, time.monotonic()):
            self._record_hang(call, token.view, HangEvent.ENDED)

    def _record_new_hangs(self, call: requests.Call) -> None:
        new = call.service.pool.new_hangs
        while new:
            self._record_hang(call, new.pop(), HangEvent.BEGAN)

    def _record_hang(
        self, call: requests.Call, view: balancing.TargetView, event: HangEvent
    ) -> None:
        self._meters.hangs.labels(call.service.name, event.value).inc()
        logs.log_event(
            "entry",
            _MESSAGES[event],
            service=call.service.name,
            target=view.target.target_id,
        )

    def _record_move(
        self,
        call: requests.Call,
        token: balancing.AttemptToken,
        following: balancing.AttemptToken,
    ) -> None:
        reason = verdicts.Reason.TARGET_TIMEOUT.value
        self._meters.retries.labels(reason).inc()
        logs.log_event(
            "entry",
            "retries",
            request=call.request_id,
            reason=reason,
            verdict=verdicts.Verdict.MAY_HAVE_RUN.value,
            detail="the request is overdue",
            overdue=token.view.target.target_id,
            following=following.view.target.target_id,
            tried=list(call.tried_target_ids),
        )


def may_move(call: requests.Call) -> bool:
    """Return whether an overdue request may be sent to another target."""
    return (
        call.rule.repeatable
        and call.can_resend
        and call.may_retry
        and call.has_attempts_left
        and time.monotonic() < call.deadline
    )
