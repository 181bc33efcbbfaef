"""Connections to targets, pooled or new, from aiohttp's connector.

`aiohttp.ClientSession` resends a request with an idempotent method if a kept-alive
connection is lost (`ClientSession._request`, aiohttp 3.14). The entry must know
what was written and decides on retries itself, so it gets connections from the
connector and uses aiohttp's writer and response parser directly.
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

# Connections take about 1 ms, and a lost SYN is resent after 1 s at the earliest.
# After this time it is faster to try another target.
CONNECT_TIMEOUT_S = 0.25
# The target's keep-alive timeout is unknown; 15 s is below common values.
KEEP_ALIVE_S = 15.0
# The connector skips pooled connections that were closed in the meantime. This limits
# the attempts at a target that sends data on each new connection before any request.
MAX_CONNECT_ATTEMPTS = 3

_NO_BODY = attempts.Body(b"", None)
_NO_TRACES: list[typing.Any] = []
_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


class Endpoint:
    """The address of a target, prepared for connections."""

    __slots__ = ("address", "connect_request")

    def __init__(self, address: str):
        self.address = address
        # The connector takes the connection key and the address from a request.
        self.connect_request = aiohttp.ClientRequest(
            "GET",
            yarl.URL(f"http://{address}/"),
            loop=asyncio.get_running_loop(),
            response_class=aiohttp.ClientResponse,
        )


class Forwarder:
    """Connections to targets.

    Parameters
    ----------
    request_id_name
        Name of the header with the id of a request, which targets echo; None if they
        do not.

    Notes
    -----
    Pooled connections are used for repeatable requests only. The target may close a
    pooled connection at any time, which cannot be distinguished from a failure of the
    target while it runs the request.
    """

    def __init__(self, request_id_name: str | None = None):
        self._request_id_name = request_id_name
        self._pooled = _connector(keepalive_timeout=KEEP_ALIVE_S)
        self._unpooled = _connector(force_close=True)

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._unpooled.close()

    async def send(
        self,
        attempt: attempts.Attempt,
        endpoint: Endpoint,
        request_line: str,
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
            Receives the response.
        endpoint
            The target's address.
        request_line
            The request line.
        headers
            Headers of this attempt, which may be modified.
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
            await attempt.send(conn, request_line, headers, body, head_only)
        except BaseException:
            attempt.abort()
            raise

    async def probe(
        self,
        attempt: attempts.Attempt,
        endpoint: Endpoint,
        request_line: str,
        headers: multidict.CIMultiDict[str],
    ) -> None:
        """Send a probe, which has no id, and discard the body of its response.

        Parameters
        ----------
        attempt
            Receives the response.
        endpoint
            The target's address.
        request_line, headers
            Request line and headers of the probe.

        Raises
        ------
        AttemptError
            If the attempt failed.
        TruncatedError
            If the response is incomplete or too large.
        """
        if self._request_id_name is not None:
            # A late response to a request must not be taken for that to the probe.
            attempt.request_id = (self._request_id_name, None)
        await self.send(
            attempt,
            endpoint,
            request_line,
            headers,
            _NO_BODY,
            fresh=False,
            head_only=False,
        )
        await attempt.discard_body(attempts.MAX_PROBE_RESPONSE_BYTES)

    async def _connect(
        self, endpoint: Endpoint, fresh: bool
    ) -> aiohttp.connector.Connection:
        connector = self._unpooled if fresh else self._pooled
        try:
            for _ in range(MAX_CONNECT_ATTEMPTS):
                conn = await connector.connect(
                    endpoint.connect_request, _NO_TRACES, _TIMEOUT
                )
                # Data that arrived on an idle connection belongs to no request.
                if not conn.protocol.should_close:
                    return conn
                conn.close()
            raise aiohttp.ClientConnectionError(
                f"{MAX_CONNECT_ATTEMPTS} connections had data before the request"
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise attempts.AttemptError(
                verdicts.Verdict.NOT_RUN, verdicts.Reason.CONNECTION_FAILED, str(exc)
            ) from exc


def _connector(**options: typing.Any) -> aiohttp.TCPConnector:
    connector = aiohttp.TCPConnector(limit=0, use_dns_cache=False, **options)
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(connections.TargetConnection, loop)
    return connector
