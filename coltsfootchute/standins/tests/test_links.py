"""Guards against a cut that closes connections, which would test another fault."""

import asyncio
import contextlib

import pytest

from coltsfootchute.standins import links


def with_link(scenario):
    async def echo(reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(100):
                writer.write(data)
        writer.close()

    async def run():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with links.Link(f"127.0.0.1:{port}") as link:
            host, _, port = link.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            await asyncio.wait_for(scenario(link, reader, writer), 10)
            writer.close()
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize("direction", links.Direction)
def test_cut_holds_bytes_back_until_it_ends(direction):
    async def scenario(link, reader, writer):
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        link.cut(direction)
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.2)
        forwarded = 6 if direction is links.Direction.BACKWARD else 3
        assert link.forwarded_bytes(links.Direction.FORWARD) == forwarded
        link.heal()
        assert await reader.readexactly(3) == b"two"

    with_link(scenario)


def test_delay_applies_to_each_direction():
    async def scenario(link, reader, writer):
        link.delay(0.1)
        start = asyncio.get_running_loop().time()
        writer.write(b"one")
        await reader.readexactly(3)
        assert asyncio.get_running_loop().time() - start >= 0.2

    with_link(scenario)


def test_limited_rate_delays_the_bytes():
    async def scenario(link, reader, writer):
        link.limit_rate(100_000, links.Direction.FORWARD)
        start = asyncio.get_running_loop().time()
        writer.write(bytes(20_000))
        await reader.readexactly(20_000)
        assert asyncio.get_running_loop().time() - start >= 0.2

    with_link(scenario)


def test_stalled_connections_stay_stalled_and_new_ones_work():
    async def scenario(link, reader, writer):
        writer.write(b"one")
        await reader.readexactly(3)
        link.stall_connections()
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.2)
        host, _, port = link.address.rpartition(":")
        other_reader, other = await asyncio.open_connection(host, int(port))
        other.write(b"three")
        assert await other_reader.readexactly(5) == b"three"
        other.close()

    with_link(scenario)


def test_reset_closes_connections():
    async def scenario(link, reader, writer):
        writer.write(b"one")
        await reader.readexactly(3)
        await link.reset()
        with contextlib.suppress(ConnectionResetError):
            assert await reader.read() == b""

    with_link(scenario)
