"""Measurements in a new interpreter: imports, replicated state, log, restart."""

import importlib
import json
import os
import pathlib
import sys
import time

__all__ = ["IMPORTS", "run"]

KIB = 1024
NS_PER_S = 1e9
SERVICES = 22
COMMAND_BYTES = 256
RETENTION_S = 3600
# Modules that are imported one after another, by role. Dependencies that several
# modules share count for the first of them.
IMPORTS = {
    "control": (
        "asyncio",
        "uvloop",
        "google.protobuf.descriptor_pb2",
        "grpclib.server",
        "grpclib.client",
        "msgspec",
        "pyjson5",
        "loguru",
        "coltsfootchute.proto.coltsfootchute_grpc",
        "coltsfootchute.control.daemons",
    ),
    "entry": (
        "asyncio",
        "uvloop",
        "google.protobuf.descriptor_pb2",
        "grpclib.server",
        "grpclib.client",
        "msgspec",
        "pyjson5",
        "loguru",
        "aiohttp.web",
        "aiomisc",
        "prometheus_client",
        "coltsfootchute.proto.coltsfootchute_grpc",
        "coltsfootchute.entry.daemons",
    ),
}


def _resident_kib() -> tuple[float, float]:
    """Return anonymous and file-backed resident memory in KiB."""
    text = pathlib.Path("/proc/self/status").read_text()
    fields = dict(line.split(":", 1) for line in text.splitlines())
    return tuple(float(fields[name].split()[0]) for name in ("RssAnon", "RssFile"))


def _measure_imports(role: str) -> dict:
    """Return the resident memory in KiB that each import adds."""
    before = _resident_kib()
    steps = {"interpreter": before}
    for name in IMPORTS[role]:
        importlib.import_module(name)
        after = _resident_kib()
        steps[name] = (after[0] - before[0], after[1] - before[1])
        before = after
    return {name: {"anonymous": a, "file": f} for name, (a, f) in steps.items()}


def _make_target(number: int):
    from coltsfootchute.proto import coltsfootchute_pb2 as pb

    return pb.Target(
        target_id=f"target-{number:05d}",
        incarnation=1,
        address=f"127.0.{number >> 8}.{number & 255}:8080",
        failure_domain=f"fd-{number % 4}",
        services=[f"service-{number % SERVICES}"],
        slots=4,
    )


def _make_document(number: int) -> str:
    rules = [
        {
            "name": f"rule-{rule}",
            "methods": ["GET"],
            "path": f"/items-{number}-{rule}/*",
            "repeatable": True,
            "deadline_ms": 500,
        }
        for rule in range(8)
    ]
    return json.dumps({"rules": rules})


def _make_commands(kind: str, size: int):
    """Yield commands that create `size` targets, services or claims."""
    from coltsfootchute.proto import coltsfootchute_pb2 as pb

    now_ms = time.time_ns() // 1_000_000
    for number in range(size):
        command = pb.Command(time_ms=now_ms)
        if kind == "targets":
            command.target.target.CopyFrom(_make_target(number))
        elif kind == "services":
            command.proposal.CopyFrom(
                pb.Proposal(
                    section=f"service-{number}",
                    document=_make_document(number),
                    team="team-a",
                    author="author",
                    request_id=f"request-{number}",
                )
            )
        else:
            key = bytearray(now_ms.to_bytes(6, "big") + os.urandom(10))
            key[6], key[8] = key[6] & 0x0F | 0x70, key[8] & 0x3F | 0x80
            command.claim.CopyFrom(
                pb.ClaimCommand(
                    service="service-1",
                    key=bytes(key),
                    digest=os.urandom(32),
                    entry="entry-1",
                    attempt_id=os.urandom(16),
                    retention_s=RETENTION_S,
                )
            )
        yield command


