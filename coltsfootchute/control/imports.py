"""Imports of the control role, without modules that it has no use for.

A running control process held 35 MB resident, over its bound of 32 MB. About 5 MB
of that were OpenSSL (`ssl` and `_hashlib`), which control never calls: its listener
and its links are plain TCP.
"""

import collections.abc
import contextlib
import sys
import types

__all__ = ["OPTIONAL_MODULES", "load", "without_optional_modules"]

# asyncio and grpclib do without `ssl`, `hashlib` without `_hashlib` (it has its own
# SHA-256), shutil without `bz2` and `lzma`, msgspec without `typing_extensions`.
OPTIONAL_MODULES = ("ssl", "_hashlib", "bz2", "lzma", "typing_extensions")
# uvloop needs these names of `ssl` when it is imported, and uses them for TLS only.
SSL_CLASSES = (
    "CertificateError",
    "MemoryBIO",
    "SSLContext",
    "SSLError",
    "SSLSyscallError",
    "SSLWantReadError",
    "SSLZeroReturnError",
    "create_default_context",
)
SSL_CONSTANTS = {
    "SSL_ERROR_SYSCALL": 5,
    "SSL_ERROR_WANT_READ": 2,
    "SSL_ERROR_WANT_WRITE": 3,
}


@contextlib.contextmanager
def without_optional_modules() -> collections.abc.Iterator[None]:
    """Make imports of optional modules fail within the context.

    Notes
    -----
    Modules that are loaded already stay. Afterwards the optional modules can be
    imported again, for example by aiohttp for the metrics.
    """
    hidden = [name for name in OPTIONAL_MODULES if name not in sys.modules]
    sys.modules.update(dict.fromkeys(hidden))
    try:
        yield
    finally:
        for name in hidden:
            sys.modules.pop(name, None)


def load() -> None:
    """Load the control role with what it uses and nothing else.

    Notes
    -----
    It must come before any other import of asyncio. In a process that has `ssl`
    already, such as one that also runs an entry, it saves nothing.
    """
    with without_optional_modules():
        import asyncio  # noqa: F401

        import grpclib.client
        import grpclib.server  # noqa: F401

        _load_uvloop()
        from coltsfootchute.control import daemons  # noqa: F401


def _load_uvloop() -> None:
    """Import uvloop with names in place of the absent `ssl`."""
    if sys.modules.get("ssl") is not None:
        return
    placeholder = types.ModuleType("ssl")
    for name in SSL_CLASSES:
        setattr(placeholder, name, type(name, (Exception,), {}))
    for name, value in SSL_CONSTANTS.items():
        setattr(placeholder, name, value)
    sys.modules["ssl"] = placeholder
    try:
        import uvloop  # noqa: F401
    finally:
        sys.modules["ssl"] = None
