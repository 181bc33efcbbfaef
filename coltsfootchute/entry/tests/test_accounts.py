"""Guards against requests of workspaces that are counted or refused wrongly."""

import asyncio
import json
import time
import types

import pytest

from coltsfootchute import declarations, settings
from coltsfootchute.control.tests import clusters
from coltsfootchute.entry import accounts, daemons, metrics
from coltsfootchute.entry.tests import fakes, test_declared
from coltsfootchute.proto import coltsfootchute_pb2 as pb

RATE, BURST = 2.0, 3.0
NAMES = {**test_declared.NAMES, "credential": "Api-Key"}
# The name of each workspace is also its key.
WORKSPACES = [
    {**workspace, "key_digests": [declarations.key_digest(workspace["name"])]}
    for workspace in (
        {"name": "small", "rate_per_s": RATE, "burst": BURST},
        {"name": "free"},
    )
]


async def send(harness, number, workspace="small", **fields):
    """Send requests one after another; return their answers."""
    return [
        await test_declared.send_request(harness, Api_Key=workspace, **fields)
        for _ in range(number)
    ]


def limit_of(harness):
    return harness.entry.accounts._allotments._accounts["small"].limit


@pytest.fixture
def run_limited(tmp_path):
    """Run a scenario with a real entry and real control instances."""

    def run(scenario, *scripts, names=("a",)):
        async def main():
            harness = fakes.EntryHarness()
            async with clusters.running(tmp_path, names) as cluster:
                await declare(cluster, 1, RATE)
                addresses = [d.address for d in cluster.daemons.values()]
                harness.control = cluster
                cluster.address = addresses[0]
                cfg = harness.settings(headers=NAMES, control=addresses)
                harness.entry = daemons.Daemon(cfg)
                await harness.entry.start()
                try:
                    for number, script in enumerate(scripts):
                        await announce(harness, cluster, f"t{number}", script)
                    found = lambda: harness.entry.accounts.owner  # noqa: E731
                    await fakes.wait_until(found)
                    async with asyncio.timeout(60):
                        await scenario(harness, cluster)
                finally:
                    await harness.entry.abort()
                    for target in harness.targets:
                        await target.stop()

        asyncio.run(main())

    return run


async def declare(cluster, version, rate):
    route = {"name": "r", "host": "x", "shares": [{"service": "shop"}], "attempts": 1}
    document = {
        "version": version,
        "services": [{"name": "shop", "health_path": "/health"}],
        "routes": [{**route, "guarantee": "at_most_once", **test_declared.READ}],
        "workspaces": [{**WORKSPACES[0], "rate_per_s": rate}, WORKSPACES[1]],
    }
    declaration = pb.Declaration(version=version, document=json.dumps(document))
    await cluster.call("Declare", declaration)


async def announce(harness, cluster, name, script):
    target = fakes.FakeTarget(name, script)
    await target.start()
    harness.targets.append(target)
    fields = {"target_id": name, "incarnation": 1, "address": target.address}
    fields |= {"failure_domain": "fd-a", "services": ["shop"], "slots": 50}
    kind = pb.TargetCommand.KIND_ANNOUNCE
    command = pb.TargetCommand(kind=kind, target=pb.Target(**fields))
    await cluster.call("Announce", pb.AnnounceRequest(command=command))
    await fakes.wait_until(lambda: name in harness.entry.view.targets)


def test_an_entry_and_control_limit_a_workspace(run_limited):
    """Over the limit: 429 with Retry-After, not run, and no effect on others."""

    async def scenario(harness, cluster):
        accounts = harness.entry.accounts
        began_s = time.monotonic()
        answers = await send(harness, 60)
        assert answers[0].status == 200
        refused = [a for a in answers if a.status != 200]
        assert {a.refusal for a in refused} == {"not_run over_allotment 429"}
        waits_s = {float(a.headers["retry-after"]) for a in refused}
        assert min(waits_s) > 0
        assert len(waits_s) > 1, "callers would return together"
        ran = sum(len(t.heads) for t in harness.targets)
        assert ran == 60 - len(refused)
        passed_s = time.monotonic() - began_s
        assert ran <= limit_of(harness).bound + RATE * max(0.0, passed_s - 5)
        assert {a.status for a in await send(harness, 60, "free")} == {200}
        # The owner limits the workspace as well, and forgets it with the declaration.
        owner = cluster.daemons["a"].accounts.owner
        await fakes.wait_until(lambda: owner._buckets["small"].is_limited)
        await declare(cluster, 2, 1000.0)
        await fakes.wait_until(lambda: limit_of(harness).rate_per_s == 1000)
        await fakes.wait_until(lambda: not owner._buckets["small"].is_limited)
        await asyncio.sleep(0.5)
        assert {a.status for a in await send(harness, 30)} == {200}
        await declare(cluster, 3, 0.0)
        await fakes.wait_until(
            lambda: not accounts.owner or len(accounts._allotments) == 0
        )
        await fakes.wait_until(lambda: not cluster.daemons["a"].accounts._connections)

    run_limited(scenario, test_declared.echo())


