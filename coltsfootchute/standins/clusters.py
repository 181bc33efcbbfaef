"""Cluster on loopback with control, entry and target processes and one service."""

import pathlib
import types
import typing

import msgspec

from coltsfootchute.commands import apis, documents, exits, statuses
from coltsfootchute.standins import fleets, targets

__all__ = ["SECTION", "SERVICE", "TEAM", "Cluster", "Route", "direct"]

SERVICE = "demo"
TEAM = "demo-team"
FAILURE_DOMAINS = ("fd-a", "fd-b", "fd-c")
START_TIMEOUT_S = 20.0

SECTION = {
    "policy": "expected_wait",
    "queue": {"length": 64, "wait_ms": 500},
    "retry_budget_percent": 20,
    "rules": [
        {
            "name": "read_item",
            "methods": ["GET"],
            "path": "/items/*",
            "repeatable": True,
            "deadline_ms": 2000,
            "hedge": True,
        },
        {
            "name": "create_order",
            "methods": ["POST"],
            "path": "/orders",
            "repeatable": False,
            "key": "required",
            "deadline_ms": 3000,
            "priority": 9,
        },
    ],
}


Route = typing.Callable[[str, list[str]], typing.Awaitable[list[str]]]


async def direct(name: str, addresses: list[str]) -> list[str]:
    """Return the addresses unchanged, so that processes connect without a link."""
    return addresses


