"""Import of the roles without the modules that they do not use.

OpenSSL (`ssl` and `_hashlib`) takes about 5 MB of memory in each process, and no role
uses it, since listeners and links are plain TCP. The memory of the control role is
limited to 32 MB.
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

# asyncio, aiohttp and grpclib work without `ssl`, `hashlib` without `_hashlib` (it has
# its own SHA-256), and shutil without `bz2` and `lzma`.
OPTIONAL_MODULES = ("ssl", "_hashlib", "bz2", "lzma")
# msgspec works without `typing_extensions`; aiohttp does not.
CONTROL_OPTIONAL_MODULES = (*OPTIONAL_MODULES, "typing_extensions")


class _SslReplacement(types.ModuleType):
    """Replacement of `ssl` for modules that use its names only at import."""

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
    Modules that are already loaded stay available. After the context the optional
    modules can be imported again, for example by prometheus_client for the metrics.
    """
    hidden = [name for name in optional if name not in sys.modules]
    sys.modules.update(dict.fromkeys(hidden))
    try:
        yield
    finally:
        for name in hidden:
            sys.modules.pop(name, None)


def load_control() -> None:
    """Import the control role without the modules that it does not use.

    Notes
    -----
    Must be called before asyncio is imported. It saves nothing in a process that
    has already imported `ssl`.
    """
    with without_optional_modules(CONTROL_OPTIONAL_MODULES):
        import asyncio  # noqa: F401

        import grpclib.client
        import grpclib.server  # noqa: F401

        _import_with_replaced_ssl("uvloop")
        from coltsfootchute.control import daemons  # noqa: F401


def load_entry() -> None:
    """Import the entry role without OpenSSL; see the notes of `load_control`."""
    with without_optional_modules():
        import asyncio  # noqa: F401

        # prometheus_client needs the HTTPS classes of the standard library.
        _import_with_replaced_ssl("uvloop", "urllib.request")
        from coltsfootchute.entry import daemons  # noqa: F401


def _import_with_replaced_ssl(*names: str) -> None:
    """Import modules with a replacement of `ssl` if `ssl` is hidden."""
    is_hidden = sys.modules.get("ssl", True) is None
    if is_hidden:
        sys.modules["ssl"] = _SslReplacement("ssl")
    try:
        for name in names:
            importlib.import_module(name)
    finally:
        if is_hidden:
            sys.modules["ssl"] = None
