"""Guards against log lines that are malformed or contain request data."""

import io
import json

import loguru
import pytest

from coltsfootchute import logs, settings


@pytest.fixture
def stream():
    yield io.StringIO()
    loguru.logger.remove()


def parse_settings(log_format):
    return settings.parse(
        f"""{{"instance": {{"name": "i1", "failure_domain": "a"}},
        "entry": {{"calls": "127.0.0.1:0", "api": "127.0.0.1:0",
                   "peer": "127.0.0.1:0", "control": ["127.0.0.1:1"]}},
        "log": {{"format": "{log_format}", "level": "WARNING"}}}}"""
    )


def test_a_json_line_is_one_object_without_values_of_variables(stream):
    logs.configure(parse_settings("json"), stream)
    loguru.logger.info("entry: below the configured level")
    body = "private"
    try:
        raise ValueError(len(body))
    except ValueError:
        loguru.logger.exception("entry: {it} failed")
    lines = stream.getvalue().splitlines()
    (line,) = map(json.loads, lines)
    assert (line["instance"], line["level"]) == ("i1", "ERROR")
    assert line["message"] == "entry: {it} failed"
    assert "ValueError: 7" in line["exception"]
    assert body not in line["exception"]


def test_human_lines_name_the_instance(stream):
    logs.configure(parse_settings("human"), stream)
    loguru.logger.warning("entry: slow")
    assert stream.getvalue().endswith("WARNING i1 entry: slow\n")


def test_a_field_that_is_not_text_is_written(stream, capfd):
    """Guards against a traceback with all fields in place of the line."""
    logs.configure(parse_settings("json"), stream)
    loguru.logger.bind(fields={"request": "\udcff"}).warning("entry: refused")
    assert json.loads(stream.getvalue())["fields"] == {"request": "\udcff"}
    assert capfd.readouterr().err == ""
