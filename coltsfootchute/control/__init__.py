"""The control role.

This package exports only the feed, so that an entry can use it without importing
the daemon, which is in `coltsfootchute.control.daemons`. The names below are imported
on first use, because `coltsfootchute.imports.load_control` has to run before anything
imports asyncio.
"""

import importlib

__all__ = ["Feed", "FeedService", "WatcherProgress"]


def __getattr__(name: str) -> object:
    """Import a public name of the feed on first use."""
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.feeds"), name)
