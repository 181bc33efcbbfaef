"""Announcements of a stand-in target to the entries."""

import asyncio
import itertools
import typing

import aiohttp
import loguru
import msgspec

__all__ = ["Announcement", "Announcer"]

logger = loguru.logger

RETRY_S = 0.3
REQUEST_TIMEOUT_S = 3.0
DEFAULT_RENEWAL_S = 10.0
HTTP_OK = range(200, 300)
HTTP_CONFLICT = 409
HTTP_NOT_FOUND = 404


class Announcement(msgspec.Struct, frozen=True):
    """What a target tells an entry about itself.

    Parameters
    ----------
    id
        Id of the target, unique in the deployment.
    incarnation
        Increases at each start of the target.
    address
        IP number and port.
    failure_domain
        Failure domain of the target's instance.
    services
        Names of the services that it runs.
    slots
        Requests that it runs at once.
    """

    id: str
    incarnation: int
    address: str
    failure_domain: str
    services: tuple[str, ...]
    slots: int


class Announcer:
    """Announces a target, renews its lease, and withdraws it.

    Parameters
    ----------
    announcement
        The target.
    apis
        Addresses of the entries' API listeners; tried in turn.
    session
        HTTP client.
    """

    def __init__(
        self,
        announcement: Announcement,
        apis: typing.Sequence[str],
        session: aiohttp.ClientSession,
    ):
        self._announcement = announcement
        self._apis = itertools.cycle(apis)
        self._attempts = len(apis)
        self._session = session
        self._draining = False

    async def run(self) -> None:
        """Announce the target and renew its lease until cancelled.

        Notes
        -----
        A renewal that is refused, because the lease ended or control lost its
        state, is followed by a new announcement. A refused renewal of a target
        that drains announces the drain again as well.
        """
        renewal_s = await self._announce_until_accepted()
        while True:
            await asyncio.sleep(renewal_s)
            status, _ = await self._send("/renew")
            if status in (HTTP_NOT_FOUND, HTTP_CONFLICT):
                renewal_s = await self._announce_until_accepted()
                if self._draining:
                    await self.drain()

    async def drain(self) -> bool:
        """Announce the drain; tell whether an entry accepted it."""
        self._draining = True
        status, _ = await self._send("/drain")
        return status in HTTP_OK

    async def withdraw(self) -> bool:
        """Withdraw the target; tell whether an entry accepted it."""
        status, _ = await self._send("/withdraw")
        return status in HTTP_OK

    async def _announce_until_accepted(self) -> float:
        while True:
            status, reply = await self._send("")
            if status in HTTP_OK:
                return float(reply.get("renew_s", DEFAULT_RENEWAL_S))
            logger.warning(f"target: announcement answered {status}")
            await asyncio.sleep(RETRY_S)

    async def _send(self, operation: str) -> tuple[int, dict[str, typing.Any]]:
        """Send to the entries in turn until one gives a definite response."""
        path = f"/{self._announcement.id}{operation}" if operation else ""
        if operation:
            body = {"incarnation": self._announcement.incarnation}
        else:
            body = msgspec.to_builtins(self._announcement)
        status, reply = 0, {}
        for _ in range(self._attempts):
            url = f"http://{next(self._apis)}/v1/targets{path}"
            status, reply = await self._post(url, body)
            if status in HTTP_OK or status in (HTTP_CONFLICT, HTTP_NOT_FOUND):
                break
        return status, reply

    async def _post(
        self, url: str, body: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self._session.post(url, json=body, timeout=timeout) as resp:
                data = await resp.read()
                return resp.status, msgspec.json.decode(data) if data else {}
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            logger.debug(f"target: {url} failed: {exc!r}")
            return 0, {}
