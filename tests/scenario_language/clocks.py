"""Virtual time, and simulated processes that share one event loop."""

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
    statements,
    stops,
)

EPOCH_S = 1_800_000_000.0
START_S = 1000.0
_PROCESS: contextvars.ContextVar["Process | None"] = contextvars.ContextVar(
    "process", default=None
)


# Kinds of callbacks, which decide their order after a thaw: scheduled by the process
# itself, delivered over a link, scheduled by another process, and timers.
READY, MESSAGE, CALL, TIMER = "ready", "message", "call", "timer"


class Process:
    """A simulated process: the callbacks and tasks that run in one context.

    The callbacks of a killed process are dropped, and those of a frozen process are
    deferred until it thaws.
    """

    def __init__(self, loop, name):
        self.loop, self.name = loop, name
        self.is_dead = self.is_frozen = False
        self.deferred = []
        self.tasks = set()
        self.context = contextvars.copy_context()
        self.context.run(_PROCESS.set, self)

    def run(self, function, *args):
        """Call a function in the context of this process."""
        return self.context.run(function, *args)

    def spawn(self, coroutine):
        """Start a task in the context of this process."""
        task = self.loop.create_task(coroutine, context=self.context)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def thaw(self, messages_first=True):
        """Unfreeze the process and schedule the callbacks that came due meanwhile.

        Like an event loop after a pause, the process handles received data before its
        own timers. Messages and calls arrive on different connections, so that either
        may be handled first.
        """
        self.is_frozen = False
        deferred, self.deferred = self.deferred, []
        order = [READY, MESSAGE, CALL] if messages_first else [READY, CALL, MESSAGE]
        order.append(TIMER)
        for record, callback, args, context in sorted(
            deferred, key=lambda item: order.index(item[0][1])
        ):
            self.loop.call_soon(
                _run_unless_cancelled, record[0], callback, args, context=context
            )


def _run_unless_cancelled(handle, callback, args):
    if not handle.cancelled():
        callback(*args)


def current():
    """Return the process whose callback runs now, or None."""
    return _PROCESS.get()


class _Selector(selectors.SelectSelector):
    """Advances the virtual time in place of waiting."""

    loop = None

    def select(self, timeout=None):
        assert timeout is not None, "no timer and no callback is scheduled"
        self.loop.now += max(timeout, 0)
        return []


class Loop(asyncio.SelectorEventLoop):
    """An event loop with virtual time, which passes only while nothing is due."""

    def __init__(self):
        self.now = START_S
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)
        self.failures = []
        self.is_closing = False
        self.set_exception_handler(self._record_failure)

    def _record_failure(self, _, details):
        # Tasks of killed processes stay pending; asyncio reports them when they are
        # collected.
        if "Task was destroyed" not in details["message"]:
            self.failures.append(details)

    def time(self):
        return self.now

    def call_soon(self, callback, *args, context=None):
        record = []
        handle = super().call_soon(
            self._run_callback, record, callback, args, context=context
        )
        record += [handle, READY if self._is_own(context) else CALL]
        return handle

    def call_at(self, when, callback, *args, context=None):
        record = []
        handle = super().call_at(
            when, self._run_callback, record, callback, args, context=context
        )
        record += [handle, TIMER if self._is_own(context) else MESSAGE]
        return handle

    @staticmethod
    def _is_own(context):
        return context is None or context.get(_PROCESS) is _PROCESS.get()

    def _run_callback(self, record, callback, args):
        process = _PROCESS.get()
        if process is None or self.is_closing:
            callback(*args)
        elif process.is_dead:
            return
        elif process.is_frozen:
            context = contextvars.copy_context()
            process.deferred.append((record, callback, args, context))
        else:
            callback(*args)


@contextlib.contextmanager
def virtual_time(loop, rng):
    """Replace the clocks and random sources of the modules under test.

    Time is that of the loop, and all randomness comes from `rng`.
    """
    time = types.SimpleNamespace(
        monotonic=loop.time,
        time=lambda: EPOCH_S + loop.now,
        time_ns=lambda: int((EPOCH_S + loop.now) * 1e9),
        clock_gettime=lambda _: loop.now,
        CLOCK_BOOTTIME=7,
    )
    timed = (
        cores,
        feed_streams,
        calls,
        crashes,
        daemons,
        dispatches,
        pools,
        statements,
        stops,
    )
    replacements = [(module, "time", time) for module in timed]
    # Stores draw member ids from it, and the order of ids decides which member is
    # asked first.
    system_random = types.SimpleNamespace(
        Random=random.Random, SystemRandom=lambda: random.Random(rng.random())
    )
    uuids = types.SimpleNamespace(
        uuid4=lambda: types.SimpleNamespace(bytes=rng.randbytes(16))
    )
    seeded = types.SimpleNamespace(Random=lambda: random.Random(rng.random()))
    replacements += [(stores, "random", system_random), (keys, "uuid", uuids)]
    drawn = types.SimpleNamespace(uniform=rng.uniform)
    replacements += [(pools, "random", seeded), (statements, "random", drawn)]
    originals = [getattr(module, name) for module, name, _ in replacements]
    for module, name, replacement in replacements:
        setattr(module, name, replacement)
    try:
        yield
    finally:
        for (module, name, _), original in zip(replacements, originals, strict=True):
            setattr(module, name, original)
