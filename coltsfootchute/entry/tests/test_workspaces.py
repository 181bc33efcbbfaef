"""Guards against requests without a key, and against keys that leave the entry."""

import asyncio
import io

import loguru
import pytest

from coltsfootchute import declarations
from coltsfootchute.entry import watches, workspaces
from coltsfootchute.entry.tests import fakes, test_declared

NAMES = {**test_declared.NAMES, "credential": "Api-Key", "workspace": "Team"}
ROUTES = [
    test_declared.READ,
    test_declared.ORDER,
    {"prefix": "/public/", "public": True},
]
KEY = "secret-1"
LIST = [
    {"name": "a", "key_digests": [declarations.key_digest(KEY)]},
    {"name": "b", "key_digests": [declarations.key_digest("")]},
]
MOVED = [{"name": "a"}, {"name": "b", "key_digests": LIST[0]["key_digests"]}]
REMOVED = [{"name": "a"}]
SHED = "503 Service Unavailable"


async def declare(harness, version, listed=LIST, routes=ROUTES):
    harness.control.declare(version, *routes, workspaces=listed)
    await fakes.wait_until(
        lambda: (
            harness.entry.view.routes is not None
            and harness.entry.view.routes.declaration.version == version
        )
    )


def run(scenario, *scripts, listed=LIST):
    """Run a scenario; return all log lines of the entry."""
    stream = io.StringIO()

    async def declared(harness):
        sink = loguru.logger.add(stream, format="{message} {extra}", level="DEBUG")
        try:
            await declare(harness, 1, listed)
            await scenario(harness)
        finally:
            loguru.logger.remove(sink)

    fakes.run(declared, *(scripts or [test_declared.echo()]), headers=NAMES)
    return stream.getvalue()


async def send_fields(harness, path, *fields, method="GET", conn=None):
    """Send a request with raw header fields, and return its answer."""
    reader, writer = conn or await harness.connect()
    lines = [f"{method} {path} HTTP/1.1".encode(), b"Host: x", b"X-Id: r1", *fields]
    if method == "POST":
        lines.append(b"Content-Length: 0")
    writer.write(b"\r\n".join([*lines, b"", b""]))
    head = await reader.readuntil(b"\r\n\r\n")
    answer = fakes.Answer(head)
    answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    if conn is None:
        writer.close()
    return answer


def teams(harness):
    """Return the values of all headers that state a workspace to the targets."""
    heads = [head for target in harness.targets for head in target.heads]
    lines = [line for head in heads for line in head.split("\r\n")]
    return sorted(
        line.split(": ", 1)[1] for line in lines if line.lower().startswith("team:")
    )


GOOD = b"Api-Key: secret-1"
SPOOFED = (b"Team: b", b"team: b", b"TEAM: a, b")
FIELDS = {
    "known": ("/read/1", [GOOD], 200, ["a"]),
    "other case": ("/read/1", [b"API-KEY:secret-1"], 200, ["a"]),
    "spoofed workspace": ("/read/1", [GOOD, *SPOOFED], 200, ["a"]),
    "named by Connection": ("/read/1", [GOOD, b"Connection: Team"], 200, ["a"]),
    "missing": ("/read/1", [], 401, []),
    "empty": ("/read/1", [b"Api-Key:"], 401, []),
    "unknown": ("/read/1", [b"Api-Key: secret-2"], 401, []),
    "repeated": ("/read/1", [GOOD, b"api-key: secret-1"], 401, []),
    "joined": ("/read/1", [b"Api-Key: secret-1, secret-1"], 401, []),
    "no text": ("/read/1", [b"Api-Key: secret-\xff\xfe"], 401, []),
    "surrogate": ("/read/1", [b"Api-Key: secret-\xed\xb3\xbf"], 401, []),
    "control character": ("/read/1", [b"Api-Key: secret-\x01"], 400, []),
    "folded": ("/read/1", [GOOD, b"Team: b", b" secret-1"], None, None),
    "public with a key": ("/public/1", [GOOD], 200, ["a"]),
    "public without a key": ("/public/1", SPOOFED, 200, []),
    "public, unknown": ("/public/1", [b"Api-Key: secret-2", *SPOOFED], 200, []),
    "public, repeated": ("/public/1", [GOOD, GOOD], 200, []),
    "public, no text": ("/public/1", [b"Api-Key: secret-\xff"], 200, []),
    "unknown route": ("/other/1", [b"Api-Key: secret-2"], 404, []),
}


@pytest.mark.parametrize("case", FIELDS.values(), ids=list(FIELDS))
def test_keys_select_workspaces_and_stay_in_the_entry(case, caplog, capfd):
    """Guards against a caller who states a workspace, and against keys in output."""
    path, fields, status, stated = case

    async def scenario(harness):
        answer = await send_fields(harness, path, *fields)
        if status is not None:
            assert (answer.status, teams(harness)) == (status, stated)
        if status == 401:
            assert answer.refusal == "not_run unknown_key 401"
        heads = "".join(head for t in harness.targets for head in t.heads)
        assert "secret" not in heads
        assert "api-key" not in heads.lower()
        assert b"secret" not in answer.body
        assert "b" not in teams(harness)

    output = run(scenario)
    shown = output + caplog.text + "".join(capfd.readouterr())
    assert "secret" not in shown
    assert "Traceback" not in shown


