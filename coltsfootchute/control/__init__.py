"""The control role.

The daemon is imported from `coltsfootchute.control.daemons`, so that an entry can
use the feed without loading the rest. The names here are loaded on first use:
`coltsfootchute.imports.load_control` has to run before anything imports asyncio.
"""

import importlib

__all__ = ["Feed", "FeedService", "Watcher"]


def __getattr__(name: str) -> object:
    """Return a public name of the feed."""
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.feeds"), name)
