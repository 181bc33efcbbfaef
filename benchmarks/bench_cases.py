"""Sizes and faults of the bench."""

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
    "BARE",
    "CASES",
    "DEPLOYMENTS",
    "PLANS",
    "CasePlan",
    "Deployment",
    "Stage",
    "section",
]

# The reference: two choices without hedges and retries.
BARE = "two_choices_bare"
READY_TIMEOUT_S = 20.0
LONG_S = 5.0
STRAGGLE_FACTOR = 10.0
NOISE_GAP_S = 0.2
NOISE_S = (0.02, 0.06)
COLD_OPTIONS = {"--cold-s": "1.5", "--cold-factor": "5"}


@dataclasses.dataclass(frozen=True)
class Deployment:
    """One service's size of a deployment.

    Parameters
    ----------
    name
        Name in the results.
    targets, slots
        Targets and slots at each.
    entries
        Entry processes; fewer than in the deployment, since the machine is
        shared.
    domains
        Failure domains.
    service_ms
        Median service time. Chosen so that slots and not processors are the
        bound on this machine.
    """

    name: str
    targets: int
    slots: int
    entries: int
    domains: tuple[str, ...]
    service_ms: float

    @property
    def capacity(self) -> float:
        """Calls in each second at which all slots are busy."""
        return self.targets * self.slots / (self.service_ms / 1000 * MEAN_TO_MEDIAN)


# Mean of a lognormal time with sigma 0.5 over its median.
MEAN_TO_MEDIAN = 1.133
DEPLOYMENTS = {
    "A": Deployment("A", 13, 4, 3, ("fd-a", "fd-b", "fd-c"), 40.0),
    "B": Deployment("B", 16, 6, 4, ("fd-a", "fd-b", "fd-c", "fd-d"), 72.0),
}


def section(policy: str) -> dict[str, typing.Any]:
    """Return the section of a service with a policy or the bare reference."""
    is_bare = policy == BARE
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
class Stage:
    """What a fault may act on.

    Parameters
    ----------
    cluster
        The processes.
    session
        HTTP client for the targets' own endpoints.
    turn
        Number of the run among those of its case.
    left_s
        Time to the end of the run in s.
    rng
        Same draws for each policy of a case and round.
    """

    cluster: clusters.Cluster
    session: aiohttp.ClientSession
    turn: int
    left_s: float
    rng: random.Random

    async def post(self, number: int, name: str, body: object = None) -> int:
        """Send to an endpoint of a target itself; return the status."""
        url = f"http://{self.cluster.target_addresses[number]}/-/{name}"
        data = msgspec.json.encode(body)
        async with self.session.post(url, data=data) as resp:
            return resp.status

    def target(self, number: int) -> fleets.Process:
        """Return the process of a target."""
        return self.process(f"t{number + 1}")

    def process(self, name: str) -> fleets.Process:
        """Return a process by name."""
        return self.cluster.fleet.named(name)

    async def settle(self) -> None:
        """Wait until all entries know all targets and each other."""

        async def is_ready() -> bool:
            return await self.cluster.is_ready()

        await fleets.until(is_ready, "the cluster after a fault", READY_TIMEOUT_S)


Fault = collections.abc.Callable[[Stage], collections.abc.Awaitable[None]]
CASES: registries.Registry[Fault] = registries.Registry("case")


@dataclasses.dataclass(frozen=True)
class CasePlan:
    """Load and repetition of a case.

    Parameters
    ----------
    utilization
        Share of the slots that the load keeps busy.
    deployments
        Where it runs.
    rounds
        Times that each policy runs at deployment A; once elsewhere.
    measured_s
        Counted part in s.
    group
        Runs of a policy in one group share a service, and so the entries'
        measurements. A fault that ejects targets has a service of its own.
    burst
        As in `bench_callers.Plan`.
    only
        Policies by default.
    """

    utilization: float = 0.7
    deployments: str = "AB"
    rounds: int = 1
    measured_s: float = 2.2
    group: str = "plain"
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    only: tuple[str, ...] = tuple(policies.POLICIES.names())

    @property
    def is_long(self) -> bool:
        """Whether a run takes too long to repeat it."""
        return self.measured_s > LONG_S


