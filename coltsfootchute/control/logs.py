"""Log lines in the format that the settings choose."""

import sys

from loguru import logger

from coltsfootchute import settings

__all__ = ["configure"]

HUMAN_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level} {extra[instance]} {message}"


def configure(cfg: settings.Settings) -> None:
    """Send the log lines of this process to the standard error stream.

    Parameters
    ----------
    cfg
        Settings of the instance; its name is part of each line.
    """
    logger.remove()
    logger.configure(extra={"instance": cfg.instance.name})
    logger.add(
        sys.stderr,
        level=cfg.log.level,
        format=HUMAN_FORMAT,
        serialize=cfg.log.format == "json",
        backtrace=False,
        diagnose=False,
    )
