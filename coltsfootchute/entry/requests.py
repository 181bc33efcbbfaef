"""The caller's side of a call: what was asked, and the state of the call."""

import collections.abc
import hashlib
import uuid

import aiohttp
import aiohttp.web
import multidict

from coltsfootchute import balancing, declarations, sections, settings, verdicts
from coltsfootchute.balancing import quarantines
from coltsfootchute.entry import attempts, phases, pools

__all__ = [
    "Call",
    "check_path",
    "parse_key",
    "read_body",
    "refused",
    "request_id_of",
    "rule_of",
    "split_target",
]

MAX_DEPTH = 12
# Bodies up to this size can be sent to another target after a refused attempt.
REPLAY_BYTES = 1 << 20
# Responses up to this size are checked whole before the caller gets any of them.
WHOLE_BYTES = 1 << 18
# Waiting time of a request whose caller and route state none.
DEFAULT_DEADLINE_MS = 30_000
# Of the usual response time: when a response is late, and what a hedge needs.
HEDGE_AFTER = 1.15
HEDGE_ROOM = 1.1
# Largest priority of a rule, for a route of rank 0.
FIRST_PRIORITY = 9
KEY_CHARS = 36


def refused(
    reason: verdicts.Reason,
    detail: str = "",
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
) -> pools.RefusedError:
    """Return the error that refuses a request."""
    return pools.RefusedError(verdicts.Refusal(verdict, reason, detail))


def split_target(raw: str) -> tuple[str, str, str]:
    """Split a request target into service, path and query.

    Parameters
    ----------
    raw
        The target as received, such as ``/orders/items/1?full=1``.

    Returns
    -------
    tuple of str
        Service name, path with its leading slash, and query without ``?``.

    Raises
    ------
    RefusedError
        If it is not a path, or has dot segments. A target that resolves them
        would run another path than the one that the rule was chosen for.

    Examples
    --------
    >>> split_target("/orders/items/1?full=1")
    ('orders', '/items/1', 'full=1')
    """
    path, query = check_path(raw)
    service, _, rest = path[1:].partition("/")
    return service, "/" + rest, query


def check_path(raw: str) -> tuple[str, str]:
    """Split a request target into path and query.

    Raises
    ------
    RefusedError
        If it is not a path, or has dot segments. A target that resolves them
        would run another path than the one that the rule was chosen for.
    """
    path, _, query = raw.partition("?")
    if not path.startswith("/"):
        raise refused(verdicts.Reason.BAD_REQUEST, "the request target is no path")
    lower = path.lower()
    if "/." in lower or "%2e" in lower or "%2f" in lower or "\\" in lower:
        segments = lower.replace("%2e", ".").replace("%2f", "/").replace("\\", "/")
        if {".", ".."} & set(segments.split("/")):
            raise refused(verdicts.Reason.BAD_REQUEST, "the path has dot segments")
    return path, query


def request_id_of(
    request: aiohttp.web.BaseRequest, names: settings.HeaderSettings
) -> tuple[str, str] | None:
    """Return name and value of the header that identifies a request."""
    name = names.request_id
    value = request.headers.get(name) if name else None
    return None if value is None else (name, value)


def rule_of(route: declarations.Route, limits: declarations.Limits) -> sections.Rule:
    """Return the rule by which the requests of a route are treated."""
    repeatable = route.guarantee == "repeatable"
    objective_ms = None
    if route.objective_s is not None:
        objective_ms = max(1, int(route.objective_s * 1000))
    deadline_ms = DEFAULT_DEADLINE_MS
    if route.timeout_s is not None:
        deadline_ms = max(1, int(route.timeout_s * 1000))
    return sections.Rule(
        name=route.name,
        methods=[],
        path=route.prefix,
        repeatable=repeatable,
        deadline_ms=deadline_ms,
        priority=max(0, FIRST_PRIORITY - route.priority),
        hedge=repeatable and route.attempts > 1,
        max_body_bytes=limits.max_body_bytes,
        replay_bytes=REPLAY_BYTES,
        attempts=route.attempts,
        objective_ms=objective_ms,
        whole_bytes=WHOLE_BYTES,
    )


