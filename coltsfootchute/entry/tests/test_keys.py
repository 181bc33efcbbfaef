"""Guards against requests that run twice, and claims that are lost or not released."""

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
    async def scenario(harness):
        outcome = pb.ClaimOutcome(status=status)
        harness.control.claim_reply = pb.ClaimReply(outcome=outcome)
        assert (await harness.order()).refusal == refusal
        assert not harness.targets[0].heads
        unknown = status == pb.CLAIM_STATUS_UNKNOWN
        await fakes.wait_until(lambda: len(harness.control.settlements) == unknown)
        assert all(s.released for s in harness.control.settlements)

    fakes.run(scenario, fakes.respond())


def test_the_first_answer_is_replayed():
    async def scenario(harness):
        answer = pb.StoredAnswer(
            status=201,
            header_names=["Content-Type", "Content-Length"],
            header_values=["text/plain", "5"],
            body=b"first",
            body_kept=True,
        )
        outcome = pb.ClaimOutcome(status=pb.CLAIM_STATUS_RAN, answer=answer)
        harness.control.claim_reply = pb.ClaimReply(outcome=outcome)
        got = await harness.order()
        assert (got.status, got.body) == (201, b"first")
        assert got.headers["coltsfootchute-replayed"] == "1"
        assert got.headers["content-type"] == "text/plain"
        assert not harness.targets[0].heads

    fakes.run(scenario, fakes.respond())


def test_an_unavailable_control_refuses_claims_but_not_repeatable_requests():
    async def scenario(harness):
        header = pb.ReplyHeader(status=pb.REPLY_STATUS_NOT_LEADER)
        harness.control.claim_reply = pb.ClaimReply(header=header)
        answer = await harness.order()
        assert answer.refusal == "not_run claim_unavailable 503"
        assert (await harness.send("GET", "/shop/items/1")).status == 200
        assert len(harness.targets[0].heads) == 1

    fakes.run(scenario, fakes.respond())


def test_pending_claims_leave_slots_for_repeatable_requests():
    async def scenario(harness):
        harness.control.may_reply.clear()
        orders = [asyncio.ensure_future(harness.order()) for _ in range(20)]
        await fakes.wait_until(lambda: len(harness.control.claims) >= 8)
        assert (await harness.send("GET", "/shop/items/1")).status == 200
        harness.control.may_reply.set()
        await asyncio.gather(*orders)

    fakes.run(scenario, fakes.respond())


def test_settlements_are_resent_until_they_are_acknowledged():
    async def scenario(harness):
        harness.control.refused_settlements = 3
        assert (await harness.order()).status == 200
        await fakes.wait_until(lambda: harness.control.settlements)
        assert harness.control.refused_settlements == 0

    fakes.run(scenario, fakes.respond())


@pytest.mark.parametrize(("size", "kept"), [(16384, True), (16385, False)])
def test_answers_over_the_bound_are_settled_without_their_body(size, kept):
    async def scenario(harness):
        assert len((await harness.order()).body) == size
        await fakes.wait_until(lambda: harness.control.settlements)
        answer = harness.control.settlements[0].answer
        assert (answer.body_kept, len(answer.body)) == (kept, size if kept else 0)

    fakes.run(scenario, fakes.respond(b"x" * size))


def test_a_close_delimited_answer_does_not_settle_the_claim():
    text = b"HTTP/1.1 200 OK\r\n\r\nall?"

    async def scenario(harness):
        answer = await harness.order()
        assert answer.body == b"all?"
        assert answer.headers["connection"] == "close"
        assert "transfer-encoding" not in answer.headers
        assert not harness.control.settlements

    fakes.run(scenario, fakes.close_after(text))


def test_the_claim_digest_distinguishes_requests():
    async def scenario(harness):
        key = fakes.uuid7()
        await harness.order(key=key)
        await harness.order(key=key)
        await harness.order(key=key, body=b"longer")
        await harness.order(key=key, Content_Type="text/plain")
        await harness.send("PUT", "/shop/orders", b"one", Idempotency_Key=key)
        digests = [c.digest for c in harness.control.claims]
        assert digests[0] == digests[1]
        assert len(set(digests)) == 4
        assert len({c.attempt_id for c in harness.control.claims}) == 5

    fakes.run(scenario, fakes.respond())


def test_a_request_that_crashes_two_targets_is_reported_and_refused():
    async def scenario(harness):
        answer = await harness.send("GET", "/shop/items/bad")
        assert answer.refusal == "may_have_run quarantined 422"
        # Each crash is reported with both digests of the request.
        await fakes.wait_until(lambda: len(harness.control.crashes) == 4)
        digests = {crash.digest for crash in harness.control.crashes}
        assert len(digests) == 2
        for digest in digests:
            crashes = [c for c in harness.control.crashes if c.digest == digest]
            assert len({c.target_id for c in crashes}) == len(crashes) == 2
        heads = sum(len(t.heads) for t in harness.targets)
        assert heads == 2
        refused = await harness.send("GET", "/shop/items/bad")
        assert refused.refusal == "not_run quarantined 422"
        assert sum(len(t.heads) for t in harness.targets) == heads

    fakes.run(scenario, *[fakes.close_after()] * 3)  # The third one gets no request.


def test_a_quarantine_from_the_log_is_applied_and_removed():
    async def scenario(harness):
        harness.entry.services.by_name["shop"].has_crashes = True
        # The lost connection makes the entry report the crash digest of the request.
        await harness.send("GET", "/shop/items/1")
        await fakes.wait_until(lambda: harness.control.crashes)
        crash = harness.control.crashes[0]
        quarantine = pb.Quarantine(
            service="shop", digest=crash.digest, target_ids=["x", "y"], active=True
        )
        harness.control.publish(quarantine=quarantine)
        await fakes.wait_until(lambda: harness.entry.view.quarantines)
        answer = await harness.send("GET", "/shop/items/1")
        assert answer.refusal == "not_run quarantined 422"
        removed = pb.Quarantine(service="shop", digest=crash.digest, removed=True)
        harness.control.publish(quarantine=removed)
        await fakes.wait_until(lambda: not harness.entry.view.quarantines)
        assert (await harness.send("GET", "/shop/items/1")).status == 502

    fakes.run(scenario, fakes.close_after())
