"""Fake control and targets on loopback ports, and a harness that runs an entry."""

import asyncio
import contextlib
import json
import os
import time
import uuid

import grpclib
import grpclib.const
import grpclib.server

from coltsfootchute import declarations, settings
from coltsfootchute.control import feeds
from coltsfootchute.control import links as control_links
from coltsfootchute.entry import daemons
from coltsfootchute.proto import coltsfootchute_grpc, coltsfootchute_pb2

pb = coltsfootchute_pb2
_RULE = {"deadline_ms": 2000, "max_body_bytes": 1 << 22, "repeatable": True}
_READ = {"name": "read", "methods": ["GET", "PUT", "HEAD"], "path": "/items/**"}
_HEDGED = {"name": "hedged", "methods": ["GET"], "path": "/hedged", "hedge": True}
_ORDER = {"name": "order", "methods": ["POST", "PUT"], "path": "/orders"}
_ORDER |= {"repeatable": False, "key": "required"}
RULES = [{**_RULE, **rule} for rule in (_READ, _HEDGED, _ORDER)]


async def wait_until(condition, limit_s=10.0):
    """Wait for a condition."""
    end = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end, f"condition not met within {limit_s} s"
        await asyncio.sleep(0.005)


def uuid7(age_s=0.0):
    """Return a UUIDv7 whose time is `age_s` seconds ago."""
    stamp = int((time.time() - age_s) * 1000).to_bytes(6, "big")
    raw = bytearray(stamp + os.urandom(10))
    raw[6] = raw[6] & 0x0F | 0x70
    raw[8] = raw[8] & 0x3F | 0x80
    return str(uuid.UUID(bytes=bytes(raw)))


