"""Guards against a caller that loses a key, reuses a bad address or accepts a cut."""

import asyncio
import contextlib
import random

import aiohttp.web
import pytest

from coltsfootchute import verdicts
from coltsfootchute.standins import callers, targets

NOT_RUN = {verdicts.VERDICT_HEADER: "not_run", verdicts.REASON_HEADER: "queue_full"}


class FakeEntries:
    """Two entry addresses; the first one fails in a given way, the second one works."""

    def __init__(self, failure):
        self.failure = failure
        self.address_requests = 0
        self.received = []

    async def handle_addresses(self, req):
        self.address_requests += 1
        listed = [
            {"address": address, "failure_domain": "a"} for address in self.addresses
        ]
        return aiohttp.web.json_response({"keep_s": 60, "addresses": listed})

    async def handle(self, req):
        number = self.addresses.index(req.host)
        key = req.headers.get(verdicts.KEY_HEADER)
        self.received.append((number, key, req.headers[targets.REQUEST_ID_HEADER]))
        if number == 0 and self.failure == "shed":
            return aiohttp.web.Response(status=503, headers=NOT_RUN)
        if number == 0 and self.failure == "abort":
            req.transport.abort()
            return aiohttp.web.Response()
        if number == 0 and self.failure == "cut":
            resp = aiohttp.web.StreamResponse(headers={"Content-Length": "100"})
            await resp.prepare(req)
            await resp.write(b"x")
            req.transport.close()
            return resp
        return await self.target._handle_work(req)

    @contextlib.asynccontextmanager
    async def serve(self):
        self.target = targets.Target(targets.Options(service_ms=1))
        app = aiohttp.web.Application()
        app.router.add_get("/v1/services/demo/addresses", self.handle_addresses)
        app.router.add_route("*", "/demo/{path:.*}", self.handle)
        runner = aiohttp.web.AppRunner(app)
        await runner.setup()
        for _ in range(2):
            await aiohttp.web.TCPSite(runner, "127.0.0.1", 0).start()
        self.addresses = [f"127.0.0.1:{port}" for _, port in runner.addresses]
        async with callers.open_session() as session:
            yield callers.Caller("demo", [self.addresses[1]], session, random.Random(1))
        await runner.cleanup()


def send_twice(failure, **fields):
    async def run():
        entries = FakeEntries(failure)
        async with entries.serve() as caller:
            return entries, [
                await caller.call(callers.Call(**fields)) for _ in range(2)
            ]

    return asyncio.run(run())


READ = {"method": "GET", "path": "/a", "repeatable": True}
ORDER = {"method": "POST", "path": "/b", "repeatable": False, "body": b"1"}


@pytest.mark.parametrize("fields", [READ, ORDER])
@pytest.mark.parametrize("failure", ["shed", "abort", "cut"])
def test_failed_call_is_resent_elsewhere_with_same_id_and_key(failure, fields):
    entries, (first, second) = send_twice(failure, **fields)
    assert [a.verdict for a in first.attempts][-1] is verdicts.Verdict.RAN
    (_, key, request_id), (resent_to, resent_key, resent_id) = entries.received[:2]
    assert resent_to == 1
    assert (resent_key, resent_id) == (key, request_id)
    assert bool(key) is not fields["repeatable"]
    assert first.request_id != second.request_id
    failed = first.attempts[0]
    expected = "NOT_RUN" if failure == "shed" else "MAY_HAVE_RUN"
    assert failed.verdict is verdicts.Verdict[expected]
    assert failed.cut is (failure == "cut")


def test_addresses_are_cached_for_the_stated_time():
    entries, _ = send_twice("none", **READ)
    assert entries.address_requests == 1
