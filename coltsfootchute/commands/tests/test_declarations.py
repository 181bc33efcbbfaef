"""Guards against a folder that is applied in part, or that undoes a newer change."""

import json

import pytest

from coltsfootchute.commands import declarations, main
from coltsfootchute.commands.tests import test_documents as documents

TEXT = json.dumps(documents.SECTION)


@pytest.fixture
def folder(tmp_path):
    for name in ("a", "b", "c"):
        (tmp_path / f"{name}.jsonc").write_text(TEXT)
    return tmp_path


@pytest.fixture
def in_force():
    return [
        {"name": "a", "revision": 3, "document": TEXT},
        {"name": "b", "revision": 7, "document": "{}"},
    ]


def run(api, in_force, folder, *options):
    api.sections = in_force
    with documents.serving(api) as address:
        return main.main(["section", "apply", str(folder), "--api", address, *options])


def test_only_sections_that_differ_are_proposed(folder, in_force):
    api = documents.Api(documents.OK)
    assert run(api, in_force, folder) == 0
    assert [r["expected_revision"] for r in api.requests] == [7, 0]


def test_a_dry_run_proposes_nothing(folder, in_force, capsys):
    api = documents.Api(documents.OK)
    assert run(api, in_force, folder, "--dry-run", "--json") == 0
    shown = json.loads(capsys.readouterr().out)["sections"]
    assert shown == {"a": "unchanged", "b": "change", "c": "create"}
    assert api.requests == []


def test_one_invalid_file_prevents_all_proposals(folder, in_force, capsys):
    (folder / "c.jsonc").write_text('{"rules": []}')
    (folder / "d.json").write_text("{")
    api = documents.Api(documents.OK)
    assert run(api, in_force, folder) == 1
    assert api.requests == []
    shown = capsys.readouterr().err
    assert "c.jsonc: $.rules" in shown
    assert "d.json: line 1" in shown


def test_the_other_sections_are_proposed_after_a_conflict(folder, in_force):
    conflict = (409, {"error": "conflict", "revision": 8, "author": "x"})
    api = documents.Api(conflict, documents.OK)
    assert run(api, in_force, folder) == 5
    assert len(api.requests) == 2


def test_only_equal_proposals_have_the_same_request_id():
    step = declarations.Step("a", declarations.Action.CHANGE, 3, "x")
    again = declarations.Step("a", declarations.Action.CHANGE, 3, "x")
    later = declarations.Step("a", declarations.Action.CHANGE, 4, "x")
    assert step.request_id == again.request_id != later.request_id
