"""HTTP listener for the metrics of all roles of a process."""

import collections.abc
import typing

from coltsfootchute import logs

__all__ = ["CONTENT_TYPE", "SHUTDOWN_TIMEOUT_S", "Listener"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Handlers respond immediately. A stop waits only for a request whose body, which no
# handler needs, has not been received completely.
SHUTDOWN_TIMEOUT_S = 0.05

Source = collections.abc.Callable[[], bytes]


class Listener:
    """Serves ``/metrics`` at the address of the settings.

    Parameters
    ----------
    address
        IP address and port; None for no listener.
    """

    def __init__(self, address: str | None):
        self._address = address
        self._sources: list[Source] = []
        self._runner: typing.Any = None

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The bound addresses; none if there is no listener."""
        bound = self._runner.addresses if self._runner is not None else []
        return [address[:2] for address in bound]

    async def start(self, sources: collections.abc.Iterable[Source]) -> None:
        """Start listening.

        Parameters
        ----------
        sources
            Functions that return the metrics of one role each, in the text format
            of Prometheus.

        Notes
        -----
        A role can work without metrics, so an address that is already in use is
        only logged.
        """
        if self._address is None:
            return
        # Imported here, so that a control process without metrics saves its memory.
        from aiohttp import web

        self._sources = list(sources)
        app = web.Application()
        app.router.add_get("/metrics", self._metrics)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        host, _, port = self._address.rpartition(":")
        try:
            await web.TCPSite(self._runner, host.strip("[]"), int(port)).start()
        except OSError as exc:
            logs.log_event(
                "process", "cannot serve metrics", address=self._address, error=str(exc)
            )
        else:
            logs.log_event("process", "serving metrics", addresses=self.addresses)

    async def stop(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _metrics(self, request: typing.Any) -> typing.Any:
        from aiohttp import web

        body = b"".join(source() for source in self._sources)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE})
