"""Cancellation of background tasks."""

import asyncio
import collections.abc
import typing

__all__ = ["cancel_and_wait"]

CANCEL_INTERVAL_S = 0.1


async def cancel_and_wait(
    tasks: collections.abc.Iterable[asyncio.Future[typing.Any]],
) -> None:
    """Cancel tasks repeatedly until all of them have ended.

    Parameters
    ----------
    tasks
        The tasks; their results and errors are ignored.

    Notes
    -----
    A single cancellation can be lost. If an error is raised in a task at the moment
    of its cancellation, the task handles that error and continues, and grpclib
    raises a connection or deadline error in place of a cancellation. A task may also
    block in its cleanup on a peer that no longer reads.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        done, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL_S)
        for task in done:
            if not task.cancelled():
                task.exception()