def test_requests_that_did_not_run_are_given_back(run_limited):
    """A workspace must not pay for requests that its targets refused as not run."""
    shed = test_declared.echo(status="503 -", headers="X-Not-Run: 1\r\n")

    async def scenario(harness, cluster):
        bucket = cluster.daemons["a"].accounts.owner._buckets["small"]
        await fakes.wait_until(lambda: bucket.level > bucket.limit.capacity - 1)
        answers = await send(harness, 40)
        assert {a.status for a in answers} == {503}
        meters = harness.entry.metrics.allotments
        assert meters.labels("admitted").value == 40 > bucket.limit.capacity
        await fakes.wait_until(lambda: meters.labels("given_back").value == 40)
        await asyncio.sleep(0.3)
        assert bucket.level > bucket.limit.burst

    run_limited(scenario, shed)


def test_an_entry_turns_to_the_next_owner_at_a_planned_stop(run_limited):
    """Without an owner, an entry refuses requests below the limit."""

    async def scenario(harness, cluster):
        own = harness.entry.accounts
        first = min(cluster.daemons.values(), key=lambda d: d.address)
        await fakes.wait_until(lambda: own.owner == first.address)
        await cluster.stop(first.cfg.instance.name)
        await fakes.wait_until(lambda: own.owner not in {"", first.address}, 1.0)

    run_limited(scenario, test_declared.echo(), names=("a", "b", "c"))


class FakeOwner(fakes.FakeControl):
    """A control instance that sends throttles, unless a fault is set."""

    fault, streams = None, 0

    async def Account(self, stream):  # noqa: N802
        self.streams += 1
        while self.fault != "closed":
            version = 1 if self.fault == "outdated" else 2
            if self.fault != "silent":
                await stream.send_message(pb.Throttles(version=version))
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("fault", ["closed", "silent", "outdated", "frozen"])
def test_an_entry_leaves_a_faulty_owner_and_returns(fault, monkeypatch):
    """An owner that does not answer, or does not know the limits, must be left.

    After a freeze of the entry, messages that waited in the socket are out of date.
    """
    if fault != "frozen":
        monkeypatch.setattr(accounts, "IDLE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(accounts, "RETURN_AFTER_S", (0.3, 0.5))

    async def main():
        owners = [FakeOwner(), FakeOwner()]
        for owner in owners:
            await owner.start()
        first, second = sorted(owners, key=lambda owner: owner.address)
        limited = declarations.Workspace("w", rate_per_s=1)
        declaration = declarations.Declaration(2, [], [], workspaces=[limited])
        own = accounts.Accounts(
            types.SimpleNamespace(
                routes=types.SimpleNamespace(declaration=declaration),
                instances={},
            ),
            settings.QuotaSettings(),
            name="e",
            start_ms=1,
            owners=[owner.address for owner in owners],
            meters=metrics.Metrics(),
        )
        own.refresh()
        task = asyncio.ensure_future(own.run())
        await fakes.wait_until(lambda: own.owner == first.address)
        if fault == "frozen":
            time.sleep(accounts.FREEZE_THRESHOLD_S + 0.1)  # noqa: ASYNC251
            await fakes.wait_until(lambda: first.streams == 2)
        else:
            first.fault = fault
            await fakes.wait_until(lambda: own.owner == second.address)
            await asyncio.sleep(1.0)
            assert own.owner == second.address
            first.fault = None
            await fakes.wait_until(lambda: own.owner == first.address)
        task.cancel()
        for owner in owners:
            owner.fault = "closed"
            await owner.stop()

    asyncio.run(main())


def test_no_stream_is_opened_without_a_limit():
    """Deployments without limits must have no further traffic."""

    async def scenario(harness):
        assert not harness.entry.accounts._is_limiting.is_set()
        assert (await test_declared.send_request(harness)).status == 200
        assert harness.entry.accounts.owner == ""

    test_declared.run_declared(scenario, test_declared.echo())


def test_an_entry_without_an_owner_admits_its_part(monkeypatch):
    """While control does not answer, the limit must be divided by the entries."""
    monkeypatch.setattr(test_declared, "NAMES", NAMES)

    async def scenario(harness):
        instances = [pb.Instance(name=f"e{n}") for n in range(4)]
        harness.control.feed.set_instances(instances)
        harness.control.declare(
            2, test_declared.READ, workspaces=[{**WORKSPACES[0], "rate_per_s": 400}]
        )
        await fakes.wait_until(lambda: len(harness.entry.view.instances) == 4)
        await fakes.wait_until(harness.entry.accounts._is_limiting.is_set)
        began_s = time.monotonic()
        answers = []
        while time.monotonic() - began_s < 2:
            answers += await send(harness, 1)
        passed_s = time.monotonic() - began_s
        ran = sum(a.status == 200 for a in answers)
        limit = limit_of(harness)
        assert ran <= 100 * passed_s + (limit.burst + limit.tolerance) / 4
        outcomes = harness.entry.metrics.allotments
        assert outcomes.labels("admitted").value == 0
        assert outcomes.labels("admitted_alone").value == ran > 0

    test_declared.run_declared(scenario, test_declared.echo())
