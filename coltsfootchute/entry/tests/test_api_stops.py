"""Guards against a planned stop that drops requests of operators and targets."""

import asyncio
import json

import pytest

from coltsfootchute.entry.tests import fakes, test_apis, test_bounded_stops

STOP_S = 3.0
BODY = json.dumps(test_apis.TARGET).encode()
HALF = len(BODY) // 2
HEAD = f"POST /v1/targets HTTP/1.1\r\nHost: x\r\nContent-Length: {len(BODY)}\r\n\r\n"
HEALTH_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
WITHOUT_CALLS = {"calls": None, "stop_s": STOP_S}


async def start_announcement(harness):
    """Send the head of an announcement and half of its body."""
    reader, writer = await harness.connect(harness.entry.api_address)
    writer.write(HEAD.encode() + BODY[:HALF])
    await asyncio.sleep(0.1)
    return reader, writer


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    body = await reader.readuntil(b"}")
    return fakes.Answer(head + body)


@pytest.mark.parametrize("delay_fraction", [0.02, 0.2, 0.6])
def test_the_rest_of_a_body_that_arrives_during_a_stop_is_not_dropped_by_the_api(
    delay_fraction,
):
    async def scenario(harness):
        reader, writer = await start_announcement(harness)
        stop = asyncio.ensure_future(harness.entry.stop())
        await asyncio.sleep(delay_fraction * STOP_S)
        writer.write(BODY[HALF:])
        answer = fakes.Answer(
            await test_bounded_stops.read_to_end(reader, STOP_S) or b""
        )
        assert answer.status == 200
        assert answer.headers["connection"] == "close"
        assert [c.target.target_id for c in harness.control.commands] == ["t9"]
        writer.close()
        await stop

    fakes.run(scenario, **WITHOUT_CALLS)


def test_an_incomplete_body_is_refused_before_the_stop_ends():
    async def scenario(harness):
        reader, writer = await start_announcement(harness)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        stop = asyncio.ensure_future(harness.entry.stop())
        answer = fakes.Answer(
            await test_bounded_stops.read_to_end(reader, STOP_S) or b""
        )
        assert answer.status == 503
        assert json.loads(answer.body)["error"] == "stopping"
        writer.close()
        await stop
        assert loop.time() - began_s < STOP_S
        assert not harness.control.commands

    fakes.run(scenario, **WITHOUT_CALLS)


def test_a_renewal_that_control_does_not_answer_is_answered_before_the_stop_ends():
    async def scenario(harness):
        harness.control.may_reply.clear()
        path = "/v1/targets/t7/renew"
        renewal = asyncio.ensure_future(
            test_apis.send_json(harness, "POST", path, {"incarnation": 1})
        )
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await harness.entry.stop()
        assert loop.time() - began_s < STOP_S
        assert (await renewal)[0] == 504
        harness.control.may_reply.set()

    fakes.run(scenario, **WITHOUT_CALLS)


def test_an_idle_connection_to_the_api_is_closed_while_another_has_a_request():
    async def scenario(harness):
        idle_reader, idle_writer = await harness.connect(harness.entry.api_address)
        idle_writer.write(HEALTH_REQUEST)
        assert (await read_answer(idle_reader)).status == 200
        reader, writer = await start_announcement(harness)
        stop = asyncio.ensure_future(harness.entry.stop())
        # It is closed well before the stop ends, without an unanswered request.
        assert await test_bounded_stops.read_to_end(idle_reader, 0.3 * STOP_S) == b""
        with pytest.raises(ConnectionError):
            await harness.connect(harness.entry.api_address)
        assert not stop.done()
        writer.write(BODY[HALF:])
        raw = await test_bounded_stops.read_to_end(reader, STOP_S)
        assert fakes.Answer(raw or b"").status == 200
        idle_writer.close()
        writer.close()
        await stop

    fakes.run(scenario, **WITHOUT_CALLS)


def test_a_request_on_an_open_connection_as_the_api_listener_closes_is_answered():
    async def scenario(harness):
        reader, writer = await harness.connect(harness.entry.api_address)
        writer.write(HEALTH_REQUEST)
        assert (await read_answer(reader)).status == 200
        stop = asyncio.ensure_future(harness.entry.stop())
        await asyncio.sleep(0.05)
        writer.write(HEALTH_REQUEST)
        raw = await test_bounded_stops.read_to_end(reader, STOP_S)
        answer = fakes.Answer(raw or b"")
        assert answer.status == 200
        assert answer.headers["connection"] == "close"
        writer.close()
        await stop

    fakes.run(scenario, **WITHOUT_CALLS)


def test_the_api_accepts_requests_during_a_stop_while_calls_are_in_progress():
    async def scenario(harness):
        slow = asyncio.ensure_future(harness.send("GET", "/shop/items/1"))
        await fakes.wait_until(lambda: harness.targets[0].heads)
        stop = asyncio.ensure_future(harness.entry.stop())
        await asyncio.sleep(0.6 * STOP_S)
        reader, writer = await start_announcement(harness)
        await asyncio.sleep(0.15 * STOP_S)
        writer.write(BODY[HALF:])
        raw = await test_bounded_stops.read_to_end(reader, STOP_S)
        assert fakes.Answer(raw or b"").status == 200
        writer.close()
        assert (await slow).status == 504
        await stop

    async def script(target, head, reader, writer):
        await asyncio.sleep(60)

    rules = {"rules": test_bounded_stops.RULES}
    fakes.run(scenario, script, stop_s=STOP_S, section=rules)
