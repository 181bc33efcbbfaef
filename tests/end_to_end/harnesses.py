"""A cluster of real processes for the end-to-end tests."""

import asyncio
import contextlib
import pathlib
import signal
import typing

import aiohttp
import grpclib.client
import grpclib.exceptions

from coltsfootchute.commands import statuses
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.standins import (
    callers,
    clusters,
    fleets,
    records,
    reports,
)

TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0


class ClusterHarness:
    """A running cluster, and the operations and checks that the tests share.

    Parameters
    ----------
    cluster
        The processes, already started.
    session
        Client for the tests' own requests.
    """

    def __init__(self, cluster: clusters.Cluster, session: aiohttp.ClientSession):
        self.cluster = cluster
        self.fleet = cluster.fleet
        self.session = session

    async def until(self, condition, what):
        """Wait until a coroutine function returns a true value; return that value.

        `what` names the condition in the error after a timeout.
        """
        values = []

        async def is_met():
            values.append(await condition())
            return bool(values[-1])

        await fleets.wait_until(is_met, what, TIMEOUT_S)
        return values[-1]

    async def leader(self, but=""):
        """Wait for a leader other than the instance `but`; return its name."""

        async def other_leader():
            name = statuses.leader_name(await self.cluster.read("/v1/status"))
            return name if name != but else ""

        return await self.until(other_leader, "a leader")

    async def get(self, address, path):
        """Send a GET request; return status and body, (0, {}) without a response."""
        timeout = aiohttp.ClientTimeout(total=3.5)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.session.get(
                f"http://{address}{path}", timeout=timeout
            ) as resp:
                return resp.status, await resp.json()
        return 0, {}

    async def post(self, address, path, body=None):
        async with self.session.post(f"http://{address}{path}", json=body) as resp:
            return resp.status, await resp.json()

    async def metric(self, api, line):
        """Return the value of a metric, 0 if it is missing.

        `line` is the name with its labels, as in the text format.
        """
        async with self.session.get(f"http://{api}/metrics") as resp:
            text = await resp.text()
        rows = [row for row in text.splitlines() if row.startswith(line + " ")]
        return float(rows[0].rpartition(" ")[2]) if rows else 0.0

    async def revision(self, api):
        """Return the log revision in the view of an entry, 0 if it is unknown."""
        _, body = await self.get(api, "/readyz")
        return body.get("revision", 0)

    async def is_current(self, api):
        status, _ = await self.get(api, "/readyz")
        return status == 200

    async def all_current(self):
        return all([await self.is_current(api) for api in self.cluster.apis])

    def kill(self, name):
        process = self.fleet.get_process(name)
        process.signal(signal.SIGKILL)
        return process

    async def ended(self, process):
        """Wait for the end of a process; return its exit code."""
        code = await process.wait(STOP_TIMEOUT_S)
        assert code is not None, (
            f"{process.name} still runs after {STOP_TIMEOUT_S:.0f} s: {process.tail()}"
        )
        return code

    async def control_status(self, number):
        """Return the status of one control instance, or None without a response."""
        host, _, port = self.cluster.control_addresses[number - 1].rpartition(":")
        channel = grpclib.client.Channel(host, int(port))
        try:
            return await rpc.ControlStub(channel).Status(pb.StatusRequest(), timeout=1)
        except (OSError, TimeoutError, grpclib.exceptions.StreamTerminatedError):
            return None
        finally:
            channel.close()

    async def history(self):
        path = f"/v1/sections/{clusters.SERVICE}/history"

        async def read():
            return (await self.cluster.read(path)).get("history")

        return await self.until(read, "the history")

    def runs(self):
        return records.read_runs(self.cluster.runs_paths())

    def check_calls(self, outcomes, drained_s=float("inf")) -> reports.Findings:
        """Compare the outcomes of calls with the runs that the targets recorded."""
        return reports.check_outcomes(outcomes, self.runs(), drained_s)

    async def send(self, method, path, api=0, **more):
        """Send a request once to one entry; return status, headers and body."""
        url = f"http://{self.cluster.calls[api]}/{clusters.SERVICE}{path}"
        async with self.session.request(method, url, **more) as resp:
            return resp.status, resp.headers, await resp.read()


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path, control=3, entries=2, targets=4, **options: typing.Any
) -> typing.AsyncIterator[ClusterHarness]:
    """Start a cluster, and end all of its processes afterwards, also on a failure."""
    async with fleets.Fleet(folder) as fleet, callers.open_session() as session:
        cluster = clusters.Cluster(fleet, control, entries, targets, **options)
        await cluster.start()
        yield ClusterHarness(cluster, session)


def run_scenario(folder: pathlib.Path, scenario, **options) -> None:
    """Run a scenario against a cluster that is started for it."""

    async def main():
        async with running(folder, **options) as harness:
            await scenario(harness)

    asyncio.run(main())
