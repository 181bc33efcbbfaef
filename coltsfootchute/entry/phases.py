"""Phases of a request at the entry."""

import enum

__all__ = ["Phase"]


class Phase(enum.Enum):
    """Phase of a request that has not been answered completely."""

    READING_BODY = "reading_body"
    WAITING = "waiting"
    AT_TARGET = "at_target"
    ANSWERING = "answering"
