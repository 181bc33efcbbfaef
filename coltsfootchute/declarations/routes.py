"""Matching of requests to routes, and the distribution over shares."""

import bisect
import collections
import itertools

from coltsfootchute.declarations import schemas

__all__ = ["RouteTable"]


# The fractional part of the golden ratio: multiples of it, modulo 1, are spread
# evenly over the unit interval.
GOLDEN = 0.6180339887498949


class _Split:
    """Distributes requests over shares in proportion to their weights.

    Notes
    -----
    Points of a sequence with low discrepancy select a share by its part of the
    unit interval, so short runs are close to the weights. A random start keeps
    entries that begin together from taking the same turns. O(shares).
    """

    __slots__ = ("_edges", "_point", "_shares")

    def __init__(self, shares: list[schemas.Share], phase: float):
        total = sum(share.weight for share in shares)
        self._shares = shares
        self._edges = list(itertools.accumulate(s.weight / total for s in shares))
        self._point = phase

    def next(self) -> str:
        self._point = (self._point + GOLDEN) % 1.0
        position = bisect.bisect_right(self._edges, self._point)
        return self._shares[min(position, len(self._shares) - 1)].service


class RouteTable:
    """The compiled routes of a declaration.

    Parameters
    ----------
    declaration
        The declaration in force.
    phase
        Where the turns of weighted shares start, 0 to 1.

    Notes
    -----
    A request costs one look-up for each slash in its path.
    """

    def __init__(self, declaration: schemas.Declaration, phase: float = 0.0):
        self.declaration = declaration
        self._hosts: dict[str, dict[str, schemas.Route]] = collections.defaultdict(dict)
        self._splits: dict[tuple[str, str], _Split] = {}
        for route in declaration.routes:
            host = route.host.lower()
            self._hosts[host][route.prefix] = route
            if len(route.shares) > 1:
                self._splits[host, route.prefix] = _Split(route.shares, phase)

    def match(self, host: str, path: str) -> schemas.Route | None:
        """Return the route with the longest prefix of a path.

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
        prefixes = self._hosts.get(_name(host))
        if prefixes is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None

    def service_of(self, route: schemas.Route) -> str:
        """Return the service for the next request of a route."""
        split = self._splits.get((route.host.lower(), route.prefix))
        return route.shares[0].service if split is None else split.next()


def _name(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return (name if separator and port.isdecimal() else host).lower()
