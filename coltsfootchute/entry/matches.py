"""Matching of requests to declared routes and to the rules of sections."""

import aiohttp.web

from coltsfootchute import declarations, sections, settings, verdicts
from coltsfootchute.entry import pools, requests, watches, workspaces

__all__ = ["Matcher"]

# Reasons of a refusal that a newer view may remove.
_UNKNOWN_REASONS = frozenset(
    {
        verdicts.Reason.NO_SERVICE,
        verdicts.Reason.NO_RULE,
        verdicts.Reason.UNKNOWN_KEY,
    }
)


class Matcher:
    """Matches requests to routes of the declaration, or else to rules of sections.

    Parameters
    ----------
    view
        View of the replicated state.
    services
        Prepared services by name.
    names
        Names of headers.
    checker
        Looks up the workspaces of callers.
    """

    def __init__(
        self,
        view: watches.View,
        services: pools.Services,
        names: settings.HeaderSettings,
        checker: workspaces.Checker,
    ):
        self._view = view
        self._services = services.by_name
        self._names = names
        self._checker = checker

    async def match(
        self, request: aiohttp.web.BaseRequest, now: float
    ) -> requests.Call:
        """Return the call of a request.

        Parameters
        ----------
        request
            The request.
        now
            Seconds of the monotonic clock at which it arrived.

        Raises
        ------
        RefusedError
            If nothing matches, or the key is not known. A view that may be out of date
            does not show that the request is unknown, so this is stated only by a
            recent one.
        """
        oldest_proof_at = watches.clock() - workspaces.MAX_REFUSAL_AGE_S
        try:
            return self._match(request, now)
        except pools.RefusedError as exc:
            is_recent = self._view.proof_at >= oldest_proof_at
            if is_recent or exc.refusal.reason not in _UNKNOWN_REASONS:
                raise
        if not await self._view.wait_for_proof(oldest_proof_at):
            raise requests.refused(
                verdicts.Reason.STALE,
                "the route or the key is not known, and control does not prove this",
            )
        return self._match(request, now)

    def is_repeatable(self, request: aiohttp.web.BaseRequest) -> bool:
        """Return whether a known rule allows that a request runs more than once."""
        try:
            if self._view.routes is not None:
                route, _ = self._find_route(self._view.routes, request)
                return route.guarantee == "repeatable"
            _, rule, _ = self._find_rule(request)
            return rule.repeatable
        except pools.RefusedError:
            return False

    def _match(self, request: aiohttp.web.BaseRequest, now: float) -> requests.Call:
        routes = self._view.routes
        route = workspace = None
        if routes is None:
            service, rule, path_query = self._find_rule(request)
        else:
            route, path_query = self._find_route(routes, request)
            workspace = self._checker.find(routes, route, request)
            service = self._services[routes.select_service(route)]
            rule = requests.rule_of(route, routes.declaration.limits)
        return requests.Call(
            request,
            service,
            rule,
            path_query,
            now,
            names=self._names,
            is_declared=routes is not None,
            workspace=workspace,
            routes=routes,
            route=route,
        )

    def _find_rule(
        self, request: aiohttp.web.BaseRequest
    ) -> tuple[pools.Service, sections.Rule, tuple[str, str]]:
        """Return the service and the rule of a request, and its path and query."""
        if not self._view.rule_tables:
            raise requests.refused(
                verdicts.Reason.STALE, "the entry knows no declared service yet"
            )
        name, path, query = requests.split_target(request.raw_path)
        service = self._services.get(name)
        if service is None:
            raise requests.refused(verdicts.Reason.NO_SERVICE, f"no service {name!r}")
        rule = service.rule_table.match(request.method, path)
        if rule is None:
            detail = f"no rule of {name!r} matches {request.method} {path}"
            raise requests.refused(verdicts.Reason.NO_RULE, detail)
        return service, rule, (path, query)

    def _find_route(
        self, routes: declarations.RouteTable, request: aiohttp.web.BaseRequest
    ) -> tuple[declarations.Route, tuple[str, str]]:
        """Return the route of a request, and its path and query."""
        path_query = requests.check_path(request.raw_path)
        host = request.headers.get("Host", "")
        route = routes.match(host, path_query[0])
        if route is None:
            detail = f"no route of {host!r} matches {path_query[0]}"
            raise requests.refused(verdicts.Reason.NO_RULE, detail)
        return route, path_query
