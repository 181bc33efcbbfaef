"""Guards against an entry that a silent cut leaves with an old view and no doubt."""

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
from tests.end_to_end import stages

Direction = links.Direction
READS = 30


class Cuts:
    """Links between the entry e1 and all control instances."""

    def __init__(self, stack):
        self.links = []
        self._stack = stack

    async def route(self, entry, addresses):
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

    def forwarded(self, direction):
        return sum(link.forwarded(direction) for link in self.links)


def play(folder, scene, **options):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            cuts = Cuts(stack)
            stage = await stack.enter_async_context(
                stages.running(folder, route=cuts.route, **options)
            )
            await scene(stage, cuts)

    asyncio.run(main())


async def propose(address, request_id):
    """Change the section at the leader itself; return the log index."""
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


async def order(stage, key):
    """Send an order to e1; return its status and reason."""
    status, headers, _ = await stage.send(
        "POST", "/orders", headers={verdicts.KEY_HEADER: key}
    )
    if status != 200:
        assert headers[verdicts.VERDICT_HEADER] == "not_run", headers
    return status, headers.get(verdicts.REASON_HEADER)


async def read(stage):
    """Read through e1; return the target and whether e1 said that it is stale."""
    status, headers, body = await stage.send("GET", "/items/1")
    assert status == 200
    answer = msgspec.json.decode(body)
    return answer["target"], verdicts.STALE_HEADER in headers


def check_left(ran_at, target, allowed):
    """Check that a draining target got no more than the requests that told it."""
    assert ran_at.count(target) <= allowed, ran_at


@pytest.mark.parametrize(
    "cut", [(), (Direction.FORWARD,), (Direction.BACKWARD,)], ids=["both", "to", "from"]
)
def test_a_silent_cut_from_control(tmp_path, cut):
    # Guards against an entry that serves an old state as if it were current, that
    # runs an order without a claim, or that never finds back.
    async def scene(stage, cuts):
        (api,) = stage.cluster.apis
        (control,) = stage.cluster.control_addresses
        hears = cut == (Direction.FORWARD,)
        assert (await read(stage))[1] is False
        before = {d: cuts.forwarded(d) for d in cut or Direction}
        cuts.cut(*cut)
        first = new_key()
        assert await order(stage, first) == (503, "claim_unavailable")
        index = await propose(control, "while-cut")
        if hears:

            async def is_changed():
                return await stage.revision(api) >= index

            await stage.until(is_changed, "the change, which the feed still carries")
            second = new_key()
            assert await order(stage, second) == (503, "claim_unavailable")
        else:

            async def is_stale():
                return not await stage.is_current(api)

            await stage.until(is_stale, "a stale entry")
            assert await stage.revision(api) < index
            second = new_key()
            assert await order(stage, second) == (503, "stale")
        assert (await read(stage))[1] is not hears
        # The drain can't be announced; only the target's own responses tell it.
        ran_at = [(await read(stage))[0] for _ in range(READS)]
        assert "t1" in ran_at, "the entry did not use it before"
        status, _ = await stage.post(stage.cluster.target_addresses[0], "/-/drain")
        assert status == 503
        check_left([(await read(stage))[0] for _ in range(READS)], "t1", allowed=1)
        assert before == {d: cuts.forwarded(d) for d in before}, "the cut leaked"
        assert not {first, second} & {run.key for run in stage.runs()}

        cuts.heal()

        async def is_caught_up():
            current = await stage.is_current(api)
            return current and await stage.revision(api) >= index

        await stage.until(is_caught_up, "the entry current again")
        for key in (first, second):

            async def has_run(key=key):
                return (await order(stage, key))[0] == 200

            await stage.until(has_run, "the order that was not run")
            assert [run.key for run in stage.runs()].count(key) == 1

    play(tmp_path, scene, control=1, entries=1, targets=3)


@pytest.mark.parametrize("control", [1, 3, 5])
def test_an_entry_cut_off_from_control_learns_a_drain_from_another(tmp_path, control):
    # Guards against an entry that waits for control while its neighbour knows.
    async def scene(stage, cuts):
        e1, e2 = stage.cluster.apis
        body = (await stage.get(e2, "/v1/targets"))[1]
        (drained,) = (t for t in body["targets"] if t["id"] == "t1")
        cuts.cut()
        held = {d: cuts.forwarded(d) for d in Direction}
        # The target itself is not told, so its responses say nothing.
        incarnation = {"incarnation": drained["incarnation"]}
        status, _ = await stage.post(e2, "/v1/targets/t1/drain", incarnation)
        assert status == 200
        accepted_s = time.monotonic()
        needed = (await stage.get(e2, "/v1/status"))[1]["revision"]

        async def has_learnt():
            return await stage.revision(e1) >= needed

        await stage.until(has_learnt, "the drain at e1")
        taken_s = time.monotonic() - accepted_s
        check_left([(await read(stage))[0] for _ in range(READS)], "t1", allowed=0)
        assert await stage.is_current(e1), "the neighbour's proof is passed on"
        assert held == {d: cuts.forwarded(d) for d in Direction}, "the cut leaked"
        print(f"control {control}: learnt after {taken_s:.2f} s")
        assert taken_s <= reports.DRAIN_BOUND_S

    play(tmp_path, scene, control=control, entries=2, targets=3)


def test_the_check_rejects_work_on_a_drained_target():
    check_left(["t2", "t1", "t3"], "t1", allowed=1)
    with pytest.raises(AssertionError):
        check_left(["t1", "t2", "t1"], "t1", allowed=1)
