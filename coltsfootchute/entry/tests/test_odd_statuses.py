"""Guards against a response with an impossible status that reaches a caller."""

import pytest

from coltsfootchute.entry.tests import test_declared

ROUTES = (
    {"prefix": "/read/", "timeout_s": 2, "attempts": 2},
    {"prefix": "/once/", "guarantee": "at_most_once", "timeout_s": 2, "attempts": 2},
)
ODD = ["000", "001", "099", "600", "999"]


@pytest.mark.parametrize("status", ODD)
@pytest.mark.parametrize("headers", ["", "X-Not-Run: 1\r\n"])
def test_a_status_outside_of_the_protocol_is_no_response(status, headers):
    """An order may have run, whatever else the response states."""
    script = test_declared.echo(
        headers=test_declared.SEALED + headers, status=f"{status} Odd"
    )

    async def scenario(harness):
        answer = await test_declared.send_request(harness, "/once/1", "PUT", b"a")
        assert answer.refusal == "may_have_run connection_lost 502"
        assert sum(len(target.heads) for target in harness.targets) == 1

    test_declared.run_declared(scenario, script, script, routes=ROUTES)


@pytest.mark.parametrize("status", ODD)
def test_a_read_goes_to_another_target_after_such_a_status(status):
    odd = test_declared.echo(status=f"{status} Odd")

    async def scenario(harness):
        for _ in range(6):
            answer = await test_declared.send_request(harness, "/read/1")
            assert (answer.status, answer.body) == (200, b"good")
        assert harness.targets[0].heads

    test_declared.run_declared(
        scenario,
        odd,
        test_declared.echo(b"good"),
        routes=ROUTES,
        retries={"percent": 100},
    )


@pytest.mark.parametrize("status", ["100", "102", "199"])
def test_an_interim_response_is_not_the_response(status):
    """Guards against rejecting a response that follows an interim one."""
    interim = f"HTTP/1.1 {status} Interim\r\n\r\n".encode()

    async def scenario(harness):
        answer = await test_declared.send_request(harness)
        assert (answer.status, answer.body) == (200, b"hello")

    test_declared.run_declared(scenario, test_declared.echo(before=interim))
