"""Set-up of log lines for all roles."""

import sys
import typing

import loguru
import msgspec

from coltsfootchute import settings

__all__ = ["configure", "note"]

HUMAN_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[instance]} {message}"


class Line(msgspec.Struct, omit_defaults=True):
    """One log line as JSON."""

    time: str
    level: str
    instance: str
    message: str
    exception: str = ""
    fields: dict[str, typing.Any] = {}


def note(part: str, message: str, **fields: typing.Any) -> None:
    """Log a decision with the inputs that decided it.

    Parameters
    ----------
    part
        Prefix of the part of the program.
    message
        The outcome.
    fields
        The inputs. `request` is a header's name and value, of which the value is
        logged.
    """
    request = fields.pop("request", None)
    if request is not None:
        fields = {"request": request[1], **fields}
    loguru.logger.bind(fields=fields).info("{}: {}", part, message)


def configure(cfg: settings.Settings, stream: typing.TextIO | None = None) -> None:
    """Send all log lines of the process to a stream.

    Parameters
    ----------
    cfg
        Settings of the instance: format, least level, and name.
    stream
        Where lines go; by default the standard error stream.

    Notes
    -----
    Variable values stay out of tracebacks (``diagnose=False``), because they
    may hold bodies and headers of callers.
    """
    stream = stream or sys.stderr
    loguru.logger.remove()
    loguru.logger.configure(extra={"instance": cfg.instance.name})
    if cfg.log.format == "json":
        sink = _json_sink(stream)
        loguru.logger.add(sink, level=cfg.log.level, format="{message}", diagnose=False)
        return
    loguru.logger.add(stream, level=cfg.log.level, format=HUMAN_FORMAT, diagnose=False)


def _json_sink(stream: typing.TextIO) -> typing.Callable[[typing.Any], None]:
    def write(message: typing.Any) -> None:
        record = message.record
        # The formatted message ends with the traceback, if there is one.
        text = str(message).removeprefix(record["message"]).strip()
        line = Line(
            time=record["time"].isoformat(timespec="milliseconds"),
            level=record["level"].name,
            instance=record["extra"]["instance"],
            message=record["message"],
            exception=text,
            fields=record["extra"].get("fields", {}),
        )
        stream.write(msgspec.json.encode(line).decode() + "\n")
        stream.flush()

    return write
