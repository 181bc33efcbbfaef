"""Client with which a stand-in target announces itself to the entries."""

import asyncio
import itertools
import typing

import aiohttp
import loguru
import msgspec

__all__ = ["Announcement", "Announcer"]

logger = loguru.logger

RETRY_INTERVAL_S = 0.3
REQUEST_TIMEOUT_S = 3.0
DEFAULT_RENEWAL_INTERVAL_S = 10.0
HTTP_OK = range(200, 300)
HTTP_CONFLICT = 409
HTTP_NOT_FOUND = 404


class Announcement(msgspec.Struct, frozen=True):
    """Body of the request by which a target announces itself.

    Parameters
    ----------
    id
        Id of the target, unique in the deployment.
    incarnation
        Number that increases with each start of the target.
    address
        IP number and port.
    failure_domain
        Failure domain of the target's instance.
    services
        Names of the services that the target runs.
    slots
        Maximum number of requests that the target runs at the same time.
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
        Fields of the target.
    apis
        Addresses of the entries' API listeners, used in turn.
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
        self._api_count = len(apis)
        self._session = session
        self._draining = False

    async def run(self) -> None:
        """Announce the target and renew its lease until cancelled.

        Notes
        -----
        A renewal is refused if the lease has expired or control has lost its
        state. The target is then announced again. If it was draining, the drain
        is announced again as well.
        """
        renewal_interval_s = await self._announce_until_accepted()
        while True:
            await asyncio.sleep(renewal_interval_s)
            status, _ = await self._send("/renew")
            if status in (HTTP_NOT_FOUND, HTTP_CONFLICT):
                renewal_interval_s = await self._announce_until_accepted()
                if self._draining:
                    await self.drain()

    async def drain(self) -> bool:
        """Announce the drain and return whether an entry accepted it."""
        self._draining = True
        status, _ = await self._send("/drain")
        return status in HTTP_OK

    async def withdraw(self) -> bool:
        """Withdraw the target and return whether an entry accepted it."""
        status, _ = await self._send("/withdraw")
        return status in HTTP_OK

    async def _announce_until_accepted(self) -> float:
        while True:
            status, reply = await self._send("")
            if status in HTTP_OK:
                return float(reply.get("renew_s", DEFAULT_RENEWAL_INTERVAL_S))
            logger.warning(
                f"target: announcement of {self._announcement.id} not accepted: "
                f"HTTP status {status} (0: no response)"
            )
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _send(self, operation: str) -> tuple[int, dict[str, typing.Any]]:
        """Send a request to the entries in turn until one accepts or refuses it."""
        path = f"/{self._announcement.id}{operation}" if operation else ""
        if operation:
            body = {"incarnation": self._announcement.incarnation}
        else:
            body = msgspec.to_builtins(self._announcement)
        status, reply = 0, {}
        for _ in range(self._api_count):
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
            logger.debug(f"target: POST {url} failed: {exc!r}")
            return 0, {}
