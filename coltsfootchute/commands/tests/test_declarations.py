"""Guards against a folder that is applied in part or over a newer change."""

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
def held():
    return [
        {"name": "a", "revision": 3, "document": TEXT},
        {"name": "b", "revision": 7, "document": "{}"},
    ]


def run(api, held, folder, *options):
    api.sections = held
    with documents.serving(api) as address:
        return main.main(["section", "apply", str(folder), "--api", address, *options])


def test_only_sections_that_differ_are_proposed(folder, held):
    api = documents.Api(documents.OK)
    assert run(api, held, folder) == 0
    assert [r["expected_revision"] for r in api.requests] == [7, 0]


def test_a_dry_run_proposes_nothing(folder, held, capsys):
    api = documents.Api(documents.OK)
    assert run(api, held, folder, "--dry-run", "--json") == 0
    shown = json.loads(capsys.readouterr().out)["sections"]
    assert shown == {"a": "unchanged", "b": "change", "c": "create"}
    assert api.requests == []


def test_one_bad_file_stops_all_proposals(folder, held, capsys):
    (folder / "c.jsonc").write_text('{"rules": []}')
    (folder / "d.json").write_text("{")
    api = documents.Api(documents.OK)
    assert run(api, held, folder) == 1
    assert api.requests == []
    shown = capsys.readouterr().err
    assert "c.jsonc: $.rules" in shown
    assert "d.json: line 1" in shown


def test_a_conflict_leaves_the_other_sections_alone(folder, held):
    conflict = (409, {"error": "conflict", "revision": 8, "author": "x"})
    api = documents.Api(conflict, documents.OK)
    assert run(api, held, folder) == 5
    assert len(api.requests) == 2


def test_the_request_id_depends_on_what_is_proposed():
    step = declarations.Step("a", declarations.Action.CHANGE, 3, "x")
    again = declarations.Step("a", declarations.Action.CHANGE, 3, "x")
    later = declarations.Step("a", declarations.Action.CHANGE, 4, "x")
    assert step.request_id == again.request_id != later.request_id
