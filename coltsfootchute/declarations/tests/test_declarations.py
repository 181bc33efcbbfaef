"""Guards against invalid declarations, wrong matches and wrong distributions."""

import collections
import json

import pytest

from coltsfootchute import declarations, errors


def document(**changes):
    route = {
        "name": "r",
        "host": "h",
        "prefix": "/a/",
        "guarantee": "repeatable",
        "shares": [{"service": "s"}],
    }
    whole = {"version": 1, "services": [{"name": "s"}], "routes": [route]}
    whole |= {k: v for k, v in changes.items() if k in whole}
    route |= {k: v for k, v in changes.items() if k not in whole}
    return json.dumps(whole)


def test_an_encoded_declaration_is_parsed_to_an_equal_one():
    declared = declarations.parse(document())
    assert declarations.parse(declarations.encode(declared)) == declared


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"shares": [{"service": "other"}]}, "$.routes[0].shares"),
        ({"shares": [{"service": "s", "weight": 0}]}, "$.routes[0].shares"),
        ({"prefix": "/a"}, "$.routes[0].prefix"),
        ({"attempts": 0}, "$.routes[0].attempts"),
        ({"version": 0}, "$.version"),
        ({"services": [{"name": "s"}, {"name": "s"}]}, "$.services"),
    ],
)
def test_an_invalid_declaration_is_refused_with_the_path_of_the_mistake(changes, path):
    """An invalid declaration must not enter the replicated log."""
    with pytest.raises(errors.DocumentError) as caught:
        declarations.parse(document(**changes))
    assert [p for p, _ in caught.value.problems] == [path]


def test_two_routes_with_the_same_host_and_prefix_are_refused():
    routes = json.loads(document())["routes"] * 2
    with pytest.raises(errors.DocumentError, match="is declared 2 times"):
        declarations.parse(document(routes=routes))


def test_a_truncated_document_is_refused():
    with pytest.raises(errors.DocumentError):
        declarations.parse(document()[:-3])


@pytest.mark.parametrize("phase", [0.0, 0.37, 0.99])
def test_a_short_run_of_requests_is_distributed_by_weight(phase):
    """In 100 requests of one entry a share may miss its weight by 3 at most."""
    shares = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
    services = [{"name": "s"}, {"name": "t"}]
    declared = declarations.parse(document(shares=shares, services=services))
    table = declarations.RouteTable(declared, phase)
    route = table.match("h:8080", "/a/x")
    counts = collections.Counter(table.select_service(route) for _ in range(100))
    assert 7 <= counts["t"] <= 13


def test_a_damaged_packed_document_is_reported():
    """Guards against an entry that exits because of a decompression error."""
    packed = declarations.pack("{}" * 50)
    for damaged in (b"", packed[:-1], b"{}"):
        with pytest.raises(errors.DocumentError):
            declarations.unpack(damaged)
