"""Measurements of the feed: time until changes are in force, cost of reports."""

import asyncio
import json
import random
import statistics
import time

from benchmarks import slopes_fits as fits
from benchmarks import slopes_processes as processes
from coltsfootchute.control import links
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = [
    "SectionChanges",
    "Watchers",
    "measure_reports_after_change",
    "measure_time_until_in_force",
]

WATCHER_COUNTS = (10, 50, 200)
ENTRY_COUNTS = (10, 50, 100)
INSTANCE_LIST_DELAY_S = 6.5
OBSERVATION_S = 2.5
MS_PER_S = 1000
IN_FORCE_TIMEOUT_S = 10.0


class Watchers:
    """Minimal watchers of the feed that record when each revision arrived.

    Parameters
    ----------
    addresses
        Addresses of the feeds; the watchers are spread over them evenly.
    count
        Number of watchers.
    report
        Coroutine function that takes the number of a watcher and a new revision,
        and reports the revision as an entry does. By default watchers don't report.
    """

    def __init__(self, addresses: list[str], count: int, report=None):
        self._addresses = addresses
        self._count = count
        self._report = report
        self._report_tasks: set[asyncio.Task] = set()
        self._watch_tasks: list[asyncio.Task] = []
        self.revisions = [0] * count
        self.arrival_times: list[dict[int, float]] = [{} for _ in range(count)]

    async def start(self) -> None:
        """Connect all watchers and wait 1 s for their first messages."""
        for number in range(self._count):
            self._watch_tasks.append(asyncio.create_task(self._watch(number)))
            await asyncio.sleep(0.002)
        await asyncio.sleep(1.0)

    async def _watch(self, number: int) -> None:
        address = self._addresses[number % len(self._addresses)]
        channel = links.open_channel(address)
        try:
            async with rpc.FeedStub(channel).Watch.open() as stream:
                request = pb.WatchRequest(watcher=f"w{number}")
                await stream.send_message(request, end=True)
                async for message in stream:
                    is_new = message.revision > self.revisions[number]
                    self.arrival_times[number][message.revision] = time.monotonic()
                    self.revisions[number] = message.revision
                    if is_new and self._report is not None:
                        self._report_later(number)
        finally:
            channel.close()

    def _report_later(self, number: int) -> None:
        """Report after up to 1 s, as an entry does."""

        async def report() -> None:
            await asyncio.sleep(random.random())
            await self._report(number, self.revisions[number])

        task = asyncio.create_task(report())
        self._report_tasks.add(task)
        task.add_done_callback(self._report_tasks.discard)

    async def stop(self) -> None:
        """Disconnect all watchers."""
        tasks = [*self._watch_tasks, *self._report_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _document(number: int) -> str:
    rule = {
        "name": "read",
        "methods": ["GET"],
        "path": "/**",
        "repeatable": True,
        "deadline_ms": 100 + number % 1000,
    }
    return json.dumps({"rules": [rule]})


class SectionChanges:
    """Proposes the revisions of one section, one after another."""

    def __init__(self, cluster: processes.Cluster, section: str):
        self._cluster = cluster
        self._section = section
        self._revision = 0

    async def propose(self) -> int:
        """Change the section; return the log index of the change.

        Raises
        ------
        RuntimeError
            If the proposal is not accepted.
        """
        proposal = pb.Proposal(
            section=self._section,
            expected_revision=self._revision,
            document=_document(self._revision),
            team="t",
            author="a",
            request_id=f"{self._section}-{self._revision}",
        )
        reply = await self._cluster.stub.Propose(proposal)
        if reply.outcome.status != pb.PROPOSAL_STATUS_ACCEPTED:
            raise RuntimeError(f"the proposal was not accepted: {reply}")
        self._revision += 1
        return reply.outcome.index


async def measure_time_until_in_force(quick: bool) -> dict:
    """Measure the time from a proposal until each watcher has received it."""
    count, rounds = (4, 1) if quick else (10, 2)
    results = {}
    async with processes.running_cluster(3) as cluster:
        for number in WATCHER_COUNTS:
            watchers = Watchers(cluster.addresses, number)
            await watchers.start()
            p50, greatest = [], []
            for round_number in range(rounds):
                changes = SectionChanges(cluster, f"s-{number}-{round_number}")
                times = [await _time_change(changes, watchers) for _ in range(count)]
                p50.append(statistics.median(t for one in times for t in one))
                greatest.append(max(t for one in times for t in one))
            await watchers.stop()
            results[number] = {
                "p50_ms": round(statistics.median(p50), 2),
                "max_ms": round(max(greatest), 2),
                "max_rounds_ms": [round(value, 2) for value in greatest],
                "changes": count * rounds,
            }
    return {"unit": "ms from the proposal", "by_watchers": results}


async def _time_change(changes: SectionChanges, watchers: Watchers) -> list[float]:
    start_s = time.monotonic()
    index = await changes.propose()
    while min(watchers.revisions) < index:
        if time.monotonic() - start_s > IN_FORCE_TIMEOUT_S:
            raise TimeoutError(
                f"not all watchers received revision {index} within "
                f"{IN_FORCE_TIMEOUT_S} s"
            )
        await asyncio.sleep(0.002)
    return [(seen[index] - start_s) * MS_PER_S for seen in watchers.arrival_times]


async def measure_reports_after_change(quick: bool) -> dict:
    """Measure the cost of one change and of the entries' reports after it.

    The numbers of entries ascend: each measurement includes the entries of the
    earlier ones, so that none expires meanwhile.
    """
    rounds = 1 if quick else 2
    found: list[dict] = [{} for _ in range(rounds)]
    async with processes.running_cluster(3) as cluster:
        await asyncio.sleep(INSTANCE_LIST_DELAY_S)
        changes = SectionChanges(cluster, "news")
        for number in ENTRY_COUNTS:
            for one, used in zip(
                found,
                await _measure_changes(cluster, changes, number, rounds),
                strict=True,
            ):
                one[number] = used
    units = {"cpu": "ms of processor time", "bytes": "bytes"}
    return {
        role: {
            name: fits.fit_series(
                f"{unit} per change",
                "entries",
                [{s: v[role][name] for s, v in one.items()} for one in found],
            ).data()
            for name, unit in units.items()
        }
        for role in ("leader", "follower")
    }


async def _measure_changes(
    cluster, changes: SectionChanges, entries: int, count: int
) -> list[dict]:
    """Return the cost of each change until all entries have reported it."""

    async def report(number: int, revision: int) -> None:
        instance = pb.Instance(
            name=f"e{number}",
            calls_address=f"127.0.0.1:{10_000 + number}",
            api_address=f"127.0.0.1:{20_000 + number}",
            peer_address=f"127.0.0.1:{30_000 + number}",
            failure_domain=f"fd-{number % 4}",
            start_ms=1,
            revision=revision,
        )
        await cluster.stub.Report(pb.ReportRequest(instance=instance))

    numbers = [cluster.leader, cluster.follower]
    watchers = Watchers(cluster.addresses, entries, report)
    await watchers.start()
    await asyncio.sleep(OBSERVATION_S)
    baseline = await processes.observe(cluster, numbers, OBSERVATION_S)
    found = []
    for _ in range(count):
        observing = asyncio.create_task(
            processes.observe(cluster, numbers, OBSERVATION_S)
        )
        await asyncio.sleep(0.1)
        await changes.propose()
        values = await observing
        added = {
            n: {
                name: (values[n][name] - baseline[n][name]) * OBSERVATION_S
                for name in baseline[n]
            }
            for n in numbers
        }
        for used in added.values():
            used["cpu"] /= MS_PER_S
        found.append(
            {"leader": added[cluster.leader], "follower": added[cluster.follower]}
        )
    await watchers.stop()
    return found
