"""State of a call, with the request of the caller."""

import collections.abc
import uuid

import aiohttp
import aiohttp.web
import multidict

from coltsfootchute import balancing, declarations, sections, settings, verdicts
from coltsfootchute.declarations import routes
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
# Responses up to this size are received completely before any part is sent on.
BUFFERED_RESPONSE_BYTES = 1 << 18
# Deadline of a request if neither the caller nor the route sets one.
DEFAULT_DEADLINE_MS = 30_000
# Highest priority of a rule, for routes whose declared priority is 0.
MAX_PRIORITY = routes.MAX_PRIORITY
KEY_CHARS = 36


def refused(
    reason: verdicts.Reason,
    detail: str = "",
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
) -> pools.RefusedError:
    """Return the error for a request that the entry refuses."""
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
        would run another path than the one that was matched against the rules.

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
        would run another path than the one that was matched against the rules.
    """
    path, _, query = raw.partition("?")
    if not path.startswith("/"):
        raise refused(verdicts.Reason.BAD_REQUEST, "the request target is not a path")
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
    """Return the rule that applies to the requests of a declared route."""
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
        priority=MAX_PRIORITY - routes.rank(route.priority),
        hedge=repeatable and route.attempts > 1,
        max_body_bytes=limits.max_body_bytes,
        replay_bytes=REPLAY_BYTES,
        attempts=route.attempts,
        objective_ms=objective_ms,
        whole_bytes=BUFFERED_RESPONSE_BYTES,
    )


def parse_key(headers: multidict.CIMultiDictProxy[str]) -> bytes:
    """Return the idempotency key of a request.

    Raises
    ------
    RefusedError
        If the header is missing, or is not a single UUIDv7.
    """
    values = headers.getall(verdicts.KEY_HEADER, [])
    if not values:
        raise refused(
            verdicts.Reason.KEY_REQUIRED, "an Idempotency-Key header is required"
        )
    malformed = refused(verdicts.Reason.KEY_MALFORMED, "the key is not a single UUIDv7")
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
        "_earlier_wait_s",
        "admission",
        "attempts",
        "body",
        "claim",
        "crash_digests",
        "deadline",
        "headers",
        "is_body_consumed",
        "is_declared",
        "keep_alive",
        "loads",
        "may_retry",
        "names",
        "path",
        "phase",
        "query",
        "request",
        "requested_deadline",
        "route",
        "routes",
        "rule",
        "service",
        "started_s",
        "target_line",
        "tried_target_ids",
        "workspace",
    )

    def __init__(
        self,
        request: aiohttp.web.BaseRequest,
        service: pools.Service,
        rule: sections.Rule,
        path_query: tuple[str, str],
        now: float,
        *,
        names: settings.HeaderSettings,
        is_declared: bool = False,
        workspace: declarations.Workspace | None = None,
        routes: declarations.RouteTable | None = None,
        route: declarations.Route | None = None,
    ):
        self.request = request
        # Whether the rule comes from a route of the declaration.
        self.is_declared = is_declared
        # The caller's workspace; None if it has none.
        self.workspace = workspace
        # The routes by which the workspace was looked up, and the one of the call.
        self.routes = routes
        self.route = route
        # Admission under the limit of the workspace; None if it has none.
        self.admission: balancing.allotments.Decision | None = None
        self.names = names
        self.service = service
        self.rule = rule
        self.path, self.query = path_query
        headers = request.headers
        self.started_s = now
        requested_ms = _number(headers, names.deadline, 0)
        longest_ms = service.record_deadline(rule.name, requested_ms)
        self._earlier_wait_s = (
            (longest_ms - requested_ms) / 1000 if requested_ms else 0.0
        )
        self.requested_deadline = now + _deadline_s(headers, names.deadline, rule)
        # Earlier than `requested_deadline` if the entry stops before that.
        self.deadline = self.requested_deadline
        depth = _number(headers, verdicts.DEPTH_HEADER, 0)
        if depth > MAX_DEPTH:
            raise refused(
                verdicts.Reason.TOO_DEEP,
                f"calls are nested {depth} deep; the limit is {MAX_DEPTH}",
            )
        self.may_retry = _number(headers, verdicts.ATTEMPTS_HEADER, 1) > 0
        self.headers = _forwarded_headers(headers, None if is_declared else depth)
        target = "?".join(part for part in path_query if part)
        self.target_line = f"{request.method} {target} HTTP/1.1"
        self.body = attempts.Body(b"", None)
        self.is_body_consumed = False
        self.phase = phases.Phase.WAITING
        self.attempts: list[attempts.Attempt] = []
        self.tried_target_ids: list[str] = []
        # Load of each tried target as known at its selection, for the log.
        self.loads: list[str] = []
        self.claim: tuple[bytes, bytes] | None = None
        # Set by `digests.crash_digests`.
        self.crash_digests: tuple[bytes, bytes] | None = None
        self.keep_alive = False

    @property
    def rank(self) -> tuple[int, int]:
        """Priorities of the workspace and of the rule; the lowest is served first.

        A workspace without a priority ranks as the rule does.
        """
        rule_rank = MAX_PRIORITY - self.rule.priority
        workspace = self.workspace
        if workspace is None or workspace.priority is None:
            return rule_rank, rule_rank
        return workspace.priority, rule_rank

    @property
    def is_answering(self) -> bool:
        """Whether the entry may have begun to write the answer."""
        return self.phase is phases.Phase.ANSWERING

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run."""
        return any(a.written and not a.was_shed for a in self.attempts)

    @property
    def verdict(self) -> verdicts.Verdict:
        """The verdict of a call that ends now without a response."""
        if self.may_have_run:
            return verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Verdict.NOT_RUN

    @property
    def can_resend(self) -> bool:
        """Whether the body can be sent again."""
        return not self.is_body_consumed

    @property
    def can_hedge(self) -> bool:
        """Whether a second attempt may run at the same time."""
        rule = self.rule
        is_buffered = (
            self.body.rest is None and len(self.tried_target_ids) + 1 < rule.attempts
        )
        return rule.hedge and rule.repeatable and self.may_retry and is_buffered

    @property
    def request_id(self) -> tuple[str, str] | None:
        """Name and value of the header that identifies the request, if it has one."""
        return request_id_of(self.request, self.names)

    @property
    def has_attempts_left(self) -> bool:
        """Whether the rule allows an attempt at another target."""
        return len(self.tried_target_ids) < self.rule.attempts

    def age_s(self, now: float) -> float:
        """Return how many seconds the caller has waited, including earlier requests.

        A caller that retries sends a shorter deadline than with its first request.
        """
        return now - self.started_s + self._earlier_wait_s

    def hedge_delay(self, now: float) -> float | None:
        """Return the delay of a hedge in seconds, or None for no hedge."""
        pool = self.service.pool
        remaining_s = None
        if self.rule.objective_ms is not None:
            remaining_s = self.rule.objective_ms / 1000 - self.age_s(now)
        return balancing.hedges.early_delay_s(
            pool.typical_response_s, remaining_s, pool.hedge_delay(now)
        )

    def attempt_headers(self, now: float, target_id: str) -> multidict.CIMultiDict[str]:
        """Return the headers for one attempt at a target."""
        headers = self.headers.copy()
        remaining_ms = max(1, int((self.deadline - now) * 1000))
        headers[self.names.deadline] = str(remaining_ms)
        if self.names.expected_target is not None:
            headers[self.names.expected_target] = target_id
        if self.routes is not None and self.routes.workspaces is not None:
            headers.popall(self.names.workspace, None)
            if self.names.credential is not None:
                headers.popall(self.names.credential, None)
            if self.workspace is not None:
                headers[self.names.workspace] = self.workspace.name
        if not self.rule.repeatable:
            headers["Connection"] = "close"
        return headers


