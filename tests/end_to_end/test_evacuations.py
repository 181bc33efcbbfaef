"""Guards against evacuations that are lost with control, or acknowledged too early."""

import asyncio
import contextlib
import signal
import time

import aiohttp
import grpclib.client
import grpclib.exceptions
import pytest

from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.standins import links, records, workloads
from tests.end_to_end import harnesses

DOMAIN = "fd-a"
# Targets of the cluster in that failure domain.
EVACUATED = {"t1", "t4"}
ACK_S = 1.0
# Time after the acknowledgement from which no request may reach these targets.
IN_FORCE_S = 5.0
OBSERVED_S = 2.0
GAUGE = "coltsfootchute_evacuated_failure_domains"


def check_no_run(runs, since_s):
    """Check that no run started at an evacuated target after a time."""
    late = [r for r in runs if r.target in EVACUATED and r.time_s > since_s]
    assert not late, f"{len(late)} runs at evacuated targets, first {late[0]}"


async def change(harness, method, api, domain=DOMAIN):
    """Send a change of the evacuation once; return status, body and time in s."""
    url = f"http://{api}/v1/failure-domains/{domain}/evacuation"
    began_s = time.monotonic()
    async with harness.session.request(
        method, url, timeout=aiohttp.ClientTimeout(total=5)
    ) as resp:
        body = await resp.json()
    took_s = time.monotonic() - began_s
    assert took_s < ACK_S, f"answered {resp.status} after {took_s:.2f} s"
    return resp.status, body


@contextlib.asynccontextmanager
async def unacknowledged(cluster, leader):
    """Send the start to the leader, whose replies don't arrive; give the call."""
    address = cluster.control_addresses[int(leader.removeprefix("c")) - 1]
    async with links.Link(address) as link:
        host, _, port = link.address.rpartition(":")
        channel = grpclib.client.Channel(host, int(port))
        control = rpc.ControlStub(channel)
        await control.Status(pb.StatusRequest())
        link.cut(links.Direction.BACKWARD)
        call = asyncio.ensure_future(
            control.Evacuate(pb.Evacuation(failure_domain=DOMAIN))
        )
        try:
            yield call
        finally:
            channel.close()
            with pytest.raises(grpclib.exceptions.StreamTerminatedError):
                await call


async def acknowledged(harness, method, api):
    """Resend a change until it is acknowledged; return the body of the answer."""

    async def is_acknowledged():
        status, body = await change(harness, method, api)
        return body if status == 200 else None

    return await harness.until(is_acknowledged, f"acknowledgement of {method}")


def test_an_evacuation_outlives_the_leader_and_all_control_processes(tmp_path):
    async def scenario(harness):
        cluster, fleet = harness.cluster, harness.fleet
        first, second = cluster.apis
        leader = await harness.leader()

        async def has_run_everywhere(since_s=0.0):
            ran = {run.target for run in harness.runs() if run.time_s > since_s}
            return len(ran) == len(cluster.target_addresses)

        async def is_everywhere(value=1):
            found = [await harness.metric(api, GAUGE) for api in cluster.apis]
            return found == [value, value]

        async with workloads.Workload(cluster.apis, harness.session) as workload:
            await harness.until(has_run_everywhere, "runs at every target")
            status, body = await change(harness, "PUT", first, "fd-z")
            assert (status, body["failure_domains"]) == (404, ["fd-a", "fd-b", "fd-c"])
            async with unacknowledged(cluster, leader) as call:
                await harness.until(is_everywhere, "the evacuation at each entry")
                assert not call.done(), "the leader's reply was not lost"
                harness.kill(leader)
            body = await acknowledged(harness, "PUT", first)
            acknowledged_s = time.time()
            assert body["applied"] is False, "the resend was applied again"
            await asyncio.sleep(IN_FORCE_S + OBSERVED_S)
            check_no_run(harness.runs(), acknowledged_s + IN_FORCE_S)
            in_force_s = max(
                [r.time_s for r in harness.runs() if r.target in EVACUATED]
            )
            stopped = fleet.of_role("control")
            for process in stopped:
                process.signal(signal.SIGKILL)
            await asyncio.gather(*(harness.ended(process) for process in stopped))
            for process in stopped:
                fleet.restart(process)
            await harness.leader()
            await harness.until(harness.all_current, "current entries")
            for api in cluster.apis:
                listed = (await cluster.read("/v1/evacuations", [api]))["evacuations"]
                assert [item["failure_domain"] for item in listed] == [DOMAIN]
            ended = fleet.of_role("entry")[1]
            ended.signal(signal.SIGKILL)
            await harness.ended(ended)
            fleet.restart(ended)
            await harness.until(harness.all_current, "current entries")
            await harness.until(is_everywhere, "the evacuation at each entry")
            await asyncio.sleep(OBSERVED_S)
            check_no_run(harness.runs(), acknowledged_s + IN_FORCE_S)
            assert (await acknowledged(harness, "DELETE", second))["evacuations"] == []
            ended_s = time.time()
            await harness.until(lambda: is_everywhere(0), "the end at each entry")
            await harness.until(
                lambda: has_run_everywhere(ended_s), "runs at every target again"
            )
            outcomes = await workload.stop()
        findings = harness.check_calls(outcomes)
        assert findings.violations(killed=True) == [], findings
        print(f"last run {in_force_s - acknowledged_s:+.3f} s after it", findings)

    known = ["fd-c", "fd-a", "fd-b"]
    harnesses.run_scenario(tmp_path, scenario, failure_domains=known)


def test_the_check_rejects_a_late_run():
    runs = [
        records.Run(target, "", "", "GET", "/", time_s)
        for target, time_s in (("t2", 9.0), ("t1", 4.0))
    ]
    check_no_run(runs, 5.0)
    with pytest.raises(AssertionError, match="1 runs at evacuated targets"):
        check_no_run(runs, 3.0)
