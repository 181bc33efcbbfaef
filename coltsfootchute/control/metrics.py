"""Metrics and health checks of a control instance over HTTP.

This module is imported only if the settings configure a metrics address. With aiohttp
and prometheus_client, the control role exceeds its memory bound.
"""

import collections.abc

import prometheus_client
import prometheus_client.core
from aiohttp import web

from coltsfootchute import expositions
from coltsfootchute.control import feeds
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["MetricsServer", "exposition"]

PREFIX = "coltsfootchute_control"
MAX_PROOF_AGE_S = 3.0
GAUGES = ("feed_watchers", "claims_stored", "evacuations_in_force")


class _Collector:
    """Converts the reply of `Control.Status` to metric families at each scrape."""

    def __init__(self, status: collections.abc.Callable[[], pb.StatusReply]):
        self._status = status

    def collect(self) -> collections.abc.Iterator:
        """Yield the metric families."""
        core = prometheus_client.core
        status = self._status()
        for name, value in sorted(status.counters.items()):
            is_gauge = name in GAUGES
            family = core.GaugeMetricFamily if is_gauge else core.CounterMetricFamily
            help_text = f"Control.Status counter {name}"
            yield family(f"{PREFIX}_{name}", help_text, value=value)
        for name in ("term", "commit_index", "applied_index", "revision"):
            value = getattr(status, name)
            help_text = f"Control.Status {name}"
            yield core.GaugeMetricFamily(f"{PREFIX}_{name}", help_text, value=value)
        help_text = "Whether this instance leads"
        is_leader = float(status.role == "leader")
        yield core.GaugeMetricFamily(f"{PREFIX}_leader", help_text, value=is_leader)


def exposition(status: collections.abc.Callable[[], pb.StatusReply]) -> bytes:
    """Return the metrics of a control instance in the text format of Prometheus.

    Parameters
    ----------
    status
        Returns the reply of `Control.Status`.
    """
    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(status))
    return prometheus_client.generate_latest(registry)


class MetricsServer:
    """HTTP server for ``/metrics``, ``/healthz`` and ``/readyz``.

    Parameters
    ----------
    status
        Returns the reply of `Control.Status`.
    feed
        The feed. ``/readyz`` fails if its last proof of currency is missing or too old.
    """

    def __init__(
        self, status: collections.abc.Callable[[], pb.StatusReply], feed: feeds.Feed
    ):
        self._feed = feed
        self._status = status
        app = web.Application()
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=expositions.SHUTDOWN_TIMEOUT_S
        )

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The bound addresses."""
        return [address[:2] for address in self._runner.addresses]

    async def stop(self) -> None:
        """Close the server."""
        await self._runner.cleanup()

    async def _metrics(self, request: web.Request) -> web.Response:
        headers = {"Content-Type": expositions.CONTENT_TYPE}
        return web.Response(body=exposition(self._status), headers=headers)

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readyz(self, request: web.Request) -> web.Response:
        age_s = self._feed.proof_age_s(feeds.clock())
        if age_s is None or age_s > MAX_PROOF_AGE_S:
            return web.Response(status=503, text="stale\n")
        return web.Response(text="ok\n")
