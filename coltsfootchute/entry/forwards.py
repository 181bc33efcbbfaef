"""Connections to targets, pooled or fresh, over aiohttp's connector.

`aiohttp.ClientSession` sends a request of an idempotent method again when a
kept connection breaks (`ClientSession._request`, aiohttp 3.14). The entry needs
to know what was written and decides on retries itself, so it takes connections
from the connector and uses aiohttp's writer and response parser directly.
"""

import asyncio
import functools
import typing

import aiohttp
import aiohttp.connector
import aiohttp.http
import aiohttp.streams
import multidict
import yarl

from coltsfootchute import verdicts
from coltsfootchute.entry import attempts, connections

__all__ = ["Endpoint", "Forwarder"]

# Connections take about 1 ms; a lost SYN is sent again after 1 s at the
# earliest, so a longer wait than this is better spent on another target.
CONNECT_TIMEOUT_S = 0.25
# The target's keep-alive timeout is unknown; 15 s is below the usual ones.
KEEP_ALIVE_S = 15.0
# Pooled connections that were closed meanwhile are passed over by the connector; a
# target that sends bytes on new ones does so on each.
MAX_CONNECTS = 3

_NO_TRACES: list[typing.Any] = []
_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


class Endpoint:
    """The address of a target, prepared for connections."""

    __slots__ = ("address", "pilot")

    def __init__(self, address: str):
        self.address = address
        # The connector asks a request for its connection key and address.
        self.pilot = aiohttp.ClientRequest(
            "GET",
            yarl.URL(f"http://{address}/"),
            loop=asyncio.get_running_loop(),
            response_class=aiohttp.ClientResponse,
        )


class Forwarder:
    """Connections to targets.

    Notes
    -----
    Pooled connections carry repeatable requests only. The target may close a
    pooled connection at any time, and that cannot be told from a target that
    failed while it ran the request.
    """

    def __init__(self):
        self._pooled = _connector(keepalive_timeout=KEEP_ALIVE_S)
        self._fresh = _connector(force_close=True)

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._fresh.close()

    async def send(
        self,
        attempt: attempts.Attempt,
        endpoint: Endpoint,
        line: str,
        headers: multidict.CIMultiDict[str],
        body: attempts.Body,
        *,
        fresh: bool,
        head_only: bool,
    ) -> None:
        """Send a request and wait for the head of the response.

        Parameters
        ----------
        attempt
            Takes the outcome.
        endpoint
            The target's address.
        line
            The request line.
        headers
            Headers for this attempt alone.
        body
            The body.
        fresh
            Whether to use a new connection and close it afterwards.
        head_only
            Whether the response has no body (`HEAD`).

        Raises
        ------
        AttemptError
            With the verdict: `NOT_RUN` if nothing was written.
        """
        conn = await self._connect(endpoint, fresh)
        try:
            await attempt.send(conn, line, headers, body, head_only)
        except BaseException:
            attempt.abort()
            raise

    async def _connect(
        self, endpoint: Endpoint, fresh: bool
    ) -> aiohttp.connector.Connection:
        connector = self._fresh if fresh else self._pooled
        try:
            for _ in range(MAX_CONNECTS):
                conn = await connector.connect(endpoint.pilot, _NO_TRACES, _TIMEOUT)
                # Bytes that arrived on an idle connection belong to no request.
                if not conn.protocol.should_close:
                    return conn
                conn.close()
            raise aiohttp.ClientConnectionError("bytes before the request")
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise attempts.AttemptError(
                verdicts.Verdict.NOT_RUN, verdicts.Reason.CONNECTION_FAILED, str(exc)
            ) from exc


def _connector(**options: typing.Any) -> aiohttp.TCPConnector:
    connector = aiohttp.TCPConnector(limit=0, use_dns_cache=False, **options)
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(connections.TargetConnection, loop)
    return connector
