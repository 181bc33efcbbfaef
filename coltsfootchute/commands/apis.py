"""HTTP requests of the command line to the API listeners of entries."""

import asyncio
import dataclasses
import os
import typing

import aiohttp
import msgspec

from coltsfootchute.commands import exits

__all__ = ["Reply", "fetch", "read", "reason", "send_change"]

READ_TIMEOUT_S = 5.0
CHANGE_TIMEOUT_S = 5.0
CHANGE_ATTEMPTS = 5
CHANGE_RETRY_INTERVAL_S = 0.3
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_OUTCOME_UNKNOWN = frozenset({500, 502, 503, 504})


@dataclasses.dataclass(frozen=True)
class Reply:
    """A response of an entry.

    Parameters
    ----------
    status
        HTTP status.
    body
        Decoded JSON; an empty dict if the body is not JSON.
    """

    status: int
    body: typing.Any


def read(addresses: typing.Sequence[str], path: str) -> typing.Any:
    """Read from the first address that responds.

    Returns
    -------
    object
        The decoded JSON body.

    Raises
    ------
    coltsfootchute.commands.exits.UnreachableError
        If no address gives a definite response.
    coltsfootchute.commands.exits.RefusedError
        If the entry refuses the request.
    """
    reply = asyncio.run(fetch(addresses, path))
    if reply.status == HTTP_OK:
        return reply.body
    raise exits.RefusedError(reason(reply))


async def fetch(addresses: typing.Sequence[str], path: str) -> Reply:
    """Get a path from the first address that gives a definite response."""
    failures = []
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for address in addresses:
            try:
                reply = await _request(session, "GET", f"http://{address}{path}")
            except (aiohttp.ClientError, TimeoutError) as exc:
                failures.append(f"{address}: {_describe(exc)}")
                continue
            if reply.status in HTTP_OUTCOME_UNKNOWN:
                failures.append(f"{address}: {reason(reply)}")
                continue
            return reply
    raise exits.UnreachableError("; ".join(failures))


async def send_change(
    addresses: typing.Sequence[str],
    path: str,
    body: dict[str, typing.Any] | None,
    headers: dict[str, str],
    method: str = "PUT",
) -> Reply:
    """Send a change, and resend it unaltered while its outcome is unknown.

    Parameters
    ----------
    addresses
        Addresses of API listeners, which the attempts use in turn.
    path
        Path of the request.
    body
        JSON body with a ``request_id``, which makes it safe to resend the change; None
        for a change that is idempotent without one.
    headers
        Headers that name the team.
    method
        HTTP method.

    Raises
    ------
    coltsfootchute.commands.exits.UnreachableError
        If no connection was established, so that nothing was sent.
    coltsfootchute.commands.exits.UnknownOutcomeError
        If the change was sent and no definite response was received.
    """
    sent, last_failure = False, ""
    timeout = aiohttp.ClientTimeout(total=CHANGE_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for attempt in range(CHANGE_ATTEMPTS):
            if attempt:
                await asyncio.sleep(CHANGE_RETRY_INTERVAL_S)
            address = addresses[attempt % len(addresses)]
            try:
                url = f"http://{address}{path}"
                reply = await _request(session, method, url, body, headers)
            except aiohttp.ClientConnectorError as exc:
                last_failure = f"{address}: {_describe(exc)}"
                continue
            except (aiohttp.ClientError, TimeoutError) as exc:
                sent, last_failure = True, f"{address}: {_describe(exc)}"
                continue
            if reply.status not in HTTP_OUTCOME_UNKNOWN:
                return reply
            sent, last_failure = True, f"{address}: {reason(reply)}"
    if not sent:
        raise exits.UnreachableError(last_failure)
    hint = f"resend with --request-id {body['request_id']}" if body else "resend it"
    raise exits.UnknownOutcomeError(f"outcome unknown ({last_failure}); {hint}")


async def _request(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: object = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    async with session.request(method, url, json=body, headers=headers) as resp:
        data = await resp.read()
        try:
            return Reply(resp.status, msgspec.json.decode(data))
        except msgspec.DecodeError:
            return Reply(resp.status, {})


def reason(reply: Reply) -> str:
    """Return why an entry refused a request, in one line."""
    body = reply.body if isinstance(reply.body, dict) else {}
    texts = (body.get(name) for name in ("error", "detail"))
    return ": ".join(str(text) for text in texts if text) or f"HTTP {reply.status}"


def _describe(exc: BaseException) -> str:
    if isinstance(exc, TimeoutError):
        return "timed out"
    if isinstance(exc, aiohttp.ClientConnectorError):
        number = exc.os_error.errno
        return os.strerror(number) if number else "connection failed"
    return str(exc) or type(exc).__name__
