"""Section documents: how the requests of one service may be treated."""

import typing

import msgspec

from coltsfootchute import errors
from coltsfootchute.settings import documents

__all__ = ["Queue", "Rule", "Section", "parse"]

MAX_RULES = 200
MAX_REPLAY_BYTES = 1 << 20

Percent = typing.Annotated[float, msgspec.Meta(ge=0, le=100)]
Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]*$", max_length=64)
]
Method = typing.Annotated[str, msgspec.Meta(pattern=r"^[A-Z]{1,16}$")]


class Queue(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits of the queue of requests that wait for a target.

    Parameters
    ----------
    length
        Maximum number of waiting requests at one entry.
    wait_ms
        Maximum wait in milliseconds.
    """

    length: typing.Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 64
    wait_ms: typing.Annotated[int, msgspec.Meta(ge=0, le=60_000)] = 200


class Rule(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How one kind of request may be treated.

    Parameters
    ----------
    name
        Label of the rule in metrics and messages.
    methods
        HTTP methods in upper case.
    path
        Pattern; ``*`` matches one path segment, and a trailing ``**`` any remainder.
    repeatable
        Whether a request may run more than once.
    deadline_ms
        Maximum time to the complete response, in milliseconds.
    priority
        Priority from 0 (lowest) to 9 (highest).
    hedge
        Whether a second attempt may start before the first one has failed.
    key
        Whether an idempotency key is required; only for rules that aren't repeatable.
    max_body_bytes
        Maximum size of a request body.
    replay_bytes
        Maximum size of a request body that is kept for another attempt.
    attempts
        Maximum number of targets to which one request may be sent.
    objective_ms
        Time within which a response is most useful to the caller, in milliseconds;
        None if it is not stated.
    whole_bytes
        Maximum size of a response that the entry reads completely before it forwards
        any of it, so that an incomplete response can be replaced.
    """

    name: Name
    methods: typing.Annotated[list[Method], msgspec.Meta(min_length=1)]
    path: typing.Annotated[str, msgspec.Meta(pattern=r"^/", max_length=512)]
    repeatable: bool
    deadline_ms: typing.Annotated[int, msgspec.Meta(ge=1, le=600_000)]
    priority: typing.Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    hedge: bool = False
    key: typing.Literal["required", "none"] = "none"
    max_body_bytes: typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 34)] = 1 << 20
    replay_bytes: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_REPLAY_BYTES)] = (
        1 << 16
    )
    attempts: typing.Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1000
    objective_ms: typing.Annotated[int, msgspec.Meta(ge=1, le=600_000)] | None = None
    whole_bytes: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_REPLAY_BYTES)] = 0


class Section(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The section of one service.

    Parameters
    ----------
    rules
        Rules, in the order in which they are tried.
    policy
        Name of a policy in the registry of selection policies.
    measuring_budget_ms_per_s
        Probe time per target and second, summed over all entries, in milliseconds.
    retry_budget_percent
        Retries and hedges as a percentage of the requests.
    queue
        Limits of the queue.
    entries
        Number of entries that serve the callers of the service; None for all.
    entries_per_caller
        Number of addresses in a response to a caller that requests addresses.
    key_retention_s
        Seconds for which the claim of a key is kept, counted from the time in the key.
    when_stale
        What an entry does with repeatable requests while it can't prove that its
        state is current.
    """

    rules: typing.Annotated[
        list[Rule], msgspec.Meta(min_length=1, max_length=MAX_RULES)
    ]
    policy: str = "expected_wait"
    measuring_budget_ms_per_s: typing.Annotated[float, msgspec.Meta(ge=0, le=100)] = 0
    retry_budget_percent: Percent = 10
    queue: Queue = Queue()
    entries: typing.Annotated[int, msgspec.Meta(ge=2, le=1000)] | None = None
    entries_per_caller: typing.Annotated[int, msgspec.Meta(ge=2, le=8)] = 3
    key_retention_s: typing.Annotated[int, msgspec.Meta(ge=60, le=604_800)] = 3600
    when_stale: typing.Literal["serve", "refuse"] = "serve"


def parse(text: str, policies: typing.Collection[str] | None = None) -> Section:
    """Parse and check a section document.

    Parameters
    ----------
    text
        JSON with comments.
    policies
        Known policy names; not checked if None.

    Returns
    -------
    Section
        The checked section.

    Raises
    ------
    coltsfootchute.errors.DocumentError
        With the line or the path of each mistake.
    """
    section = documents.check(documents.decode(text), Section)
    problems = list(_problems(section, policies))
    if problems:
        raise errors.DocumentError(problems)
    return section


def _problems(
    section: Section, policies: typing.Collection[str] | None
) -> typing.Iterator[tuple[str, str]]:
    if policies is not None and section.policy not in policies:
        known = ", ".join(sorted(policies))
        yield "$.policy", f"unknown policy {section.policy!r}; known: {known}"
    seen: set[str] = set()
    for position, rule in enumerate(section.rules):
        path = f"$.rules[{position}]"
        if rule.name in seen:
            yield f"{path}.name", f"another rule has the name {rule.name!r}"
        seen.add(rule.name)
        yield from (
            (f"{path}.{field}", reason) for field, reason in _rule_problems(rule)
        )


def _rule_problems(rule: Rule) -> typing.Iterator[tuple[str, str]]:
    if "**" in rule.path.removesuffix("/**"):
        yield "path", "`**` is allowed only as the last segment"
    if rule.hedge and not rule.repeatable:
        yield "hedge", "a request that is not repeatable can't be hedged"
    if rule.repeatable and rule.key == "required":
        yield "key", "a repeatable request needs no key"
    if not rule.repeatable and rule.key != "required":
        yield "key", 'must be "required" for a request that is not repeatable'
