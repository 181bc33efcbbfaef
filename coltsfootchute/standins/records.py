"""Records of the runs of stand-in targets."""

import collections
import collections.abc
import os
import pathlib
import typing

import msgspec

__all__ = ["Run", "RunLog", "read_runs", "read_unfinished", "runs_per_key"]


class Run(msgspec.Struct, frozen=True):
    """A line in the record of a target: the start or the end of a run.

    Parameters
    ----------
    target
        Id of the target.
    key
        Value of the ``Idempotency-Key`` header; empty if missing.
    request_id
        Value of the ``Standin-Request-Id`` header; empty if missing.
    method, path
        HTTP method, and path with query, of the request.
    time_s
        Unix time of the start of the run in s.
    draining
        Whether the target was draining when the run started.
    finished
        False in the record of the start of a run, True in that of its end.
    """

    target: str
    key: str
    request_id: str
    method: str
    path: str
    time_s: float
    draining: bool = False
    finished: bool = False


class RunLog:
    """Records runs in memory and, if a path is given, in a file.

    Parameters
    ----------
    path
        File to which the records are appended; None for memory only.

    Notes
    -----
    The start of a run is written with a single `os.write` before the work starts,
    so that the file contains it even if the process is killed right afterwards.
    """

    def __init__(self, path: pathlib.Path | None = None):
        self.runs: list[Run] = []
        self._fd = None
        if path is not None:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._fd = os.open(path, flags, 0o644)

    def add(self, run: Run) -> None:
        """Record the start of a run."""
        self.runs.append(run)
        self._write(run)

    def finish(self, run: Run) -> None:
        """Record in the file that a run was completed or cancelled."""
        self._write(msgspec.structs.replace(run, finished=True))

    def _write(self, run: Run) -> None:
        if self._fd is not None:
            os.write(self._fd, msgspec.json.encode(run) + b"\n")

    def close(self) -> None:
        """Close the file."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None


def read_runs(paths: typing.Iterable[pathlib.Path]) -> list[Run]:
    """Read the records of the starts of runs from several files.

    Raises
    ------
    msgspec.DecodeError
        If a line is not a record of a run.
    """
    return [run for run in _read(paths) if not run.finished]


def read_unfinished(paths: typing.Iterable[pathlib.Path]) -> list[Run]:
    """Read the runs without a recorded end, such as those cut short by a kill."""
    lines = _read(paths)
    ended = {(run.target, run.time_s) for run in lines if run.finished}
    started = [run for run in lines if not run.finished]
    return [run for run in started if (run.target, run.time_s) not in ended]


def _read(paths: typing.Iterable[pathlib.Path]) -> list[Run]:
    lines = (line for path in paths for line in path.read_bytes().splitlines())
    return [msgspec.json.decode(line, type=Run) for line in lines]


def runs_per_key(runs: collections.abc.Iterable[Run]) -> collections.Counter[str]:
    """Count the runs by idempotency key, without the runs that have no key."""
    return collections.Counter(run.key for run in runs if run.key)
