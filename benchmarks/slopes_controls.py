"""Measurements of control: idle, and under renewals, reports and changes."""

import asyncio

from benchmarks import slopes_feeds
from benchmarks import slopes_fits as fits
from benchmarks import slopes_processes as processes
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["measure_rest", "measure_work"]

ROLES = ("leader", "follower")
MEMBER_COUNTS = (1, 3, 5, 7)
WATCHED_CLUSTER_MEMBERS = 3
SIZE_UNITS = {
    "renewals": "renewals/s",
    "renew_messages": "messages/s",
    "reports": "reports/s",
    "changes": "changes/s",
}
WATCHER_COUNTS = (0, 10, 50, 200)
RENEWAL_RATES_PER_S = (0, 430, 860)
CHANGE_RATES_PER_S = (0, 10, 40)
MESSAGE_RATES_PER_S = (0, 20, 80)
REPORT_RATES_PER_S = (0, 20, 80)
US_PER_S = 1e6
MS_PER_S = 1000
CPU_UNIT = "us of processor time per s"
BYTES_UNIT = "bytes per s"


def _fit_cost(per: str, rounds: list[dict[float, dict]]) -> dict:
    """Return the fitted lines of processor time, bytes and memory."""
    units = {"cpu": CPU_UNIT, "bytes": BYTES_UNIT, "memory": "KiB resident"}
    return {
        name: fits.fit_series(
            unit, per, [{size: v[name] for size, v in one.items()} for one in rounds]
        ).data()
        for name, unit in units.items()
    }


async def measure_rest(quick: bool) -> dict:
    """Measure control without changes, by number of members and of watchers."""
    seconds, rounds = (1.5, 1) if quick else (1.5, 2)
    members: list[dict] = [{} for _ in range(rounds)]
    watchers: list[dict] = []
    for count in MEMBER_COUNTS:
        async with processes.running_cluster(count) as cluster:
            await asyncio.sleep(1.0)
            for one in members:
                one[count] = await _observe_roles(cluster, seconds)
            if count == WATCHED_CLUSTER_MEMBERS:
                watchers = [
                    await _measure_by_watchers(cluster, seconds) for _ in members
                ]
    return {
        "members": {role: _fit_role_cost("members", members, role) for role in ROLES},
        "watchers": {
            role: _fit_role_cost("watchers", watchers, role) for role in ROLES
        },
    }


async def _observe_roles(cluster, seconds: float) -> dict[str, dict]:
    numbers = {"leader": cluster.leader, "follower": cluster.follower}
    if len(cluster.processes) == 1:
        del numbers["follower"]
    found = await processes.observe(cluster, list(numbers.values()), seconds)
    return {role: found[number] for role, number in numbers.items()}


async def _measure_by_watchers(cluster, seconds: float) -> dict[int, dict]:
    """Measure with the same number of watchers at the leader and one follower."""
    values = {}
    addresses = [cluster.addresses[n] for n in (cluster.leader, cluster.follower)]
    for count in WATCHER_COUNTS:
        watchers = slopes_feeds.Watchers(addresses, count * len(addresses))
        await watchers.start()
        values[count] = await _observe_roles(cluster, seconds)
        await watchers.stop()
    return values


def _fit_role_cost(per: str, rounds: list[dict[float, dict]], role: str) -> dict:
    """Return the fitted lines of one role over the sizes at which it exists."""
    return _fit_cost(
        per, [{s: v[role] for s, v in one.items() if role in v} for one in rounds]
    )


async def _call_at_rate(action, rate: float, seconds: float) -> None:
    """Call a coroutine function at a constant rate."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    for call_number in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, start + call_number / rate - loop.time()))
        await action()


async def _observe_under_load(cluster, action, rate: float, seconds: float) -> dict:
    load = asyncio.create_task(_call_at_rate(action, rate, seconds + 0.5))
    await asyncio.sleep(0.25)
    found = await _observe_roles(cluster, seconds - 0.25)
    await load
    return found


async def measure_work(quick: bool) -> dict:
    """Measure control by rates of renewals, reports and changes."""
    seconds, rounds = (1.5, 1) if quick else (1.5, 2)
    found: dict[str, list] = {name: [] for name in SIZE_UNITS}
    async with processes.running_cluster(3) as cluster:
        for number in range(max(RENEWAL_RATES_PER_S)):
            target = pb.Target(
                target_id=f"t{number}", incarnation=1, address="127.0.0.1:1"
            )
            target.services.append(f"service-{number % 22}")
            command = pb.TargetCommand(target=target)
            await cluster.stub.Announce(pb.AnnounceRequest(command=command))
        changes = slopes_feeds.SectionChanges(cluster, "s")
        for _ in range(rounds):
            found["renewals"].append(await _measure_renewals(cluster, seconds))
            found["renew_messages"].append(
                await _measure_renew_messages(cluster, seconds)
            )
            found["reports"].append(await _measure_reports(cluster, seconds))
            found["changes"].append(
                {
                    rate: await _observe_under_load(
                        cluster, changes.propose, rate, seconds
                    )
                    for rate in CHANGE_RATES_PER_S
                }
            )
    return {
        name: {role: _fit_role_cost(SIZE_UNITS[name], values, role) for role in ROLES}
        for name, values in found.items()
    }


async def _measure_renewals(cluster, seconds: float) -> dict:
    """Measure with one message with all renewals per second, as an entry sends."""
    values = {}
    for count in RENEWAL_RATES_PER_S:
        renewals = [
            pb.Renewal(target_id=f"t{number}", incarnation=1) for number in range(count)
        ]
        request = pb.RenewRequest(renewals=renewals)

        async def renew(request=request) -> None:
            if request.renewals:
                await cluster.stub.Renew(request)

        values[count] = await _observe_under_load(cluster, renew, 1.0, seconds)
    return values


async def _measure_renew_messages(cluster, seconds: float) -> dict:
    """Measure with one renewal per message, as many entries with few targets send."""
    renewal = pb.Renewal(target_id="t1", incarnation=1)
    request = pb.RenewRequest(renewals=[renewal])
    return {
        rate: await _observe_under_load(
            cluster, lambda: cluster.stub.Renew(request), rate, seconds
        )
        for rate in MESSAGE_RATES_PER_S
    }


async def _measure_reports(cluster, seconds: float) -> dict:
    """Measure reports that each differ from the last, so that control forwards all."""
    values = {}
    revision = 0

    async def report() -> None:
        nonlocal revision
        revision += 1
        instance = pb.Instance(
            name=f"e{revision % 50}",
            calls_address="127.0.0.1:1",
            start_ms=1,
            revision=revision,
        )
        await cluster.stub.Report(pb.ReportRequest(instance=instance))

    for rate in REPORT_RATES_PER_S:
        values[rate] = await _observe_under_load(cluster, report, rate, seconds)
    return values
