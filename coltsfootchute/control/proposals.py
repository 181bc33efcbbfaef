"""Queue of proposed commands, and the futures of their replies."""

import asyncio
import collections
import dataclasses

from coltsfootchute import errors
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.state import outcomes

__all__ = ["ProposalQueue"]

MAX_WAITING_COMMANDS = 5000


@dataclasses.dataclass(slots=True)
class _ProposedCommand:
    term: int
    future: asyncio.Future


class ProposalQueue:
    """Commands that wait for the next batch or for their outcome.

    Notes
    -----
    All commands that arrive during one iteration of the event loop are proposed in one
    batch, so that they share one sync.
    """

    def __init__(self):
        self._queued: collections.deque[tuple[pb.Command, asyncio.Future]] = (
            collections.deque()
        )
        self._proposed: dict[int, _ProposedCommand] = {}

    def __len__(self) -> int:
        return len(self._queued) + len(self._proposed)

    def add(self, command: pb.Command) -> asyncio.Future:
        """Queue a command.

        Returns
        -------
        asyncio.Future
            The reply of the state machine, or a `NotLeaderError` if the command
            never takes effect.

        Raises
        ------
        coltsfootchute.errors.OutcomeUnknownError
            If `MAX_WAITING_COMMANDS` commands already wait; this one is not proposed.
        """
        if len(self) >= MAX_WAITING_COMMANDS:
            msg = f"proposal queue full: {len(self)} commands wait for an outcome"
            raise errors.OutcomeUnknownError(msg)
        future = asyncio.get_running_loop().create_future()
        self._queued.append((command, future))
        return future

    def take_batch(self, time_ms: int) -> tuple[list[bytes], list[asyncio.Future]]:
        """Remove all queued commands; return those whose callers still wait.

        Parameters
        ----------
        time_ms
            Wall-clock time to set in the commands.

        Returns
        -------
        payloads : list of bytes
            The serialized commands.
        futures : list of asyncio.Future
            The futures of their replies.
        """
        batch = [item for item in self._queued if not item[1].done()]
        self._queued.clear()
        for command, _ in batch:
            command.time_ms = time_ms
        payloads = [command.SerializeToString() for command, _ in batch]
        return payloads, [future for _, future in batch]

    def record_proposed(
        self, term: int, indexes: range, futures: list[asyncio.Future]
    ) -> None:
        """Record the log positions of commands that were proposed."""
        for index, future in zip(indexes, futures, strict=True):
            self._proposed[index] = _ProposedCommand(term, future)

    def record_applied(self, index: int, term: int, reply: outcomes.Reply) -> None:
        """Set the reply of the command that was proposed at an index.

        If the entry at this index has another term, the command was replaced and never
        takes effect.
        """
        proposed = self._proposed.pop(index, None)
        if proposed is None or proposed.future.done():
            return
        if proposed.term == term:
            proposed.future.set_result(reply)
        else:
            proposed.future.set_exception(errors.NotLeaderError())

    def fail_all(self) -> None:
        """End the waits for all commands, because this instance can't write any more.

        Those that were not proposed never take effect; the outcome of the others is
        unknown, because they may be stored.
        """
        for _, future in self._queued:
            if not future.done():
                future.set_exception(errors.NotLeaderError())
        for proposed in self._proposed.values():
            if not proposed.future.done():
                msg = "the log could not be written"
                proposed.future.set_exception(errors.OutcomeUnknownError(msg))
        self._queued.clear()
        self._proposed.clear()

    def drop_done(self) -> None:
        """Drop the commands whose callers no longer wait."""
        self._proposed = {
            index: proposed
            for index, proposed in self._proposed.items()
            if not proposed.future.done()
        }
