"""Background tasks that outlive their unhandled errors."""

import asyncio
import collections.abc

import loguru

__all__ = ["keep_running"]

RESTART_PAUSE_S = 1.0


async def keep_running(
    run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Run a coroutine function again and again until cancelled.

    Parameters
    ----------
    run
        The work of a background task, which is not meant to end.

    Notes
    -----
    An unhandled error is logged. If the task ended with it, nobody would notice.
    """
    while True:
        try:
            await run()
        except Exception:
            loguru.logger.exception("process: {} failed, runs again", run.__qualname__)
        await asyncio.sleep(RESTART_PAUSE_S)