def parse_key(headers: multidict.CIMultiDictProxy[str]) -> bytes:
    """Return the idempotency key of a request.

    Raises
    ------
    RefusedError
        If there is none, or it is not one UUIDv7.
    """
    values = headers.getall(verdicts.KEY_HEADER, [])
    if not values:
        raise refused(verdicts.Reason.KEY_REQUIRED, "needs an Idempotency-Key header")
    malformed = refused(verdicts.Reason.KEY_MALFORMED, "the key is not one UUIDv7")
    text = values[0].strip().strip('"')
    if len(values) != 1 or len(text) != KEY_CHARS:
        raise malformed
    try:
        key = uuid.UUID(text)
    except ValueError:
        raise malformed from None
    if str(key) != text.lower() or key.version != 7:
        raise malformed
    return key.bytes


class Call:
    """State of one call.

    Notes
    -----
    `attempts` holds every attempt, so that the verdict is known even if the call
    is cancelled while an attempt is under way.
    """

    __slots__ = (
        "_names",
        "_waited_before_s",
        "attempts",
        "body",
        "claim",
        "deadline",
        "digest",
        "headers",
        "is_body_used",
        "is_declared",
        "keep_alive",
        "loads",
        "may_retry",
        "path",
        "phase",
        "query",
        "request",
        "requested_deadline",
        "rule",
        "service",
        "started_s",
        "target_line",
        "tried_target_ids",
    )

    def __init__(
        self,
        request: aiohttp.web.BaseRequest,
        service: pools.Service,
        rule: sections.Rule,
        place: tuple[str, str],
        now: float,
        *,
        names: settings.HeaderSettings,
        is_declared: bool = False,
    ):
        self.request = request
        # Whether the rule comes from a route of the declaration.
        self.is_declared = is_declared
        self._names = names
        self.service = service
        self.rule = rule
        self.path, self.query = place
        headers = request.headers
        self.started_s = now
        asked_ms = _number(headers, names.deadline, 0)
        full_ms = service.longest_deadline(rule.name, asked_ms)
        self._waited_before_s = (full_ms - asked_ms) / 1000 if asked_ms else 0.0
        self.requested_deadline = now + _deadline_s(headers, names.deadline, rule)
        # Earlier than the stated one if the entry stops before it.
        self.deadline = self.requested_deadline
        depth = _number(headers, verdicts.DEPTH_HEADER, 0)
        if depth > MAX_DEPTH:
            raise refused(verdicts.Reason.TOO_DEEP, f"calls are nested {depth} deep")
        self.may_retry = _number(headers, verdicts.ATTEMPTS_HEADER, 1) > 0
        self.headers = _forwarded(headers, None if is_declared else depth)
        target = "?".join(part for part in place if part)
        self.target_line = f"{request.method} {target} HTTP/1.1"
        self.body = attempts.Body(b"", None)
        self.is_body_used = False
        self.phase = phases.Phase.WAITING
        self.attempts: list[attempts.Attempt] = []
        self.tried_target_ids: list[str] = []
        # What was known of the load of each tried target, for the log.
        self.loads: list[str] = []
        self.claim: tuple[bytes, bytes] | None = None
        self.digest: bytes | None = None
        self.keep_alive = False

    @property
    def is_answering(self) -> bool:
        """Whether the answer may have begun."""
        return self.phase is phases.Phase.ANSWERING

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run."""
        return any(a.written and not a.was_shed for a in self.attempts)

    @property
    def verdict(self) -> verdicts.Verdict:
        """The verdict if the call ends now without a response."""
        if self.may_have_run:
            return verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Verdict.NOT_RUN

    @property
    def can_repeat(self) -> bool:
        """Whether the body can be sent again."""
        return not self.is_body_used

    @property
    def can_hedge(self) -> bool:
        """Whether a second attempt may run at the same time."""
        rule = self.rule
        whole = (
            self.body.rest is None and len(self.tried_target_ids) + 1 < rule.attempts
        )
        return rule.hedge and rule.repeatable and self.may_retry and whole

    @property
    def request_id(self) -> tuple[str, str] | None:
        """Name and value of the header that identifies the request, if it has one."""
        return request_id_of(self.request, self._names)

    @property
    def has_attempts(self) -> bool:
        """Whether another target may get the request."""
        return len(self.tried_target_ids) < self.rule.attempts

    def age_s(self, now: float) -> float:
        """Return for how long the caller has waited, earlier attempts included.

        A caller that comes back states a shorter deadline than at first.
        """
        return now - self.started_s + self._waited_before_s

    def hedge_delay(self, now: float) -> float | None:
        """Return after how many seconds to hedge; None for not at all.

        A hedge that starts late cannot meet the objective, and one that starts
        before the usual response time is wasted on most requests.
        """
        pool = self.service.pool
        if self.rule.objective_ms is None or pool.typical_response_s is None:
            return pool.hedge_delay(now)
        left_s = self.rule.objective_ms / 1000 - self.age_s(now)
        return max(
            pool.typical_response_s * HEDGE_AFTER,
            left_s - pool.typical_response_s * HEDGE_ROOM,
        )

    def attempt_headers(self, now: float, target_id: str) -> multidict.CIMultiDict[str]:
        """Return the headers for one attempt at a target."""
        headers = self.headers.copy()
        left_ms = max(1, int((self.deadline - now) * 1000))
        headers[self._names.deadline] = str(left_ms)
        if self._names.expected_target is not None:
            headers[self._names.expected_target] = target_id
        if not self.rule.repeatable:
            headers["Connection"] = "close"
        return headers

    def claim_digest(self) -> bytes:
        """Return the digest that tells requests with the same key apart.

        Notes
        -----
        It covers headers instead of the body, because the claim is made before
        the body has arrived.
        """
        headers = self.request.headers
        parts = [self.request.method, self.path, self.query]
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

    def crash_digest(self) -> bytes:
        """Return the crash digest; computed once."""
        if self.digest is None:
            whole = self.body.rest is None
            self.digest = quarantines.digest_of(
                self.service.pool.service,
                self.request.method,
                self.path,
                self.query,
                body=self.body.head if whole else None,
                length=self.request.content_length or 0,
                content_type=self.request.headers.get("Content-Type", ""),
            )
        return self.digest


async def read_body(call: Call) -> attempts.Body:
    """Read the caller's body as far as it is kept for replay.

    Raises
    ------
    RefusedError
        If the body is larger than the rule allows; nothing was sent yet.
    """
    request, rule = call.request, call.rule
    if not request.body_exists:
        return attempts.Body(b"", None)
    length = request.content_length
    if length is not None and length > rule.max_body_bytes:
        raise refused(verdicts.Reason.BODY_TOO_LARGE, _too_large(rule))
    if request.headers.get("Expect", "").lower() == "100-continue":
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    if length is not None and length > rule.replay_bytes:
        return attempts.Body(b"", _rest(call, 0))
    parts: list[bytes] = []
    size = 0
    while size <= rule.replay_bytes:
        part = await request.content.readany()
        if not part:
            return _whole(call, b"".join(parts))
        parts.append(part)
        size += len(part)
        if size > rule.max_body_bytes:
            raise refused(verdicts.Reason.BODY_TOO_LARGE, _too_large(rule))
    return attempts.Body(b"".join(parts), _rest(call, size))


def _whole(call: Call, body: bytes) -> attempts.Body:
    call.headers["Content-Length"] = str(len(body))
    return attempts.Body(body, None)


async def _rest(call: Call, size: int) -> collections.abc.AsyncIterator[bytes]:
    call.is_body_used = True
    content = call.request.content
    while part := await content.readany():
        size += len(part)
        if size > call.rule.max_body_bytes:
            raise attempts.AttemptError(
                verdicts.Verdict.MAY_HAVE_RUN,
                verdicts.Reason.BODY_TOO_LARGE,
                _too_large(call.rule),
            )
        yield part


def _too_large(rule: sections.Rule) -> str:
    return f"the body is larger than {rule.max_body_bytes} bytes"


def _deadline_s(
    headers: multidict.CIMultiDictProxy[str], name: str, rule: sections.Rule
) -> float:
    asked_ms = _number(headers, name, rule.deadline_ms)
    return min(asked_ms, rule.deadline_ms) / 1000


def _number(headers: multidict.CIMultiDictProxy[str], name: str, default: int) -> int:
    text = headers.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdecimal() and len(text) < 16):
        raise refused(verdicts.Reason.BAD_REQUEST, f"{name} is not a number")
    return int(text)


def _forwarded(
    headers: multidict.CIMultiDictProxy[str], depth: int | None
) -> multidict.CIMultiDict[str]:
    copied = multidict.CIMultiDict(headers)
    attempts.strip_hop_by_hop(copied)
    copied.popall("Expect", None)
    if depth is None:
        return copied
    copied[verdicts.DEPTH_HEADER] = str(depth + 1)
    # This entry retries, so nested calls must not: retries happen at one level.
    copied[verdicts.ATTEMPTS_HEADER] = "0"
    copied.add("Via", "1.1 coltsfootchute")
    return copied


def load_of(
    attempt: attempts.Attempt, names: settings.HeaderSettings
) -> balancing.LoadReport | None:
    """Return the load that a response reports."""
    header = attempt.headers.get(names.load)
    if header is None:
        return None
    return balancing.loads.FORMATS[names.load_format](header)
