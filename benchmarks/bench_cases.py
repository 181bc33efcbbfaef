"""Deployment sizes, cases and faults of the benchmark."""

import asyncio
import collections.abc
import dataclasses
import random
import signal
import typing

import aiohttp
import msgspec

from coltsfootchute import registries
from coltsfootchute.balancing import policies
from coltsfootchute.standins import clusters, faults, fleets

__all__ = [
    "BARE_POLICY",
    "CASES",
    "DEPLOYMENTS",
    "PLANS",
    "CasePlan",
    "Deployment",
    "FaultContext",
    "section",
]

# The policy two_choices without hedges and retries, for comparison.
BARE_POLICY = "two_choices_bare"
READY_TIMEOUT_S = 20.0
LONG_RUN_S = 5.0
STRAGGLE_FACTOR = 10.0
MEAN_PAUSE_INTERVAL_S = 0.2
PAUSE_RANGE_S = (0.02, 0.06)
COLD_OPTIONS = {"--cold-s": "1.5", "--cold-factor": "5"}


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Size of one service in a deployment.

    Parameters
    ----------
    name
        Name in the results.
    targets, slots
        Number of targets, and of slots at each target.
    entries
        Number of entry processes. There are fewer than in the real deployment,
        because all processes share one machine.
    domains
        Names of the failure domains.
    service_ms
        Median service time in ms. It is long enough that the slots limit the
        throughput, not the processors of this machine.
    """

    name: str
    targets: int
    slots: int
    entries: int
    domains: tuple[str, ...]
    service_ms: float

    @property
    def capacity(self) -> float:
        """Calls/s at which all slots are busy."""
        return self.targets * self.slots / (self.service_ms / 1000 * MEAN_TO_MEDIAN)


# Ratio of mean to median of a lognormal distribution with sigma 0.5.
MEAN_TO_MEDIAN = 1.133
DEPLOYMENTS = {
    "A": Deployment("A", 13, 4, 3, ("fd-a", "fd-b", "fd-c"), 40.0),
    "B": Deployment("B", 16, 6, 4, ("fd-a", "fd-b", "fd-c", "fd-d"), 72.0),
}


def section(policy: str) -> dict[str, typing.Any]:
    """Return the section of a service for a policy or `BARE_POLICY`."""
    is_bare = policy == BARE_POLICY
    return {
        "policy": "two_choices" if is_bare else policy,
        "queue": {"length": 64, "wait_ms": 200},
        "retry_budget_percent": 0 if is_bare else 10,
        "entries_per_caller": 4,
        "rules": [
            {
                "name": "read_item",
                "methods": ["GET"],
                "path": "/items/*",
                "repeatable": True,
                "deadline_ms": 1000,
                "hedge": not is_bare,
            },
            {
                "name": "create_order",
                "methods": ["POST"],
                "path": "/orders",
                "repeatable": False,
                "key": "required",
                "deadline_ms": 2000,
                "priority": 9,
            },
        ],
    }


@dataclasses.dataclass(frozen=True)
class FaultContext:
    """The processes and parameters that a fault uses.

    Parameters
    ----------
    cluster
        The processes of the deployment.
    session
        HTTP client for the fault endpoints of the targets.
    run_number
        Number of earlier runs of the same case.
    left_s
        Time to the end of the run in s.
    rng
        Random generator, seeded alike for each policy of a case and round.
    """

    cluster: clusters.Cluster
    session: aiohttp.ClientSession
    run_number: int
    left_s: float
    rng: random.Random

    async def post_to_target(self, number: int, name: str, body: object = None) -> int:
        """Post to a fault endpoint of a target; return the HTTP status."""
        url = f"http://{self.cluster.target_addresses[number]}/-/{name}"
        data = msgspec.json.encode(body)
        async with self.session.post(url, data=data) as resp:
            return resp.status

    def target(self, number: int) -> fleets.Process:
        """Return the process of a target."""
        return self.process(f"t{number + 1}")

    def process(self, name: str) -> fleets.Process:
        """Return a process by name."""
        return self.cluster.fleet.get_process(name)

    async def wait_until_ready(self) -> None:
        """Wait until all entries know all targets and each other.

        Raises
        ------
        coltsfootchute.standins.fleets.StartError
            If that takes longer than `READY_TIMEOUT_S`.
        """

        async def is_ready() -> bool:
            return await self.cluster.is_ready()

        await fleets.wait_until(
            is_ready,
            "all entries know all targets and each other after a fault",
            READY_TIMEOUT_S,
        )


Fault = collections.abc.Callable[[FaultContext], collections.abc.Awaitable[None]]
CASES: registries.Registry[Fault] = registries.Registry("case")


@dataclasses.dataclass(frozen=True)
class CasePlan:
    """Load and repetitions of a case.

    Parameters
    ----------
    utilization
        Share of the slots that the load keeps busy.
    deployments
        Names of the deployments in which it runs.
    rounds
        Runs of each policy in deployment A; other deployments have one.
    measured_s
        Length of the counted part in s.
    group
        Runs of one policy in the same group share a service, and with it the
        measurements that entries keep of the targets. Each fault that gets targets
        ejected has a group of its own.
    burst
        As in `bench_callers.LoadPlan`.
    default_policies
        Policies that run unless the command line names others.
    """

    utilization: float = 0.7
    deployments: str = "AB"
    rounds: int = 1
    measured_s: float = 2.2
    group: str = "plain"
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    default_policies: tuple[str, ...] = tuple(policies.POLICIES.names())

    @property
    def is_long(self) -> bool:
        """Whether a run takes too long to be repeated."""
        return self.measured_s > LONG_RUN_S


@CASES.register("steady_70")
@CASES.register("steady_95")
@CASES.register("burst")
async def no_fault(context: FaultContext) -> None:
    """Do nothing: the case consists of its load only."""


@CASES.register("straggler")
async def straggler(context: FaultContext) -> None:
    """Multiply the service time of one target by `STRAGGLE_FACTOR`."""
    number = context.rng.randrange(len(context.cluster.target_addresses))
    fault = faults.Straggle(factor=STRAGGLE_FACTOR, for_s=context.left_s)
    await context.post_to_target(number, "straggle", fault)


@CASES.register("noise")
async def noise(context: FaultContext) -> None:
    """Pause a third of the targets repeatedly, for 20 to 60 ms each time."""
    count = len(context.cluster.target_addresses)
    fault = faults.Noise(MEAN_PAUSE_INTERVAL_S, *PAUSE_RANGE_S, for_s=context.left_s)
    numbers = context.rng.sample(range(count), count // 3)
    await asyncio.gather(
        *(context.post_to_target(number, "noise", fault) for number in numbers)
    )


@CASES.register("fail_fast")
async def fail_fast(context: FaultContext) -> None:
    """Make one target respond with status 500 at once."""
    number = context.rng.randrange(len(context.cluster.target_addresses))
    await context.post_to_target(number, "fail", faults.FailFast(for_s=context.left_s))


@CASES.register("cold")
async def cold(context: FaultContext) -> None:
    """Restart three targets, which are slow at first after their start."""
    numbers = (0, 1, 2)
    for number in numbers:
        context.target(number).signal(signal.SIGTERM)
    for number in numbers:
        await context.target(number).wait(READY_TIMEOUT_S)
        context.cluster.start_target(number, COLD_OPTIONS)
    await context.wait_until_ready()


@CASES.register("drain")
async def drain(context: FaultContext) -> None:
    """Drain a target, and restart it under a new incarnation after the run."""
    number = len(context.cluster.target_addresses) - 1 - context.run_number % 8
    await context.post_to_target(number, "drain")
    await asyncio.sleep(context.left_s)
    context.target(number).signal(signal.SIGTERM)
    await context.target(number).wait(READY_TIMEOUT_S)
    context.cluster.start_target(number)
    await context.wait_until_ready()


@CASES.register("target_killed")
async def target_killed(context: FaultContext) -> None:
    """Kill a target, and restart it after the run."""
    number = len(context.cluster.target_addresses) - 1 - context.run_number % 8
    context.target(number).signal(signal.SIGKILL)
    await asyncio.sleep(context.left_s)
    context.cluster.start_target(number)
    await context.wait_until_ready()


@CASES.register("entry_killed")
async def entry_killed(context: FaultContext) -> None:
    """Kill an entry, and restart it after the run."""
    killed = context.process(f"e{1 + context.run_number % len(context.cluster.apis)}")
    killed.signal(signal.SIGKILL)
    await asyncio.sleep(context.left_s)
    context.cluster.fleet.restart(killed)
    await context.wait_until_ready()


@CASES.register("rolling")
async def rolling(context: FaultContext) -> None:
    """Restart all entries, one after another."""
    for number in range(len(context.cluster.apis)):
        process = context.process(f"e{number + 1}")
        process.signal(signal.SIGTERM)
        await process.wait(READY_TIMEOUT_S)
        if process.exit_code != 0:
            raise fleets.StartError(
                f"{process.name} exited with code {process.exit_code} after SIGTERM"
            )
        context.cluster.fleet.restart(process)
        await context.wait_until_ready()


_ALL_POLICIES = (*policies.POLICIES.names(), BARE_POLICY)
PLANS = {
    "straggler": CasePlan(rounds=2, default_policies=_ALL_POLICIES),
    "noise": CasePlan(rounds=2, default_policies=_ALL_POLICIES),
    "steady_70": CasePlan(),
    "steady_95": CasePlan(utilization=0.95),
    "burst": CasePlan(deployments="A", burst=(0.8, 1.3, 2.5)),
    "fail_fast": CasePlan(deployments="A", group="fail"),
    "target_killed": CasePlan(deployments="A", group="killed"),
    "entry_killed": CasePlan(deployments="A", group="churn"),
    "drain": CasePlan(deployments="A", group="churn"),
    "cold": CasePlan(deployments="A", group="churn"),
    "rolling": CasePlan(
        deployments="A",
        group="churn",
        measured_s=21.0,
        default_policies=("expected_wait",),
    ),
}
