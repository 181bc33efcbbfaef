"""LOST: requests that are accepted late in a planned stop are cut before its end."""

import asyncio
import pathlib
import signal

import harness

FOLDER = pathlib.Path(__file__).resolve().parent

HOST = "a.example"
ROUTE = {
    "host": HOST,
    "name": "charge",
    harness.PREFIX: "/charge/",
    "type": "non_idempotent",
    "timeout_s": 6,
    "target_latency_s": 1.5,
    "priority": 1,
    "service": "billing",
    "attempts": 2,
}
# Bounds of the large installation; the rest is as on the small ones.
BOUNDS = {
    "stability_window_s": 4,
    "catch_up_s": 6,
    "drain_s": 2.5,
    "grace_s": 10,
    "config_apply_s": 2.5,
    "max_stretch_s": 6,
}
DEADLINE_MS = 12_000
WORK_S = 4.6
# Seconds after SIGTERM at which requests are sent.
SEND_TIMES_S = (0.5, 1.5, 3.3, 3.6, 3.9, 4.2)
# The rule does not count requests sent up to then whose upstream works to the end.
EXCUSED_UNTIL_S = 3.0
CALM_S = 5.0


async def case(record: harness.Record, has_trouble: bool) -> int:
    """Stop a front machine while requesters go on using it."""
    deployment = harness.Deployment(record, fronts=2, cores=3, bounds=BOUNDS)
    try:
        await deployment.start_all()
        await deployment.put_config([ROUTE], ["billing"])
        upstreams = [
            harness.Upstream(deployment, "billing", f"i-{k}") for k in range(4)
        ]
        for upstream in upstreams:
            await upstream.start()
        await deployment.wait_ready()
        first = harness.request("POST", "/charge/0", HOST, deadline_ms=5000)
        await deployment.wait_served(first)
        for upstream in upstreams:
            upstream.work_s = WORK_S
        await asyncio.sleep(CALM_S)
        front = deployment.fronts[0]
        stopped_s = record.now()
        if has_trouble:
            deployment.signal(front, signal.SIGTERM)
        results = await asyncio.gather(
            *(
                _send(record, front.address, stopped_s, at_s, f"r{k}")
                for k, at_s in enumerate(SEND_TIMES_S)
            )
        )
        ran = {name for upstream in upstreams for name in upstream.runs}
        lost = [
            name
            for name, sent_s, answer in results
            if sent_s > EXCUSED_UNTIL_S and name in ran and answer.status != 200
        ]
        record.write(f"passed on, sent over 3 s after SIGTERM, not answered: {lost}")
        return harness.BROKEN if lost else harness.HELD
    finally:
        deployment.close()


async def _send(
    record: harness.Record, address: str, stopped_s: float, at_s: float, name: str
) -> tuple[str, float, harness.Answer]:
    await asyncio.sleep(stopped_s + at_s - record.now())
    sent_s = record.now() - stopped_s
    raw = harness.request(
        "POST", f"/charge/{name}", HOST, deadline_ms=DEADLINE_MS, request_id=name
    )
    answer = await harness.call(address, raw, DEADLINE_MS / 1000)
    ended_s = record.now() - stopped_s
    record.write(
        f"{name} sent {sent_s:.2f} s and ended {ended_s:.2f} s after SIGTERM:"
        f" status {answer.status} {answer.body[:120]!r} {answer.error}"
    )
    return name, sent_s, answer


if __name__ == "__main__":
    harness.main(str(FOLDER), case)
