"""Guards against unlimited data from a target, and data of another response."""

import asyncio

import aiohttp
import aiohttp.http
import pytest

from coltsfootchute.entry import connections

READ_BYTES = 1 << 18
BUFFER_BYTES = 1 << 16
INTERIM = b"HTTP/1.1 102 \r\n\r\n"
OWN = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Transport(asyncio.Transport):
    """A transport that only records whether it is reading and whether it is open."""

    def __init__(self):
        super().__init__()
        self.is_reading_now = True
        self.is_open = True

    def pause_reading(self):
        self.is_reading_now = False

    def resume_reading(self):
        self.is_reading_now = True

    def is_closing(self):
        return not self.is_open

    def close(self):
        self.is_open = False

    abort = close


def run(scenario):
    async def main():
        conn = connections.TargetConnection(asyncio.get_running_loop())
        conn.connection_made(Transport())
        await scenario(conn)

    asyncio.run(main())


def expect(conn):
    conn.set_response_params(read_until_eof=True, read_bufsize=BUFFER_BYTES)


@pytest.mark.parametrize(
    "unit",
    [INTERIM, OWN, b"\r\n", b"HTTP/1.1 200 OK\r\nX: "],
    ids=["interim responses", "responses", "blank lines", "heads"],
)
def test_one_read_of_endless_responses_is_not_parsed_completely(unit):
    """Parsing blocks the event loop, so other callers wait."""

    async def scenario(conn):
        expect(conn)
        conn.data_received(unit * (READ_BYTES // len(unit)))
        assert not conn.is_connected()
        parsed = connections.MIN_PART_BYTES // len(unit)
        assert len(conn) <= connections.MAX_QUEUED_RESPONSES + parsed
        assert conn.should_close

    run(scenario)


@pytest.mark.parametrize("size", [1, 7, len(OWN)])
def test_a_response_is_complete_however_its_bytes_are_divided(size):
    body = b"".join(b"%x\r\n%s\r\n" % (n, b"a" * n) for n in range(1, 9)) + b"0\r\n\r\n"
    sent = INTERIM + OWN + CHUNKED + body

    async def scenario(conn):
        expect(conn)
        for start in range(0, len(sent), size):
            conn.data_received(sent[start : start + size])
        assert (await conn.read())[0].code == 102
        assert await (await conn.read())[1].read() == b"hello"
        assert await (await conn.read())[1].read() == b"a" * 36
        assert conn.is_connected()

    run(scenario)


def test_bytes_buffered_for_a_slow_reader_keep_their_order():
    body = b"".join(b"%07d\n" % n for n in range(READ_BYTES // 4))
    sent = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    async def scenario(conn):
        expect(conn)
        received, reads = [], iter(range(0, len(sent), READ_BYTES))
        payload = None
        while payload is None or not payload.at_eof():
            await asyncio.sleep(0)
            if conn.transport.is_reading_now and (at := next(reads, None)) is not None:
                conn.data_received(sent[at : at + READ_BYTES])
            payload = payload or (await conn.read())[1]
            assert payload._size <= 2 * BUFFER_BYTES + connections.MAX_PART_BYTES
            received.append(await payload.readany())
        assert b"".join(received) == body
        assert conn.is_connected()

    run(scenario)


def test_a_reader_does_not_parse_further_data_synchronously():
    """A reader that consumes all available data must not block other callers."""

    async def scenario(conn):
        expect(conn)
        conn.data_received(CHUNKED + b"1\r\na\r\n" * (READ_BYTES // 6))
        payload = (await conn.read())[1]
        assert await payload.readany()
        assert payload._size == 0
        assert await payload.readany()
        assert conn.is_connected()

    run(scenario)


def test_a_body_that_was_not_parsed_to_its_end_does_not_look_complete():
    async def scenario(conn):
        expect(conn)
        conn.data_received(b"HTTP/1.1 200 OK\r\n\r\n" + b"a" * 2 * READ_BYTES)
        assert not conn.transport.is_reading_now
        payload = (await conn.read())[1]
        conn.connection_lost(None)
        with pytest.raises(aiohttp.http.HttpProcessingError):
            while await payload.readany():
                pass

    run(scenario)


@pytest.mark.parametrize("extra", [b"\xff" * 99, b"HTTP/9.9 zzz\r\n\r\n", INTERIM])
def test_a_response_is_not_lost_because_of_bytes_after_it(extra):
    async def scenario(conn):
        expect(conn)
        conn.data_received(OWN + extra)
        assert await (await conn.read())[1].read() == b"hello"
        assert conn.should_close

    run(scenario)


def test_the_reader_of_an_invalid_body_gets_an_error():
    async def scenario(conn):
        expect(conn)
        conn.data_received(CHUNKED + b"5\r\nhello\r\n")
        payload = (await conn.read())[1]
        assert await payload.readany() == b"hello"
        waiting = asyncio.ensure_future(payload.readany())
        await asyncio.sleep(0)
        conn.data_received(b"zz\r\n")
        with pytest.raises(aiohttp.http.HttpProcessingError):
            await waiting

    run(scenario)


def test_bytes_on_an_idle_connection_close_it():
    async def scenario(conn):
        expect(conn)
        conn.data_received(OWN)
        payload = (await conn.read())[1]
        conn.accept_response(payload)
        assert conn.is_idle
        assert conn.is_connected()
        conn.data_received(b"\r\n")
        assert not conn.is_connected()
        # The response that is complete can still be read.
        assert await payload.read() == b"hello"

    run(scenario)


def test_a_body_in_chunks_of_one_byte_does_not_exceed_the_overhead():
    sent = CHUNKED + b"1\r\na\r\n" * READ_BYTES + b"0\r\n\r\n"

    async def scenario(conn):
        expect(conn)
        reads, size, payload = iter(range(0, len(sent), READ_BYTES)), 0, None
        while payload is None or not payload.at_eof():
            await asyncio.sleep(0)
            if conn.transport.is_reading_now and (at := next(reads, None)) is not None:
                conn.data_received(sent[at : at + READ_BYTES])
            payload = payload or (await conn.read())[1]
            size += len(await payload.readany())
        assert size == READ_BYTES
        assert conn.is_connected()

    run(scenario)


def test_a_large_trailer_or_head_is_read_up_to_the_bound():
    """The limit must not reject heads that the parser of aiohttp accepts."""
    lines = b"".join(b"X-%d: %s\r\n" % (n, b"a" * 400) for n in range(100))

    async def scenario(conn):
        expect(conn)
        conn.data_received(OWN.replace(b"\r\n\r\n", b"\r\n" + lines + b"\r\n"))
        assert await (await conn.read())[1].read() == b"hello"
        expect(conn)
        conn.data_received(CHUNKED + b"5\r\nhello\r\n0\r\n" + lines + b"\r\n")
        assert await (await conn.read())[1].read() == b"hello"
        assert conn.is_connected()

    run(scenario)
