"""TCP proxy on loopback that simulates cuts, delays, low rates and lost connections."""

import asyncio
import contextlib
import enum

__all__ = ["Direction", "Link"]

CHUNK_BYTES = 64 * 1024
# Smaller chunks, so that a link with a limited rate delivers bytes evenly.
RATE_LIMITED_CHUNK_BYTES = 4 * 1024


class Direction(enum.Enum):
    """Direction of the bytes on a link."""

    FORWARD = "forward"  # From the connecting side to the address.
    BACKWARD = "backward"  # From the address to the connecting side.


class _DirectionState:
    """State of one direction, shared by all connections of the link."""

    def __init__(self):
        self.not_cut = asyncio.Event()
        self.not_cut.set()
        self.delay_s = 0.0
        self.s_per_byte = 0.0
        self.forwarded_bytes = 0

    @property
    def chunk_bytes(self) -> int:
        """Return the maximum number of bytes that are forwarded at once."""
        return RATE_LIMITED_CHUNK_BYTES if self.s_per_byte else CHUNK_BYTES


class Link:
    """Forwards TCP connections from a listener to an address.

    Parameters
    ----------
    address
        IP number and port to which connections are forwarded.
    listen
        IP number and port of the listener; port 0 selects a free port.

    Notes
    -----
    During a cut, connections stay open, but no bytes are forwarded. Since TCP
    resends lost segments, bytes sent during a cut are delivered after it ends. The
    listener accepts new connections during a cut, but forwards no bytes on them.
    """

    def __init__(self, address: str, listen: str = "127.0.0.1:0"):
        self._address = address
        self._listen = listen
        self._states = {direction: _DirectionState() for direction in Direction}
        self._tasks: set[asyncio.Task] = set()
        self._stalled_tasks: set[asyncio.Task] = set()
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
        """Hold back all bytes of the given directions, by default of both."""
        for direction in directions or Direction:
            self._states[direction].not_cut.clear()

    def heal(self) -> None:
        """End all cuts, delays and rate limits of both directions."""
        for state in self._states.values():
            state.delay_s = state.s_per_byte = 0.0
            state.not_cut.set()

    def delay(self, delay_s: float, *directions: Direction) -> None:
        """Delay each chunk by a time in s; by default in both directions."""
        for direction in directions or Direction:
            self._states[direction].delay_s = delay_s

    def limit_rate(self, bytes_per_s: float, *directions: Direction) -> None:
        """Limit the bytes/s of each connection; by default in both directions."""
        for direction in directions or Direction:
            self._states[direction].s_per_byte = 1 / bytes_per_s

    def stall_connections(self) -> None:
        """Discard all later bytes of the open connections, but keep them open.

        Connections that are opened later are forwarded normally.
        """
        self._stalled_tasks |= self._tasks

    async def reset(self) -> None:
        """Abort all connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def forwarded_bytes(self, direction: Direction) -> int:
        """Return the number of bytes forwarded in a direction so far."""
        return self._states[direction].forwarded_bytes

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
            self._stalled_tasks.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._address.rpartition(":")
        remote_reader, remote_writer = await asyncio.open_connection(host, int(port))
        try:
            async with asyncio.TaskGroup() as group:
                streams = (
                    (reader, remote_writer, Direction.FORWARD),
                    (remote_reader, writer, Direction.BACKWARD),
                )
                for stream in streams:
                    group.create_task(self._copy(*stream, asyncio.current_task()))
        except* OSError:
            # One side was reset; both connections are aborted to notify the other.
            pass
        finally:
            remote_writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
        conn: asyncio.Task,
    ) -> None:
        state = self._states[direction]
        while data := await reader.read(state.chunk_bytes):
            await asyncio.sleep(state.delay_s + len(data) * state.s_per_byte)
            await state.not_cut.wait()
            if conn in self._stalled_tasks:
                continue
            writer.write(data)
            await writer.drain()
            state.forwarded_bytes += len(data)
        await state.not_cut.wait()
        with contextlib.suppress(OSError):
            writer.write_eof()
