"""Guards against a change that is made twice, or whose outcome is misreported."""

import asyncio
import contextlib
import json
import threading

import aiohttp.web
import pytest

from coltsfootchute.commands import main
from coltsfootchute.standins import fleets

SECTION = {
    "rules": [
        {
            "name": "read",
            "methods": ["GET"],
            "path": "/**",
            "repeatable": True,
            "deadline_ms": 100,
        }
    ]
}
OK = (200, {"revision": 1})
NO_RESPONSE = (None, None)


class Api:
    """An API listener with a list of replies, of which it repeats the last one."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.requests = []
        self.sections = []
        self.routes = []

    async def list_sections(self, req):
        return aiohttp.web.json_response({"sections": self.sections})

    async def put_section(self, req):
        self.requests.append(await req.json())
        status, body = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        if status is None:
            req.transport.abort()
            return aiohttp.web.Response()
        return aiohttp.web.json_response(body, status=status)


@contextlib.contextmanager
def serving(api):
    loop = asyncio.new_event_loop()
    app = aiohttp.web.Application()
    app.router.add_get("/v1/sections", api.list_sections)
    app.router.add_put("/v1/sections/{name}", api.put_section)
    app.add_routes(api.routes)
    runner = aiohttp.web.AppRunner(app)
    loop.run_until_complete(runner.setup())
    site = aiohttp.web.TCPSite(runner, "127.0.0.1", 0)
    loop.run_until_complete(site.start())
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        yield f"127.0.0.1:{runner.addresses[0][1]}"
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.run_until_complete(runner.cleanup())
        loop.close()


@pytest.fixture
def put(tmp_path):
    path = tmp_path / "section.jsonc"
    path.write_text(json.dumps(SECTION))
    args = ["section", "put", "demo", str(path), "--expected-revision", "0"]
    return lambda *options: main.main([*args, *options])


@pytest.mark.parametrize(
    ("reply", "code"),
    [
        (OK, 0),
        ((403, {"error": "not_owner"}), 1),
        ((400, {"error": "invalid", "errors": [{"path": "$.a", "reason": "b"}]}), 1),
        ((409, {"error": "request_id_reused", "revision": 4}), 1),
        ((409, {"error": "conflict", "revision": 4, "author": "x"}), 5),
        ((504, {"error": "unknown"}), 4),
    ],
)
def test_each_outcome_has_its_exit_code(put, capsys, reply, code):
    with serving(Api(reply)) as address:
        assert put("--api", address) == code
    assert capsys.readouterr().err.count("\n") == (1 if code else 0)


def test_a_request_without_a_response_is_resent_unaltered(put):
    api = Api(NO_RESPONSE, (504, {}), OK)
    with serving(api) as address:
        assert put("--api", address) == 0
    assert len(api.requests) == 3
    assert all(request == api.requests[0] for request in api.requests)
    assert api.requests[0]["request_id"]


def test_a_refused_connection_has_the_exit_code_of_unreachable(put, capsys):
    port = fleets.free_ports(1)[0]
    assert put("--api", f"127.0.0.1:{port}") == 3
    assert "Connection refused" in capsys.readouterr().err


def test_an_invalid_document_is_not_sent(put, tmp_path):
    (tmp_path / "section.jsonc").write_text('{"rules": []}')
    api = Api(OK)
    with serving(api) as address:
        assert put("--api", address) == 1
    assert api.requests == []
