"""Guards against entries that watch a source in another failure domain needlessly."""

import asyncio
import collections
import contextlib

import grpclib.const
import grpclib.server
import pytest

from coltsfootchute.control import feed_streams, feeds
from coltsfootchute.entry import domains, searches, sources, watches
from coltsfootchute.entry.tests import fakes
from coltsfootchute.proto import coltsfootchute_grpc

pb = fakes.pb
CURRENT, LOST, OUTDATED = "current", sources.End.LOST, sources.End.OUTDATED
NAMES = [f"e{number}" for number in range(60)]


def first_choices(control, near):
    order = (sources.Order(name).choose(control, [], [], near) for name in NAMES)
    return collections.Counter(source.address for source in order)


@pytest.mark.parametrize(
    ("near", "expected"),
    [
        ([], ["c0", "c1", "c2", "c3", "c4"]),
        (["c3"], ["c3"]),
        (["c1", "c4"], ["c1", "c4"]),
        (["gone"], ["c0", "c1", "c2", "c3", "c4"]),
    ],
)
def test_entries_spread_over_the_near_sources_or_over_all(near, expected):
    counts = first_choices([f"c{n}" for n in range(5)], near)
    assert sorted(counts) == expected
    share = len(NAMES) / len(expected)
    assert max(counts.values()) <= 1.7 * share, counts


@pytest.mark.parametrize("name", NAMES[:8])
@pytest.mark.parametrize("end", [LOST, OUTDATED])
def test_each_source_is_asked_once_in_a_round_and_near_ones_first(name, end):
    order, control = sources.Order(name), ["c0", "c1", "c2", "c3"]
    watched = order.choose(control, [], [], ["c0", "c2"])
    assert watched.address in {"c0", "c2"}
    order.record_end(watched, end, was_current=True)
    asked = []
    for _ in range(3):
        source = order.choose(control, [], [], ["c0", "c2"])
        asked.append(source.address if not source.hold_s else None)
        order.record_end(source, LOST, was_current=False)
    assert {watched.address, asked[0]} == {"c0", "c2"}
    assert {*asked[1:]} == {"c1", "c3"}


def test_the_search_becomes_rare_and_entries_search_at_different_times():
    """Guards against lists that are sent again and again, or to all at once."""
    delays = {name: domains.SearchDelay(name) for name in NAMES}
    first_s = [delay.next_s() for delay in delays.values()]
    assert max(first_s) - min(first_s) > 0.4 * domains.MIN_DELAY_S
    for delay in delays.values():
        later_s = [delay.next_s() for _ in range(20)]
        assert min(later_s[8:]) > domains.MAX_DELAY_S * 0.7
        delay.reset()
        assert delay.next_s() < 2 * domains.MIN_DELAY_S


class Control(coltsfootchute_grpc.PeerBase):
    """A control instance with a feed that can be stopped and started again."""

    def __init__(self, domain, *, tells_domain=True):
        self.domain, self.tells_domain = domain, tells_domain
        self.leader = "leader"
        self.address = "127.0.0.1:0"
        self.members = []
        self.streams = collections.Counter()

    async def start(self):
        self.feed = feeds.Feed("c1")
        self.feed.set_proof(feeds.clock())
        self.feed.set_instances([])
        watch = self.feed.watch

        async def count(request, send):
            self.streams[request.watcher] += 1
            await watch(request, send)

        self.feed.watch = count
        self.server = grpclib.server.Server([self, feeds.FeedService(self.feed)])
        host, _, port = self.address.rpartition(":")
        await self.server.start(host, int(port))
        port = self.server._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def stop(self):
        self.feed.close()
        self.server.close()
        await self.server.wait_closed()

    async def Hello(self, stream):  # noqa: N802
        await stream.recv_message()
        if not self.tells_domain:
            raise grpclib.GRPCError(grpclib.const.Status.UNIMPLEMENTED)
        members = [
            pb.Member(address=c.address, failure_domain=c.domain) for c in self.members
        ]
        reply = pb.HelloReply(
            member=pb.Member(address=self.address, failure_domain=self.domain),
            formed=True,
            membership=pb.Membership(members=members),
            leader_address=self.leader,
        )
        await stream.send_message(reply)

    async def _unused(self, stream):
        raise NotImplementedError

    Exchange = Form = Join = Leave = _unused


