"""The entry role: receives callers' requests and forwards them to targets."""

from coltsfootchute.entry.daemons import Daemon

__all__ = ["Daemon"]
