"""Hedging: a second attempt runs in parallel with a slow first one."""

import asyncio
import collections.abc
import typing

from coltsfootchute import balancing, verdicts
from coltsfootchute.entry import attempts

__all__ = ["AttemptResult", "cancel", "run"]

AttemptResult = tuple[attempts.Attempt, balancing.AttemptToken]
_AttemptCoroutine = collections.abc.Coroutine[typing.Any, typing.Any, AttemptResult]


async def run(
    first: _AttemptCoroutine,
    delay_s: float,
    hedge: collections.abc.Callable[[], _AttemptCoroutine | None],
    discard: collections.abc.Callable[[AttemptResult], None],
) -> AttemptResult:
    """Return the attempt that is the first to receive the head of a response.

    A response with a server error is returned only if no other attempt does better.

    Parameters
    ----------
    first
        The first attempt.
    delay_s
        Time in seconds after which the second attempt starts.
    hedge
        Returns the second attempt, or None for no second attempt.
    discard
        Called with an attempt whose response was too late and must reach no caller.

    Raises
    ------
    AttemptError
        If all attempts fail; the error of one that may have run takes precedence.
    """
    task = asyncio.ensure_future(first)
    tasks = {task}
    try:
        # Most attempts respond before the delay. This wait costs one future and one
        # timer. `asyncio.wait` costs more, and another iteration of the event loop for
        # a task that is done.
        if await _ends_within(task, delay_s):
            return task.result()
        second = hedge()
        if second is not None:
            tasks.add(asyncio.ensure_future(second))
        winner = await _first_head(tasks)
    except BaseException:
        for task in tasks:
            cancel(task, discard)
        raise
    for task in tasks - {winner}:
        cancel(task, discard)
    return winner.result()


async def _ends_within(task: asyncio.Task[AttemptResult], delay_s: float) -> bool:
    loop = asyncio.get_running_loop()
    waiter = loop.create_future()

    def notify(_: object = None) -> None:
        if not waiter.done():
            waiter.set_result(None)

    timer = loop.call_later(delay_s, notify)
    task.add_done_callback(notify)
    try:
        await waiter
    finally:
        timer.cancel()
        task.remove_done_callback(notify)
    return task.done()


async def _first_head(
    tasks: set[asyncio.Task[AttemptResult]],
) -> asyncio.Task[AttemptResult]:
    pending = tasks
    failed: list[attempts.AttemptError] = []
    server_errors: list[asyncio.Task[AttemptResult]] = []
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            exc = task.exception()
            if exc is not None:
                if not isinstance(exc, attempts.AttemptError):
                    raise exc
                failed.append(exc)
            elif task.result()[0].message.code < 500:
                return task
            else:
                server_errors.append(task)
    if server_errors:
        return server_errors[0]
    may_have_run = (e for e in failed if e.verdict is not verdicts.Verdict.NOT_RUN)
    raise next(may_have_run, failed[0])


def cancel(
    task: asyncio.Task[AttemptResult],
    discard: collections.abc.Callable[[AttemptResult], None],
) -> None:
    """Cancel an attempt, and discard its response if it has one."""

    def finish(ended: asyncio.Task[AttemptResult]) -> None:
        if not ended.cancelled() and ended.exception() is None:
            discard(ended.result())

    # A task that has already ended ignores the cancellation.
    task.cancel()
    task.add_done_callback(finish)
