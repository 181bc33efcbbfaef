"""Declarations: their checks, matching and shares."""

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


def test_an_encoded_declaration_reads_back():
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
def test_a_contradiction_is_refused_with_its_path(changes, path):
    """An invalid declaration must not get into the log."""
    with pytest.raises(errors.DocumentError) as caught:
        declarations.parse(document(**changes))
    assert [p for p, _ in caught.value.problems] == [path]


def test_two_routes_at_one_place_are_refused():
    routes = json.loads(document())["routes"] * 2
    with pytest.raises(errors.DocumentError, match="stands 2 times"):
        declarations.parse(document(routes=routes))


def test_a_document_that_is_cut_short_is_refused():
    with pytest.raises(errors.DocumentError):
        declarations.parse(document()[:-3])


@pytest.mark.parametrize("phase", [0.0, 0.37, 0.99])
def test_short_runs_keep_the_weights(phase):
    """A few requests of one entry must not miss a share by more than a few."""
    shares = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
    services = [{"name": "s"}, {"name": "t"}]
    declared = declarations.parse(document(shares=shares, services=services))
    table = declarations.RouteTable(declared, phase)
    route = table.match("h:8080", "/a/x")
    counts = collections.Counter(table.service_of(route) for _ in range(100))
    assert 7 <= counts["t"] <= 13


def test_a_damaged_packed_document_is_reported():
    """Guards against an entry that ends by an error of the decompression."""
    packed = declarations.pack("{}" * 50)
    for damaged in (b"", packed[:-1], b"{}"):
        with pytest.raises(errors.DocumentError):
            declarations.unpack(damaged)
