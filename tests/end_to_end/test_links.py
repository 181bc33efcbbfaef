"""Guards against an entry whose view is out of date, unnoticed, after a silent cut."""

import asyncio
import contextlib
import random
import time

import grpclib.client
import msgspec
import pytest

from coltsfootchute import verdicts
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.standins import clusters, keys, links, reports
from tests.end_to_end import harnesses

Direction = links.Direction
READS = 30


class ControlLinks:
    """The links between the entry e1 and all control instances."""

    def __init__(self, stack):
        self.links = []
        self._stack = stack

    async def route(self, entry, addresses):
        """Return the addresses of control that an entry is to use."""
        if entry != "e1":
            return addresses
        for address in addresses:
            link = await self._stack.enter_async_context(links.Link(address))
            self.links.append(link)
        return [link.address for link in self.links]

    def cut(self, *directions):
        for link in self.links:
            link.cut(*directions)

    def heal(self):
        for link in self.links:
            link.heal()

    def forwarded_bytes(self, direction):
        return sum(link.forwarded_bytes(direction) for link in self.links)


def run_scenario(folder, scenario, **options):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            cuts = ControlLinks(stack)
            harness = await stack.enter_async_context(
                harnesses.running(folder, route=cuts.route, **options)
            )
            await scenario(harness, cuts)

    asyncio.run(main())


async def propose(address, request_id):
    """Propose a change directly to the leader; return its log index."""
    host, _, port = address.rpartition(":")
    channel = grpclib.client.Channel(host, int(port))
    proposal = pb.Proposal(
        section=clusters.SERVICE,
        document=msgspec.json.encode(clusters.SECTION).decode(),
        team=clusters.TEAM,
        author="ada",
        request_id=request_id,
        expected_revision=1,
    )
    try:
        reply = await rpc.ControlStub(channel).Propose(proposal, timeout=5)
    finally:
        channel.close()
    assert reply.outcome.status == pb.PROPOSAL_STATUS_ACCEPTED
    return reply.outcome.index


def new_key():
    return str(keys.uuid7(time.time_ns() // 1_000_000, random.Random()))


async def order(harness, key):
    """Send an order to e1; return its status and reason."""
    status, headers, _ = await harness.send(
        "POST", "/orders", headers={verdicts.KEY_HEADER: key}
    )
    if status != 200:
        assert headers[verdicts.VERDICT_HEADER] == "not_run", headers
    return status, headers.get(verdicts.REASON_HEADER)


async def read(harness):
    """Read through e1; return the target, and whether e1 answered as stale."""
    status, headers, body = await harness.send("GET", "/items/1")
    assert status == 200
    answer = msgspec.json.decode(body)
    return answer["target"], verdicts.STALE_HEADER in headers


def check_runs_at(ran_at, target, allowed):
    """Check that at most `allowed` requests ran at a draining target.

    One is allowed if the entry learns of the drain from a response of the target.
    """
    assert ran_at.count(target) <= allowed, ran_at


@pytest.mark.parametrize(
    "cut", [(), (Direction.FORWARD,), (Direction.BACKWARD,)], ids=["both", "to", "from"]
)
def test_a_silent_cut_from_control(tmp_path, cut):
    # Guards against an entry that serves an old state as if it were current, runs an
    # order without a claim, or does not recover after the cut.
    async def scenario(harness, cuts):
        (api,) = harness.cluster.apis
        (control,) = harness.cluster.control_addresses
        # Whether the feed from control still reaches the entry.
        has_feed = cut == (Direction.FORWARD,)
        assert (await read(harness))[1] is False
        before = {d: cuts.forwarded_bytes(d) for d in cut or Direction}
        cuts.cut(*cut)
        first = new_key()
        assert await order(harness, first) == (503, "claim_unavailable")
        index = await propose(control, "while-cut")
        if has_feed:

            async def is_changed():
                return await harness.revision(api) >= index

            await harness.until(is_changed, "the change from the feed")
            second = new_key()
            assert await order(harness, second) == (503, "claim_unavailable")
        else:

            async def is_stale():
                return not await harness.is_current(api)

            await harness.until(is_stale, "a stale entry")
            assert await harness.revision(api) < index
            second = new_key()
            assert await order(harness, second) == (503, "stale")
        assert (await read(harness))[1] is not has_feed
        # The target can't announce its drain; the entry learns of it only from the
        # responses of the target.
        ran_at = [(await read(harness))[0] for _ in range(READS)]
        assert "t1" in ran_at, "the entry did not use t1 before the drain"
        status, _ = await harness.post(harness.cluster.target_addresses[0], "/-/drain")
        assert status == 503
        check_runs_at([(await read(harness))[0] for _ in range(READS)], "t1", allowed=1)
        assert before == {d: cuts.forwarded_bytes(d) for d in before}, (
            "bytes passed the cut"
        )
        assert not {first, second} & {run.key for run in harness.runs()}

        cuts.heal()

        async def is_caught_up():
            current = await harness.is_current(api)
            return current and await harness.revision(api) >= index

        await harness.until(is_caught_up, "the entry current again")
        for key in (first, second):

            async def has_run(key=key):
                return (await order(harness, key))[0] == 200

            await harness.until(has_run, "the order that was not run")
            assert [run.key for run in harness.runs()].count(key) == 1

    run_scenario(tmp_path, scenario, control=1, entries=1, targets=3)


@pytest.mark.parametrize("control", [1, 3, 5])
def test_an_entry_cut_off_from_control_learns_a_drain_from_another(tmp_path, control):
    # Guards against an entry that waits for control while another entry knows.
    async def scenario(harness, cuts):
        e1, e2 = harness.cluster.apis
        body = (await harness.get(e2, "/v1/targets"))[1]
        (drained,) = (t for t in body["targets"] if t["id"] == "t1")
        cuts.cut()
        before = {d: cuts.forwarded_bytes(d) for d in Direction}
        # The target itself does not know of its drain, so its responses don't show it.
        incarnation = {"incarnation": drained["incarnation"]}
        status, _ = await harness.post(e2, "/v1/targets/t1/drain", incarnation)
        assert status == 200
        accepted_s = time.monotonic()
        needed = (await harness.get(e2, "/v1/status"))[1]["revision"]

        async def is_updated():
            return await harness.revision(e1) >= needed

        await harness.until(is_updated, "the drain at e1")
        took_s = time.monotonic() - accepted_s
        check_runs_at([(await read(harness))[0] for _ in range(READS)], "t1", allowed=0)
        assert await harness.is_current(e1), "e1 is stale although e2 relays the feed"
        assert before == {d: cuts.forwarded_bytes(d) for d in Direction}, (
            "bytes passed the cut"
        )
        print(f"control {control}: the drain reached e1 after {took_s:.2f} s")
        assert took_s <= reports.DRAIN_GRACE_S

    run_scenario(tmp_path, scenario, control=control, entries=2, targets=3)


def test_the_check_rejects_work_on_a_drained_target():
    check_runs_at(["t2", "t1", "t3"], "t1", allowed=1)
    with pytest.raises(AssertionError):
        check_runs_at(["t1", "t2", "t1"], "t1", allowed=1)
