"""Simulated targets, connections to them, and requests of callers."""

import asyncio
import types

import multidict

from coltsfootchute import verdicts
from coltsfootchute.entry import attempts
from tests import checkers
from tests.scenario_language import clocks

CONNECT_S = 0.001


class Target:
    """A target that runs requests and can shed, straggle, drain, fail or crash."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.process = clocks.Process(world.loop, name)
        self.open_replies, self.open_streams = {}, {}
        self.incarnation = 1
        self.latency_s = 0.005
        self.is_draining = self.is_shedding = self.truncates = False
        self.is_failing = self.is_silent = False
        self.ran = 0

    async def run(self, name, caller, line, reply):
        """Run one request that was received whole."""
        world = self.world
        if self.is_shedding:
            reply(503, {verdicts.VERDICT_HEADER: "not_run"}, b"")
            return
        self.ran += 1
        world.history.runs.append(checkers.Run(name, self.name, world.loop.now, caller))
        if self.is_failing:
            reply(500, {}, b"")
            return
        if world.crash_path and world.crash_path in line:
            world.crashes.append((self.name, line))
            world.kill(self.name)
            return
        await asyncio.sleep(self.latency_s * world.rng.uniform(0.8, 1.2))
        headers = {verdicts.DRAINING_HEADER: "1"} if self.is_draining else {}
        reply(200, headers, f"{name} {line}".encode())


class Payload:
    """The body of a response; if truncated, it raises after its first half."""

    def __init__(self, body, truncated):
        self._chunks = [body[: len(body) // 2] if truncated else body]
        self.total_bytes = len(body)
        self._truncated = truncated

    async def readany(self):
        if self._chunks:
            return self._chunks.pop()
        if self._truncated:
            raise ConnectionResetError("the target closed the connection")
        return b""

    def is_eof(self):
        return not self._chunks and not self._truncated

    at_eof = is_eof


class Endpoint:
    """The address of a target, in place of one that is prepared for sockets."""

    def __init__(self, address):
        self.address = address


class Forwarder:
    """Connections from one entry to targets over the simulated network."""

    def __init__(self, entry):
        self._entry = entry

    async def close(self):
        pass

    async def send(self, attempt, endpoint, line, headers, body, *, fresh, head_only):
        entry, world = self._entry, self._entry.world
        network, name = world.network, name_of(endpoint.address)
        try:
            async with asyncio.timeout(0.25):
                await network.connect(entry.name, name)
        except (OSError, TimeoutError) as exc:
            raise attempts.AttemptError(
                verdicts.Verdict.NOT_RUN, verdicts.Reason.CONNECTION_FAILED, str(exc)
            ) from exc
        attempt.written = True
        target, request = world.targets[name], headers["X-Request"]
        world.history.writes.append(
            checkers.Write(request, name, entry.name, world.loop.now)
        )
        answer = world.loop.create_future()
        target.open_replies[answer] = None

        def reply(status, fields, data):
            if not answer.done() and not network.is_cut(name, entry.name):
                answer.set_result((status, fields, data))

        if not network.is_cut(entry.name, name):
            target.process.spawn(target.run(request, headers["X-Caller"], line, reply))
        try:
            status, fields, data = await answer
        except ConnectionError as exc:
            raise attempts.AttemptError(
                verdicts.Verdict.MAY_HAVE_RUN,
                verdicts.Reason.CONNECTION_LOST,
                str(exc),
                is_possible_crash=True,
            ) from exc
        finally:
            target.open_replies.pop(answer, None)
        if target.truncates:
            world.truncated_callers.add(headers["X-Caller"])
        attempt.headers = multidict.CIMultiDict(fields)
        attempt.headers["Content-Length"] = str(len(data))
        attempt.message = types.SimpleNamespace(
            code=status, reason="", chunked=False, headers=attempt.headers
        )
        attempt.payload = Payload(data, target.truncates)


def address_of(name):
    """Return the address of a target by its name, such as ``t1``."""
    return f"10.0.0.1:{int(name.removeprefix('t'))}"


def name_of(address):
    """Return the name of the target at an address."""
    return f"t{address.rpartition(':')[2]}"


class Request:
    """A request of a caller, and the answer that was written to its connection.

    It stands for aiohttp's request, connection, payload writer and transport at once.
    """

    version = (1, 1)
    keep_alive = True
    body_exists = False
    content_length = 0
    content = None

    def __init__(self, name, method, path, key):
        self.name, self.method, self.raw_path = name, method, path
        headers = multidict.CIMultiDict({"X-Request": key or name, "X-Caller": name})
        if key:
            headers[verdicts.KEY_HEADER] = key
        self.headers = multidict.CIMultiDictProxy(headers)
        self.status, self.answer_headers, self.body = 0, {}, b""
        self.is_whole = self.is_cut = False
        self._payload_writer = self.transport = self.protocol = self
        self._state = {}

    def __setitem__(self, name, value):
        self._state[name] = value

    def get(self, name, default=None):
        return self._state.get(name, default)

    # Interface of the connection.

    def may_close(self):
        return True

    # Interface of the payload writer.

    async def write_headers(self, line, headers):
        self.status = int(line.split()[1])
        self.answer_headers = dict(headers)

    def enable_chunking(self):
        pass

    def send_headers(self):
        pass

    async def write(self, data):
        self.body += data

    async def write_eof(self, data=b""):
        self.body += data
        self.is_whole = True

    # Interface of the transport.

    def get_extra_info(self, _):
        return types.SimpleNamespace(setsockopt=lambda *_: None)

    def is_closing(self):
        return self.is_cut

    def abort(self):
        self.is_cut = True
