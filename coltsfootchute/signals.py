"""Signals that ask a process to stop."""

import asyncio
import os
import signal

from coltsfootchute import logs

__all__ = ["FORCED_EXIT_CODE", "stop_requested"]

FORCED_EXIT_CODE = 1


def stop_requested(loop: asyncio.AbstractEventLoop) -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set.

    Parameters
    ----------
    loop
        The loop that handles the signals.

    Notes
    -----
    Supervisors repeat SIGTERM, so a repeated one does not end a planned stop. SIGINT
    during the stop ends the process at once, for an operator at a terminal.
    """
    requested = asyncio.Event()

    def receive(number: signal.Signals) -> None:
        if not requested.is_set():
            requested.set()
            return
        is_forced = number is signal.SIGINT
        message = "ends at once" if is_forced else "is stopping already"
        logs.log_event("process", message, signal=number.name)
        if is_forced:
            os._exit(FORCED_EXIT_CODE)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, receive, number)
    return requested
