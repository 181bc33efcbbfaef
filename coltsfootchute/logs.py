"""Logging configuration for all roles."""

import json
import select
import sys
import time
import typing

import loguru
import msgspec

from coltsfootchute import settings

__all__ = ["configure", "log_event"]

HUMAN_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[instance]} {message}"


# Limits on the lines that one process writes per second; lines beyond them are dropped
# and counted. Writing a line takes about 0.1 ms, so that both limits together cost no
# more than a few percent of a core.
LINES_PER_S = 200
ROUTINE_LINES_PER_S = 50
# Lines that may be written in one burst, in seconds at the rates above.
BURST_S = 2.0


class Line(msgspec.Struct, omit_defaults=True):
    """One log line as JSON."""

    time: str
    level: str
    instance: str
    message: str
    exception: str = ""
    fields: dict[str, typing.Any] = {}
    dropped: int = 0  # Lines that were dropped before this one.


class LineBudget:
    """Rate limits on log lines: one for routine lines and one for all others.

    With limits of their own, routine lines can't cause other lines to be dropped.

    Parameters
    ----------
    now_s
        Time in seconds.

    Attributes
    ----------
    dropped
        Lines that were dropped since the last one that was written.
    """

    def __init__(self, now_s: float):
        self._refilled_s = now_s
        self._tokens = {
            False: LINES_PER_S * BURST_S,
            True: ROUTINE_LINES_PER_S * BURST_S,
        }
        self.dropped = 0

    def try_spend(self, routine: bool, now_s: float) -> bool:
        """Return whether a line may be written, and count it as written or dropped."""
        passed_s, self._refilled_s = max(0.0, now_s - self._refilled_s), now_s
        for is_routine, per_s in ((False, LINES_PER_S), (True, ROUTINE_LINES_PER_S)):
            refilled = self._tokens[is_routine] + passed_s * per_s
            self._tokens[is_routine] = min(per_s * BURST_S, refilled)
        if self._tokens[routine] < 1:
            self.dropped += 1
            return False
        self._tokens[routine] -= 1
        return True


def log_event(
    component: str, message: str, *, routine: bool = False, **fields: typing.Any
) -> None:
    """Log an event or a decision together with its inputs.

    Parameters
    ----------
    component
        Component that logs, such as ``"entry"``; it precedes the message.
    message
        What happened or was decided.
    routine
        Whether the line has the lower limit of routine lines, so that it is dropped
        before others when there are many.
    fields
        The inputs. `request` is the name and the value of a header, of which only
        the value is logged.
    """
    request = fields.pop("request", None)
    if request is not None:
        fields = {"request": request[1], **fields}
    bound = loguru.logger.bind(fields=fields, routine=routine)
    bound.info("{}: {}", component, message)


def configure(cfg: settings.Settings, stream: typing.TextIO | None = None) -> None:
    """Send all log lines of the process to a stream.

    Parameters
    ----------
    cfg
        Settings of the instance: log format, minimum level, and instance name.
    stream
        Destination of the lines; by default the standard error stream.

    Notes
    -----
    Tracebacks leave out the values of variables (``diagnose=False``), because these
    may contain bodies and headers of callers' requests.
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
    budget = LineBudget(time.monotonic())

    def write(message: typing.Any) -> None:
        record = message.record
        routine = record["extra"].get("routine", False)
        if not budget.try_spend(routine, time.monotonic()):
            return
        if not _is_writable(stream):
            budget.dropped += 1
            return
        # The formatted message ends with the traceback, if there is one.
        text = str(message).removeprefix(record["message"]).strip()
        line = Line(
            time=record["time"].isoformat(timespec="milliseconds"),
            level=record["level"].name,
            instance=record["extra"]["instance"],
            message=record["message"],
            exception=text,
            fields=record["extra"].get("fields", {}),
            dropped=budget.dropped,
        )
        budget.dropped = 0
        stream.write(_encode(line) + "\n")
        stream.flush()

    return write


def _encode(line: Line) -> str:
    try:
        return msgspec.json.encode(line).decode()
    except UnicodeEncodeError:
        # Bytes of a header that are not UTF-8 are surrogates in a field, which only
        # the standard library encodes.
        return json.dumps(msgspec.to_builtins(line))


def _is_writable(stream: typing.TextIO) -> bool:
    """Return whether a write won't block; streams without a descriptor never block."""
    try:
        return bool(select.select([], [stream], [], 0)[1])
    except (OSError, ValueError, TypeError, AttributeError):
        return True
