"""Guards against a change that is sent twice, or whose outcome is misreported."""

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
LOST = (None, None)


class Api:
    """An API listener that gives the responses of a script, the last one again."""

    def __init__(self, *script):
        self.script = list(script)
        self.requests = []
        self.sections = []

    async def list(self, req):
        return aiohttp.web.json_response({"sections": self.sections})

    async def handle(self, req):
        self.requests.append(await req.json())
        status, body = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if status is None:
            req.transport.abort()
            return aiohttp.web.Response()
        return aiohttp.web.json_response(body, status=status)


@contextlib.contextmanager
def serving(api):
    loop = asyncio.new_event_loop()
    app = aiohttp.web.Application()
    app.router.add_get("/v1/sections", api.list)
    app.router.add_put("/v1/sections/{name}", api.handle)
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


def test_a_lost_response_is_resent_with_the_same_request_id(put):
    api = Api(LOST, (504, {}), OK)
    with serving(api) as address:
        assert put("--api", address) == 0
    assert len(api.requests) == 3
    assert all(request == api.requests[0] for request in api.requests)
    assert api.requests[0]["request_id"]


def test_a_request_that_was_never_sent_is_unreachable_not_unknown(put, capsys):
    port = fleets.free_ports(1)[0]
    assert put("--api", f"127.0.0.1:{port}") == 3
    assert "Connection refused" in capsys.readouterr().err


def test_a_bad_document_is_refused_before_it_is_sent(put, tmp_path):
    (tmp_path / "section.jsonc").write_text('{"rules": []}')
    api = Api(OK)
    with serving(api) as address:
        assert put("--api", address) == 1
    assert api.requests == []
