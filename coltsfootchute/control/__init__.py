"""The control role.

The daemon is imported from `coltsfootchute.control.daemons`, so that an entry can
use the feed without loading the rest.
"""

from coltsfootchute.control.feeds import Feed, FeedService, Watcher

__all__ = ["Feed", "FeedService", "Watcher"]
