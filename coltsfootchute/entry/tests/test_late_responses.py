"""Guards against a late copy of a response that is taken for that to another request.

A faulty target writes a response once more, on a connection that is in use again.
"""

import asyncio

import multidict
import pytest

from coltsfootchute.entry import attempts
from coltsfootchute.entry.tests import fakes, test_declared

REFUSAL = (
    b"HTTP/1.1 503 -\r\nContent-Length: 0\r\nX-Not-Run: 1\r\nX-Load: 0,0,4\r\n%s\r\n"
)
PROBES = ["GET /health HTTP/1.1", "OPTIONS * HTTP/1.1"]
SAMPLES = {"per_target_s": 1000, "fan_out": 1, "wait_s": 0.2}


def answer_to(head):
    """Return a response whose body is the line with the id of the request."""
    line = next(h for h in head.split("\r\n") if h.startswith("X-Id"))
    body = line.encode()
    lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}", "X-Seal: 1", line]
    return "\r\n".join([*lines, "", ""]).encode() + body


class CopyingTarget:
    """A script that refuses one probe, and copies that before the next response."""

    def __init__(self, copy, delay_s=0.0):
        self.copy = copy
        self.delay_s = delay_s
        self.ran = []
        self.probed = set()

    async def __call__(self, target, head, reader, writer):
        if head.startswith("GET /health"):
            self.probed.add(writer)
            writer.write(REFUSAL % b"")
            return await writer.drain()
        await fakes.read_body(head, reader)
        self.ran.append(head)
        if writer in self.probed:
            writer.write(self.copy)
        await asyncio.sleep(self.delay_s)
        writer.write(answer_to(head))
        await writer.drain()


def run(scenario, *scripts):
    test_declared.run_declared(
        scenario, *scripts, samples=SAMPLES, retries={"percent": 100}
    )


@pytest.mark.parametrize("request_id", [b"", b"X-Id: earlier\r\n"])
@pytest.mark.parametrize("delay_s", [0.0, 0.1])
def test_a_copied_refusal_is_not_the_answer_to_the_next_request(request_id, delay_s):
    """A caller must not be told that a request did not run while a target runs it."""
    script = CopyingTarget(REFUSAL % request_id, delay_s)

    async def scenario(harness):
        answer = await test_declared.send_request(harness)
        assert script.ran
        assert answer.status == 200 or answer.refusal.startswith("may_have_run")
        assert answer.status not in {408, 421, 429, 503}

    run(scenario, script)


def test_the_connection_of_a_copied_refusal_is_not_used_again():
    script = CopyingTarget(REFUSAL % b"")

    async def scenario(harness):
        await test_declared.send_request(harness)
        target = harness.targets[0]
        await fakes.wait_until(lambda: target.closed_connections)

    run(scenario, script)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_status_that_means_not_run_needs_a_statement_of_the_target(status):
    """Callers take these statuses as a statement, so a target must have made it."""

    async def scenario(harness):
        answer = await test_declared.send_request(harness, "/order/1", "POST", b"one")
        expected = 503 if status == 421 else 502
        assert answer.status == expected

    script = test_declared.echo(status=f"{status} -", headers="")
    test_declared.run_declared(scenario, script)


def test_a_copy_between_two_requests_sent_ahead_is_skipped():
    """The second of two callers must not get the answer of the first."""

    class Copier:
        def __init__(self):
            self.last = b""

        async def __call__(self, target, head, reader, writer):
            answer = answer_to(head)
            writer.write(self.last + answer)
            self.last = answer
            await writer.drain()

    async def scenario(harness):
        for number in range(8):
            answer = await test_declared.send_request(harness, X_Id=f"r{number}")
            assert (answer.status, answer.body) == (200, f"X-Id: r{number}".encode())

    test_declared.run_declared(scenario, Copier())


@pytest.mark.parametrize("idle_s", [0.0, 0.1])
def test_a_copy_on_an_idle_connection_closes_it(idle_s):
    """The first bytes after an idle time are not the answer to the next request."""

    async def script(target, head, reader, writer):
        answer = answer_to(head)
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(idle_s / 2)
        writer.write(answer)
        await writer.drain()

    async def scenario(harness):
        for number in range(4):
            answer = await test_declared.send_request(harness, X_Id=f"r{number}")
            assert (answer.status, answer.body) == (200, f"X-Id: r{number}".encode())
            await asyncio.sleep(idle_s)
        if idle_s:
            assert harness.targets[0].connections == 4

    test_declared.run_declared(scenario, script)


@pytest.mark.parametrize("line", PROBES)
def test_a_copied_answer_is_not_that_to_a_probe(line):
    """A probe must not measure the target by the response to an earlier request."""
    copies = []

    async def script(target, head, reader, writer):
        if head.startswith("GET /read"):
            copies.append(answer_to(head))
            writer.write(copies[0])
        else:
            writer.write(copies[0] + REFUSAL % b"")
        await writer.drain()

    async def scenario(harness):
        assert (await test_declared.send_request(harness)).status == 200
        service = harness.entry.services.by_name["shop"]
        endpoint = service.endpoint(harness.targets[0].address)
        attempt = attempts.Attempt()
        headers = multidict.CIMultiDict({"Host": "x"})
        await harness.entry._forwarder.probe(attempt, endpoint, line, headers)
        assert attempt.message.code == 503
        attempt.finish()
        assert harness.targets[0].connections == 1

    test_declared.run_declared(scenario, script)
