"""A planned stop must not drop an answer that is still being written."""

import asyncio
import socket

from coltsfootchute.entry.tests import fakes

STOP_S = 3.0
BODY = bytes(120_000)
REQUEST = b"GET /shop/items/1 HTTP/1.1\r\nHost: x\r\n\r\n"
# Small windows, as on a narrow link: most of the answer waits in the process.
WINDOW_BYTES = 4096
# A caller of this rate has the answer whole well within the stop.
READ_S = 0.8 * STOP_S


def open_caller(address):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    host, _, port = address.rpartition(":")
    sock.connect((host, int(port)))
    sock.setblocking(False)
    return sock


async def read_slowly(sock):
    """Read to the end of the connection at an even rate."""
    loop = asyncio.get_running_loop()
    parts = []
    while part := await loop.sock_recv(sock, 2000):
        parts.append(part)
        await asyncio.sleep(READ_S * len(part) / len(BODY))
    return b"".join(parts)


def test_an_answer_that_a_slow_caller_still_reads_is_not_dropped():
    async def play(stage):
        loop = asyncio.get_running_loop()
        with open_caller(stage.entry.calls_address) as sock:
            server = stage.entry._calls_server
            await fakes.wait_until(lambda: server.connections)
            (transport,) = (conn.transport for conn in server.connections)
            sending = transport.get_extra_info("socket")
            sending.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, WINDOW_BYTES)
            stopping = asyncio.ensure_future(stage.entry.stop())
            await fakes.wait_until(lambda: stage.entry.own_instance().state)
            await loop.sock_sendall(sock, REQUEST)
            reading = asyncio.ensure_future(read_slowly(sock))
            await stopping
            left = transport.get_write_buffer_size()
            answer = fakes.Answer(await reading)
        assert answer.status == 200
        assert answer.body == BODY
        assert left == 0, f"{left} bytes of an answer were lost with the process"

    rules = [{**fakes.RULES[0], "deadline_ms": 8000}]
    fakes.run(play, fakes.respond(BODY), section={"rules": rules}, stop_s=STOP_S)
