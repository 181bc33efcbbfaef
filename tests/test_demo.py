"""Guards against requests that are lost or repeated when all roles run together."""

import contextlib
import pathlib
import re
import signal
import subprocess
import sys
import time

import pytest

from coltsfootchute.standins import demos

pytestmark = pytest.mark.timeout(180)
COMMAND = [sys.executable, "-m", demos.__name__]
SMALL = ["--requests", "300", "--rate", "25"]


def _children(folder):
    """Return the command lines of running processes that contain a folder."""
    lines = []
    for path in pathlib.Path("/proc").glob("[0-9]*/cmdline"):
        with contextlib.suppress(OSError):
            lines.append(path.read_bytes())
    return [line for line in lines if str(folder).encode() in line]


# Output which shows that the killed role had work in progress.
EXPECTED_OUTPUT = {
    "": r"target t1 drains",
    "control": r"claim_unavailable",
    "entry": r"cut [1-9]",
    "target": r"unfinished_runs [1-9]",
}


@pytest.mark.parametrize("kill", EXPECTED_OUTPUT)
def test_nothing_is_lost_or_run_twice(kill, tmp_path):
    done = subprocess.run(
        [*COMMAND, *SMALL, *(["--kill", kill] if kill else [])],
        capture_output=True,
        text=True,
        check=False,
        env={"TMPDIR": str(tmp_path)},
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert re.search(EXPECTED_OUTPUT[kill], done.stdout), done.stdout
    assert "gets SIGTERM" in done.stdout
    assert ("gets SIGKILL" in done.stdout) is bool(kill)
    assert _children(tmp_path) == []


def test_a_target_is_killed_in_a_run_also_if_the_demo_is_delayed(tmp_path):
    """Otherwise the demo may pass without the fault that it is meant to show."""
    code = f"""
import time
from coltsfootchute.standins import demos
note = demos._print_progress
demos._print_progress = lambda text: (note(text), time.sleep(2 * ("KILL" in text)))
demos.main({[*SMALL, "--kill", "target"]})
"""
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=False,
        env={"TMPDIR": str(tmp_path)},
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert re.search(EXPECTED_OUTPUT["target"], done.stdout), done.stdout


def test_an_interrupt_leaves_no_process_and_no_file(tmp_path):
    with subprocess.Popen(
        [*COMMAND, *SMALL],
        stdout=subprocess.PIPE,
        text=True,
        env={"TMPDIR": str(tmp_path)},
    ) as popen:
        end = time.monotonic() + 30
        while not _children(tmp_path) and time.monotonic() < end:
            time.sleep(0.05)
        assert _children(tmp_path), "the demo has started no processes"
        popen.send_signal(signal.SIGINT)
        assert popen.wait(30) == demos.INTERRUPTED_EXIT_CODE
    assert _children(tmp_path) == []
    assert list(tmp_path.iterdir()) == []
