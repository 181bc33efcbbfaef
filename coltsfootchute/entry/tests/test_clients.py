"""Guards against a wrong belief about whether a call took effect."""

import asyncio

import pytest

from coltsfootchute import errors
from coltsfootchute.entry import clients
from coltsfootchute.entry.tests import fakes

pb = fakes.pb


def run(play, count=2):
    async def whole():
        controls = [fakes.FakeControl() for _ in range(count)]
        for control in controls:
            await control.start()
        client = clients.ControlClient([c.address for c in controls])
        try:
            await play(client, *controls)
        finally:
            await client.close()
            for control in controls:
                await control.stop()

    asyncio.run(whole())


def test_the_hint_leads_to_the_leader():
    async def play(client, first, second):
        first.header = pb.ReplyHeader(
            status=pb.REPLY_STATUS_NOT_LEADER, leader_address=second.address
        )
        await client.call("Report", pb.ReportRequest())
        await client.call("Report", pb.ReportRequest())
        assert (len(first.reports), len(second.reports)) == (1, 2)

    run(play)


def test_an_unreachable_instance_is_passed_over():
    async def play(client, first):
        client._addresses.insert(0, "127.0.0.1:1")
        client._leader = "127.0.0.1:1"
        await client.call("Report", pb.ReportRequest())
        assert len(first.reports) == 1

    run(play, count=1)


def test_without_a_leader_the_call_did_not_take_effect():
    async def play(client, *controls):
        for control in controls:
            control.header = pb.ReplyHeader(status=pb.REPLY_STATUS_NOT_LEADER)
        with pytest.raises(errors.UnavailableError):
            await client.call("Report", pb.ReportRequest(), 0.3)

    run(play)


def test_a_claim_without_a_reply_has_an_unknown_outcome_and_is_sent_once():
    async def play(client, first, second):
        first.may_reply.clear()
        with pytest.raises(errors.OutcomeUnknownError):
            await client.claim(pb.ClaimCommand(), 0.9)
        assert (len(first.claims), len(second.claims)) == (1, 0)

    run(play)


def test_renewals_travel_in_one_message():
    async def play(client, control):
        renewals = [("a", 1), ("b", 1), ("old", 3), ("a", 1)]
        got = await asyncio.gather(*(client.renew(*pair) for pair in renewals))
        assert got == [True, True, False, True]
        assert len(control.commands) == 1
        assert len(control.commands[0].renewals) == 3

    run(play, count=1)


def test_renewals_that_do_not_arrive_are_noticed():
    # Answered from the view alone, a target would lose its lease unawares.
    async def play(client, control):
        await client.renew("a", 1)
        assert client.are_renewals_acknowledged
        control.may_reply.clear()
        with pytest.raises(errors.ColtsfootchuteError):
            await client.renew("a", 1)
        assert not client.are_renewals_acknowledged

    run(play, count=1)
