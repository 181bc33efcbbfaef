"""Guards against a closing connection that cuts an answer or runs one more request."""

import asyncio
import contextlib

import multidict
import pytest

from coltsfootchute.entry import answers, listeners

TIMEOUT_S = 5.0


@contextlib.asynccontextmanager
async def open_connection(handler):
    """Start a server with a handler and open a connection to it."""
    server = listeners.Server(handler)
    listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
    address = listener.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(*address)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield server, reader, writer
    finally:
        writer.transport.abort()
        listener.close()
        await server.shutdown(0.1)


def get(path, headers=""):
    return f"GET {path} HTTP/1.1\r\nHost: x\r\n{headers}\r\n".encode()


async def read_to_end(reader):
    """Read until the connection is closed or reset."""
    received = b""
    with contextlib.suppress(ConnectionError):
        while part := await reader.read(1 << 16):
            received += part
    return received


def test_a_stop_does_not_cut_off_an_answer_sent_before_its_request_has_arrived():
    """Data that reaches a closed socket resets it, and the caller loses the answer."""

    async def refuse(request):
        headers = multidict.CIMultiDict()
        return await answers.write_answer(request, 413, headers, b"too large", False)

    async def scenario():
        async with open_connection(refuse) as (server, reader, writer):
            writer.write(get("/1", "Content-Length: 200\r\n") + b"a" * 100)
            await reader.readuntil(b"too large")
            assert server.close_idle() == 0
            closed = asyncio.ensure_future(server.wait_closed())
            await asyncio.sleep(0)
            assert not closed.done()
            writer.write(b"a" * 100)
            assert await reader.read() == b""
            await closed

    asyncio.run(scenario())


@pytest.mark.parametrize("is_stopping", [False, True])
def test_a_request_after_the_answer_that_closes_its_connection_is_not_run(is_stopping):
    """A caller without an answer on a closed connection assumes it was not run."""
    ran = []
    may_finish = asyncio.Event()

    async def answer(request):
        ran.append(request.path)
        headers = multidict.CIMultiDict({"Content-Length": "5"})
        # An answer that began before the stop has a head with keep-alive.
        writer = await answers.start_answer(
            request, 200, "OK", headers, keep_alive=is_stopping
        )
        await writer.write(b"wh")
        await may_finish.wait()
        await writer.write_eof(b"ole")
        return answers.KEEP_CONNECTION if is_stopping else answers.CLOSE_CONNECTION

    async def scenario():
        async with open_connection(answer) as (server, reader, writer):
            writer.write(get("/1"))
            await reader.readuntil(b"wh")
            if is_stopping:
                assert server.close_idle() == 0
            writer.write(get("/2"))
            await asyncio.sleep(0.1)
            may_finish.set()
            assert await reader.readexactly(3) == b"ole"
            writer.write(get("/3"))
            assert await read_to_end(reader) == b""
            assert ran == ["/1"]

    asyncio.run(scenario())


def test_a_request_that_was_read_but_not_handed_over_is_answered():
    """Data arrives and a stop closes idle connections in one turn of the event loop."""

    async def scenario():
        async with open_connection(_answer_200) as (server, reader, writer):
            writer.write(get("/0"))
            await reader.readuntil(b"\r\n\r\n")
            (conn,) = server.connections
            conn.data_received(get("/1"))
            assert server.close_idle() == 0
            answer = await read_to_end(reader)
            assert answer.startswith(b"HTTP/1.1 200")

    asyncio.run(scenario())


def test_a_cut_answer_of_unknown_length_does_not_look_complete():
    """An orderly close would mark the end of the answer."""
    started = asyncio.Event()

    async def answer(request):
        writer = await answers.start_answer(
            request,
            200,
            "OK",
            multidict.CIMultiDict(),
            keep_alive=False,
            is_close_delimited=True,
        )
        await writer.write(b"part")
        started.set()
        await asyncio.sleep(TIMEOUT_S * 2)

    async def scenario():
        async with open_connection(answer) as (server, reader, writer):
            writer.write(get("/1"))
            await started.wait()
            await reader.readuntil(b"part")
            await server.shutdown(0.01)
            with pytest.raises(ConnectionResetError):
                await reader.read()

    asyncio.run(scenario())


async def _answer_200(request):
    headers = multidict.CIMultiDict()
    return await answers.write_answer(request, 200, headers, b"", True)
