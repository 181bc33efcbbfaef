"""Settings files and the checking of JSON documents."""

from coltsfootchute.settings import documents
from coltsfootchute.settings.schemas import (
    ControlSettings,
    EntrySettings,
    InitialMember,
    InstanceSettings,
    LogSettings,
    Settings,
    load,
    parse,
)

__all__ = [
    "ControlSettings",
    "EntrySettings",
    "InitialMember",
    "InstanceSettings",
    "LogSettings",
    "Settings",
    "documents",
    "load",
    "parse",
]