class Cluster:
    """Starts the processes of a cluster and sends requests to its entries.

    Parameters
    ----------
    fleet
        Starts and stops the processes.
    control, entries, target_count
        Numbers of control, entry and target processes.
    section
        Section that is proposed for the service.
    services
        Services that the targets announce.
    domains
        Failure domains, assigned to the processes of each kind in turn.
    target_options
        Additional command line options of the targets.
    keep_s
        Time for which callers may keep addresses, in s.
    entry_settings
        Additional settings of the entries.
    failure_domains
        Setting of the same name of the processes.
    route
        Coroutine function that takes the name of an entry and the addresses of
        the control instances, and returns the addresses to which the entry
        connects, such as those of links.
    target_route
        The same for the name and the address of a target; it returns the address
        that the target announces.

    Attributes
    ----------
    apis, calls
        Addresses of the API listeners and the calls listeners of the entries, in
        the order of their names.
    control_addresses
        Addresses of the control instances, in the order of their names.
    target_addresses
        Addresses of the targets, in the order of their names.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        control: int,
        entries: int,
        target_count: int,
        *,
        section: dict[str, typing.Any] = SECTION,
        services: tuple[str, ...] = (SERVICE,),
        domains: tuple[str, ...] = FAILURE_DOMAINS,
        target_options: typing.Mapping[str, str] = types.MappingProxyType({}),
        keep_s: float = 5.0,
        entry_settings: typing.Mapping[str, typing.Any] = types.MappingProxyType({}),
        failure_domains: typing.Sequence[str] = (),
        route: Route = direct,
        target_route: Route = direct,
    ):
        self.fleet = fleet
        self._section = section
        self._services = services
        self._domains = domains
        self._target_options = target_options
        self._keep_s = keep_s
        self._entry_settings = entry_settings
        self._known_domains = list(failure_domains)
        self.apis: list[str] = []
        self.calls: list[str] = []
        self.control_addresses: list[str] = []
        self.target_addresses: list[str] = []
        self._control_count = control
        self._entry_count = entries
        self._target_count = target_count
        self._route = route
        self._target_route = target_route
        self._announced_addresses: list[str] = []

    async def start(self) -> None:
        """Start all processes, propose the section and wait until the cluster is ready.

        Raises
        ------
        coltsfootchute.standins.fleets.StartError
            If the section is refused, a process ends early, or the cluster is not
            ready in time.
        """
        await self._start_roles()
        await self._wait_until(
            self._has_leader_and_entries,
            "control has a leader and knows all entries",
        )
        await self.propose(SERVICE, self._section)
        await self._start_targets()
        await self._wait_until(
            self.is_ready, "each entry is up to date and knows all targets and entries"
        )

    async def _wait_until(
        self, condition: typing.Callable[[], typing.Awaitable[bool]], what: str
    ) -> None:
        await fleets.wait_until(condition, what, START_TIMEOUT_S, self.fleet)

    async def _start_roles(self) -> None:
        ports = iter(fleets.free_ports(self._control_count + 3 * self._entry_count))
        members = [
            {"name": f"c{number}", "address": f"127.0.0.1:{next(ports)}"}
            for number in range(1, self._control_count + 1)
        ]
        self.control_addresses = [member["address"] for member in members]
        for number, member in enumerate(members):
            control = {
                "peer": member["address"],
                "data": f"data-{member['name']}",
                "initial": members,
            }
            self._start_role(member["name"], number, {"control": control})
        for number in range(self._entry_count):
            entry = {
                listener: f"127.0.0.1:{next(ports)}"
                for listener in ("calls", "api", "peer")
            }
            name = f"e{number + 1}"
            self.apis.append(entry["api"])
            self.calls.append(entry["calls"])
            entry["control"] = await self._route(name, self.control_addresses)
            entry["keep_s"] = self._keep_s
            entry |= self._entry_settings
            self._start_role(name, number, {"entry": entry})

    def _start_role(self, name: str, number: int, cfg: dict[str, typing.Any]) -> None:
        (role,) = cfg
        instance = {"name": name, "failure_domain": self.failure_domain(number)}
        cfg = {"instance": instance, "failure_domains": self._known_domains, **cfg}
        self.fleet.start_role(name, role, cfg)

    def failure_domain(self, number: int) -> str:
        """Return the failure domain of the process with this index."""
        return self._domains[number % len(self._domains)]

    async def _start_targets(self) -> None:
        for number, port in enumerate(fleets.free_ports(self._target_count)):
            address = f"127.0.0.1:{port}"
            self.target_addresses.append(address)
            self._announced_addresses += await self._target_route(
                f"t{number + 1}", [address]
            )
            self.start_target(number)

    def start_target(
        self,
        number: int,
        more_options: typing.Mapping[str, str] = types.MappingProxyType({}),
    ) -> fleets.Process:
        """Start a target at its address, with additional command line options."""
        name = f"t{number + 1}"
        options = {
            "--id": name,
            "--listen": self.target_addresses[number],
            "--address": self._announced_addresses[number],
            "--failure-domain": self.failure_domain(number),
            "--runs": str(self.runs_path(name)),
            "--arrivals": str(self.arrivals_path(name)),
            "--seed": str(number),
            **self._target_options,
            **more_options,
        }
        args = [part for pair in options.items() for part in pair]
        args += [part for api in self.apis for part in ("--api", api)]
        args += [part for name in self._services for part in ("--services", name)]
        return self.fleet.start(name, "target", targets.__name__, *args)

    def runs_path(self, name: str) -> pathlib.Path:
        """Return the file in which a target records its runs."""
        return self.fleet.folder / f"runs-{name}.jsonl"

    def arrivals_path(self, name: str) -> pathlib.Path:
        """Return the file in which a target records the requests that reach it."""
        return self.fleet.folder / f"arrivals-{name}.jsonl"

    def runs_paths(self) -> list[pathlib.Path]:
        """Return the run files of all targets, without those that don't exist yet."""
        names = [process.name for process in self.fleet.of_role("target")]
        return [path for name in names if (path := self.runs_path(name)).exists()]

    async def read(
        self, path: str, addresses: typing.Sequence[str] = ()
    ) -> dict[str, typing.Any]:
        """Return the JSON body of an entry's response; empty if no entry responds.

        Parameters
        ----------
        path
            Path at the API listener.
        addresses
            API listeners to use; by default those of all running entries.
        """
        running = [
            api
            for api, process in zip(self.apis, self.fleet.of_role("entry"), strict=True)
            if process.exit_code is None
        ]
        try:
            reply = await apis.fetch(addresses or running, path)
        except exits.UnreachableError:
            return {}
        return reply.body if isinstance(reply.body, dict) else {}

    async def _has_leader_and_entries(self) -> bool:
        found = await self.read("/v1/status")
        known = len(found.get("instances", ())) >= self._entry_count
        return known and bool(statuses.leader_name(found))

    async def propose(self, service: str, section: dict[str, typing.Any]) -> None:
        """Create the section of a service.

        Raises
        ------
        coltsfootchute.standins.fleets.StartError
            If the section is refused.
        """
        body = {
            "expected_revision": 0,
            "document": msgspec.json.encode(section).decode(),
            "author": "demo",
            "request_id": f"create-{service}",
        }
        path = f"/v1/sections/{service}"
        headers = {documents.TEAM_HEADER: TEAM}
        reply = await apis.send_change(self.apis, path, body, headers)
        if reply.status != apis.HTTP_OK:
            raise fleets.StartError(
                f"section of {service} refused: {apis.reason(reply)}"
            )

    async def is_ready(self) -> bool:
        """Return whether each entry is up to date and knows all targets and entries."""
        found = await self.read("/v1/targets")
        if len(found.get("targets", ())) < self._target_count:
            return False
        found = await self.read("/v1/status")
        instances = found.get("instances", ())
        if any(item["revision"] < found["revision"] for item in instances):
            return False
        path = f"/v1/services/{SERVICE}/addresses"
        replies = [await self.read(path, [api]) for api in self.apis]
        expected = min(self._entry_count, self._section.get("entries_per_caller", 3))
        return all(len(reply.get("addresses", ())) == expected for reply in replies)
