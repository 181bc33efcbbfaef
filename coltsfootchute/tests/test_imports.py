"""What a running control process has imported."""

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
# Created by compiled modules, or by the build of the interpreter.
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
    """Return the modules that the control role is not to import."""
    tops = {name.partition(".")[0] for name in modules}
    foreign = {
        name
        for name in tops - ALLOWED_PACKAGES - set(sys.stdlib_module_names)
        if not name.startswith(GENERATED)
    }
    return foreign | (modules & UNUSED_LIBRARIES)


def run_until_it_leads(
    folder: pathlib.Path, start: str = STARTS[0], more: str = "", use=None
) -> set[str]:
    """Run a control process; return the modules that it imported."""
    path = folder / "settings.json"
    path.write_text(SETTINGS % more)
    command = [sys.executable, "-c", PROGRAM % start, str(path)]
    pipes = {"stdout": subprocess.PIPE, "stderr": subprocess.PIPE}
    with subprocess.Popen(command, text=True, **pipes) as process:
        try:
            assert any("control: leads" in line for line in process.stderr)
            if use is not None:
                use()
            process.send_signal(signal.SIGTERM)
            return set(process.stdout.read().split())
        finally:
            process.kill()


@pytest.mark.parametrize("start", STARTS, ids=["module", "command"])
def test_control_imports_what_it_is_allowed_to(tmp_path, start):
    # Guards against an import that takes the control role over its memory bound.
    modules = run_until_it_leads(tmp_path, start)
    assert "coltsfootchute.control.daemons" in modules
    assert unexpected(modules) == set()


@pytest.mark.parametrize("name", ["aiohttp", "ssl", "prometheus_client.core"])
def test_check_rejects_another_library(name):
    assert unexpected({"grpclib.client", "asyncio", name})


def test_metrics_work_without_the_unused_libraries(tmp_path):
    # Guards against aiohttp in a process whose asyncio was loaded without `ssl`.
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port = sock.getsockname()[1]

    def use():
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics") as response:
            assert b"coltsfootchute_control_leader" in response.read()

    more = f'"metrics": "127.0.0.1:{port}",'
    modules = run_until_it_leads(tmp_path, more=more, use=use)
    assert "aiohttp" in modules
