"""Guards against invalid settings that pass the check, and invalid examples."""

import copy
import json
import pathlib

import pytest

from coltsfootchute.commands import main

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
VALID = {
    "instance": {"name": "i1", "failure_domain": "fd-a"},
    "control": {
        "peer": "127.0.0.1:7001",
        "data": "data",
        "initial": [{"name": "i1", "address": "127.0.0.1:7001"}],
    },
    "entry": {
        "calls": "127.0.0.1:8001",
        "api": "127.0.0.1:8101",
        "peer": "127.0.0.1:8201",
        "control": ["127.0.0.1:7001"],
    },
}
REMOVED = object()

# Path of the field, its invalid value, and text that the message must contain.
MISTAKES = [
    ("instance.name", REMOVED, "$.instance.name: missing"),
    ("instance.name", "I 1", "$.instance.name"),
    ("instance.failure_domain", 3, "$.instance.failure_domain"),
    ("control.peer", "localhost:7001", "'localhost' is not an IP address"),
    ("control.data", "", "$.control.data"),
    ("control.initial", [], "$.control.initial"),
    ("control.initials", [], "$.control.initials: unknown field"),
    ("entry.calls", "127.0.0.1", "$.entry.calls: '127.0.0.1' is not an IP address and"),
    ("entry.api", "127.0.0.1:8001", "$.entry.api: the same address as"),
    ("entry.control", [], "$.entry.control"),
    ("entry.keep_s", -1, "$.entry.keep_s"),
    ("entry.operators", {"a": "secret"}, "$.entry.operators"),
    ("log", {"format": "xml"}, "$.log.format"),
]


def _with_change(path: str, value: object) -> dict:
    cfg = copy.deepcopy(VALID)
    *parents, name = path.split(".")
    parent_object = cfg
    for parent in parents:
        parent_object = parent_object[parent]
    if value is REMOVED:
        del parent_object[name]
    else:
        parent_object[name] = value
    return cfg


def _check(tmp_path: pathlib.Path, text: str, *options: str) -> int:
    path = tmp_path / "settings.jsonc"
    path.write_text(text)
    return main.main(["check", str(path), *options])


def test_valid_settings_with_comments_pass(tmp_path, capsys):
    assert _check(tmp_path, f"// first\n{json.dumps(VALID)}") == 0
    assert "instance i1, control and entry" in capsys.readouterr().out


@pytest.mark.parametrize(("path", "value", "message"), MISTAKES)
def test_each_mistake_is_reported_in_one_line(tmp_path, capsys, path, value, message):
    assert _check(tmp_path, json.dumps(_with_change(path, value))) == 1
    err = capsys.readouterr().err
    assert message in err
    assert err.count("\n") == 1


def test_a_syntax_error_is_reported_with_its_line(tmp_path, capsys):
    assert _check(tmp_path, '{\n"instance": }') == 1
    assert "line 2" in capsys.readouterr().err


def test_json_output_lists_all_mistakes(tmp_path, capsys):
    cfg = _with_change("instance.name", "I 1") | {"log": {"level": "LOUD"}}
    assert _check(tmp_path, json.dumps(cfg), "--json") == 1
    found = json.loads(capsys.readouterr().out)
    paths = {problem["path"] for problem in found["problems"]}
    assert paths == {"$.instance.name", "$.log.level"}


@pytest.mark.parametrize("path", list(EXAMPLES.rglob("*.jsonc")), ids=lambda p: p.name)
def test_every_example_is_valid(path):
    command = "check-section" if path.parent.name == "sections" else "check"
    assert main.main([command, str(path)]) == 0


def test_all_examples_are_found():
    assert len(list(EXAMPLES.rglob("*.jsonc"))) == 12


def test_a_section_with_an_unknown_policy_is_refused(tmp_path, capsys):
    path = tmp_path / "section.jsonc"
    rule = {"name": "r", "methods": ["GET"], "path": "/", "repeatable": True}
    path.write_text(
        json.dumps({"policy": "best", "rules": [{**rule, "deadline_ms": 9}]})
    )
    assert main.main(["check-section", str(path)]) == 1
    assert "unknown policy 'best'" in capsys.readouterr().err
