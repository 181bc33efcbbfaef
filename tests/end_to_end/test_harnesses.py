"""Guards against processes of a test that are still running after it."""

import contextlib
import pathlib
import signal

import pytest

from tests.end_to_end import harnesses


def processes(folder):
    """Return the command lines of the running processes that contain a folder."""
    lines = []
    for path in pathlib.Path("/proc").glob("[0-9]*/cmdline"):
        with contextlib.suppress(OSError):
            lines.append(path.read_bytes())
    return [line for line in lines if str(folder).encode() in line]


def test_a_failed_scenario_leaves_no_process_behind(tmp_path):
    class ScenarioError(Exception):
        pass

    async def scenario(harness):
        # A process that is frozen handles no SIGTERM.
        harness.fleet.get_process("c1").signal(signal.SIGSTOP)
        harness.fleet.get_process("t1").signal(signal.SIGSTOP)
        assert len(processes(tmp_path)) == 4, "the check misses processes"
        raise ScenarioError

    with pytest.raises(ScenarioError):
        harnesses.run_scenario(tmp_path, scenario, control=1, entries=1, targets=2)
    assert processes(tmp_path) == []
