"""Virtual time, and processes that can be frozen and killed, on one event loop."""

import asyncio
import contextlib
import contextvars
import random
import selectors
import types

from coltsfootchute.agreement import stores
from coltsfootchute.control import cores, feed_streams
from coltsfootchute.entry import (
    calls,
    crashes,
    daemons,
    dispatches,
    keys,
    pools,
    stops,
)

EPOCH_S = 1_800_000_000.0
START_S = 1000.0
_PROCESS: contextvars.ContextVar["Process | None"] = contextvars.ContextVar(
    "process", default=None
)


# What a callback that waits for a frozen process is.
READY, MESSAGE, CALL, TIMER = "ready", "message", "call", "timer"


class Process:
    """What runs in one context: a killed process runs no more, a frozen one later."""

    def __init__(self, loop, name):
        self.loop, self.name = loop, name
        self.is_dead = self.is_frozen = False
        self.parked = []
        self.tasks = set()
        self.context = contextvars.copy_context()
        self.context.run(_PROCESS.set, self)

    def run(self, function, *args):
        """Call a function as this process."""
        return self.context.run(function, *args)

    def spawn(self, coroutine):
        """Start a task of this process."""
        task = self.loop.create_task(coroutine, context=self.context)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def thaw(self, messages_first=True):
        """Run what was due while the process was frozen.

        Like an event loop that wakes up, it handles what arrived before its own
        timers. Messages and calls arrived on different connections, so that either
        may come first.
        """
        self.is_frozen = False
        parked, self.parked = self.parked, []
        ranks = [READY, MESSAGE, CALL] if messages_first else [READY, CALL, MESSAGE]
        ranks.append(TIMER)
        for cell, callback, args, context in sorted(
            parked, key=lambda item: ranks.index(item[0][1])
        ):
            self.loop.call_soon(_run_late, cell[0], callback, args, context=context)


def _run_late(handle, callback, args):
    if not handle.cancelled():
        callback(*args)


def current():
    """Return the process that runs now, or None."""
    return _PROCESS.get()


class _Selector(selectors.SelectSelector):
    loop = None

    def select(self, timeout=None):
        assert timeout is not None, "nothing left to wait for"
        self.loop.now += max(timeout, 0)
        return []


class Loop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while nothing is due."""

    def __init__(self):
        self.now = START_S
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)
        self.failures = []
        self.is_ending = False
        self.set_exception_handler(self._note_failure)

    def _note_failure(self, _, details):
        # Tasks of killed processes stay pending; that is no failure.
        if "Task was destroyed" not in details["message"]:
            self.failures.append(details)

    def time(self):
        return self.now

    def call_soon(self, callback, *args, context=None):
        cell = []
        handle = super().call_soon(self._guard, cell, callback, args, context=context)
        cell += [handle, READY if self._is_own(context) else CALL]
        return handle

    def call_at(self, when, callback, *args, context=None):
        cell = []
        handle = super().call_at(
            when, self._guard, cell, callback, args, context=context
        )
        cell += [handle, TIMER if self._is_own(context) else MESSAGE]
        return handle

    @staticmethod
    def _is_own(context):
        return context is None or context.get(_PROCESS) is _PROCESS.get()

    def _guard(self, cell, callback, args):
        process = _PROCESS.get()
        if process is None or self.is_ending:
            callback(*args)
        elif process.is_dead:
            return
        elif process.is_frozen:
            context = contextvars.copy_context()
            process.parked.append((cell, callback, args, context))
        else:
            callback(*args)


@contextlib.contextmanager
def virtual_time(loop, rng):
    """Let the modules under test take time and randomness from a scenario."""
    time = types.SimpleNamespace(
        monotonic=loop.time,
        time=lambda: EPOCH_S + loop.now,
        time_ns=lambda: int((EPOCH_S + loop.now) * 1e9),
        clock_gettime=lambda _: loop.now,
        CLOCK_BOOTTIME=7,
    )
    timed = (cores, feed_streams, calls, crashes, daemons, dispatches, pools, stops)
    stand_ins = [(module, "time", time) for module in timed]
    # Stores draw member ids from it; their order decides who is asked first.
    entropy = types.SimpleNamespace(
        Random=random.Random, SystemRandom=lambda: random.Random(rng.random())
    )
    ids = types.SimpleNamespace(
        uuid4=lambda: types.SimpleNamespace(bytes=rng.randbytes(16))
    )
    source = types.SimpleNamespace(Random=lambda: random.Random(rng.random()))
    stand_ins += [(stores, "random", entropy), (keys, "uuid", ids)]
    stand_ins += [(pools, "random", source)]
    before = [getattr(module, name) for module, name, _ in stand_ins]
    for module, name, stand_in in stand_ins:
        setattr(module, name, stand_in)
    try:
        yield
    finally:
        for (module, name, _), known in zip(stand_ins, before, strict=True):
            setattr(module, name, known)