def _measure_control_state(kind: str, size: int) -> dict:
    """Measure a state machine, a feed and leases after commands, as in control."""
    from coltsfootchute import state
    from coltsfootchute.control import feeds, leases
    from coltsfootchute.proto import coltsfootchute_pb2 as pb

    machine, feed, target_leases = (
        state.Machine(),
        feeds.Feed("c"),
        leases.TargetLeases(),
    )
    machine.apply(1, next(iter(_make_commands("targets", 1))))
    before = sum(_resident_kib())
    for index, command in enumerate(_make_commands(kind, size), 2):
        applied = machine.apply(index, command)
        if applied.changes:
            feed.publish(applied.changes, index)
    target_leases.renew_all(machine.targets.all(), 1.0)
    target_leases.due_commands(machine.targets.all(), 1.0)
    kib = sum(_resident_kib()) - before
    view = pb.FeedMessage(changes=machine.view())
    return {"kib": kib, "view_bytes": view.ByteSize()}


def _measure_entry_state(kind: str, size: int) -> dict:
    """Measure a view and its pools after messages of the feed, as in an entry."""
    import asyncio

    from coltsfootchute import state
    from coltsfootchute.control import feeds
    from coltsfootchute.entry import pools, watches
    from coltsfootchute.proto import coltsfootchute_pb2 as pb

    def messages(number: int):
        """Yield encoded messages of the feed, as an entry receives them."""
        machine = state.Machine()
        kinds = [("services", SERVICES)] if kind == "targets" else []
        for part, count in [*kinds, (kind, number)]:
            message = pb.FeedMessage(cluster_id="c")
            for index, command in enumerate(
                _make_commands(part, count), machine.index + 1
            ):
                message.changes.extend(machine.apply(index, command).changes)
            message.revision = machine.index
            yield message.SerializeToString()

    async def measure() -> dict:
        feed = feeds.Feed("c")
        view = watches.View(lambda message, touched: services.refresh(touched))
        services = pools.Services(view, "fd-0")

        def apply(data: bytes) -> None:
            message = pb.FeedMessage.FromString(data)
            view.apply(message, 1.0)
            feed.publish(list(message.changes), message.revision)
            for service in services.by_name.values():
                for target in service.pool.all_views:
                    service.endpoint(target.target.address)

        *earlier, last = messages(size)
        for data in [*earlier, *messages(1)][: len(earlier) or None]:
            apply(data)
        before = sum(_resident_kib())
        apply(last)
        return {"kib": sum(_resident_kib()) - before}

    return asyncio.run(measure())


def _create_replica(store, snapshots: bool):
    """Return the replica of a single member, which is formed if the store is new."""
    import random

    from coltsfootchute import agreement
    from coltsfootchute.agreement import formations

    identity = agreement.Identity(
        member_id=store.member_id,
        name="a",
        address="127.0.0.1:1",
        failure_domain="fd-a",
    )
    entries = agreement.Timing().snapshot_entries if snapshots else 1 << 40
    size = agreement.Timing().snapshot_bytes if snapshots else 1 << 40
    timing = agreement.Timing(snapshot_entries=entries, snapshot_bytes=size)
    if not store.saved.formed:
        from coltsfootchute.proto import coltsfootchute_pb2 as pb

        member = identity.member()
        member.voter = True
        membership = pb.Membership(cluster_id="c", members=[member])
        saved = formations.initial_state(membership, pb.HardState())
        store.append(saved.hard_state, saved.entries, saved.snapshot)
        store.saved = saved
    return agreement.Replica(identity, store.saved, random.Random(0), timing)


def _apply_actions(replica, store, machine, actions) -> None:
    """Store entries, apply committed commands and save a snapshot if one is due."""
    from coltsfootchute.proto import coltsfootchute_pb2 as pb

    if actions.must_sync:
        store.append(actions.hard_state, actions.entries, actions.snapshot)
    for entry in actions.committed:
        if entry.kind == pb.ENTRY_KIND_COMMAND:
            machine.apply(entry.index, pb.Command.FromString(entry.payload))
    if replica.needs_snapshot:
        store.save_snapshot(replica.compact(replica.applied_index, machine.dump()))


