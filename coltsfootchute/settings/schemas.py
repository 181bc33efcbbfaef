"""Schema and checks of the settings of one instance."""

import ipaddress
import itertools
import pathlib
import typing

import msgspec

from coltsfootchute import errors
from coltsfootchute.settings import documents

__all__ = [
    "MAX_CONTROL_MEMBERS",
    "ControlSettings",
    "EntrySettings",
    "HangSettings",
    "HeaderSettings",
    "InitialMember",
    "InstanceSettings",
    "LogSettings",
    "QuotaSettings",
    "RetrySettings",
    "SampleSettings",
    "Settings",
    "load",
    "parse",
]

MAX_CONTROL_MEMBERS = 8
MAX_PORT = 65535

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]*$", max_length=64)
]
Address = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
TokenHash = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class InstanceSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Name and failure domain of an instance."""

    name: Name
    failure_domain: Name


class InitialMember(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A control instance that is part of the cluster from the first start."""

    name: Name
    address: Address


class QuotaSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Tolerance of the limits on the requests of workspaces, over all entries.

    Within `window_s`, a workspace may run at most ``(rate_per_s * window_s + burst) *
    (1 + overage) + slack`` requests.

    Parameters
    ----------
    window_s
        Length of the sliding window in seconds.
    overage
        Fraction by which a limit may be exceeded.
    slack
        Further requests within the window.
    """

    window_s: typing.Annotated[float, msgspec.Meta(gt=0, le=3600)] = 5.0
    overage: typing.Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.1
    slack: typing.Annotated[float, msgspec.Meta(ge=0)] = 20.0


class ControlSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the control role.

    Parameters
    ----------
    peer
        IP address and port of the gRPC listener.
    data
        The data folder; a relative path is relative to the folder of the settings file.
    initial
        The control instances of the first start, with or without this one.
    may_form
        Whether this is the first start of the whole system, in which the initial
        instances form a cluster.
    election_s
        Minimum time in seconds without a leader before an election starts; must be
        the same for all instances.
    lease_s
        Seconds for which a target counts as alive after its last report.
    metrics
        IP address and port of the HTTP listener for metrics; None for no listener.
    quotas
        Tolerance of the limits on workspaces.
    tolerated_losses
        Number of control instances that may be lost at the same time, by default as
        many as the initial instances bear. An instance that stops or does not respond
        keeps its vote if the others would bear fewer losses without it.
    """

    peer: Address
    data: typing.Annotated[str, msgspec.Meta(min_length=1)]
    initial: typing.Annotated[
        list[InitialMember], msgspec.Meta(min_length=1, max_length=MAX_CONTROL_MEMBERS)
    ]
    may_form: bool = True
    election_s: typing.Annotated[float, msgspec.Meta(ge=0.1, le=60)] = 1.2
    lease_s: typing.Annotated[float, msgspec.Meta(ge=1, le=3600)] = 30.0
    metrics: Address | None = None
    quotas: QuotaSettings = QuotaSettings()
    tolerated_losses: (
        typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_CONTROL_MEMBERS)] | None
    ) = None

    def wanted_losses(self) -> int:
        """Return the number of control instances that may be lost at the same time."""
        if self.tolerated_losses is not None:
            return self.tolerated_losses
        return (len(self.initial) - 1) // 2


class HeaderSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Names of the headers that callers, entries and targets exchange.

    Parameters
    ----------
    deadline
        Milliseconds that a caller waits; forwarded with the remaining time.
    load, load_format
        Header with the load report of a target, and the name of its format in
        `balancing.loads.FORMATS`.
    request_id
        Id of a request, which targets echo; None if they do not.
    expected_target
        Id of the target for which a request is meant; another target refuses the
        request with status 421.
    seal
        Present in each complete successful response of a target; None if targets do
        not send it.
    not_run
        Present in the response of a target that did not run the request; None if
        targets send status 503 with the verdict header instead.
    leaving
        Has the value 1 in each response of a target that is leaving.
    target_id
        Id of the target in its responses to probes; None if targets do not send it.
    credential
        Key of a caller, which names its workspace and is never forwarded; None if
        callers have no keys.
    workspace
        Name of the caller's workspace, which the entry states to targets.
    cold
        Milliseconds for which a target is still slow after its start, in its responses
        to probes; None if targets do not send it.
    """

    deadline: str = "Coltsfootchute-Deadline-Ms"
    load: str = "endpoint-load-metrics"
    load_format: str = "orca"
    request_id: str | None = None
    expected_target: str | None = None
    seal: str | None = None
    not_run: str | None = None
    leaving: str = "Coltsfootchute-Draining"
    target_id: str | None = None
    credential: str | None = None
    workspace: str = "Coltsfootchute-Workspace"
    cold: str | None = None


class RetrySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limit on second attempts for the declared services, over all entries.

    Parameters
    ----------
    percent
        Second attempts as a percentage of the requests of a service, 0 to 100.
    burst
        Second attempts that all entries together may send beyond the percentage.
    """

    percent: typing.Annotated[float, msgspec.Meta(ge=0, le=100)] = 10.0
    burst: typing.Annotated[float, msgspec.Meta(ge=0)] = 100.0


class SampleSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Probes that an entry sends before a request of a declared service.

    Parameters
    ----------
    per_target_s
        Probes per second that all entries together send to a target; 0 for none.
    fan_out
        Number of targets that are probed before one request.
    wait_s
        Maximum time in seconds that a request waits for the replies to its probes.
    placement
        Rules by which a request waits for a target with free slots: by the objective
        alone, also with both slots of targets that have two, or also by rank and by the
        response times of its route.
    """

    per_target_s: typing.Annotated[float, msgspec.Meta(ge=0, le=1000)] = 0.0
    fan_out: typing.Annotated[int, msgspec.Meta(ge=1, le=16)] = 3
    wait_s: typing.Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.03
    placement: typing.Literal["whole_slots", "ranked", "objective"] = "whole_slots"


class HangSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """When a request of a declared service is overdue at its target.

    Parameters
    ----------
    factor
        Multiple of the 99th percentile of the service's response times; 0 to never
        regard a request as overdue.
    min_s
        Minimum age of an overdue request in seconds.
    """

    factor: typing.Annotated[float, msgspec.Meta(ge=0, le=1000)] = 0.0
    min_s: typing.Annotated[float, msgspec.Meta(gt=0, le=3600)] = 0.5


class EntrySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the entry role.

    Parameters
    ----------
    calls, api, peer
        IP addresses and ports of the listeners. Without `calls` the instance only
        serves operators, targets and callers that request addresses.
    directory
        A second address of the `api` listener.
    control
        Addresses of control instances.
    follow_members
        Whether to replace the control instances of the settings by those that the
        feed contains. The settings are then used at the start only.
    renew_s
        Seconds for which renewals of targets are collected if no target waits for the
        result. The sum of this time and the interval at which targets report must be
        well below the lease of a target.
    keep_s
        Seconds for which callers may keep a response with addresses.
    stop_s
        Maximum duration of a planned stop in seconds; None to wait as long as requests
        in progress take.
    retry_after_s
        Seconds after which a caller should resend a refused request.
    max_rest_s
        Longest time in seconds for which a target that answers 503 with `Retry-After`
        gets no requests.
    retries
        Limit on second attempts for declared services.
    samples
        Probes before requests of declared services.
    headers
        Names of headers.
    quotas
        Tolerance of the limits on workspaces.
    hangs
        When a request is overdue at its target, and the target hangs.
    operators
        SHA-256 of the token of each team, in hexadecimal; if None, the team header is
        trusted.
    """

    api: Address
    peer: Address
    control: typing.Annotated[list[Address], msgspec.Meta(min_length=1)]
    calls: Address | None = None
    directory: Address | None = None
    follow_members: bool = False
    renew_s: typing.Annotated[float, msgspec.Meta(ge=0.1, le=600)] = 5.0
    keep_s: typing.Annotated[float, msgspec.Meta(ge=0.1, le=300)] = 5.0
    stop_s: typing.Annotated[float, msgspec.Meta(ge=1, le=3600)] | None = None
    retry_after_s: typing.Annotated[float, msgspec.Meta(ge=0, le=60)] = 1.0
    max_rest_s: typing.Annotated[float, msgspec.Meta(ge=0, le=3600)] = 300.0
    retries: RetrySettings = RetrySettings()
    samples: SampleSettings = SampleSettings()
    headers: HeaderSettings = HeaderSettings()
    quotas: QuotaSettings = QuotaSettings()
    hangs: HangSettings = HangSettings()
    operators: dict[str, TokenHash] | None = None


class LogSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Format and minimum level of log lines."""

    format: typing.Literal["human", "json"] = "human"
    level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Settings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one instance with one role or both.

    Parameters
    ----------
    instance, control, entry, log
        Settings of the instance, of each role that it has, and of its log.
    metrics
        IP address and port at which the process serves the metrics of its roles; None
        for no listener.
    failure_domains
        Names of the failure domains that may be evacuated; empty if any may be.
    """

    instance: InstanceSettings
    control: ControlSettings | None = None
    entry: EntrySettings | None = None
    log: LogSettings = LogSettings()
    metrics: Address | None = None
    failure_domains: list[Name] = []


def parse(text: str) -> Settings:
    """Parse and check settings.

    Parameters
    ----------
    text
        JSON with comments.

    Returns
    -------
    Settings
        The checked settings.

    Raises
    ------
    coltsfootchute.errors.SettingsError
        With the line or the path of each mistake.
    """
    try:
        cfg = documents.check(documents.decode(text), Settings)
    except errors.DocumentError as exc:
        raise errors.SettingsError(exc.problems) from None
    problems = list(_problems(cfg))
    if problems:
        raise errors.SettingsError(problems)
    return cfg


def load(path: str | pathlib.Path) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path
        The file.

    Returns
    -------
    Settings
        The checked settings; the data folder is an absolute path.

    Raises
    ------
    coltsfootchute.errors.SettingsError
        If the file can't be read or has mistakes.
    """
    file = pathlib.Path(path)
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, "strerror", None) or "not UTF-8"
        raise errors.SettingsError([(str(path), reason)]) from None
    cfg = parse(text)
    if cfg.control is None:
        return cfg
    folder = file.resolve().parent / cfg.control.data
    control = msgspec.structs.replace(cfg.control, data=str(folder))
    return msgspec.structs.replace(cfg, control=control)


def _problems(cfg: Settings) -> typing.Iterator[tuple[str, str]]:
    if cfg.control is None and cfg.entry is None:
        yield "$", "needs `control`, `entry` or both"
    yield from (
        (path, reason)
        for path, address in _addresses(cfg)
        if (reason := _address_problem(address))
    )
    yield from _duplicates(_listeners(cfg), "the same address as")
    if cfg.control is not None:
        for field in ("name", "address"):
            values = [
                (f"$.control.initial[{position}].{field}", getattr(member, field))
                for position, member in enumerate(cfg.control.initial)
            ]
            yield from _duplicates(values, "the same as")


def _duplicates(
    values: list[tuple[str, str]], reason: str
) -> typing.Iterator[tuple[str, str]]:
    for (first, left), (second, right) in itertools.combinations(values, 2):
        if left == right and not left.endswith(":0"):
            yield second, f"{reason} {first}"


def _listeners(cfg: Settings) -> list[tuple[str, str]]:
    listeners = []
    if cfg.metrics is not None:
        listeners.append(("$.metrics", cfg.metrics))
    if cfg.control is not None:
        listeners.append(("$.control.peer", cfg.control.peer))
        if cfg.control.metrics is not None:
            listeners.append(("$.control.metrics", cfg.control.metrics))
    if cfg.entry is not None:
        listeners += [
            (f"$.entry.{field}", getattr(cfg.entry, field))
            for field in ("calls", "api", "peer", "directory")
            if getattr(cfg.entry, field) is not None
        ]
    return listeners


def _addresses(cfg: Settings) -> list[tuple[str, str]]:
    addresses = _listeners(cfg)
    if cfg.control is not None:
        addresses += [
            (f"$.control.initial[{position}].address", member.address)
            for position, member in enumerate(cfg.control.initial)
        ]
    if cfg.entry is not None:
        addresses += [
            (f"$.entry.control[{position}]", address)
            for position, address in enumerate(cfg.entry.control)
        ]
    return addresses


def _address_problem(address: str) -> str | None:
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdecimal() or int(port) > MAX_PORT:
        return f"{address!r} is not an IP address and a port, such as 127.0.0.1:8001"
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"{host!r} is not an IP address"
    return None
