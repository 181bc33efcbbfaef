"""Settings of one instance."""

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
    "HeaderSettings",
    "InitialMember",
    "InstanceSettings",
    "LogSettings",
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
    """What an instance is called and where it stands."""

    name: Name
    failure_domain: Name


class InitialMember(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One of the control instances of the first start."""

    name: Name
    address: Address


class ControlSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the control role.

    Parameters
    ----------
    peer
        IP address and port of the gRPC listener.
    data
        The data folder; a relative path counts from the settings file.
    initial
        The control instances of the first start, this one included or not.
    may_form
        Whether this is the first start of the whole system, in which the initial
        instances form a cluster.
    election_s
        Seconds without a leader after which an election starts at the earliest;
        all instances must have the same.
    lease_s
        Seconds after its last report for which a target counts as alive.
    metrics
        IP address and port of the HTTP listener for metrics, if wanted.
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


class HeaderSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Names of the headers that callers, entries and targets exchange.

    Parameters
    ----------
    deadline
        Milliseconds that a caller waits; forwarded with what is left.
    load, load_format
        Load report of a target, and its format in `balancing.loads.FORMATS`.
    request_id
        Id of a request, which a target echoes; None if targets do not.
    expected_target
        Id of the target that a request is meant for; another one refuses it with
        421.
    seal
        Stands on each complete success of a target; None if targets send none.
    not_run
        Stands on the response of a target that did not run the request; None for
        a 503 with the verdict header.
    """

    deadline: str = "Coltsfootchute-Deadline-Ms"
    load: str = "endpoint-load-metrics"
    load_format: str = "orca"
    request_id: str | None = None
    expected_target: str | None = None
    seal: str | None = None
    not_run: str | None = None


class RetrySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Bound on second attempts of the declared services, over all entries.

    Parameters
    ----------
    percent
        Second attempts over requests of a service, 0 to 100.
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
        Probes per target and second over all entries; 0 for none.
    fan_out
        Targets that are probed before one request.
    wait_s
        Seconds that a request waits for the answers.
    """

    per_target_s: typing.Annotated[float, msgspec.Meta(ge=0, le=1000)] = 0.0
    fan_out: typing.Annotated[int, msgspec.Meta(ge=1, le=16)] = 3
    wait_s: typing.Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.03


class EntrySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the entry role.

    Parameters
    ----------
    calls, api, peer
        IP addresses and ports of the listeners. Without `calls` the instance only
        answers operators, targets and callers that ask for addresses.
    directory
        A second address of the `api` listener.
    control
        Addresses of control instances.
    follow_members
        Whether to use the control instances that the feed names in place of those of
        the settings, which then matter at the start only.
    renew_s
        Seconds for which renewals of targets that nobody waits for are collected. With
        the interval at which targets report it must be well below their lease.
    keep_s
        Seconds for which callers may keep an address response.
    stop_s
        Seconds in which a planned stop must end; None for as long as requests in
        progress take.
    retry_after_s
        Seconds after which a refused caller should come back.
    retries
        Bound on second attempts for declared services.
    samples
        Probes before requests of declared services.
    headers
        Names of headers.
    operators
        SHA-256 in hex of the token of each team; without it the team header is
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
    retries: RetrySettings = RetrySettings()
    samples: SampleSettings = SampleSettings()
    headers: HeaderSettings = HeaderSettings()
    operators: dict[str, TokenHash] | None = None


class LogSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Format and least level of log lines."""

    format: typing.Literal["human", "json"] = "human"
    level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Settings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one instance with one role or both.

    Parameters
    ----------
    instance, control, entry, log
        The parts.
    metrics
        IP address and port at which the process serves the metrics of its roles, if
        wanted.
    """

    instance: InstanceSettings
    control: ControlSettings | None = None
    entry: EntrySettings | None = None
    log: LogSettings = LogSettings()
    metrics: Address | None = None


def parse(text: str) -> Settings:
    """Check settings.

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
    yield from _repeated(_listeners(cfg), "the same address as")
    if cfg.control is not None:
        for field in ("name", "address"):
            values = [
                (f"$.control.initial[{position}].{field}", getattr(member, field))
                for position, member in enumerate(cfg.control.initial)
            ]
            yield from _repeated(values, "the same as")


def _repeated(
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
