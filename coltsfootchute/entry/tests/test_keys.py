"""Guards against a request that runs twice or whose claim is lost or stuck."""

import asyncio

import pytest

from coltsfootchute.entry.tests import fakes

pb = fakes.pb


@pytest.mark.parametrize(
    ("status", "refusal"),
    [
        (pb.CLAIM_STATUS_CLAIMED, "may_have_run claimed_elsewhere 409"),
        (pb.CLAIM_STATUS_DIGEST_MISMATCH, "not_run key_reused 409"),
        (pb.CLAIM_STATUS_KEY_EXPIRED, "may_have_run key_expired 409"),
        (pb.CLAIM_STATUS_KEY_IN_FUTURE, "not_run key_malformed 400"),
        (pb.CLAIM_STATUS_QUARANTINED, "not_run quarantined 422"),
        (pb.CLAIM_STATUS_UNKNOWN, "not_run claim_unavailable 503"),
        (pb.CLAIM_STATUS_RAN, "may_have_run answer_not_kept 409"),
    ],
)
def test_nothing_is_sent_unless_the_claim_is_granted(status, refusal):
    async def play(stage):
        outcome = pb.ClaimOutcome(status=status)
        stage.control.claim_reply = pb.ClaimReply(outcome=outcome)
        assert (await stage.order()).refusal == refusal
        assert not stage.targets[0].heads
        unknown = status == pb.CLAIM_STATUS_UNKNOWN
        await fakes.wait_until(lambda: len(stage.control.settlements) == unknown)
        assert all(s.released for s in stage.control.settlements)

    fakes.run(play, fakes.respond())


def test_the_first_answer_is_replayed():
    async def play(stage):
        answer = pb.StoredAnswer(
            status=201,
            header_names=["Content-Type", "Content-Length"],
            header_values=["text/plain", "5"],
            body=b"first",
            body_kept=True,
        )
        outcome = pb.ClaimOutcome(status=pb.CLAIM_STATUS_RAN, answer=answer)
        stage.control.claim_reply = pb.ClaimReply(outcome=outcome)
        got = await stage.order()
        assert (got.status, got.body) == (201, b"first")
        assert got.headers["coltsfootchute-replayed"] == "1"
        assert got.headers["content-type"] == "text/plain"
        assert not stage.targets[0].heads

    fakes.run(play, fakes.respond())


def test_an_unavailable_control_refuses_claims_but_not_repeatable_requests():
    async def play(stage):
        header = pb.ReplyHeader(status=pb.REPLY_STATUS_NOT_LEADER)
        stage.control.claim_reply = pb.ClaimReply(header=header)
        answer = await stage.order()
        assert answer.refusal == "not_run claim_unavailable 503"
        assert (await stage.send("GET", "/shop/items/1")).status == 200
        assert len(stage.targets[0].heads) == 1

    fakes.run(play, fakes.respond())


def test_hanging_claims_leave_room_for_repeatable_requests():
    async def play(stage):
        stage.control.may_reply.clear()
        orders = [asyncio.ensure_future(stage.order()) for _ in range(20)]
        await fakes.wait_until(lambda: len(stage.control.claims) >= 8)
        assert (await stage.send("GET", "/shop/items/1")).status == 200
        stage.control.may_reply.set()
        await asyncio.gather(*orders)

    fakes.run(play, fakes.respond())


def test_settlements_are_sent_again_until_they_are_acknowledged():
    async def play(stage):
        stage.control.refused_settlements = 3
        assert (await stage.order()).status == 200
        await fakes.wait_until(lambda: stage.control.settlements)
        assert stage.control.refused_settlements == 0

    fakes.run(play, fakes.respond())


@pytest.mark.parametrize(("size", "kept"), [(16384, True), (16385, False)])
def test_answers_over_the_bound_are_settled_without_their_body(size, kept):
    async def play(stage):
        assert len((await stage.order()).body) == size
        await fakes.wait_until(lambda: stage.control.settlements)
        answer = stage.control.settlements[0].answer
        assert (answer.body_kept, len(answer.body)) == (kept, size if kept else 0)

    fakes.run(play, fakes.respond(b"x" * size))


def test_an_answer_whose_end_is_not_provable_does_not_settle_the_claim():
    text = b"HTTP/1.1 200 OK\r\n\r\nall?"

    async def play(stage):
        answer = await stage.order()
        assert answer.body == b"all?"
        assert answer.headers["connection"] == "close"
        assert "transfer-encoding" not in answer.headers
        assert not stage.control.settlements

    fakes.run(play, fakes.close_after(text))


def test_the_claim_digest_tells_requests_apart():
    async def play(stage):
        key = fakes.uuid7()
        await stage.order(key=key)
        await stage.order(key=key)
        await stage.order(key=key, body=b"longer")
        await stage.order(key=key, Content_Type="text/plain")
        await stage.send("PUT", "/shop/orders", b"one", Idempotency_Key=key)
        digests = [c.digest for c in stage.control.claims]
        assert digests[0] == digests[1]
        assert len(set(digests)) == 4
        assert len({c.attempt_id for c in stage.control.claims}) == 5

    fakes.run(play, fakes.respond())


def test_a_request_that_crashes_two_targets_is_reported_and_refused():
    async def play(stage):
        answer = await stage.send("GET", "/shop/items/bad")
        assert answer.refusal == "may_have_run quarantined 422"
        await fakes.wait_until(lambda: len(stage.control.crashes) == 2)
        first, second = stage.control.crashes
        assert first.digest == second.digest
        assert first.target_id != second.target_id
        heads = sum(len(t.heads) for t in stage.targets)
        assert heads == 2
        refused = await stage.send("GET", "/shop/items/bad")
        assert refused.refusal == "not_run quarantined 422"
        assert sum(len(t.heads) for t in stage.targets) == heads

    fakes.run(play, *[fakes.close_after()] * 3)  # The third one stays alive.


def test_a_quarantine_of_the_log_is_applied_and_removed():
    async def play(stage):
        stage.entry.services.by_name["shop"].has_crashes = True
        # The reporter sends a digest of a broken request first.
        await stage.send("GET", "/shop/items/1")
        await fakes.wait_until(lambda: stage.control.crashes)
        crash = stage.control.crashes[0]
        quarantine = pb.Quarantine(
            service="shop", digest=crash.digest, target_ids=["x", "y"], active=True
        )
        stage.control.publish(quarantine=quarantine)
        await fakes.wait_until(lambda: stage.entry.view.quarantines)
        answer = await stage.send("GET", "/shop/items/1")
        assert answer.refusal == "not_run quarantined 422"
        removed = pb.Quarantine(service="shop", digest=crash.digest, removed=True)
        stage.control.publish(quarantine=removed)
        await fakes.wait_until(lambda: not stage.entry.view.quarantines)
        assert (await stage.send("GET", "/shop/items/1")).status == 502

    fakes.run(play, fakes.close_after())
