"""Guards against an evacuation that is not sent, or whose outcome is misreported."""

import json

import aiohttp.web
import pytest

from coltsfootchute.commands import main, statuses
from coltsfootchute.commands.tests import test_documents as documents

STARTED = {"failure_domain": "a/b", "started_ms": 1_796_369_346_059}
METHODS = {"start": "PUT", "end": "DELETE"}
UNKNOWN = {"error": "no_failure_domain", "detail": "known are x, y"}


class Api(documents.Api):
    """An API listener that records evacuations and has a list of replies."""

    def __init__(self, *replies):
        super().__init__(*replies)
        path = "/v1/failure-domains/{name}/evacuation"
        self.routes = [
            aiohttp.web.put(path, self.change),
            aiohttp.web.delete(path, self.change),
            aiohttp.web.get("/v1/evacuations", self.list_evacuations),
        ]

    async def change(self, req):
        self.requests.append((req.method, req.match_info["name"]))
        status, body = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        return aiohttp.web.json_response(body, status=status)

    async def list_evacuations(self, req):
        return aiohttp.web.json_response(
            {"evacuations": [STARTED], "revision": 2, "stale": True}
        )


@pytest.mark.parametrize(
    ("replies", "code", "sent"),
    [
        ([(200, {"applied": True, "evacuations": [STARTED]})], 0, 1),
        ([(404, UNKNOWN)], 1, 1),
        ([(503, {}), (200, {"applied": True, "evacuations": []})], 0, 2),
        ([(504, {})], 4, 5),
    ],
)
@pytest.mark.parametrize("verb", METHODS)
def test_a_change_is_resent_until_its_outcome_is_known(
    replies, code, sent, verb, capsys
):
    api = Api(*replies)
    with documents.serving(api) as address:
        args = ["evacuation", verb, "a/b", "--api", address, "--json"]
        assert main.main(args) == code
    assert api.requests == [(METHODS[verb], "a/b")] * sent
    shown = capsys.readouterr()
    if code == 0:
        assert json.loads(shown.out) == api.replies[-1][1]
    else:
        assert ("known are x, y" if code == 1 else "resend it") in shown.err


def test_the_list_and_the_status_show_evacuations(capsys):
    api = Api(documents.OK)
    with documents.serving(api) as address:
        assert main.main(["evacuation", "list", "--api", address]) == 0
    found = {"term": 1, "revision": 2, "members": [], "instances": []}
    statuses.print_status({**found, "evacuations": [STARTED]})
    shown = capsys.readouterr().out
    assert "may be old" in shown
    rows = [line.split() for line in shown.splitlines()]
    assert rows.count(["a/b", "2026-12-04", "07:29:06+00:00"]) == 2
