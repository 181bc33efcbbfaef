"""Two planned replacements in the core, and later the loss of two disks.

Without the disruption (`TROUBLE=0`) no machine is replaced; two disks are lost all the
same, which the deployment has to bear.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))

import deployment
import servers

FOLDER = pathlib.Path(__file__).resolve().parent
CATCH_UP_S = 4.0
GRACE_S = 6.0
# Later than `catch_up_s` after the start of the successors and the end of the others.
SETTLE_S = 8.0
DOWN_S = 0.8
RECOVERY_S = 15.0
# The operator reads for at least `stability_window_s` at the end of a day.
READ_S = 15.0
ROUTES = [{"prefix": "/a/", "service": "svc", "kind": "idempotent"}]


async def replace(machines: deployment.Deployment, record: deployment.Record) -> None:
    """Start two machines at new addresses, then stop two of the old ones."""
    leaving = machines.cores[3:5]
    joining = [machines.add("core") for _ in leaving]
    for machine in joining:
        machine.bootstrap = False
        machine.start()
        record.write(f"new machine {machine.ip} starts with an empty disk")
    await asyncio.sleep(CATCH_UP_S)
    record.write(f"SIGTERM to {', '.join(m.ip for m in leaving)}, for good")
    ended = await asyncio.gather(*(m.terminate(GRACE_S) for m in leaving))
    record.write(f"both ended within the grace time: {all(ended)}")
    machines.cores = [m for m in machines.cores if m not in leaving] + joining
    await asyncio.sleep(SETTLE_S)


async def run(has_trouble: bool) -> int:
    """Run the case; return its exit code."""
    record = deployment.Record(FOLDER)
    machines = deployment.Deployment(cores=5, fronts=1)
    machines.start()
    try:
        first = servers.config(1, ROUTES)
        if await deployment.put_config(machines.cores, first, 20.0, record) is None:
            record.write("the deployment did not start")
            return 2
        await asyncio.sleep(SETTLE_S)
        if has_trouble:
            await replace(machines, record)
        last = servers.config(2, ROUTES)
        if await deployment.put_config(machines.cores, last, 10.0, record) is None:
            record.write("no ack before the loss of the disks")
            return 2
        lost = [machines.cores[1], machines.cores[3]]
        for machine in lost:
            machine.kill(lose_disk=True)
        record.write(f"{', '.join(m.ip for m in lost)} killed, their disks are lost")
        await asyncio.sleep(DOWN_S)
        for machine in lost:
            machine.start()
        record.write("both are back with empty disks")
        await asyncio.sleep(RECOVERY_S)
        version = await deployment.read_config(machines.cores, READ_S, record)
        record.write(f"read back: {version}; version 2 was acknowledged")
        return 0 if version == last["version"] else 1
    finally:
        machines.close()


if __name__ == "__main__":
    sys.exit(deployment.run_case(run))