def _run_election(replica, store, machine) -> float:
    """Tick the replica until it can serve reads; return its simulated time in s."""
    now = 100.0
    while not replica.can_read(now):
        now += 1.0
        _apply_actions(replica, store, machine, replica.tick(now))
    return now


def _fill_data_folder(folder: str, size: int, snapshots: bool) -> dict:
    """Write a data folder with changes, spread evenly over `SERVICES` sections."""
    from coltsfootchute import agreement, state
    from coltsfootchute.proto import coltsfootchute_pb2 as pb

    store = agreement.FileStore(folder, "a")
    replica, machine = _create_replica(store, snapshots), state.Machine()
    now = _run_election(replica, store, machine)
    now_ms = time.time_ns() // 1_000_000
    for start in range(0, size, 50):
        payloads = []
        for number in range(start, min(start + 50, size)):
            proposal = pb.Proposal(
                section=f"service-{number % SERVICES}",
                expected_revision=number // SERVICES,
                document=_make_document(number),
                team="team-a",
                author="author",
                request_id=f"request-{number}",
            )
            command = pb.Command(time_ms=now_ms, proposal=proposal)
            payloads.append(command.SerializeToString())
        _apply_actions(replica, store, machine, replica.propose(payloads, now).actions)
    store.close()
    files = pathlib.Path(folder).iterdir()
    return {"bytes": sum(file.stat().st_size for file in files if file.is_file())}


def _measure_restart(folder: str, snapshots: bool) -> dict:
    """Measure opening a data folder and applying its log up to the last entry."""
    from coltsfootchute import agreement, state

    before = sum(_resident_kib())
    start_s = time.perf_counter()
    store = agreement.FileStore(folder, "a")
    machine = state.Machine()
    snapshot = store.saved.snapshot
    if snapshot is not None and snapshot.data:
        machine.load(bytes(snapshot.data))
    replica = _create_replica(store, snapshots)
    store.saved = None
    opened_s = time.perf_counter() - start_s
    _run_election(replica, store, machine)
    ready_s = time.perf_counter() - start_s
    revisions = sum(
        machine.sections.in_force(name).revision for name in machine.sections.names()
    )
    return {
        "opened_ms": opened_s * 1000,
        "ready_ms": ready_s * 1000,
        "kib": sum(_resident_kib()) - before,
        "revisions": revisions,
    }


def _measure_appends(folder: str, sizes: str, count: str) -> dict:
    """Measure appends of batches of entries, each with a sync.

    Returns
    -------
    dict
        Median and 99th percentile of the time in us, by number of entries.
    """
    import statistics

    from coltsfootchute import agreement
    from coltsfootchute.proto import coltsfootchute_pb2 as pb

    store = agreement.FileStore(folder, "a")
    times: dict[int, list[float]] = {}
    index = 0
    for _ in range(int(count)):
        for size in map(int, sizes.split(",")):
            entries = [
                pb.LogEntry(index=index + n, term=1, payload=os.urandom(COMMAND_BYTES))
                for n in range(1, size + 1)
            ]
            index += size
            start_s = time.perf_counter()
            store.append(None, entries)
            times.setdefault(size, []).append((time.perf_counter() - start_s) * 1e6)
    store.close()
    return {
        str(size): {
            "p50": statistics.median(values),
            "p99": sorted(values)[int(0.99 * len(values))],
        }
        for size, values in times.items()
    }


def run(args: list[str]) -> int:
    """Run the measurement that the first argument names; print its result as JSON."""
    name, *rest = args
    if name == "imports":
        result = _measure_imports(rest[0])
    elif name == "state":
        measure = {"control": _measure_control_state, "entry": _measure_entry_state}[
            rest[0]
        ]
        result = measure(rest[1], int(rest[2]))
    elif name == "fill":
        result = _fill_data_folder(rest[0], int(rest[1]), rest[2] == "snapshots")
    elif name == "restart":
        result = _measure_restart(rest[0], rest[1] == "snapshots")
    else:
        result = _measure_appends(*rest)
    print(json.dumps(result))
    sys.stdout.flush()
    return 0
