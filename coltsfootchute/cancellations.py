"""The end of background tasks."""

import asyncio
import collections.abc
import typing

__all__ = ["end_all"]

CANCEL_INTERVAL_S = 0.1


async def end_all(tasks: collections.abc.Iterable[asyncio.Future[typing.Any]]) -> None:
    """Cancel tasks until each of them has ended.

    Parameters
    ----------
    tasks
        The tasks; their results and errors are dropped.

    Notes
    -----
    One cancellation is not enough. A task that meets an error in the moment of its
    cancellation handles the error and goes on, and grpclib raises the error of a
    connection or deadline in place of a cancellation. A task may also wait in its
    cleanup for a peer that no longer reads.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        done, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL_S)
        for task in done:
            if not task.cancelled():
                task.exception()
