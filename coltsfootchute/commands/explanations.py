"""The command that puts the log lines of one request in order and names the cause."""

import collections.abc
import pathlib
import sys
import typing

import msgspec

from coltsfootchute.commands import exits, tables

__all__ = ["CAUSES", "CUTS", "explain", "find_cause", "read_lines"]

# News that an instance got this long before the end of a request may explain it.
CONTEXT_S = 5.0

CAUSES = {
    "queue_full": "overload: no probed target had room in time; compare `loads` and "
    "`tokens` with the slots of the service",
    "no_target": "no target of the service was registered and usable at the entry",
    "target_shed": "the target refused the request at its slots or as it left",
    "misdirected": "another target has the address; the register was behind",
    "connection_failed": "the target was gone but still registered",
    "connection_lost": "the target broke the connection or sent a broken answer",
    "target_failed": "the target answered with a failure",
    "target_timeout": "the target was slow or silent until the route's timeout",
    "deadline": "the caller's time was over before the request was sent",
    "stale": "the entry had no contact with control, so it knew no routes",
    "no_rule": "no route of the declaration in force matches",
    "no_service": "no service of that name",
    "quarantined": "the request had crashed two targets",
    "body_too_large": "the body is over the declared limit",
    "bad_request": "the request is malformed",
}

# What a request was doing when its entry cut it off.
CUTS = {
    "reading_body": "its body was arriving",
    "waiting": "it waited for a target",
    "at_target": "a target was at work on it",
    "answering": "its answer was being written",
}


class _Line(msgspec.Struct):
    time: str
    instance: str
    message: str
    fields: dict[str, typing.Any] = {}

    @property
    def second(self) -> float:
        """Seconds of the day, which is enough to compare lines of one request."""
        hours, minutes, seconds = self.time[11:23].split(":")
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


_DECODER = msgspec.json.Decoder(_Line)


def read_lines(texts: collections.abc.Iterable[str]) -> list[_Line]:
    """Return the structured lines among the lines of logs.

    Parameters
    ----------
    texts
        Lines; what a collector wrote before the JSON text is ignored.
    """
    found = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            found.append(_DECODER.decode(text[start:].encode()))
        except (msgspec.ValidationError, msgspec.DecodeError):
            # Logs of other programs may stand between ours.
            continue
    return found


def find_cause(lines: list[_Line], request_id: str) -> tuple[list[_Line], str]:
    """Return the lines that concern a request, in order, and its cause.

    Parameters
    ----------
    lines
        Lines of any number of instances.
    request_id
        Id of the request.

    Returns
    -------
    tuple
        The lines, with the news of the same instances just before the end, and one
        sentence. No lines if the id is unknown.
    """
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        return [], f"no line names {request_id}"
    own.sort(key=lambda line: line.time)
    cuts = [line for line in own if line.message == "entry: cut off"]
    last = (cuts or own)[-1]
    reason = last.fields.get("reason", "")
    cause = CAUSES.get(reason, last.message)
    if last.message == "entry: answered":
        cause = f"answered with status {last.fields.get('status')}"
    elif last.message == "entry: the caller left":
        cause = "the caller closed the connection before the answer"
    elif cuts:
        cause = _cause_of_cut(last, lines)
    tried = last.fields.get("tried", [])
    context = [
        line
        for line in lines
        if line.instance == last.instance
        and "request" not in line.fields
        and 0 <= last.second - line.second <= CONTEXT_S
        and (_is_general(line) or _concerns(line, tried))
    ]
    lost = [line for line in context if line.message == "feed: source lost"]
    age_s = last.fields.get("proof_age_s")
    if lost or (age_s is not None and age_s > CONTEXT_S):
        cause += "; the entry had lost control and may have been behind"
    return sorted([*context, *own], key=lambda line: line.time), cause


def _cause_of_cut(cut: _Line, lines: list[_Line]) -> str:
    fields = cut.fields
    doing = CUTS.get(fields.get("phase", ""), "it was in progress")
    since_s = fields.get("since_stop_s")
    if since_s is None:
        return f"the entry ended without a planned stop while {doing}"
    cause = f"the entry cut the request off {since_s} s after its stop began, while "
    cause += doing
    if not fields.get("body_complete", True):
        cause += "; its body had not arrived whole"
    late_s = since_s - fields.get("age_s", since_s)
    if late_s > 0:
        cause += f"; it was read {late_s:.3f} s after the stop began"
    stops = [
        line.fields["finish_s"]
        for line in lines
        if line.instance == cut.instance and "finish_s" in line.fields
    ]
    for finish_s in stops[-1:]:
        cause += f"; the stop allows {finish_s:.3f} s for its requests"
    return cause


def _is_general(line: _Line) -> bool:
    """Tell whether a line may concern all requests of its instance."""
    return line.message.startswith("feed: source") or "since_stop_s" in line.fields


def _concerns(line: _Line, targets: list[str]) -> bool:
    return line.fields.get("target") in targets


def explain(request_id: str, files: list[pathlib.Path], *, json: bool = False) -> None:
    """Put the log lines of one request in order and name the cause of its end.

    Parameters
    ----------
    request_id
        Id of the request.
    files
        Logs of any instances; ``-`` reads the standard input.
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
