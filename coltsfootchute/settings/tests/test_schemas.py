"""Guards against invalid settings that are accepted."""

import json

import msgspec
import pytest

from coltsfootchute import errors, settings

VALID = {
    "instance": {"name": "i1", "failure_domain": "fd-a"},
    "control": {
        "peer": "127.0.0.1:7001",
        "data": "data",
        "initial": [{"name": "i1", "address": "127.0.0.1:7001"}],
    },
}


def with_change(path, value):
    data = json.loads(json.dumps(VALID))
    *parents, last = path.split(".")
    parent_object = data
    for parent in parents:
        parent_object = parent_object[parent]
    parent_object[last] = value
    return json.dumps(data)


def test_comments_and_trailing_commas_are_accepted():
    text = "// first\n" + json.dumps(VALID)[:-1] + ", /* last */ }"
    assert settings.parse(text).instance.name == "i1"


@pytest.mark.parametrize(
    ("path", "value", "where"),
    [
        ("instance.name", "", "$.instance.name"),
        ("instance.name", 3, "$.instance.name"),
        ("instance.nam", "x", "$.instance.nam"),
        ("control.peer", "localhost:1", "$.control.peer"),
        ("control.peer", "127.0.0.1", "$.control.peer"),
        ("control.peer", "127.0.0.1:99999", "$.control.peer"),
        ("control.initial", [], "$.control.initial"),
        ("control.initial", [{"name": "i1"}], "$.control.initial[0].address"),
        ("control.metrics", "127.0.0.1:7001", "$.control.metrics"),
        ("metrics", "127.0.0.1:7001", "$.control.peer"),
        ("metrics", "localhost:1", "$.metrics"),
        ("control.data", None, "$.control.data"),
    ],
)
def test_a_mistake_is_reported_with_its_path(path, value, where):
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse(with_change(path, value))
    assert where in [path for path, _ in caught.value.problems]


def test_every_mistake_is_reported_at_once():
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse('{"instance": {"name": 1, "extra": 2}}')
    assert len(caught.value.problems) == 3


def test_a_syntax_error_is_reported_with_its_line():
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse('{\n"instance": {"name" 1}}')
    assert caught.value.problems[0][0] == "line 2"


@pytest.mark.parametrize(("initial", "losses"), [(1, 0), (3, 1), (4, 1), (5, 2)])
def test_the_initial_instances_determine_the_tolerated_losses(initial, losses):
    """Guards against a cluster that gives up voters that it needs."""
    members = [
        settings.InitialMember(name=f"c{n}", address=f"127.0.0.1:{n}")
        for n in range(initial)
    ]
    cfg = settings.ControlSettings(peer="127.0.0.1:1", data="d", initial=members)
    assert cfg.wanted_losses() == losses
    more = msgspec.structs.replace(cfg, tolerated_losses=2)
    assert more.wanted_losses() == 2


def test_settings_without_a_role_are_refused():
    with pytest.raises(errors.SettingsError, match="needs `control`"):
        settings.parse('{"instance": {"name": "a", "failure_domain": "b"}}')


def test_a_missing_file_is_a_settings_error(tmp_path):
    with pytest.raises(errors.SettingsError, match="No such file"):
        settings.load(tmp_path / "absent.json")