@CASES.register("steady_70")
@CASES.register("steady_95")
@CASES.register("burst")
async def no_fault(stage: Stage) -> None:
    """Do nothing; the load alone makes the case."""


@CASES.register("straggler")
async def straggler(stage: Stage) -> None:
    """Slow one target down by ten."""
    number = stage.rng.randrange(len(stage.cluster.target_addresses))
    fault = faults.Straggle(factor=STRAGGLE_FACTOR, for_s=stage.left_s)
    await stage.post(number, "straggle", fault)


@CASES.register("noise")
async def noise(stage: Stage) -> None:
    """Pause each of a third of the targets for 20 to 60 ms at a time."""
    count = len(stage.cluster.target_addresses)
    fault = faults.Noise(NOISE_GAP_S, *NOISE_S, for_s=stage.left_s)
    chosen = stage.rng.sample(range(count), count // 3)
    await asyncio.gather(*(stage.post(number, "noise", fault) for number in chosen))


@CASES.register("fail_fast")
async def fail_fast(stage: Stage) -> None:
    """Let one target answer 500 at once."""
    number = stage.rng.randrange(len(stage.cluster.target_addresses))
    await stage.post(number, "fail", faults.FailFast(for_s=stage.left_s))


@CASES.register("cold")
async def cold(stage: Stage) -> None:
    """Restart three targets, which are slow at first."""
    numbers = (0, 1, 2)
    for number in numbers:
        stage.target(number).signal(signal.SIGTERM)
    for number in numbers:
        await stage.target(number).wait(READY_TIMEOUT_S)
        stage.cluster.start_target(number, COLD_OPTIONS)
    await stage.settle()


@CASES.register("drain")
async def drain(stage: Stage) -> None:
    """Drain a target; after the run it comes back under a new incarnation."""
    number = len(stage.cluster.target_addresses) - 1 - stage.turn % 8
    await stage.post(number, "drain")
    await asyncio.sleep(stage.left_s)
    stage.target(number).signal(signal.SIGTERM)
    await stage.target(number).wait(READY_TIMEOUT_S)
    stage.cluster.start_target(number)
    await stage.settle()


@CASES.register("target_killed")
async def target_killed(stage: Stage) -> None:
    """Kill a target; after the run it comes back."""
    number = len(stage.cluster.target_addresses) - 1 - stage.turn % 8
    stage.target(number).signal(signal.SIGKILL)
    await asyncio.sleep(stage.left_s)
    stage.cluster.start_target(number)
    await stage.settle()


@CASES.register("entry_killed")
async def entry_killed(stage: Stage) -> None:
    """Kill an entry; after the run it comes back."""
    killed = stage.process(f"e{1 + stage.turn % len(stage.cluster.apis)}")
    killed.signal(signal.SIGKILL)
    await asyncio.sleep(stage.left_s)
    stage.cluster.fleet.restart(killed)
    await stage.settle()


@CASES.register("rolling")
async def rolling(stage: Stage) -> None:
    """Stop and start each entry, one after another."""
    for number in range(len(stage.cluster.apis)):
        process = stage.process(f"e{number + 1}")
        process.signal(signal.SIGTERM)
        await process.wait(READY_TIMEOUT_S)
        if process.exit_code != 0:
            raise fleets.StartError(f"{process.name} stopped with {process.exit_code}")
        stage.cluster.fleet.restart(process)
        await stage.settle()


_WITH_BARE = (*policies.POLICIES.names(), BARE)
PLANS = {
    "straggler": CasePlan(rounds=2, only=_WITH_BARE),
    "noise": CasePlan(rounds=2, only=_WITH_BARE),
    "steady_70": CasePlan(),
    "steady_95": CasePlan(utilization=0.95),
    "burst": CasePlan(deployments="A", burst=(0.8, 1.3, 2.5)),
    "fail_fast": CasePlan(deployments="A", group="fail"),
    "target_killed": CasePlan(deployments="A", group="killed"),
    "entry_killed": CasePlan(deployments="A", group="churn"),
    "drain": CasePlan(deployments="A", group="churn"),
    "cold": CasePlan(deployments="A", group="churn"),
    "rolling": CasePlan(
        deployments="A", group="churn", measured_s=21.0, only=("expected_wait",)
    ),
}
