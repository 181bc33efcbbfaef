"""Guards against imports that take the control role over its memory limit."""

import pathlib
import signal
import socket
import subprocess
import sys
import urllib.request

import pytest

from coltsfootchute import imports

ALLOWED_PACKAGES = {
    "coltsfootchute",
    "google",
    "grpclib",
    "h2",
    "hpack",
    "hyperframe",
    "loguru",
    "msgspec",
    "multidict",
    "pyjson5",
    "uvloop",
}
# Modules created by compiled modules or by the build of the interpreter.
GENERATED = ("_cython_", "cython_runtime", "__mp_main__", "_sysconfigdata")
UNUSED_LIBRARIES = {"_ssl", "_bz2", "_lzma", "email", *imports.CONTROL_OPTIONAL_MODULES}

PROGRAM = """
import sys
before = set(sys.modules)
%s
print(*(set(sys.modules) - before))
sys.exit(status)
"""
STARTS = (
    """
from coltsfootchute.control import __main__
status = __main__.main(sys.argv[1:])
""",
    """
from coltsfootchute.commands import main
status = main.main(["control", *sys.argv[1:]])
""",
)
SETTINGS = """{"instance": {"name": "a", "failure_domain": "fd"},
    "control": {"peer": "127.0.0.1:0", "data": "data", %s
                "initial": [{"name": "a", "address": "127.0.0.1:0"}]}}"""


def unexpected(modules: set[str]) -> set[str]:
    """Return the modules that the control role must not import."""
    tops = {name.partition(".")[0] for name in modules}
    foreign = {
        name
        for name in tops - ALLOWED_PACKAGES - set(sys.stdlib_module_names)
        if not name.startswith(GENERATED)
    }
    return foreign | (modules & UNUSED_LIBRARIES)


def run_until_leader(
    folder: pathlib.Path, start: str = STARTS[0], more: str = "", while_leader=None
) -> set[str]:
    """Run a control process; return the modules that it imported.

    Parameters
    ----------
    folder
        Folder for the settings file and the data.
    start
        Statements that run the process and set `status`.
    more
        Additional fields of the control settings.
    while_leader
        Function that is called once the process is the leader.
    """
    path = folder / "settings.json"
    path.write_text(SETTINGS % more)
    command = [sys.executable, "-c", PROGRAM % start, str(path)]
    pipes = {"stdout": subprocess.PIPE, "stderr": subprocess.PIPE}
    with subprocess.Popen(command, text=True, **pipes) as process:
        try:
            assert any("control: leads" in line for line in process.stderr)
            if while_leader is not None:
                while_leader()
            process.send_signal(signal.SIGTERM)
            return set(process.stdout.read().split())
        finally:
            process.kill()


@pytest.mark.parametrize("start", STARTS, ids=["module", "command"])
def test_control_imports_only_allowed_modules(tmp_path, start):
    modules = run_until_leader(tmp_path, start)
    assert "coltsfootchute.control.daemons" in modules
    assert unexpected(modules) == set()


@pytest.mark.parametrize("name", ["aiohttp", "ssl", "prometheus_client.core"])
def test_check_rejects_another_library(name):
    assert unexpected({"grpclib.client", "asyncio", name})


def test_metrics_are_served_without_the_unused_libraries(tmp_path):
    # Guards against an aiohttp that fails because asyncio was loaded without `ssl`.
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port = sock.getsockname()[1]

    def fetch_metrics():
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics") as response:
            assert b"coltsfootchute_control_leader" in response.read()

    more = f'"metrics": "127.0.0.1:{port}",'
    modules = run_until_leader(tmp_path, more=more, while_leader=fetch_metrics)
    assert "aiohttp" in modules
