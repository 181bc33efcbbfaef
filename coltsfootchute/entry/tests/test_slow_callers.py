"""A planned stop must not drop an answer that is still being written."""

import asyncio
import socket

from coltsfootchute.entry.tests import fakes

STOP_S = 3.0
BODY = bytes(120_000)
REQUEST = b"GET /shop/items/1 HTTP/1.1\r\nHost: x\r\n\r\n"
# Small socket buffers, as on a slow link: most of the answer stays in the process.
SOCKET_BUFFER_BYTES = 4096
# Time in which the caller reads the answer, well within the time limit of the stop.
READ_TIME_S = 0.8 * STOP_S


def open_caller(address):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
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
        await asyncio.sleep(READ_TIME_S * len(part) / len(BODY))
    return b"".join(parts)


def test_a_stop_does_not_drop_an_answer_to_a_slow_caller():
    async def scenario(harness):
        loop = asyncio.get_running_loop()
        with open_caller(harness.entry.calls_address) as sock:
            server = harness.entry._calls_server
            await fakes.wait_until(lambda: server.connections)
            (transport,) = (conn.transport for conn in server.connections)
            sending = transport.get_extra_info("socket")
            sending.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
            stopping = asyncio.ensure_future(harness.entry.stop())
            await fakes.wait_until(lambda: harness.entry.own_instance().state)
            await loop.sock_sendall(sock, REQUEST)
            reading = asyncio.ensure_future(read_slowly(sock))
            await stopping
            unsent = transport.get_write_buffer_size()
            answer = fakes.Answer(await reading)
        assert answer.status == 200
        assert answer.body == BODY
        assert unsent == 0, (
            f"{unsent} bytes of the answer were unsent when the stop ended"
        )

    rules = [{**fakes.RULES[0], "deadline_ms": 8000}]
    fakes.run(scenario, fakes.respond(BODY), section={"rules": rules}, stop_s=STOP_S)
