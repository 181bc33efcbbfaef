"""File operations of a store."""

import collections.abc
import contextlib
import fcntl
import os
import typing

from coltsfootchute import errors

__all__ = ["Disk", "LocalDisk"]

BufferT = bytes | bytearray | memoryview


class Disk(typing.Protocol):
    """Protocol of the file operations; tests use one that loses and tears writes.

    All methods raise `OSError` on failure. Written data is durable only after `sync`,
    and created, renamed or removed names only after `sync_folder`.
    """

    def make_folder(self, folder: str) -> None:
        """Create a folder and its parents, if absent, and sync its parent."""

    def lock(self, path: str) -> collections.abc.Callable[[], None]:
        """Lock a file exclusively and return a function that releases the lock."""

    def names(self, folder: str) -> list[str]:
        """Return the names in a folder."""

    def read(self, path: str) -> bytes:
        """Return the content of a file."""

    def append(self, path: str, data: BufferT) -> None:
        """Add data to the end of a file; create it if absent."""

    def truncate(self, path: str, size: int) -> None:
        """Truncate a file to a size in bytes."""

    def sync(self, path: str) -> None:
        """Make the content of a file durable."""

    def sync_folder(self, folder: str) -> None:
        """Make the names in a folder durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file that has the new name."""

    def remove(self, path: str) -> None:
        """Remove a file."""


class LocalDisk:
    """File operations on the local file system.

    The most recently written file stays open, so that an append costs two system
    calls: one write and one sync.
    """

    def __init__(self):
        self._path = ""
        self._fd = -1

    def make_folder(self, folder: str) -> None:
        """Create a folder and its parents, if absent, and sync its parent."""
        os.makedirs(folder, exist_ok=True)
        self.sync_folder(os.path.dirname(os.path.abspath(folder)))

    def lock(self, path: str) -> collections.abc.Callable[[], None]:
        """Lock a file exclusively and return a function that releases the lock."""
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as exc:
            os.close(fd)
            raise errors.FolderInUseError(
                f"{path} is locked by another process"
            ) from exc
        return lambda: os.close(fd)

    def names(self, folder: str) -> list[str]:
        """Return the names in a folder."""
        return os.listdir(folder)

    def read(self, path: str) -> bytes:
        """Return the content of a file."""
        with open(path, "rb") as file:
            return file.read()

    def append(self, path: str, data: BufferT) -> None:
        """Add data to the end of a file; create it if absent."""
        self._open(path)
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self._fd, remaining) :]

    def truncate(self, path: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        os.truncate(path, size)

    def sync(self, path: str) -> None:
        """Make the content of a file durable."""
        self._open(path)
        os.fdatasync(self._fd)

    def sync_folder(self, folder: str) -> None:
        """Make the names in a folder durable."""
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file that has the new name."""
        os.makedirs(os.path.dirname(new), exist_ok=True)
        self._close(old, new)
        os.rename(old, new)

    def remove(self, path: str) -> None:
        """Remove a file."""
        self._close(path)
        os.remove(path)

    def _open(self, path: str) -> None:
        """Open a file for appending, unless it is already open."""
        if path == self._path:
            return
        self._close(self._path)
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self._fd = os.open(path, flags, 0o644)
        self._path = path

    def _close(self, *paths: str) -> None:
        """Close the open file if it has one of the paths."""
        if self._path and self._path in paths:
            self._path, fd = "", self._fd
            with contextlib.suppress(OSError):
                os.close(fd)

    def close(self) -> None:
        """Close the open file."""
        self._close(self._path)
