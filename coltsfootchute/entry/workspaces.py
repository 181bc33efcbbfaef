"""Workspaces of calls: look-up of the caller's key before each send."""

import aiohttp.web

from coltsfootchute import declarations, settings, verdicts
from coltsfootchute.entry import metrics, pools, requests, watches

__all__ = ["MAX_REFUSAL_AGE_S", "Checker"]

# Maximum age of the view by which a request is refused as unknown. It is below the time
# in which an accepted change has to be in force, and above the interval of proofs.
MAX_REFUSAL_AGE_S = 1.5


class Checker:
    """Looks up the workspaces of calls by the keys of their callers.

    Parameters
    ----------
    view
        View of the replicated state.
    meters
        Metrics.
    names
        Names of headers.

    Notes
    -----
    Neither the key nor its digest is part of an error or a log line. If the settings
    name no header for keys, requests that need a key are refused.
    """

    def __init__(
        self,
        view: watches.View,
        meters: metrics.Metrics,
        names: settings.HeaderSettings,
    ):
        self._view = view
        self._meters = meters
        self._name = names.credential

    def find(
        self,
        routes: declarations.RouteTable,
        route: declarations.Route,
        request: aiohttp.web.BaseRequest,
    ) -> declarations.Workspace | None:
        """Return the workspace of a request, or None if it needs none and has none.

        Raises
        ------
        RefusedError
            If the route needs a key, and the request has no known one.
        """
        if routes.workspaces is None:
            return None
        values = request.headers.getall(self._name, ()) if self._name else ()
        workspace = None
        if len(values) > 1:
            outcome = "repeated"
        elif not values or not values[0]:
            outcome = "missing"
        else:
            workspace = routes.workspaces.find(values[0])
            outcome = "unknown" if workspace is None else "known"
        self._meters.key_checks.labels(outcome).inc()
        if workspace is None and not route.public:
            detail = f"the route needs a key, and the key is {outcome}"
            raise requests.refused(verdicts.Reason.UNKNOWN_KEY, detail)
        return workspace

    async def renew(self, call: requests.Call) -> verdicts.Refusal | None:
        """Look up the workspace of a call again, right before the call is sent.

        Returns
        -------
        verdicts.Refusal or None
            Why the call may no longer be sent; None if it may be.

        Notes
        -----
        Without a change of the declaration, the result of the last look-up holds. A
        key is refused as removed only by a recent view.
        """
        if call.routes is None or call.routes is self._view.routes:
            return None
        oldest_proof_at = watches.clock() - MAX_REFUSAL_AGE_S
        try:
            self._renew(call)
        except pools.RefusedError:
            if not await self._view.wait_for_proof(oldest_proof_at):
                detail = "the key is not known, and control does not prove this"
                return verdicts.Refusal(
                    verdicts.Verdict.NOT_RUN, verdicts.Reason.STALE, detail
                )
        else:
            return None
        try:
            self._renew(call)
        except pools.RefusedError as exc:
            self._meters.key_checks.labels("removed").inc()
            return exc.refusal
        return None

    def _renew(self, call: requests.Call) -> None:
        routes = self._view.routes
        if routes is None:
            return
        host = call.request.headers.get("Host", "")
        # A call whose route was removed is still served under that route.
        route = routes.match(host, call.path) or call.route
        call.workspace = self.find(routes, route, call.request)
        call.routes, call.route = routes, route
