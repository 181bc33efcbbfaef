"""The command that shows the log lines of one request and the cause of its end."""

import collections.abc
import pathlib
import sys
import typing

import msgspec

from coltsfootchute.commands import exits, tables

__all__ = ["CAUSES", "CUT_PHASES", "explain", "find_cause", "read_lines"]

# Events that an instance logged within this time before the end of a request may
# explain it. If the last proof that an entry was current is older, the entry had lost
# contact with control.
CONTEXT_WINDOW_S = 5.0

CAUSES = {
    "queue_full": "overload: no probed target had free capacity in time; compare "
    "`loads` and `tokens` with the slots of the service",
    "no_target": "no target of the service was registered and usable at the entry",
    "target_shed": "the target refused the request, because its slots were full or it "
    "was stopping",
    "targets_at_rest": "all targets had answered 503 with Retry-After; see the lines "
    "of the entry that name their rest",
    "misdirected": "another target has the address; the register was out of date",
    "connection_failed": "the target could not be reached but was still registered",
    "connection_lost": "the target closed the connection or sent a malformed response",
    "target_failed": "the target responded with a failure",
    "target_timeout": "the target did not finish its response within the timeout "
    "of the route",
    "deadline": "the caller's deadline passed before the request was sent to a target",
    "stale": "the entry had no contact with control and therefore no routes",
    "no_rule": "no route of the declaration in force matches",
    "no_service": "no service has the name in the request",
    "quarantined": "the request is quarantined because it crashed two targets",
    "body_too_large": "the body is larger than the declared limit",
    "bad_request": "the request is malformed",
}

# By phase: what happened to a request when its entry cut it off.
CUT_PHASES = {
    "reading_body": "its body was being received",
    "waiting": "it waited for a target",
    "at_target": "a target was processing it",
    "answering": "its response was being sent",
}


class _LogLine(msgspec.Struct):
    time: str
    instance: str
    message: str
    fields: dict[str, typing.Any] = {}

    @property
    def second(self) -> float:
        """Seconds since midnight, which suffice to compare the lines of one request."""
        hours, minutes, seconds = self.time[11:23].split(":")
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


_DECODER = msgspec.json.Decoder(_LogLine)


def read_lines(texts: collections.abc.Iterable[str]) -> list[_LogLine]:
    """Return the structured lines of logs, without other lines.

    Parameters
    ----------
    texts
        Lines; text that a log collector put before the JSON text is ignored.
    """
    found = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            found.append(_DECODER.decode(text[start:].encode()))
        except (msgspec.ValidationError, msgspec.DecodeError):
            # A log may contain lines of other programs.
            continue
    return found


def find_cause(lines: list[_LogLine], request_id: str) -> tuple[list[_LogLine], str]:
    """Return the lines that concern a request, in order of time, and its cause.

    Parameters
    ----------
    lines
        Log lines of any number of instances.
    request_id
        Id of the request.

    Returns
    -------
    tuple
        The lines, with events of the same instance shortly before the end of the
        request, and one sentence on the cause. No lines if the id is unknown.
    """
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    if not request_lines:
        return [], f"no log line has the request id {request_id}"
    request_lines.sort(key=lambda line: line.time)
    cuts = [line for line in request_lines if line.message == "entry: cut off"]
    last = (cuts or request_lines)[-1]
    reason = last.fields.get("reason", "")
    cause = CAUSES.get(reason, last.message)
    if last.message == "entry: answered":
        cause = f"answered with status {last.fields.get('status')}"
    elif last.message == "entry: the caller left":
        cause = "the caller closed the connection before it got a response"
    elif cuts:
        cause = _cause_of_cut(last, lines)
    tried = last.fields.get("tried", [])
    context = [
        line
        for line in lines
        if line.instance == last.instance
        and "request" not in line.fields
        and 0 <= last.second - line.second <= CONTEXT_WINDOW_S
        and (_concerns_instance(line) or _names_target(line, tried))
    ]
    lost = [line for line in context if line.message == "feed: source lost"]
    age_s = last.fields.get("proof_age_s")
    if lost or (age_s is not None and age_s > CONTEXT_WINDOW_S):
        cause += "; the entry had lost contact with control and may have used old data"
    return sorted([*context, *request_lines], key=lambda line: line.time), cause


def _cause_of_cut(cut: _LogLine, lines: list[_LogLine]) -> str:
    fields = cut.fields
    phase = CUT_PHASES.get(fields.get("phase", ""), "it was in progress")
    since_s = fields.get("since_stop_s")
    if since_s is None:
        return f"the entry ended without a planned stop while {phase}"
    cause = f"the entry cut the request off {since_s} s after its stop began, while "
    cause += phase
    if not fields.get("body_complete", True):
        cause += "; the body was incomplete"
    late_s = since_s - fields.get("age_s", since_s)
    if late_s > 0:
        cause += f"; the entry read it {late_s:.3f} s after the stop began"
    stops = [
        line.fields["finish_s"]
        for line in lines
        if line.instance == cut.instance and "finish_s" in line.fields
    ]
    for finish_s in stops[-1:]:
        cause += f"; the stop allows {finish_s:.3f} s for requests in progress"
    return cause


def _concerns_instance(line: _LogLine) -> bool:
    """Return whether a line may concern all requests of its instance."""
    return line.message.startswith("feed: source") or "since_stop_s" in line.fields


def _names_target(line: _LogLine, targets: list[str]) -> bool:
    return line.fields.get("target") in targets


def explain(request_id: str, files: list[pathlib.Path], *, json: bool = False) -> None:
    """Show the log lines of one request in order of time and the cause of its end.

    Parameters
    ----------
    request_id
        Id of the request.
    files
        Log files of any instances; ``-`` reads the standard input.
    json
        Print the result as JSON.
    """
    lines = [line for file in files for line in read_lines(_open(file))]
    found, cause = find_cause(lines, request_id)
    if not found:
        raise exits.RefusedError(cause)
    if json:
        rows = [msgspec.to_builtins(line) for line in found]
        tables.print_json({"request": request_id, "cause": cause, "lines": rows})
        return
    for line in found:
        fields = " ".join(f"{k}={v}" for k, v in line.fields.items() if k != "request")
        print(f"{line.time} {line.instance} {line.message} {fields}")
    print(f"cause: {cause}")


def _open(file: pathlib.Path) -> collections.abc.Iterable[str]:
    if str(file) == "-":
        return sys.stdin
    try:
        return file.read_text(encoding="utf-8", errors="replace").splitlines()
    except OSError as exc:
        raise exits.RefusedError(f"{file}: {exc.strerror}") from None
