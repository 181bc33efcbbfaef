"""Signals that ask a process to stop."""

import asyncio
import os
import signal

from coltsfootchute import logs

__all__ = ["FORCED_EXIT_CODE", "handle_stop_signals"]

FORCED_EXIT_CODE = 1


def handle_stop_signals(loop: asyncio.AbstractEventLoop) -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set.

    Parameters
    ----------
    loop
        The event loop that handles the signals.

    Notes
    -----
    Supervisors may repeat SIGTERM, so a repeated one does not interrupt a planned
    stop. SIGINT during the stop exits the process immediately, for an operator at a
    terminal.
    """
    requested = asyncio.Event()

    def receive(number: signal.Signals) -> None:
        if not requested.is_set():
            requested.set()
            return
        is_forced = number is signal.SIGINT
        message = "exiting during the planned stop" if is_forced else "already stopping"
        logs.log_event("process", message, signal=number.name)
        if is_forced:
            os._exit(FORCED_EXIT_CODE)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, receive, number)
    return requested
