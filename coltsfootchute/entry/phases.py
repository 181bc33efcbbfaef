"""Phases of a request at the entry."""

import enum

__all__ = ["Phase"]


class Phase(enum.Enum):
    """What a request that has no whole answer yet is doing."""

    READING_BODY = "reading_body"
    WAITING = "waiting"
    AT_TARGET = "at_target"
    ANSWERING = "answering"