@contextlib.asynccontextmanager
async def watching(control, domain="a", count=12):
    """Run watchers of one failure domain; give them and a check of their sources."""
    for instance in control:
        await instance.start()
    for instance in control:
        instance.members = control
    addresses = [c.address for c in control]
    watchers = [
        watches.Watcher(watches.View(), name, addresses, domain)
        for name in NAMES[:count]
    ]
    tasks = [asyncio.ensure_future(watcher.run()) for watcher in watchers]

    async def prove():
        while True:
            for instance in control:
                instance.feed.set_proof(feeds.clock())
            await asyncio.sleep(0.1)

    tasks.append(asyncio.ensure_future(prove()))

    async def at(*expected):
        allowed = {control[n].address for n in expected}
        await fakes.wait_until(lambda: {w.source for w in watchers} == allowed, 10)

    try:
        yield at
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        for instance in control:
            await instance.stop()


@pytest.mark.parametrize(
    ("located", "expected"),
    [("abc", [0]), ("aab", [0, 1]), ("bcd", [0, 1, 2]), ("bca", [2])],
)
def test_watchers_use_the_control_instances_of_their_failure_domain(located, expected):
    async def scenario():
        control = [Control(domain) for domain in located]
        async with watching(control) as at:
            await at(*expected)
            streams = sum((c.streams for c in control), collections.Counter())
            assert set(streams.values()) == {1}, "a far source sent its view"

    asyncio.run(scenario())


def test_watchers_stay_spread_if_no_instance_tells_its_domain():
    """Guards against entries that rely on a call that older control lacks."""

    async def scenario():
        control = [Control("a", tells_domain=False) for _ in range(3)]
        async with watching(control) as at:
            await at(0, 1, 2)

    asyncio.run(scenario())


@pytest.mark.parametrize("leader", ["", "leader"])
def test_watchers_return_to_a_near_source_that_knows_a_leader(monkeypatch, leader):
    """Guards against a return to an instance that is cut off from the others."""
    monkeypatch.setattr(domains, "MIN_DELAY_S", 0.3)
    monkeypatch.setattr(domains, "MAX_DELAY_S", 0.6)

    async def scenario():
        control = [Control(domain) for domain in "abc"]
        async with watching(control) as at:
            await at(0)
            await control[0].stop()
            await at(1, 2)
            streams = control[1].streams + control[2].streams
            assert set(streams.values()) == {1}, "more than one list for a lost source"
            control[0].leader = leader
            await control[0].start()
            if leader:
                await at(0)
            else:
                await asyncio.sleep(2)
                await at(1, 2)

    asyncio.run(scenario())


@pytest.mark.parametrize("accepts", [True, False])
def test_an_entry_sends_changes_to_the_watchers_that_accept_them(accepts):
    async def scenario(harness):
        listed = [pb.Instance(name=f"e{n}", start_ms=1) for n in range(5)]
        harness.control.feed.set_instances(listed)
        await fakes.wait_until(lambda: len(harness.entry.view.instances) == 5)
        async with searches.connect(harness.entry.peer_address) as channel:
            stub = coltsfootchute_grpc.FeedStub(channel)
            async with stub.Watch.open() as stream:
                request = pb.WatchRequest(accepts_instance_changes=accepts)
                await stream.send_message(request, end=True)
                receiver = feed_streams.Receiver(stream, 5, 5)
                assert len((await receiver.next()).instances) == 5
                changed = pb.Instance(name="e1", start_ms=2)
                harness.control.feed.set_instances([changed, *listed[2:]])
                message = await receiver.next()
                while not (message.changed_instances or message.has_instances):
                    message = await receiver.next()
                assert message.has_instances is not accepts
                names = [i.name for i in message.changed_instances]
                sent = (names, list(message.removed_instances))
                assert sent == ((["e1"], ["e0"]) if accepts else ([], []))
                assert len(message.instances) == (0 if accepts else 4)
                await stream.cancel()

    fakes.run(scenario)