async def read_body(call: Call) -> attempts.Body:
    """Read the body of the request, up to the size that can be replayed.

    Raises
    ------
    RefusedError
        If the body is larger than the rule allows; nothing was sent to a target.
    """
    request, rule = call.request, call.rule
    if not request.body_exists:
        return attempts.Body(b"", None)
    length = request.content_length
    if length is not None and length > rule.max_body_bytes:
        raise refused(verdicts.Reason.BODY_TOO_LARGE, _too_large_detail(rule))
    if request.headers.get("Expect", "").lower() == "100-continue":
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    if length is not None and length > rule.replay_bytes:
        return attempts.Body(b"", _unread_body(call, 0))
    parts: list[bytes] = []
    size = 0
    while size <= rule.replay_bytes:
        part = await request.content.readany()
        if not part:
            return _complete_body(call, b"".join(parts))
        parts.append(part)
        size += len(part)
        if size > rule.max_body_bytes:
            raise refused(verdicts.Reason.BODY_TOO_LARGE, _too_large_detail(rule))
    return attempts.Body(b"".join(parts), _unread_body(call, size))


def _complete_body(call: Call, body: bytes) -> attempts.Body:
    call.headers["Content-Length"] = str(len(body))
    return attempts.Body(body, None)


async def _unread_body(call: Call, size: int) -> collections.abc.AsyncIterator[bytes]:
    call.is_body_consumed = True
    content = call.request.content
    while part := await content.readany():
        size += len(part)
        if size > call.rule.max_body_bytes:
            raise attempts.AttemptError(
                verdicts.Verdict.MAY_HAVE_RUN,
                verdicts.Reason.BODY_TOO_LARGE,
                _too_large_detail(call.rule),
            )
        yield part


def _too_large_detail(rule: sections.Rule) -> str:
    return f"the body is larger than {rule.max_body_bytes} bytes"


def _deadline_s(
    headers: multidict.CIMultiDictProxy[str], name: str, rule: sections.Rule
) -> float:
    requested_ms = _number(headers, name, rule.deadline_ms)
    return min(requested_ms, rule.deadline_ms) / 1000


def _number(headers: multidict.CIMultiDictProxy[str], name: str, default: int) -> int:
    text = headers.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdecimal() and len(text) < 16):
        raise refused(verdicts.Reason.BAD_REQUEST, f"header {name} is not a number")
    return int(text)


def _forwarded_headers(
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
    """Return the load that a response reports, or None."""
    header = attempt.headers.get(names.load)
    if header is None:
        return None
    return balancing.loads.FORMATS[names.load_format](header)
