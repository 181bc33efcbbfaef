"""The entry role: takes callers' requests and passes them to targets."""

from coltsfootchute.entry.daemons import Daemon

__all__ = ["Daemon"]
