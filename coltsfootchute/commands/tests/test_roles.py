"""Guards against a late stop because the roles of a process add up their limits."""

import json
import signal
import subprocess
import sys
import time

STOP_S = 3.0
# Settlements and messages to other members are never delivered, and no other voter
# becomes leader, so both roles wait as long as they may.
PROGRAM = """
import asyncio, sys
from coltsfootchute.commands import main
from coltsfootchute.control import cores, members
from coltsfootchute.entry import clients

async def wait_until_limit(self, limit_s):
    await asyncio.sleep(limit_s)

async def wait_forever(self):
    await asyncio.Event().wait()

cores.Core.transfer = lambda self: None
members.MemberLinks.flush = wait_forever
clients.ControlClient.drain = wait_until_limit
sys.exit(main.main(["node", sys.argv[1]]))
"""


def write_settings(folder):
    local = "127.0.0.1:0"
    initial = [{"name": "a", "address": local}]
    control = {"peer": local, "data": "data", "initial": initial}
    entry = {"calls": local, "api": local, "peer": local, "stop_s": STOP_S}
    entry |= {"control": ["127.0.0.1:1"], "keep_s": 0.1}
    cfg = {"instance": {"name": "a", "failure_domain": "fd"}}
    path = folder / "settings.json"
    path.write_text(json.dumps({**cfg, "control": control, "entry": entry}))
    return path


def test_two_roles_that_wait_stop_within_the_limit_of_the_process(tmp_path):
    command = [sys.executable, "-c", PROGRAM, str(write_settings(tmp_path))]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    lines = []
    with process:
        try:
            for line in process.stderr:
                lines.append(line)
                if "control: leads" in line:
                    break
            began_s = time.monotonic()
            process.send_signal(signal.SIGTERM)
            lines += process.stderr.readlines()
            assert process.wait(20) == 0
            took_s = time.monotonic() - began_s
        finally:
            process.kill()
    print("".join(lines))
    assert any("control: stopped" in line for line in lines)
    assert took_s < STOP_S
