"""Matching of requests to routes, and their distribution over services."""

import bisect
import collections
import itertools

from coltsfootchute.declarations import schemas, workspaces

__all__ = ["MAX_PRIORITY", "RouteTable", "rank"]


# The fractional part of the golden ratio: its multiples, modulo 1, are distributed
# evenly over the unit interval.
GOLDEN_RATIO_FRACTION = 0.6180339887498949


# Routes with a larger priority rank as this one.
MAX_PRIORITY = 9


def rank(priority: int) -> int:
    """Return the rank of a route with this declared priority; 0 is served first."""
    return min(priority, MAX_PRIORITY)


class _WeightedSelector:
    """Selects services in proportion to the weights of their shares.

    Notes
    -----
    Each share has a part of the unit interval in proportion to its weight, and the
    points of a low-discrepancy sequence select a share, so that short runs are close
    to the weights. With random starting points, entries that start together do not
    select the same services in the same order. O(shares).
    """

    __slots__ = ("_point", "_shares", "_upper_ends")

    def __init__(self, shares: list[schemas.Share], phase: float):
        total = sum(share.weight for share in shares)
        self._shares = shares
        self._upper_ends = list(itertools.accumulate(s.weight / total for s in shares))
        self._point = phase

    def next_service(self) -> str:
        self._point = (self._point + GOLDEN_RATIO_FRACTION) % 1.0
        position = bisect.bisect_right(self._upper_ends, self._point)
        return self._shares[min(position, len(self._shares) - 1)].service


class RouteTable:
    """The routes of a declaration, compiled for matching.

    Parameters
    ----------
    declaration
        The declaration in force.
    phase
        Starting point of the selection among weighted shares, 0 to 1.

    Notes
    -----
    Matching a request costs at most one look-up for each slash in its path.
    """

    def __init__(self, declaration: schemas.Declaration, phase: float = 0.0):
        self.declaration = declaration
        # None if callers need no keys.
        self.workspaces: workspaces.WorkspaceTable | None = None
        if declaration.workspaces is not None:
            self.workspaces = workspaces.WorkspaceTable(declaration.workspaces)
        self._hosts: dict[str, dict[str, schemas.Route]] = collections.defaultdict(dict)
        self._selectors: dict[tuple[str, str], _WeightedSelector] = {}
        # Ranks of the routes of each service.
        self.ranks: dict[str, set[int]] = collections.defaultdict(set)
        for route in declaration.routes:
            host = route.host.lower()
            self._hosts[host][route.prefix] = route
            for share in route.shares:
                self.ranks[share.service].add(rank(route.priority))
            if len(route.shares) > 1:
                self._selectors[host, route.prefix] = _WeightedSelector(
                    route.shares, phase
                )

    def match(self, host: str, path: str) -> schemas.Route | None:
        """Return the route whose prefix is the longest one that the path begins with.

        Parameters
        ----------
        host
            Value of the `Host` header, with or without a port.
        path
            Path without the query.

        Returns
        -------
        Route or None
            None if no route matches.

        Examples
        --------
        >>> from coltsfootchute import declarations
        >>> share = declarations.Share(service="s")
        >>> routes = [
        ...     declarations.Route(
        ...         name=p, host="h", prefix=p, guarantee="repeatable", shares=[share]
        ...     )
        ...     for p in ("/a/", "/a/b/")
        ... ]
        >>> table = declarations.RouteTable(
        ...     declarations.Declaration(version=1, services=[], routes=routes)
        ... )
        >>> table.match("H:80", "/a/b/c").name, table.match("h", "/a/x").name
        ('/a/b/', '/a/')
        >>> table.match("h", "/a") is None
        True
        """
        prefixes = self._hosts.get(_host_name(host))
        if prefixes is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None

    def select_service(self, route: schemas.Route) -> str:
        """Select the service for the next request of a route."""
        selector = self._selectors.get((route.host.lower(), route.prefix))
        return route.shares[0].service if selector is None else selector.next_service()


def _host_name(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return (name if separator and port.isdecimal() else host).lower()
