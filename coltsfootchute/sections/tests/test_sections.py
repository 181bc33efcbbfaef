"""Guards against invalid rules, such as those that let a request run twice."""

import json

import pytest

from coltsfootchute import errors, sections


def rule(**changes):
    return {
        "name": "read",
        "methods": ["GET"],
        "path": "/items/*",
        "repeatable": True,
        "deadline_ms": 100,
    } | changes


def parse(*rules, **fields):
    return sections.parse(json.dumps({"rules": list(rules)} | fields), ["two_choices"])


@pytest.mark.parametrize(
    ("changes", "where"),
    [
        ({"repeatable": False}, "$.rules[0].key"),
        ({"repeatable": False, "key": "required", "hedge": True}, "$.rules[0].hedge"),
        ({"key": "required"}, "$.rules[0].key"),
        ({"path": "/a/**/b"}, "$.rules[0].path"),
        ({"path": "items"}, "$.rules[0].path"),
        ({"deadline_ms": 0}, "$.rules[0].deadline_ms"),
        ({"priority": 10}, "$.rules[0].priority"),
        ({"methods": []}, "$.rules[0].methods"),
        ({"repeat": True}, "$.rules[0].repeat"),
    ],
)
def test_an_invalid_rule_is_reported_with_its_path(changes, where):
    with pytest.raises(errors.DocumentError) as caught:
        parse(rule(**changes), policy="two_choices")
    assert [path for path, _ in caught.value.problems] == [where]


def test_an_unknown_policy_is_refused_with_a_list_of_the_known_ones():
    with pytest.raises(errors.DocumentError, match="known: two_choices"):
        parse(rule(), policy="fastest")


def test_the_first_matching_rule_applies_and_other_requests_match_none():
    table = sections.RuleTable(
        parse(
            rule(),
            rule(name="rest", path="/files/**"),
            policy="two_choices",
        )
    )
    assert table.match("GET", "/items/7").name == "read"
    assert table.match("GET", "/files/a/b").name == "rest"
    assert table.match("GET", "/items/7/x") is None
    assert table.match("GET", "/items/") is None
    assert table.match("POST", "/items/7") is None
