"""Digests that identify equal requests, for claims and for crashes of targets."""

import collections.abc
import hashlib

from coltsfootchute import verdicts
from coltsfootchute.balancing import quarantines
from coltsfootchute.entry import requests

__all__ = ["claim_digest", "crash_digests"]

# Headers that are changed on the way, or that name one attempt of a caller.
_VARYING_HEADERS = {
    verdicts.KEY_HEADER,
    verdicts.DEPTH_HEADER,
    verdicts.ATTEMPTS_HEADER,
    "Traceparent",
    "Via",
}


def claim_digest(call: requests.Call) -> bytes:
    """Return the digest that distinguishes requests with the same key.

    Notes
    -----
    It covers headers instead of the body, because the claim is made before the body
    has arrived.
    """
    headers = call.request.headers
    parts = [call.request.method, call.path, call.query]
    parts += [
        "\0".join(headers.getall(name, ["-"]))
        for name in ("Content-Length", "Content-Type", "Content-Digest")
    ]
    hashed = hashlib.sha256()
    for part in parts:
        data = part.encode("utf-8", "surrogateescape")
        hashed.update(len(data).to_bytes(8, "big"))
        hashed.update(data)
    return hashed.digest()


def crash_digests(call: requests.Call) -> tuple[bytes, bytes]:
    """Return the digests under which crashes are counted; computed once for a call.

    Returns
    -------
    tuple of bytes
        The first one covers the request line and the body, the second one also the
        headers, without those that differ between equal requests.

    Notes
    -----
    If targets crash only on the requests of one caller, the responses to the same
    requests of other callers clear the first count, but not the second one.
    """
    if call.crash_digests is None:
        names = {call.names.deadline, call.names.request_id, *_VARYING_HEADERS}
        varying = {name.lower() for name in names if name}
        named = [(name.lower(), value) for name, value in call.headers.items()]
        headers = [pair for pair in named if pair[0] not in varying]
        call.crash_digests = _crash_digest(call), _crash_digest(call, headers)
    return call.crash_digests


def _crash_digest(
    call: requests.Call, headers: collections.abc.Iterable[tuple[str, str]] = ()
) -> bytes:
    is_buffered = call.body.rest is None
    return quarantines.digest_of(
        call.service.pool.service,
        call.request.method,
        call.path,
        call.query,
        body=call.body.head if is_buffered else None,
        length=call.request.content_length or 0,
        content_type=call.request.headers.get("Content-Type", ""),
        headers=headers,
    )
