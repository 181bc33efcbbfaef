"""Settings files and the validation of JSON documents."""

from coltsfootchute.settings import documents
from coltsfootchute.settings.schemas import (
    ControlSettings,
    EntrySettings,
    HangSettings,
    HeaderSettings,
    InitialMember,
    InstanceSettings,
    LogSettings,
    QuotaSettings,
    RetrySettings,
    SampleSettings,
    Settings,
    load,
    parse,
)

__all__ = [
    "ControlSettings",
    "EntrySettings",
    "HangSettings",
    "HeaderSettings",
    "InitialMember",
    "InstanceSettings",
    "LogSettings",
    "QuotaSettings",
    "RetrySettings",
    "SampleSettings",
    "Settings",
    "documents",
    "load",
    "parse",
]
