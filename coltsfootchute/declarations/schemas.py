"""Schema and checks of declaration documents."""

import collections
import typing
import zlib

import msgspec

from coltsfootchute import errors

__all__ = [
    "Declaration",
    "Guarantee",
    "Limits",
    "Route",
    "Service",
    "Share",
    "check",
    "encode",
    "pack",
    "parse",
    "unpack",
]

Guarantee = typing.Literal["repeatable", "at_most_once"]
Text = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=1024)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86_400)]


class Service(msgspec.Struct, frozen=True):
    """A service that routes refer to.

    Parameters
    ----------
    name
        Name under which targets announce themselves for the service.
    health_path
        Path of the health check of the targets.
    max_connections
        Maximum number of connections that a target accepts from all entries
        together; 0 if no limit is stated.
    """

    name: Text
    health_path: str = "/"
    max_connections: Count = 0


class Share(msgspec.Struct, frozen=True):
    """The share of a route's requests that one service gets."""

    service: Text
    weight: typing.Annotated[float, msgspec.Meta(ge=0)] = 1


class Route(msgspec.Struct, frozen=True):
    """How requests to one host with one path prefix are treated.

    Parameters
    ----------
    name
        Label in logs and metrics.
    host
        Value of the `Host` header without a port.
    prefix
        Path prefix that begins and ends with a slash; the longest one that matches a
        path applies.
    guarantee
        Whether a request may run more than once.
    shares
        Services that get the requests, and their weights.
    timeout_s
        Maximum time to the final response, in seconds; None if only the caller's own
        deadline applies.
    objective_s
        Time within which a response is most useful to the caller, in seconds; None if
        it is not stated.
    priority
        Rank among the requests of a service; 0 is served first.
    attempts
        Maximum number of targets to which one request may be sent.
    """

    name: str
    host: Text
    prefix: typing.Annotated[str, msgspec.Meta(pattern="^/", max_length=2048)]
    guarantee: Guarantee
    shares: typing.Annotated[list[Share], msgspec.Meta(min_length=1, max_length=100)]
    timeout_s: Seconds | None = None
    objective_s: Seconds | None = None
    priority: Count = 0
    attempts: typing.Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1


class Limits(msgspec.Struct, frozen=True):
    """Limits on what a caller may send, and on the time that it may take."""

    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 1 << 26
    header_timeout_s: Seconds = 5.0
    idle_timeout_s: Seconds = 60.0


class Declaration(msgspec.Struct, frozen=True):
    """All services, routes and limits that the operator declares, with a version."""

    version: typing.Annotated[int, msgspec.Meta(ge=1, le=(1 << 63) - 1)]
    services: list[Service]
    routes: list[Route]
    limits: Limits = Limits()


_DECODER = msgspec.json.Decoder(Declaration)


def encode(declaration: Declaration) -> str:
    """Return a declaration as JSON text."""
    return msgspec.json.encode(declaration).decode()


def pack(text: str) -> bytes:
    """Return a document compressed in the zlib format.

    Examples
    --------
    >>> len(pack('{"host": "a"}' * 100)) < 100
    True
    >>> unpack(pack("text"))
    b'text'
    """
    return zlib.compress(text.encode())


def unpack(packed: bytes) -> bytes:
    """Return the document that `pack` compressed.

    Raises
    ------
    coltsfootchute.errors.DocumentError
        If the compressed data is damaged.
    """
    try:
        return zlib.decompress(packed)
    except zlib.error as exc:
        raise errors.DocumentError([("$", str(exc))]) from None


def parse(text: str | bytes) -> Declaration:
    """Parse and check a declaration.

    Parameters
    ----------
    text
        JSON text.

    Returns
    -------
    Declaration
        The checked declaration.

    Raises
    ------
    coltsfootchute.errors.DocumentError
        With the path and the reason of each mistake.
    """
    try:
        declaration = _DECODER.decode(text)
    except msgspec.ValidationError as exc:
        reason, _, path = str(exc).partition(" - at `")
        raise errors.DocumentError([(path.rstrip("`") or "$", reason)]) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.DocumentError([("$", str(exc))]) from None
    check(declaration)
    return declaration


def check(declaration: Declaration) -> None:
    """Check the rules that the field types do not express.

    Raises
    ------
    coltsfootchute.errors.DocumentError
        With the path and the reason of each mistake.
    """
    problems = list(_problems(declaration))
    if problems:
        raise errors.DocumentError(problems)


def _problems(declaration: Declaration) -> typing.Iterator[tuple[str, str]]:
    names = collections.Counter(service.name for service in declaration.services)
    for name, count in names.items():
        if count > 1:
            yield "$.services", f"service {name!r} is declared {count} times"
    prefixes = collections.Counter(
        (r.host.lower(), r.prefix) for r in declaration.routes
    )
    for (host, prefix), count in prefixes.items():
        if count > 1:
            yield "$.routes", f"route {host}{prefix} is declared {count} times"
    for position, route in enumerate(declaration.routes):
        path = f"$.routes[{position}]"
        if not route.prefix.endswith("/"):
            yield f"{path}.prefix", f"{route.prefix!r} does not end with a slash"
        for share in route.shares:
            if share.service not in names:
                yield f"{path}.shares", f"service {share.service!r} is not declared"
        if sum(share.weight for share in route.shares) <= 0:
            yield f"{path}.shares", "the weights add up to 0"