class FakeControl(coltsfootchute_grpc.ControlBase):
    """A fake Control service with configurable replies, and a Feed service."""

    def __init__(self, cluster_id="c1"):
        self.feed = feeds.Feed(cluster_id)
        self.claims = []
        self.settlements = []
        self.reports = []
        self.crashes = []
        self.commands = []
        self.evacuations = []
        self.claim_reply = pb.ClaimReply(
            outcome=pb.ClaimOutcome(status=pb.CLAIM_STATUS_GRANTED)
        )
        self.header = pb.ReplyHeader()
        self.refused_settlements = 0
        self.probe_requests = []
        share = pb.ProbeShare(target_id="t0", probe_time_us=100_000, lease_ms=10_000)
        self.shares = [share]
        self.proposal = pb.ProposalOutcome(
            status=pb.PROPOSAL_STATUS_ACCEPTED, revision=1
        )
        self.proposals = []
        self.declared = pb.Declaration()
        self.may_reply = asyncio.Event()
        self.may_reply.set()

    async def start(self):
        handlers = [self, feeds.FeedService(self.feed)]
        config = control_links.CHANNEL_CONFIG
        self.server = grpclib.server.Server(handlers, config=config)
        await self.server.start("127.0.0.1", 0)
        port = self.server._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.publish_proof()

    def publish_proof(self):
        self.feed.set_proof(feeds.clock())

    async def stop(self):
        self.feed.close()
        self.server.close()
        await self.server.wait_closed()

    def publish(self, **body):
        revision = self.feed.revision + 1
        self.feed.publish([pb.FeedChange(revision=revision, **body)], revision)

    def section(self, name="shop", **changes):
        document = json.dumps({"rules": RULES, **changes})
        self.publish(section=pb.SectionInForce(name=name, document=document))

    def declare(self, version, *routes, services=("shop",), **changes):
        """Publish a declaration with routes of host `x`."""
        share = [{"service": services[0]}]
        common = {"host": "x", "guarantee": "repeatable", "attempts": 2}
        rows = [{**common, "name": r["prefix"], "shares": share, **r} for r in routes]
        named = [{"name": name, "health_path": "/health"} for name in services]
        document = {"version": version, "services": named, "routes": rows, **changes}
        packed = declarations.pack(json.dumps(document))
        declaration = pb.Declaration(version=version, packed=packed)
        self.publish(declaration=declaration)

    def target(self, target, **changes):
        fields = {
            "target_id": target.name,
            "incarnation": 1,
            "address": target.address,
            "failure_domain": "fd-a",
            "services": ["shop"],
            "slots": 8,
        }
        self.publish(target=pb.Target(**{**fields, **changes}))

    async def Claim(self, stream):  # noqa: N802
        self.claims.append(await stream.recv_message())
        await self.may_reply.wait()
        await stream.send_message(self.claim_reply)

    async def Settle(self, stream):  # noqa: N802
        command = await stream.recv_message()
        header = pb.ReplyHeader()
        if self.refused_settlements:
            self.refused_settlements -= 1
            header.status = pb.REPLY_STATUS_UNKNOWN
        else:
            self.settlements.append(command)
        await stream.send_message(pb.SettleReply(header=header))

    async def Report(self, stream):  # noqa: N802
        self.reports.append((await stream.recv_message()).instance)
        await stream.send_message(pb.ReportReply(header=self.header))

    async def ReportCrash(self, stream):  # noqa: N802
        self.crashes.append(await stream.recv_message())
        await stream.send_message(pb.CrashReply())

    async def Announce(self, stream):  # noqa: N802
        self.commands.append((await stream.recv_message()).command)
        outcome = pb.AnnouncementOutcome(status=pb.ANNOUNCEMENT_STATUS_ACCEPTED)
        await stream.send_message(pb.AnnounceReply(outcome=outcome))

    async def Renew(self, stream):  # noqa: N802
        await self.may_reply.wait()
        self.commands.append(await stream.recv_message())
        refused = [pb.Renewal(target_id="old", incarnation=9)]
        await stream.send_message(pb.RenewReply(refused=refused))

    async def Propose(self, stream):  # noqa: N802
        self.proposals.append(await stream.recv_message())
        await stream.send_message(pb.ProposeReply(outcome=self.proposal))

    async def Declare(self, stream):  # noqa: N802
        self.declared = await stream.recv_message()
        outcome = pb.DeclarationOutcome(version=self.declared.version, applied=True)
        await stream.send_message(pb.DeclareReply(outcome=outcome))

    async def Evacuate(self, stream):  # noqa: N802
        self.evacuations.append(await stream.recv_message())
        await self.may_reply.wait()
        outcome = pb.EvacuationOutcome(applied=True)
        reply = pb.EvacuateReply(header=self.header, outcome=outcome)
        await stream.send_message(reply)

    async def Account(self, stream):  # noqa: N802
        raise grpclib.GRPCError(grpclib.const.Status.UNIMPLEMENTED)

    async def ReadDeclaration(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(pb.ReadDeclarationReply(declaration=self.declared))

    async def _unused(self, stream):
        raise NotImplementedError

    async def LeaseProbes(self, stream):  # noqa: N802
        self.probe_requests.append(await stream.recv_message())
        reply = pb.LeaseProbesReply(shares=self.shares)
        await stream.send_message(reply)

    ReadSections = Status = _unused


class FakeTarget:
    """A fake target that records request heads and runs a script for each."""

    def __init__(self, name, script):
        self.name = name
        self.script = script
        self.heads = []
        self.bodies = []
        self.connections = 0
        self.closed_connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        self.server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.heads.append(head)
                if await self.script(self, head, reader, writer) == "close":
                    break
        self.closed_connections += 1
        writer.close()


def respond(body=b"hello", status="200 OK", headers="", before=None):
    """Return a script that reads the body and sends a response."""

    async def script(target, head, reader, writer):
        target.bodies.append(await read_body(head, reader))
        if before is not None:
            await before.wait()
        text = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
        writer.write(text.encode() + body)
        await writer.drain()

    return script


async def read_body(head, reader):
    for line in head.split("\r\n"):
        if line.lower().startswith("content-length:"):
            return await reader.readexactly(int(line.split(":")[1]))
    if "transfer-encoding: chunked" not in head.lower():
        return b""
    parts = []
    while size := int(await reader.readline(), 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)


def close_after(text=b"", reset=False):
    """Return a script that writes some bytes and closes the connection."""

    async def script(target, head, reader, writer):
        writer.write(text)
        await writer.drain()
        if reset:
            writer.transport.abort()
        return "close"

    return script


class Answer:
    """An answer, parsed from the bytes that a caller received."""

    def __init__(self, raw):
        head, _, self.body = raw.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        self.status = int(lines[0].split()[1]) if raw else 0
        pairs = (line.split(": ", 1) for line in lines[1:])
        self.headers = {name.lower(): value for name, value in pairs}

    @property
    def refusal(self):
        """Verdict, reason and status in one line."""
        names = ("coltsfootchute-verdict", "coltsfootchute-reason")
        return " ".join([*(self.headers.get(n, "-") for n in names), str(self.status)])


class EntryHarness:
    """An entry with a fake control and fake targets."""

    def __init__(self):
        self.control = FakeControl()
        self.targets = []
        self._more = []

    def settings(self, **changes):
        address = "127.0.0.1:0"
        fields = {"calls": address, "api": address, "peer": address, "keep_s": 0.1}
        entry = {**fields, "control": [self.control.address], **changes}
        instance = {"name": "e1", "failure_domain": "fd-a"}
        return settings.parse(json.dumps({"instance": instance, "entry": entry}))

    async def start(self, *scripts, section=None, **changes):
        await self.control.start()
        self.control.section(**(section or {}))
        for number, script in enumerate(scripts):
            await self.add(f"t{number}", script)
        self.entry = daemons.Daemon(self.settings(**changes))
        await self.entry.start()
        revision = self.control.feed.revision
        await wait_until(lambda: self.entry.view.revision == revision)

    async def add(self, name, script, **changes):
        target = FakeTarget(name, script)
        await target.start()
        self.targets.append(target)
        self.control.target(target, **changes)

    async def stop(self):
        await self.entry.abort()
        for target in self.targets:
            await target.stop()
        await self.control.stop()

    async def connect(self, address=None):
        host, _, port = (address or self.entry.calls_address).rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def send(self, method, path, body=b"", to=None, **headers):
        """Send one request on a new connection, and read until that is closed."""
        reader, writer = await self.connect(to)
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        lines = [f"{name}: {value}" for name, value in named.items()]
        if body or method in {"POST", "PUT"}:
            lines.append(f"Content-Length: {len(body)}")
        head = [f"{method} {path} HTTP/1.1", "Host: x", "Connection: close", *lines]
        writer.write("\r\n".join([*head, "", ""]).encode() + body)
        try:
            return Answer(await reader.read(-1))
        finally:
            writer.close()

    async def order(self, body=b"one", key=None, **headers):
        """Send a request that is not repeatable."""
        headers["Idempotency_Key"] = key or uuid7()
        return await self.send("POST", "/shop/orders", body, **headers)


def run(scenario, *scripts, **options):
    """Run a scenario with a new harness."""

    async def main():
        harness = EntryHarness()
        await harness.start(*scripts, **options)
        try:
            async with asyncio.timeout(60):
                await scenario(harness)
        finally:
            await harness.stop()

    asyncio.run(main())
