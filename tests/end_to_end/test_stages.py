"""Guards against processes that outlive a test, also one that failed."""

import contextlib
import pathlib
import signal

import pytest

from tests.end_to_end import stages


def processes(folder):
    """Return the command lines of running processes that name a folder."""
    found = []
    for path in pathlib.Path("/proc").glob("[0-9]*/cmdline"):
        with contextlib.suppress(OSError):
            found.append(path.read_bytes())
    return [line for line in found if str(folder).encode() in line]


def test_a_failed_scene_leaves_no_process_behind(tmp_path):
    class SceneError(Exception):
        pass

    async def scene(stage):
        # A stopped process handles no SIGTERM.
        stage.fleet.named("c1").signal(signal.SIGSTOP)
        stage.fleet.named("t1").signal(signal.SIGSTOP)
        assert len(processes(tmp_path)) == 4, "the check sees the processes"
        raise SceneError

    with pytest.raises(SceneError):
        stages.play(tmp_path, scene, control=1, entries=1, targets=2)
    assert processes(tmp_path) == []
