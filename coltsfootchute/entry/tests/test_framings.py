"""Guards against bodies that are parsed in many small parts."""

import random
import time

import pytest

from coltsfootchute.entry import framings
from coltsfootchute.entry.tests import test_declared, test_pipelines

NEXT = b"GET /next HTTP/1.1\r\n\r\n"
CHUNKED = {
    "one chunk": b"5\r\nhello\r\n0\r\n\r\n",
    "blank lines in a chunk": b"8\r\n\r\n\r\n\r\n\r\n\r\n0\r\n\r\n",
    "an end in a chunk": b"7\r\n0\r\n\r\nab\r\n0\r\n\r\n",
    "extensions and trailers": b"A;x=y\r\n0123456789\r\n0;z\r\nX-A: b\r\n\r\n",
    "a long extension": b"1;" + b"x" * 500 + b"\r\na\r\n0\r\n\r\n",
    "line feeds only": b"2\nab\r\n0\n\n",
}


def end_of(framing, parts):
    """Return the number of bytes that the framing counts as the body."""
    total = 0
    for part in parts:
        end = framing.find_end(part, 0)
        total += end
        if end < len(part):
            break
    return total


@pytest.mark.parametrize("body", CHUNKED.values(), ids=list(CHUNKED))
def test_the_end_of_a_chunked_body_is_found_however_it_arrives(body):
    """A request behind the body would be handed to the parser with it."""
    data = body + NEXT
    for seed in range(30):
        rng = random.Random(seed)
        cuts = sorted(rng.sample(range(len(data)), rng.randrange(8)))
        bounds = zip([0, *cuts], [*cuts, len(data)], strict=True)
        framing = framings.BodyFraming(None)
        assert end_of(framing, [data[a:b] for a, b in bounds]) == len(body)
        assert framing.is_complete


@pytest.mark.parametrize("length", [1, 4, 20_000])
def test_the_end_of_a_body_of_known_length_is_found(length):
    data = b"\r\n\r\n" * length
    framing = framings.BodyFraming(length)
    assert end_of(framing, [data[:3], data[3:]]) == length
    assert framing.is_complete


def test_a_body_of_blank_lines_takes_no_longer_than_another():
    """Two such uploads of 6 MB in all occupied an entry for 32 s."""
    size = 1 << 22

    async def scenario(harness):
        async def upload(body):
            started_s = time.perf_counter()
            reader, writer = await harness.connect()
            head = f"PUT /read/1 HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n"
            writer.write(head.encode() + b"X-Id: r1\r\n\r\n" + body)
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            writer.close()
            return time.perf_counter() - started_s

        plain, blank = b"b" * size, b"\r\n" * (size // 2)
        pairs = [(await upload(plain), await upload(blank)) for _ in range(5)]
        plain_s, blank_s = (min(times) for times in zip(*pairs, strict=True))
        assert blank_s < 2 * plain_s

    routes = [{"prefix": "/read/", "timeout_s": 60}]
    test_declared.run_declared(scenario, test_declared.echo(), routes=routes)


def test_requests_behind_a_chunked_body_are_answered():
    """The next head was not found where a body had been cut elsewhere."""

    async def scenario(harness):
        reader, writer = await harness.connect()
        head = "PUT /read/{} HTTP/1.1\r\nHost: x\r\nX-Id: r{}\r\n{}\r\n"
        chunked = "Transfer-Encoding: chunked\r\n"
        body = CHUNKED["an end in a chunk"].decode()
        raw = "".join(head.format(n, n, chunked) + body for n in range(3)).encode()
        for start in range(0, len(raw), 50):
            writer.write(raw[start : start + 50])
        for _ in range(3):
            status, _, _ = await test_pipelines.read_answer(reader)
            assert status == 200
        writer.close()

    test_declared.run_declared(
        scenario, test_declared.echo(), routes=[{"prefix": "/read/", "timeout_s": 5}]
    )


def test_a_body_that_the_parser_holds_back_is_read_to_its_end():
    """While the reader of a body is behind, the parser keeps received bytes."""
    chunks = 50_000

    async def scenario(harness):
        reader, writer = await harness.connect()
        head = b"PUT /read/1 HTTP/1.1\r\nHost: x\r\nX-Id: r1\r\n"
        body = b"1\r\na\r\n" * chunks + b"0\r\n\r\n"
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n" + body)
        assert (await test_pipelines.read_answer(reader))[0] == 200
        writer.close()

    test_declared.run_declared(
        scenario, test_declared.echo(), routes=[{"prefix": "/read/", "timeout_s": 30}]
    )
