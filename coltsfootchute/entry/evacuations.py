"""Handlers of the `api` listener that start, end and list evacuations."""

import typing

import aiohttp.web
import msgspec

from coltsfootchute.entry import descriptions, operations
from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["Handlers"]


class Handlers:
    """Handlers of evacuations.

    Parameters
    ----------
    ops
        Commits the changes.
    own_instance
        Returns the description of this instance with its current state.
    """

    def __init__(
        self,
        ops: operations.Operations,
        own_instance: typing.Callable[[], coltsfootchute_pb2.Instance],
    ):
        self._operations = ops
        self._own_instance = own_instance

    def add_routes(self, router: aiohttp.web.UrlDispatcher) -> None:
        """Add the routes of the handlers."""
        path = "/v1/failure-domains/{name}/evacuation"
        router.add_get("/v1/evacuations", self.read)
        router.add_put(path, self.start)
        router.add_delete(path, self.end)

    async def read(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Return the evacuations that this entry applies."""
        found = _describe(self._operations.evacuations())
        instance = self._own_instance()
        return _json({**found, "revision": instance.revision, "stale": instance.stale})

    async def start(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Start the evacuation of a failure domain."""
        return await self._change(request, ended=False)

    async def end(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """End the evacuation of a failure domain."""
        return await self._change(request, ended=True)

    async def _change(
        self, request: aiohttp.web.Request, *, ended: bool
    ) -> aiohttp.web.Response:
        name = request.match_info["name"]
        try:
            outcome = await self._operations.evacuate(name, ended=ended)
        except operations.UnknownDomainError as exc:
            body = {"error": "no_failure_domain", "detail": str(exc)}
            return _json({**body, "failure_domains": exc.known}, 404)
        return _json({"applied": outcome.applied, **_describe(outcome.in_force)})


def _describe(
    evacuations: typing.Iterable[coltsfootchute_pb2.Evacuation],
) -> dict[str, typing.Any]:
    described = [descriptions.describe_evacuation(item) for item in evacuations]
    return {"evacuations": described}


def _json(body: typing.Any, status: int = 200) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )
