"""A loopback TCP link that forwards bytes and can be cut, delayed, paced and healed."""

import asyncio
import contextlib
import enum

__all__ = ["Direction", "Link"]

CHUNK_BYTES = 64 * 1024
# A paced link delivers steadily, not in lumps.
PACED_CHUNK_BYTES = 4 * 1024


class Direction(enum.Enum):
    """Direction of the bytes on a link."""

    FORWARD = "forward"  # From the side that connects.
    BACKWARD = "backward"  # To the side that connects.


class _Lane:
    """State of one direction, shared by all connections of the link."""

    def __init__(self):
        self.open = asyncio.Event()
        self.open.set()
        self.delay_s = 0.0
        self.s_per_byte = 0.0
        self.forwarded = 0

    @property
    def chunk_bytes(self) -> int:
        """Most bytes that are passed on at once."""
        return PACED_CHUNK_BYTES if self.s_per_byte else CHUNK_BYTES


class Link:
    """Forwards TCP connections from a listener to an address.

    Parameters
    ----------
    address
        IP number and port of the far end.
    listen
        IP number and port of the listener; port 0 takes a free one.

    Notes
    -----
    A cut is silent: no connection is closed, bytes stop flowing. TCP resends
    lost segments, so bytes held back during a cut are delivered after it heals.
    A connection that is opened during a cut is accepted by the listener, but
    carries nothing.
    """

    def __init__(self, address: str, listen: str = "127.0.0.1:0"):
        self._address = address
        self._listen = listen
        self._lanes = {direction: _Lane() for direction in Direction}
        self._tasks: set[asyncio.Task] = set()
        self._silent: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the address of the listener."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def __aenter__(self) -> "Link":
        host, _, port = self._listen.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()
        await self.reset()
        await self._server.wait_closed()

    def cut(self, *directions: Direction) -> None:
        """Hold back all bytes of the directions; without any, of both."""
        for direction in directions or Direction:
            self._lanes[direction].open.clear()

    def heal(self) -> None:
        """Let bytes flow again in both directions, without delay or pace."""
        for lane in self._lanes.values():
            lane.delay_s = lane.s_per_byte = 0.0
            lane.open.set()

    def delay(self, delay_s: float, *directions: Direction) -> None:
        """Delay each chunk by a time in s; without directions, in both."""
        for direction in directions or Direction:
            self._lanes[direction].delay_s = delay_s

    def pace(self, bytes_per_s: float, *directions: Direction) -> None:
        """Bound the bytes per s of each connection; without directions, in both."""
        for direction in directions or Direction:
            self._lanes[direction].s_per_byte = 1 / bytes_per_s

    def silence(self) -> None:
        """Let the present connections carry nothing more, for good; new ones work."""
        self._silent |= self._tasks

    async def reset(self) -> None:
        """Abort all connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def forwarded(self, direction: Direction) -> int:
        """Return the bytes forwarded in a direction so far."""
        return self._lanes[direction].forwarded

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self._tasks.discard(task)
            self._silent.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._address.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        try:
            async with asyncio.TaskGroup() as group:
                pumps = (
                    (reader, far_writer, Direction.FORWARD),
                    (far_reader, writer, Direction.BACKWARD),
                )
                for pump in pumps:
                    group.create_task(self._pump(*pump, asyncio.current_task()))
        except* OSError:
            # One side was reset; aborting both tells the other side.
            pass
        finally:
            far_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
        conn: asyncio.Task,
    ) -> None:
        lane = self._lanes[direction]
        while data := await reader.read(lane.chunk_bytes):
            await asyncio.sleep(lane.delay_s + len(data) * lane.s_per_byte)
            await lane.open.wait()
            if conn in self._silent:
                continue
            writer.write(data)
            await writer.drain()
            lane.forwarded += len(data)
        await lane.open.wait()
        with contextlib.suppress(OSError):
            writer.write_eof()
