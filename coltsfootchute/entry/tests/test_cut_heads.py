"""Guards against a response whose head was cut off and that looks complete."""

import asyncio

import aiohttp
import pytest

from coltsfootchute.entry import connections
from coltsfootchute.entry.tests import fakes, test_declared

SEALED = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: 1\r\n"
WHOLE = SEALED + b"Content-Length: 5\r\n\r\nhello"
HEADS = {
    "length": SEALED + b"Content-Length: 5\r\n\r\n",
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Seal: 1\r\n\r\n",
    "chunks": SEALED + b"Transfer-Encoding: chunked\r\n\r\n",
    "close": SEALED + b"\r\n",
    "interim": b"HTTP/1.1 102 Processing\r\n\r\n" + SEALED + b"\r\n",
    "large": SEALED + b"X-A: " + b"a" * 9000 + b"\r\nContent-Length: 0\r\n\r\n",
    "line feeds": (SEALED + b"Content-Length: 5\r\n\r\n").replace(b"\r", b""),
    "HTTP/1.0": SEALED.replace(b"1.1", b"1.0") + b"Content-Length: 5\r\n\r\n",
    "not run": b"HTTP/1.1 503 Busy\r\nX-Id: r1\r\nX-Not-Run: 1\r\n\r\n",
}
ROUTES = (
    {"prefix": "/read/", "timeout_s": 2, "attempts": 1},
    {"prefix": "/once/", "guarantee": "at_most_once", "timeout_s": 2, "attempts": 1},
)


def cuts_of(head):
    """Return positions in a head, among them all near its start and its end."""
    return [k for k in range(len(head)) if k < 90 or k > len(head) - 40 or k % 997 == 0]


def run_cuts(head, is_reset=False):
    """Return the answers to requests whose responses are cut at each position."""
    cut, answers = b"", []

    async def script(target, request_head, reader, writer):
        await fakes.read_body(request_head, reader)
        if "/whole" in request_head:
            writer.write(WHOLE)
            await writer.drain()
            return None
        writer.write(cut)
        await writer.drain()
        if is_reset:
            # The cut head arrives before the reset.
            await asyncio.sleep(0.002)
            writer.transport.abort()
        return "close"

    async def scenario(harness):
        nonlocal cut
        for position in cuts_of(head):
            cut = head[:position]
            # The next request of the same kind is sent on the same connection.
            whole = await test_declared.send_request(harness, "/read/whole")
            assert whole.body == b"hello"
            for path, method, body in (
                ("/read/1", "GET", b""),
                ("/once/1", "PUT", b"a"),
            ):
                answer = await test_declared.send_request(harness, path, method, body)
                answers.append(answer)
        assert len(harness.targets[0].heads) == 3 * len(cuts_of(head))

    test_declared.run_declared(scenario, script, routes=ROUTES)
    return answers


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("head", HEADS.values(), ids=list(HEADS))
def test_a_head_that_is_cut_off_is_no_response(head, is_reset):
    """Callers got a 200 with an empty body, or "not run" for a request that ran."""
    answers = run_cuts(head, is_reset)
    assert {answer.refusal for answer in answers} == {
        "may_have_run connection_lost 502"
    }


def test_the_check_finds_a_parser_that_accepts_a_cut_head(monkeypatch):
    """The check must fail for a connection that takes what has arrived as a head."""
    connection_lost = connections.TargetConnection.connection_lost

    def accept(self, exc):
        message = self._parser.feed_eof() if self._parser is not None else None
        if message is not None:
            self.feed_data((message, aiohttp.streams.EMPTY_PAYLOAD), 0)
        connection_lost(self, exc)

    monkeypatch.setattr(connections.TargetConnection, "connection_lost", accept)
    assert 200 in {answer.status for answer in run_cuts(HEADS["length"])}
