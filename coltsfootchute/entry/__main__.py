"""Run the entry role: ``python -m coltsfootchute.entry SETTINGS``."""

import sys

import aiomisc
import uvloop

from coltsfootchute import errors, expositions, logs, settings, signals
from coltsfootchute.entry import daemons, schedules

__all__ = ["main"]


class EntryService(aiomisc.Service):
    """Runs the daemon and the metrics listener until the process is told to stop."""

    daemon: daemons.Daemon
    listener: expositions.Listener

    async def start(self) -> None:
        """Start the daemon and the metrics listener.

        Notes
        -----
        The signal handlers are installed first, so that a signal that is sent as
        soon as a listener responds stops the process gracefully.
        """
        self.signalled = signals.handle_stop_signals(self.loop)
        await self.daemon.start()
        await self.listener.start([self.daemon.exposition])

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the daemon gracefully."""
        await self.daemon.stop()
        await self.listener.stop()


async def _serve(cfg: settings.Settings) -> None:
    # The process starts, serves and stops in a single run of the event loop: uvloop
    # drops a signal that arrives between two runs.
    listener = expositions.Listener(cfg.metrics)
    service = EntryService(daemon=daemons.Daemon(cfg), listener=listener)
    async with aiomisc.entrypoint(
        service,
        catch_signals=(),
        log_config=False,
        shutdown_timeout=schedules.STOP_TIMEOUT_S,
    ):
        await service.signalled.wait()


def main(path: str) -> int:
    """Run until SIGTERM.

    Parameters
    ----------
    path
        The settings file.

    Returns
    -------
    int
        Exit status.
    """
    try:
        cfg = settings.load(path)
    except errors.SettingsError as exc:
        sys.stderr.write(f"{exc}\n")
        return 2
    if cfg.entry is None:
        sys.stderr.write(f"{path}: the settings have no entry role\n")
        return 2
    logs.configure(cfg)
    uvloop.run(_serve(cfg))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
