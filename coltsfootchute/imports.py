"""Imports of the roles, without modules that they have no use for.

OpenSSL (`ssl` and `_hashlib`) takes about 5 MB in each process, and no role calls it:
listeners and links are plain TCP. The control role has a bound of 32 MB.
"""

import collections.abc
import contextlib
import importlib
import sys
import types

__all__ = [
    "CONTROL_OPTIONAL_MODULES",
    "OPTIONAL_MODULES",
    "load_control",
    "load_entry",
    "without_optional_modules",
]

# asyncio, aiohttp and grpclib do without `ssl`, `hashlib` without `_hashlib` (it has
# its own SHA-256), shutil without `bz2` and `lzma`.
OPTIONAL_MODULES = ("ssl", "_hashlib", "bz2", "lzma")
# msgspec does without `typing_extensions`; aiohttp does not.
CONTROL_OPTIONAL_MODULES = (*OPTIONAL_MODULES, "typing_extensions")


class _AbsentSsl(types.ModuleType):
    """Names in place of `ssl`, for modules that need them at import only."""

    def __getattr__(self, name: str) -> object:
        if name.startswith("__"):
            raise AttributeError(name)
        return 0 if name.isupper() else type(name, (Exception,), {})


@contextlib.contextmanager
def without_optional_modules(
    optional: collections.abc.Sequence[str] = OPTIONAL_MODULES,
) -> collections.abc.Iterator[None]:
    """Make imports of optional modules fail within the context.

    Parameters
    ----------
    optional
        Names of the modules.

    Notes
    -----
    Modules that are loaded already stay. Afterwards the optional modules can be
    imported again, for example by prometheus_client for the metrics.
    """
    hidden = [name for name in optional if name not in sys.modules]
    sys.modules.update(dict.fromkeys(hidden))
    try:
        yield
    finally:
        for name in hidden:
            sys.modules.pop(name, None)


def load_control() -> None:
    """Load the control role with what it uses and nothing else.

    Notes
    -----
    It must come before any other import of asyncio. In a process that has `ssl`
    already, it saves nothing.
    """
    with without_optional_modules(CONTROL_OPTIONAL_MODULES):
        import asyncio  # noqa: F401

        import grpclib.client
        import grpclib.server  # noqa: F401

        _load_with_absent_ssl("uvloop")
        from coltsfootchute.control import daemons  # noqa: F401


def load_entry() -> None:
    """Load the entry role without OpenSSL; as for `load_control`."""
    with without_optional_modules():
        import asyncio  # noqa: F401

        # prometheus_client needs the HTTPS classes of the standard library.
        _load_with_absent_ssl("uvloop", "urllib.request")
        from coltsfootchute.entry import daemons  # noqa: F401


def _load_with_absent_ssl(*names: str) -> None:
    """Import modules with names in place of an absent `ssl`."""
    is_absent = sys.modules.get("ssl", True) is None
    if is_absent:
        sys.modules["ssl"] = _AbsentSsl("ssl")
    try:
        for name in names:
            importlib.import_module(name)
    finally:
        if is_absent:
            sys.modules["ssl"] = None
