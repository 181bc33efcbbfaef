"""A cluster on loopback: control, entry and target processes with one service."""

import pathlib
import types
import typing

import msgspec

from coltsfootchute.commands import apis, documents, exits, statuses
from coltsfootchute.standins import fleets, targets

__all__ = ["SECTION", "SERVICE", "TEAM", "Cluster", "Route", "direct"]

SERVICE = "demo"
TEAM = "demo-team"
DOMAINS = ("fd-a", "fd-b", "fd-c")
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
    """Let processes reach the control instances or a target at their own addresses."""
    return addresses


class Cluster:
    """Starts the processes of a cluster and asks its entries.

    Parameters
    ----------
    fleet
        Starts and ends the processes.
    control, entries, count
        Numbers of control, entry and target processes.
    section
        Section of the service.
    services
        Services that the targets announce.
    domains
        Failure domains, used in turn.
    target_options
        More command line options of the targets.
    keep_s
        Time for which callers keep addresses, in s.
    entry_settings
        More settings of the entries.
    route
        Takes the name of an entry and the addresses of the control instances;
        returns the addresses that the entry uses, such as those of links.
    target_route
        The same for a target and its own address, which entries are to use.

    Attributes
    ----------
    apis, calls
        Addresses of the API and calls listeners, in the order of the entries.
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
        count: int,
        *,
        section: dict[str, typing.Any] = SECTION,
        services: tuple[str, ...] = (SERVICE,),
        domains: tuple[str, ...] = DOMAINS,
        target_options: typing.Mapping[str, str] = types.MappingProxyType({}),
        keep_s: float = 5.0,
        entry_settings: typing.Mapping[str, typing.Any] = types.MappingProxyType({}),
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
        self.apis: list[str] = []
        self.calls: list[str] = []
        self.control_addresses: list[str] = []
        self.target_addresses: list[str] = []
        self._control = control
        self._entries = entries
        self._count = count
        self._route = route
        self._target_route = target_route
        self._announced: list[str] = []

    async def start(self) -> None:
        """Start all processes, propose the section, and wait for the views.

        Raises
        ------
        coltsfootchute.standins.fleets.StartError
            If a process ends, or the cluster is not ready in time.
        """
        await self._start_roles()
        await self._until(self._has_leader, "a leader and all entries")
        await self.propose(SERVICE, self._section)
        await self._start_targets()
        await self._until(self.is_ready, "targets and entries known to each entry")

    async def _until(
        self, condition: typing.Callable[[], typing.Awaitable[bool]], what: str
    ) -> None:
        await fleets.until(condition, what, START_TIMEOUT_S, self.fleet)

    async def _start_roles(self) -> None:
        ports = iter(fleets.free_ports(self._control + 3 * self._entries))
        members = [
            {"name": f"c{number}", "address": f"127.0.0.1:{next(ports)}"}
            for number in range(1, self._control + 1)
        ]
        self.control_addresses = [member["address"] for member in members]
        for number, member in enumerate(members):
            control = {
                "peer": member["address"],
                "data": f"data-{member['name']}",
                "initial": members,
            }
            self._start_role(member["name"], number, {"control": control})
        for number in range(self._entries):
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
        instance = {"name": name, "failure_domain": self._domain(number)}
        self.fleet.start_role(name, role, {"instance": instance, **cfg})

    def _domain(self, number: int) -> str:
        return self._domains[number % len(self._domains)]

    async def _start_targets(self) -> None:
        for number, port in enumerate(fleets.free_ports(self._count)):
            address = f"127.0.0.1:{port}"
            self.target_addresses.append(address)
            self._announced += await self._target_route(f"t{number + 1}", [address])
            self.start_target(number)

    def start_target(
        self, number: int, more: typing.Mapping[str, str] = types.MappingProxyType({})
    ) -> fleets.Process:
        """Start a target at its address, with more options than the others."""
        name = f"t{number + 1}"
        options = {
            "--id": name,
            "--listen": self.target_addresses[number],
            "--address": self._announced[number],
            "--failure-domain": self._domain(number),
            "--runs": str(self.runs_path(name)),
            "--seed": str(number),
            **self._target_options,
            **more,
        }
        args = [part for pair in options.items() for part in pair]
        args += [part for api in self.apis for part in ("--api", api)]
        args += [part for name in self._services for part in ("--services", name)]
        return self.fleet.start(name, "target", targets.__name__, *args)

    def runs_path(self, name: str) -> pathlib.Path:
        """Return the file with the record of a target."""
        return self.fleet.folder / f"runs-{name}.jsonl"

    def runs_paths(self) -> list[pathlib.Path]:
        """Return the files with the records of all targets that wrote one."""
        names = [process.name for process in self.fleet.of_role("target")]
        return [path for name in names if (path := self.runs_path(name)).exists()]

    async def read(
        self, path: str, addresses: typing.Sequence[str] = ()
    ) -> dict[str, typing.Any]:
        """Read from an entry that runs; an empty dict if none responds."""
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

    async def _has_leader(self) -> bool:
        found = await self.read("/v1/status")
        known = len(found.get("instances", ())) >= self._entries
        return known and bool(statuses.leader_name(found))

    async def propose(self, service: str, section: dict[str, typing.Any]) -> None:
        """Create the section of a service.

        Raises
        ------
        coltsfootchute.standins.fleets.StartError
            If it is refused.
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
            raise fleets.StartError(f"section refused: {apis.reason(reply)}")

    async def is_ready(self) -> bool:
        """Tell whether each entry has the targets and knows the other entries."""
        found = await self.read("/v1/targets")
        if len(found.get("targets", ())) < self._count:
            return False
        found = await self.read("/v1/status")
        instances = found.get("instances", ())
        if any(item["revision"] < found["revision"] for item in instances):
            return False
        path = f"/v1/services/{SERVICE}/addresses"
        replies = [await self.read(path, [api]) for api in self.apis]
        expected = min(self._entries, self._section.get("entries_per_caller", 3))
        return all(len(reply.get("addresses", ())) == expected for reply in replies)
