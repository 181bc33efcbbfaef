"""Hedging: a second attempt runs beside a slow first one."""

import asyncio
import collections.abc
import typing

from coltsfootchute import balancing, verdicts
from coltsfootchute.entry import attempts

__all__ = ["Won", "run"]

Won = tuple[attempts.Attempt, balancing.AttemptToken]
_Start = collections.abc.Coroutine[typing.Any, typing.Any, Won]


async def run(
    first: _Start,
    delay_s: float,
    hedge: collections.abc.Callable[[], _Start | None],
    drop: collections.abc.Callable[[Won], None],
) -> Won:
    """Return the first attempt that gets a response head.

    Parameters
    ----------
    first
        The first attempt.
    delay_s
        Time after which the second one starts.
    hedge
        Returns the second attempt, or None if there must be none.
    drop
        Called for a response that came too late, which must reach no caller.

    Raises
    ------
    AttemptError
        If all attempts fail: the one that may have run, if there is one.
    """
    task = asyncio.ensure_future(first)
    tasks = {task}
    try:
        # Most attempts respond before the delay. Waiting for them costs one future
        # and one timer; `asyncio.wait` costs more, and a turn of the loop for a task
        # that is done.
        if await _ends_within(task, delay_s):
            return task.result()
        second = hedge()
        if second is not None:
            tasks.add(asyncio.ensure_future(second))
        won = await _first_head(tasks)
    except BaseException:
        for task in tasks:
            _discard(task, drop)
        raise
    for task in tasks - {won}:
        _discard(task, drop)
    return won.result()


async def _ends_within(task: asyncio.Task[Won], delay_s: float) -> bool:
    loop = asyncio.get_running_loop()
    waiter = loop.create_future()

    def wake(_: object = None) -> None:
        if not waiter.done():
            waiter.set_result(None)

    timer = loop.call_later(delay_s, wake)
    task.add_done_callback(wake)
    try:
        await waiter
    finally:
        timer.cancel()
        task.remove_done_callback(wake)
    return task.done()


async def _first_head(tasks: set[asyncio.Task[Won]]) -> asyncio.Task[Won]:
    pending = tasks
    failed: list[attempts.AttemptError] = []
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            exc = task.exception()
            if exc is None:
                return task
            if not isinstance(exc, attempts.AttemptError):
                raise exc
            failed.append(exc)
    risky = (e for e in failed if e.verdict is not verdicts.Verdict.NOT_RUN)
    raise next(risky, failed[0])


def _discard(
    task: asyncio.Task[Won], drop: collections.abc.Callable[[Won], None]
) -> None:
    def finish(ended: asyncio.Task[Won]) -> None:
        if not ended.cancelled() and ended.exception() is None:
            drop(ended.result())

    # A task that has already ended ignores the cancellation.
    task.cancel()
    task.add_done_callback(finish)