@pytest.mark.parametrize(
    ("listed", "expected"),
    [(MOVED, (200, "b")), (REMOVED, (401, None)), ([], (401, None)), (None, (200, ""))],
    ids=["moved", "removed", "left", "no workspaces"],
)
def test_a_change_applies_to_open_connections(listed, expected):
    """Guards against keys that are remembered for a connection."""

    async def scenario(harness):
        conn = await harness.connect()
        await send_fields(harness, "/read/1", GOOD, conn=conn)
        await declare(harness, 2, listed)
        answer = await send_fields(harness, "/read/1", GOOD, conn=conn)
        stated = teams(harness)[1:]
        team = stated[0] if stated else "" if answer.status == 200 else None
        assert (answer.status, team) == expected
        await declare(harness, 3, LIST)
        assert (await send_fields(harness, "/read/1", GOOD, conn=conn)).status == 200
        conn[1].close()

    run(scenario)


not_run = test_declared.echo(headers="X-Not-Run: 1\r\n", status=SHED)
lost = fakes.close_after(reset=True)
failed = test_declared.echo(status="500 Internal Server Error")
# Each row: method and path, the first response, the new workspaces, status and teams.
SENDS = {
    "retry, moved": ("GET /read/1", not_run, MOVED, 200, ["a", "b"]),
    "retry, removed": ("GET /read/1", not_run, REMOVED, 401, ["a"]),
    "write, removed": ("POST /order/1", not_run, REMOVED, 401, ["a"]),
    "lost, removed": ("GET /read/1", lost, REMOVED, 502, ["a"]),
    "lost, moved": ("GET /read/1", lost, MOVED, 200, ["a", "b"]),
    "failed, removed": ("GET /read/1", failed, REMOVED, 500, ["a"]),
}


@pytest.mark.parametrize(
    ("request_line", "first", "listed", "status", "stated"),
    SENDS.values(),
    ids=list(SENDS),
)
def test_a_retry_looks_up_the_key_again(request_line, first, listed, status, stated):
    """Guards against a retry for a removed key, or under the former workspace."""

    async def scenario(harness):
        declared = []

        async def script(target, head, reader, writer):
            if not declared:
                declared.append(target)
                await declare(harness, 2, listed)
                return await first(target, head, reader, writer)
            return await test_declared.echo()(target, head, reader, writer)

        for target in harness.targets:
            target.script = script
        method, path = request_line.split()
        answer = await send_fields(harness, path, GOOD, method=method)
        assert (answer.status, teams(harness)) == (status, stated)

    run(scenario, test_declared.echo(), test_declared.echo())


@pytest.mark.parametrize("listed", [REMOVED, MOVED], ids=["removed", "moved"])
def test_a_hedge_looks_up_the_key_again(listed):
    """Guards against a hedge for a removed key that ends the first attempt."""

    async def scenario(harness):
        may_answer = asyncio.Event()

        async def script(target, head, reader, writer):
            if len(teams(harness)) == 1:
                await declare(harness, 2, listed)
                await may_answer.wait()
            return await test_declared.echo()(target, head, reader, writer)

        for target in harness.targets:
            target.script = script
        pool = harness.entry.services.by_name["shop"].pool
        pool.hedge_delay = lambda now: 0.3
        sent = asyncio.ensure_future(send_fields(harness, "/read/1", GOOD))
        await asyncio.sleep(0.6)
        may_answer.set()
        assert (await sent).status == 200
        assert teams(harness) == (["a"] if listed is REMOVED else ["a", "b"])

    run(scenario, test_declared.echo(), test_declared.echo())


@pytest.mark.parametrize("is_added", [True, False])
def test_an_unknown_key_is_refused_only_by_a_recent_view(is_added):
    """Guards against 401 for a key that was added seconds ago."""

    async def scenario(harness):
        await fakes.wait_until(lambda: harness.entry.view.proof_at > 0)
        old = watches.clock() - workspaces.MAX_REFUSAL_AGE_S - 0.1
        harness.control.feed.set_proof(old)
        harness.entry.view.proof_at = old
        answer = await send_fields(harness, "/read/1", GOOD)
        assert answer.refusal == "not_run stale 503"
        sent = asyncio.ensure_future(send_fields(harness, "/read/1", GOOD))
        await asyncio.sleep(0.05)
        if is_added:
            await declare(harness, 2, LIST)
        harness.control.publish_proof()
        harness.control.publish(target=fakes.pb.Target(target_id="other"))
        assert (await sent).status == (200 if is_added else 401)

    run(scenario, listed=REMOVED)


def test_headers_are_forwarded_without_workspaces():
    """Guards against a change for deployments that declare no workspaces."""

    async def scenario(harness):
        answer = await send_fields(harness, "/read/1", b"Team: own")
        assert (answer.status, teams(harness)) == (200, ["own"])
        checks = harness.entry.metrics.key_checks
        assert not checks.total()

    run(scenario, listed=None)


def test_each_version_is_logged_once_and_counted():
    """Guards against regions that appear to be enforced, and against missing counts."""

    async def scenario(harness):
        listed = [{**LIST[0], "regions": ["r1"]}]
        await declare(harness, 2, listed)
        await declare(harness, 3, listed)
        harness.control.declare(3, *ROUTES, workspaces=listed)
        await send_fields(harness, "/read/1", GOOD)
        await send_fields(harness, "/read/1")
        checks = harness.entry.metrics.key_checks
        assert checks.labels("known").value == checks.labels("missing").value == 1

    output = run(scenario)
    assert output.count("not enforced") == 2
    assert output.count("workspaces changed") == 2


def test_without_workspaces_all_headers_are_forwarded():
    """Deployments that declare no workspaces are served as before."""

    async def scenario(harness):
        fields = (b"Api-Key: own", b"Team: mine")
        assert (await send_fields(harness, "/read/1", *fields)).status == 200
        head = harness.targets[0].heads[-1]
        assert "Api-Key: own" in head
        assert "Team: mine" in head

    run(scenario, listed=None)
