"""Command line options of a stand-in target."""

import dataclasses
import pathlib
import typing

__all__ = ["Options"]


@dataclasses.dataclass(frozen=True)
class Options:
    """Command line options of a stand-in target.

    Parameters
    ----------
    id
        Id of the target.
    listen
        IP number and port of the listener; port 0 selects a free port.
    address
        Address to announce if it is not the listener, such as that of a link.
    api
        Addresses of the entries' API listeners. Without any, the target is not
        announced.
    failure_domain
        Failure domain to announce.
    services
        Services to announce.
    slots
        Maximum number of requests that run at the same time.
    queue
        Maximum number of requests that wait for a slot; further ones are shed.
    service_ms
        Median service time in ms.
    sigma
        Standard deviation of the logarithm of the service time.
    cold_s
        Time after the start in s during which the service time is longer.
    cold_factor
        Factor of the service time at the start; it decreases linearly to 1.
    lag_s
        Age of the reported load and health in s.
    ramp_per_s
        Requests per second that it tolerates while it is cold; 0 for no limit.
    when_full
        What happens to requests that find no slot and no queue place: they are shed,
        or hang and are never answered.
    load_factor
        Factor of the reported load; 1 reports the actual load.
    report_load
        Whether responses have the load header.
    response_bytes
        Length of the padding of each response in bytes.
    runs
        File in which the runs are recorded.
    arrivals
        File in which the arrivals are recorded.
    seed
        Seed of the service times and the pauses.
    """

    id: str = "t1"
    listen: str = "127.0.0.1:0"
    address: str = ""
    api: tuple[str, ...] = ()
    failure_domain: str = "fd-a"
    services: tuple[str, ...] = ("demo",)
    slots: int = 4
    queue: int = 0
    service_ms: float = 10.0
    sigma: float = 0.5
    cold_s: float = 0.0
    cold_factor: float = 1.0
    ramp_per_s: float = 0.0
    when_full: typing.Literal["shed", "hang"] = "shed"
    lag_s: float = 0.0
    load_factor: float = 1.0
    report_load: bool = True
    response_bytes: int = 0
    runs: pathlib.Path | None = None
    arrivals: pathlib.Path | None = None
    seed: int = 0
