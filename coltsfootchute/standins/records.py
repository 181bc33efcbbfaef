"""The record of the runs of a stand-in target."""

import collections
import collections.abc
import os
import pathlib
import typing

import msgspec

__all__ = ["Run", "RunLog", "read_runs", "read_unfinished", "runs_per_key"]


class Run(msgspec.Struct, frozen=True):
    """One start of the work for a request.

    Parameters
    ----------
    target
        Id of the target.
    key
        Value of ``Idempotency-Key``; empty without it.
    request_id
        Value of ``Standin-Request-Id``; empty without it.
    method, path
        Of the request.
    time_s
        Unix time of the start in s.
    draining
        Whether the target had announced a drain before.
    finished
        False for the start of a run, True for the note that it ended.
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
    """Keeps the runs in memory and, with a path, in a file.

    Parameters
    ----------
    path
        File to append to; None keeps the record in memory only.

    Notes
    -----
    A run is written with a single `os.write` before its work starts, so the
    file holds it even if the process is killed right after.
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
        """Note in the file that a run ended, completely or by cancellation."""
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
    """Read the starts of runs from several files.

    Raises
    ------
    msgspec.DecodeError
        If a line is not a run.
    """
    return [run for run in _read(paths) if not run.finished]


def read_unfinished(paths: typing.Iterable[pathlib.Path]) -> list[Run]:
    """Read the runs that were in progress when their target died."""
    lines = _read(paths)
    ended = {(run.target, run.time_s) for run in lines if run.finished}
    started = [run for run in lines if not run.finished]
    return [run for run in started if (run.target, run.time_s) not in ended]


def _read(paths: typing.Iterable[pathlib.Path]) -> list[Run]:
    lines = (line for path in paths for line in path.read_bytes().splitlines())
    return [msgspec.json.decode(line, type=Run) for line in lines]


def runs_per_key(runs: collections.abc.Iterable[Run]) -> collections.Counter[str]:
    """Count the runs of each idempotency key; runs without a key are left out."""
    return collections.Counter(run.key for run in runs if run.key)
