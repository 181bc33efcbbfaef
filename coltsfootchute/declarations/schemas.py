"""Schema and checks of declaration documents."""

import collections
import hashlib
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
    "Workspace",
    "check",
    "encode",
    "key_digest",
    "pack",
    "parse",
    "unpack",
]

Guarantee = typing.Literal["repeatable", "at_most_once"]
Text = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=1024)]
# Targets get the name in a header, which can't hold control characters.
WorkspaceName = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[^\x00-\x1f\x7f]+\Z", max_length=1024)
]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Rate = typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)]
KeyDigest = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
# Maximum number of keys of all workspaces together, which bounds the memory and the
# size of the document that each entry holds.
MAX_KEYS = 10_000


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
    slow_start_s
        Seconds for which a target is cold after its start, unless it states otherwise;
        0 if none is stated.
    ramp_per_s
        Requests per second that a cold target tolerates from all entries together; 0
        if no limit is stated.
    """

    name: Text
    health_path: str = "/"
    max_connections: Count = 0
    slow_start_s: typing.Annotated[float, msgspec.Meta(ge=0, le=86_400)] = 0.0
    ramp_per_s: Rate = 0.0


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
    public
        Whether requests need no key, where workspaces are declared.
    regions
        Regions whose targets may run the requests; empty for all. They are not
        enforced yet.
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
    public: bool = False
    regions: list[Text] = []


class Workspace(msgspec.Struct, frozen=True):
    """A group of callers that share keys, a rank and a limit on requests.

    Parameters
    ----------
    name
        Stated to targets, and used in logs and metrics.
    key_digests
        SHA-256 of each key in hexadecimal, as `key_digest` returns it.
    priority
        Rank before the priority of routes; 0 is served first. None if it is not
        stated.
    rate_per_s, burst
        Requests per second and beyond that at once, over all entries; a rate of 0 is
        no limit.
    regions
        As in `Route`.
    """

    name: WorkspaceName
    key_digests: list[KeyDigest] = []
    priority: Count | None = None
    rate_per_s: Rate = 0.0
    burst: Rate = 0.0
    regions: list[Text] = []


class Limits(msgspec.Struct, frozen=True):
    """Limits on what a caller may send, and on the time that it may take."""

    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 1 << 26
    header_timeout_s: Seconds = 5.0
    idle_timeout_s: Seconds = 60.0


class Declaration(msgspec.Struct, frozen=True):
    """All that the operator declares, with a version.

    Parameters
    ----------
    version
        The declaration with the highest version is in force.
    services, routes, limits
        See their types.
    workspaces
        Workspaces whose keys callers need; None if callers need no keys.
    """

    version: typing.Annotated[int, msgspec.Meta(ge=1, le=(1 << 63) - 1)]
    services: list[Service]
    routes: list[Route]
    limits: Limits = Limits()
    workspaces: list[Workspace] | None = None


_DECODER = msgspec.json.Decoder(Declaration)


def encode(declaration: Declaration) -> str:
    """Return a declaration as JSON text."""
    return msgspec.json.encode(declaration).decode()


def key_digest(key: str) -> str:
    r"""Return the digest by which a key is looked up.

    Notes
    -----
    Bytes of a header that are not UTF-8 are surrogates in its value. They are encoded
    as the same bytes, so that such a key has a digest too, which no workspace has.

    Examples
    --------
    >>> key_digest("a")[:8], key_digest("\udcff")[:8]
    ('ca978112', 'a8100ae6')
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


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
    yield from _workspace_problems(declaration.workspaces or [])


def _workspace_problems(
    workspaces: list[Workspace],
) -> typing.Iterator[tuple[str, str]]:
    names: set[str] = set()
    holders: dict[str, str] = {}
    for position, workspace in enumerate(workspaces):
        path = f"$.workspaces[{position}]"
        if workspace.name in names:
            yield f"{path}.name", f"workspace {workspace.name!r} is declared twice"
        names.add(workspace.name)
        for digest in workspace.key_digests:
            holder = holders.setdefault(digest, workspace.name)
            if holder != workspace.name:
                yield f"{path}.key_digests", f"workspace {holder!r} has the same key"
    if len(holders) > MAX_KEYS:
        reason = f"{len(holders)} keys; at most {MAX_KEYS} are allowed"
        yield "$.workspaces", reason
