"""Records of the requests that arrive at stand-in targets, also of those not run."""

import enum
import os
import pathlib
import typing

import msgspec

__all__ = ["Arrival", "ArrivalLog", "End", "read_arrivals"]


class End(enum.Enum):
    """How a request ended at a target."""

    OPEN = "open"  # It has not ended, or the target was killed.
    ANSWERED = "answered"
    SHED = "shed"
    CANCELLED = "cancelled"


class Arrival(msgspec.Struct):
    """A request that reached a target.

    Parameters
    ----------
    target
        Id of the target.
    request_id
        Value of the ``Standin-Request-Id`` header; empty if missing.
    entry
        Value of the ``Standin-Entry`` header, in which a caller states to which entry
        it sent the request; empty if missing.
    workspaces
        Values of the workspace header.
    time_s
        Unix time of the arrival in s.
    leaked
        Names of headers that contain a key of a stand-in caller.
    is_cold
        Whether the target was cold.
    is_over_ramp
        Whether the request exceeded the limit of a cold target.
    is_hung
        Whether the target never answers it.
    end, ended_s
        How and at which Unix time in s it ended.
    """

    target: str
    request_id: str
    entry: str
    workspaces: list[str]
    time_s: float
    leaked: list[str] = []
    is_cold: bool = False
    is_over_ramp: bool = False
    is_hung: bool = False
    end: End = End.OPEN
    ended_s: float = 0.0


class ArrivalLog:
    """Records arrivals in memory and, if a path is given, in a file.

    Parameters
    ----------
    path
        File to which each arrival is appended when it begins and when it ends; None
        for memory only.
    """

    def __init__(self, path: pathlib.Path | None = None):
        self.arrivals: list[Arrival] = []
        self._fd = None
        if path is not None:
            self._fd = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def begin(self, arrival: Arrival) -> None:
        """Record an arrival."""
        self.arrivals.append(arrival)
        self.write(arrival)

    def write(self, arrival: Arrival) -> None:
        """Write the present state of an arrival to the file."""
        if self._fd is not None:
            os.write(self._fd, msgspec.json.encode(arrival) + b"\n")

    def close(self) -> None:
        """Close the file."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None


def read_arrivals(paths: typing.Iterable[pathlib.Path]) -> list[Arrival]:
    """Read the last state of each arrival from several files, in order of time.

    Raises
    ------
    msgspec.DecodeError
        If a line is not a record of an arrival.
    """
    last: dict[tuple[str, str, float], Arrival] = {}
    for path in paths:
        for line in path.read_bytes().splitlines():
            arrival = msgspec.json.decode(line, type=Arrival)
            last[arrival.target, arrival.request_id, arrival.time_s] = arrival
    return sorted(last.values(), key=lambda arrival: arrival.time_s)
