"""Guards against unauthorized changes, unclear errors and lost announcements."""

import hashlib
import json

import pytest

from coltsfootchute.entry.tests import fakes

pb = fakes.pb
TOKEN = "a secret of the team"
PROPOSAL = {
    "expected_revision": 0,
    "document": "{}",
    "author": "someone",
    "request_id": "r1",
}
TARGET = {
    "id": "t9",
    "incarnation": 3,
    "address": "127.0.0.1:9",
    "failure_domain": "fd-a",
    "services": ["shop"],
    "slots": 4,
}


async def send_json(harness, method, path, body=None, **headers):
    data = b"" if body is None else json.dumps(body).encode()
    to = harness.entry.api_address
    answer = await harness.send(method, path, data, to=to, **headers)
    return answer.status, json.loads(answer.body)


def test_addresses_of_a_known_service():
    async def scenario(harness):
        status, body = await send_json(harness, "GET", "/v1/services/shop/addresses")
        own = {"address": harness.entry.calls_address, "failure_domain": "fd-a"}
        assert (status, body["addresses"], body["keep_s"]) == (200, [own], 0.1)
        status, body = await send_json(harness, "GET", "/v1/services/none/addresses")
        assert (status, body["error"]) == (404, "no_service")

    fakes.run(scenario)


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({}, 401),
        ({"Authorization": "Bearer wrong"}, 401),
        ({"Authorization": TOKEN}, 401),
        ({"Coltsfootchute_Team": "team-a"}, 401),
        ({"Authorization": f"Bearer {TOKEN}"}, 200),
    ],
)
def test_only_a_known_token_may_propose(headers, status):
    async def scenario(harness):
        got, _ = await send_json(
            harness, "PUT", "/v1/sections/shop", PROPOSAL, **headers
        )
        assert got == status
        assert [p.team for p in harness.control.proposals] == ["team-a"] * (
            status == 200
        )

    operators = {"team-a": hashlib.sha256(TOKEN.encode()).hexdigest()}
    fakes.run(scenario, operators=operators)


@pytest.mark.parametrize(
    ("outcome", "status", "error"),
    [
        (pb.PROPOSAL_STATUS_CONFLICT, 409, "conflict"),
        (pb.PROPOSAL_STATUS_NOT_OWNER, 403, "not_owner"),
        (pb.PROPOSAL_STATUS_INVALID, 400, "invalid"),
        (pb.PROPOSAL_STATUS_REQUEST_ID_REUSED, 409, "request_id_reused"),
        (pb.PROPOSAL_STATUS_UNKNOWN, 504, "unknown"),
    ],
)
def test_each_outcome_of_a_proposal_has_its_own_answer(outcome, status, error):
    async def scenario(harness):
        problem = pb.FieldError(path="$.rules", reason="missing")
        harness.control.proposal = pb.ProposalOutcome(status=outcome, errors=[problem])
        team = {"Coltsfootchute_Team": "team-a"}
        got, body = await send_json(
            harness, "PUT", "/v1/sections/shop", PROPOSAL, **team
        )
        assert (got, body["error"]) == (status, error)
        if error == "invalid":
            assert body["errors"] == [{"path": "$.rules", "reason": "missing"}]

    fakes.run(scenario)


def test_targets_announce_renew_and_drain():
    async def scenario(harness):
        status, body = await send_json(harness, "POST", "/v1/targets", TARGET)
        assert (status, body["lease_s"], body["renew_s"]) == (200, 30, 10)
        doc = {"incarnation": 3}
        assert (await send_json(harness, "POST", "/v1/targets/t9/renew", doc))[0] == 200
        status, body = await send_json(harness, "POST", "/v1/targets/old/renew", doc)
        assert (status, body["error"]) == (404, "unknown_target")
        harness.control.publish(target=pb.Target(target_id="old", incarnation=9))
        await fakes.wait_until(lambda: "old" in harness.entry.view.targets)
        status, body = await send_json(harness, "POST", "/v1/targets/old/renew", doc)
        assert (status, body["error"]) == (409, "old_incarnation")
        assert (await send_json(harness, "POST", "/v1/targets/t9/drain", doc))[0] == 200
        kinds = [c.kind for c in harness.control.commands if hasattr(c, "kind")]
        kind = pb.TargetCommand
        assert kinds == [kind.KIND_ANNOUNCE, kind.KIND_DRAIN]

    fakes.run(scenario)


def test_a_known_target_is_renewed_without_waiting_for_the_leader():
    async def scenario(harness):
        known = pb.Target(target_id="t8", incarnation=3)
        harness.control.publish(target=known)
        await fakes.wait_until(lambda: "t8" in harness.entry.view.targets)
        doc = {"incarnation": 3}

        async def renew():
            return (await send_json(harness, "POST", "/v1/targets/t8/renew", doc))[0]

        client = harness.entry.client
        client._renew_s = 0.05
        harness.control.may_reply.clear()
        assert await renew() == 200
        await fakes.wait_until(lambda: not client.are_renewals_acknowledged)
        # An entry that can't forward renewals to control must not confirm them.
        assert await renew() >= 500
        harness.control.may_reply.set()
        assert await renew() == 200
        assert client.are_renewals_acknowledged

    fakes.run(scenario)


@pytest.mark.parametrize(
    ("body", "path"),
    [
        ({**TARGET, "slots": 0}, "$.slots"),
        ({**TARGET, "address": "host:1"}, "$.address"),
        ({**TARGET, "more": 1}, "$"),
        ([], "$"),
    ],
)
def test_a_malformed_announcement_names_the_field(body, path):
    async def scenario(harness):
        status, got = await send_json(harness, "POST", "/v1/targets", body)
        assert (status, got["error"]) == (400, "invalid")
        assert got["errors"][0]["path"] == path
        assert not harness.control.commands

    fakes.run(scenario)


def test_large_bodies_and_unknown_paths_have_clear_errors():
    async def scenario(harness):
        status, body = await send_json(harness, "POST", "/v1/targets", "x" * (2 << 20))
        assert (status, body["error"]) == (413, "body_too_large")
        status, body = await send_json(harness, "GET", "/v1/none")
        assert (status, body["error"]) == (404, "not_found")

    fakes.run(scenario)


def test_metrics_count_each_refusal_reason():
    async def scenario(harness):
        await harness.send("GET", "/none/x")
        to = harness.entry.api_address
        text = (await harness.send("GET", "/metrics", to=to)).body.decode()
        assert 'coltsfootchute_refusals_total{reason="no_service"} 1.0' in text
        assert 'coltsfootchute_refusals_total{reason="stale"} 0.0' in text
        assert 'coltsfootchute_retries_total{reason="target_shed"} 0.0' in text

    fakes.run(scenario)
