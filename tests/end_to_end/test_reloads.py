"""Guards against a process that ends on SIGHUP or on a change of its settings."""

import asyncio
import json
import signal
import sys

from coltsfootchute.entry.tests import fakes

TIMEOUT_S = 60


async def line_with(process, text):
    """Return the next log line of a process that contains a text."""
    async with asyncio.timeout(TIMEOUT_S):
        while line := (await process.stderr.readline()).decode():
            if text in line:
                return line
    raise AssertionError(f"the process ended without {text!r}")


def write_settings(path, control):
    """Write the settings of an entry with these addresses of control."""
    address = "127.0.0.1:0"
    entry = {"calls": address, "api": address, "peer": address, "stop_s": 1}
    instance = {"name": "e9", "failure_domain": "fd-a"}
    document = {"instance": instance, "entry": {**entry, "control": control}}
    path.write_text(json.dumps(document))


def test_sighup_and_a_changed_file_do_not_end_the_process(tmp_path):
    """Guards against requests cut by SIGHUP, and new addresses that are ignored."""

    async def scenario(harness):
        path = tmp_path / "entry.json"
        write_settings(path, ["127.0.0.1:9"])
        command = [sys.executable, "-m", "coltsfootchute.commands.main", "entry"]
        process = await asyncio.create_subprocess_exec(
            *command, str(path), stderr=asyncio.subprocess.PIPE
        )
        try:
            await line_with(process, "calls at")
            process.send_signal(signal.SIGHUP)
            await line_with(process, "process: reloaded the settings")
            write_settings(path, [harness.control.address])
            await line_with(process, "process: reloaded the settings")
            await line_with(process, "feed: source found")
            path.write_text("{")
            await line_with(process, "process: kept the previous settings")
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(TIMEOUT_S):
                assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    fakes.run(scenario)
