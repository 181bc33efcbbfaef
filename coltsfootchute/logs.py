"""Set-up of log lines for all roles."""

import select
import sys
import time
import typing

import loguru
import msgspec

from coltsfootchute import settings

__all__ = ["configure", "log_event"]

HUMAN_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[instance]} {message}"


# Lines a second that one process writes; more are dropped and counted. A line takes
# about 0.1 ms, so both together stay within a few percent of a core.
LINES_PER_S = 200
ROUTINE_LINES_PER_S = 50
# A burst of this many seconds' lines passes whole.
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
    """Bound on lines, which keeps routine lines from crowding out others.

    Parameters
    ----------
    now
        Time in seconds.

    Attributes
    ----------
    dropped
        Lines that were dropped since the last one that was written.
    """

    def __init__(self, now: float):
        self._at = now
        self._tokens = {
            False: LINES_PER_S * BURST_S,
            True: ROUTINE_LINES_PER_S * BURST_S,
        }
        self.dropped = 0

    def allows(self, routine: bool, now: float) -> bool:
        """Tell whether a line may be written, and count it."""
        passed_s, self._at = max(0.0, now - self._at), now
        for kind, per_s in ((False, LINES_PER_S), (True, ROUTINE_LINES_PER_S)):
            earned = self._tokens[kind] + passed_s * per_s
            self._tokens[kind] = min(per_s * BURST_S, earned)
        if self._tokens[routine] < 1:
            self.dropped += 1
            return False
        self._tokens[routine] -= 1
        return True


def log_event(
    part: str, message: str, *, routine: bool = False, **fields: typing.Any
) -> None:
    """Log a decision with the inputs that decided it.

    Parameters
    ----------
    part
        Prefix of the part of the program.
    message
        The outcome.
    routine
        Whether the line is dropped before others when there are many.
    fields
        The inputs. `request` is a header's name and value, of which the value is
        logged.
    """
    request = fields.pop("request", None)
    if request is not None:
        fields = {"request": request[1], **fields}
    bound = loguru.logger.bind(fields=fields, routine=routine)
    bound.info("{}: {}", part, message)


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
    budget = LineBudget(time.monotonic())

    def write(message: typing.Any) -> None:
        record = message.record
        routine = record["extra"].get("routine", False)
        if not budget.allows(routine, time.monotonic()):
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
        stream.write(msgspec.json.encode(line).decode() + "\n")
        stream.flush()

    return write


def _is_writable(stream: typing.TextIO) -> bool:
    """Tell whether a write would not block; streams without a descriptor never do."""
    try:
        return bool(select.select([], [stream], [], 0)[1])
    except (OSError, ValueError, TypeError, AttributeError):
        return True
