"""Guards against causes that do not match the logs of a run with the fault.

An operator has only the id of a failed request and the logs of the instances.
"""

import asyncio
import io
import json
import sys

import loguru
import msgspec
import pytest

from coltsfootchute import logs, settings
from coltsfootchute.commands import explanations, main
from coltsfootchute.entry.tests import fakes, test_declared

ENTRY = {"api": "127.0.0.1:0", "peer": "127.0.0.1:0", "control": ["127.0.0.1:1"]}
INSTANCE = {"name": "e1", "failure_domain": "a"}
CFG = settings.parse(
    json.dumps({"instance": INSTANCE, "log": {"format": "json"}, "entry": ENTRY})
)


@pytest.fixture
def stream():
    """Return a stream with the log lines of the entry."""
    log = io.StringIO()
    logs.configure(CFG, log)
    yield log
    loguru.logger.remove()
    loguru.logger.add(sys.stderr)


def cause_of(stream, request_id="r1"):
    lines = explanations.read_lines(["noise", *stream.getvalue().splitlines()])
    return explanations.find_cause(lines, request_id)


def report_load(load, slowdown_percent=100):
    """Return a script of a target that echoes requests and reports its load."""

    async def script(target, head, reader, writer):
        headers = f"{test_declared.SEALED}X-Load: {load},{slowdown_percent}\r\n"
        await test_declared.echo(headers=headers)(target, head, reader, writer)

    return script


def test_a_refusal_at_overload_is_explained(stream):
    """Full targets must not be reported as a failure of a target."""

    async def play(stage):
        answer = await test_declared.send_request(stage)
        assert answer.refusal == "not_run queue_full 503"

    samples = {"per_target_s": 1000, "wait_s": 1}
    test_declared.run_declared(play, report_load("8,3,8"), samples=samples)
    lines, cause = cause_of(stream)
    assert cause.startswith("overload")
    assert {"waiting", "tokens", "left_s"} <= lines[-1].fields.keys()


def test_a_connection_reset_by_a_target_is_explained(stream):
    async def play(stage):
        answer = await test_declared.send_request(stage, "/order/1", "POST", b"one")
        assert answer.status == 502
        stage.control.publish(removed_target_id="t0")
        await fakes.wait_until(lambda: not stage.entry.view.targets)

    test_declared.run_declared(play, fakes.close_after(reset=True))
    lines, cause = cause_of(stream)
    assert "the target closed the connection" in cause
    assert lines[-1].fields["tried"] == ["t0"]
    assert lines[-1].fields["loads"]


def test_a_failure_at_an_entry_without_control_is_explained(stream):
    """The cause must say that the entry used an old register of targets."""

    async def play(stage):
        stage.control.feed.close()
        await stage.targets[0].stop()
        stage.control.server.close()
        await fakes.wait_until(lambda: "source lost" in stream.getvalue())
        answer = await test_declared.send_request(stage)
        assert answer.status == 503

    test_declared.run_declared(play, test_declared.echo())
    lines, cause = cause_of(stream)
    assert cause.startswith("the target could not be reached but was still registered")
    assert cause.endswith("lost contact with control and may have used old data")
    assert "feed: source lost" in [line.message for line in lines]


def test_a_request_cut_off_by_a_stopping_entry_is_explained(stream):
    """The cause must name the stop, so that nobody looks for a fault of the caller."""
    never = asyncio.Event()

    async def play(stage):
        asking = asyncio.ensure_future(test_declared.send_request(stage))
        await fakes.wait_until(lambda: stage.targets[0].heads)
        await stage.entry.stop()
        await asyncio.gather(asking, return_exceptions=True)

    test_declared.run_declared(play, fakes.respond(before=never), stop_s=1)
    lines, cause = cause_of(stream)
    assert "after its stop began, while a target was processing it" in cause
    assert "for requests in progress" in cause
    cut = next(line for line in lines if line.message == "entry: cut off")
    assert cut.fields["tried"] == ["t0"]
    assert cut.fields["left_s"] > 0
    steps = [line.message.removeprefix("entry: ") for line in lines]
    assert steps[-2:] == ["cut off", "failed"]
    assert {
        "stopping",
        "accepts no more connections",
        "closes idle connections",
    } <= set(steps)


def test_an_upload_cut_off_by_a_stopping_entry_is_explained(stream):
    """The cause must say that the body was incomplete."""

    async def play(stage):
        reader, writer = await stage.connect()
        head = b"PUT /read/1 HTTP/1.1\r\nHost: x\r\nX-Id: r1\r\n"
        writer.write(head + b"Content-Length: 9\r\n\r\nhalf")
        await fakes.wait_until(lambda: stage.entry._calls.in_progress)
        await stage.entry.stop()
        answer = fakes.Answer(await reader.read())
        assert answer.refusal == "not_run stopping 503"
        writer.close()

    test_declared.run_declared(play, test_declared.echo(), stop_s=1)
    _, cause = cause_of(stream)
    assert "while its body was being received; the body was incomplete" in cause


def test_the_cause_has_the_age_of_a_request_and_the_limit_of_the_stop():
    """The cause must show a stop that cut requests off before its limit."""
    rows = [
        ("01.0", "stopping", {"finish_s": 2.64}),
        ("01.2", "cut off", {"request": "r1", "phase": "at_target", "age_s": 0.5}),
    ]
    texts = [
        msgspec.json.encode(
            {
                "time": f"2026-01-01T00:00:{second}00+00:00",
                "instance": "e1",
                "message": f"entry: {message}",
                "fields": {"since_stop_s": 2.0, **fields},
            }
        ).decode()
        for second, message, fields in rows
    ]
    lines, cause = explanations.find_cause(explanations.read_lines(texts), "r1")
    assert len(lines) == 2
    assert "2.0 s after its stop began" in cause
    assert cause.endswith("the stop allows 2.640 s for requests in progress")
    assert "the entry read it 1.500 s after the stop began" in cause


def test_a_connection_closed_by_the_caller_is_explained(stream):
    async def play(stage):
        _, writer = await stage.connect()
        writer.write(b"GET /read/1 HTTP/1.1\r\nHost: x\r\nX-Id: r1\r\n\r\n")
        await fakes.wait_until(lambda: stage.targets[0].heads)
        writer.transport.abort()
        await fakes.wait_until(lambda: "the caller left" in stream.getvalue())

    test_declared.run_declared(play, fakes.respond(before=asyncio.Event()))
    lines, cause = cause_of(stream)
    assert cause == "the caller closed the connection before it got a response"
    assert lines[-1].fields["phase"] == "at_target"


def test_the_command_reads_files_and_refuses_unknown_ids(tmp_path, capsys):
    file = tmp_path / "e1.log"
    line = {
        "time": "2026-01-01T00:00:01.000+00:00",
        "instance": "e1",
        "message": "entry: failed",
        "fields": {"request": "r9", "reason": "target_timeout"},
    }
    file.write_text(f"12.0 host {msgspec.json.encode(line).decode()}\nother {{\n")
    assert main.main(["explain", "r9", str(file)]) == 0
    assert "cause: the target did not finish its response" in capsys.readouterr().out
    assert main.main(["explain", "r9", str(file), "--json"]) == 0
    assert msgspec.json.decode(capsys.readouterr().out)["lines"]
    assert main.main(["explain", "nobody", str(file)]) == 1
    assert main.main(["explain", "r9", str(tmp_path / "none")]) == 1
