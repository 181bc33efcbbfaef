"""Guards against tracebacks, wrong exit codes, and roles that waste memory or time."""

import subprocess
import sys

import pytest

from coltsfootchute.commands import main, options


@pytest.mark.parametrize(
    "args",
    [
        ["unknown"],
        ["status", "--no-such-option"],
        ["check"],
        ["status"],
        ["status", "--api", "nowhere"],
        ["section", "put", "demo", "file", "--expected-revision", "one"],
    ],
)
def test_a_wrong_command_line_gives_one_line_and_exit_code_2(monkeypatch, capsys, args):
    monkeypatch.delenv(options.API_VARIABLE, raising=False)
    assert main.main(args) == 2
    assert capsys.readouterr().err.count("\n") == 1


@pytest.mark.parametrize("role", ["control", "entry", "node"])
def test_a_role_with_invalid_settings_gives_one_line(tmp_path, capsys, role):
    path = tmp_path / "settings.jsonc"
    path.write_text('{"instance": {"name": "i1", "failure_domain": "a"}}')
    assert main.main([role, str(path)]) == 1
    err = capsys.readouterr().err
    assert "needs `control`, `entry` or both" in err
    assert err.count("\n") == 1


def test_a_role_without_its_settings_is_refused(tmp_path, capsys):
    path = tmp_path / "settings.jsonc"
    path.write_text(
        """{"instance": {"name": "i1", "failure_domain": "a"},
        "control": {"peer": "127.0.0.1:0", "data": "d",
                    "initial": [{"name": "i1", "address": "127.0.0.1:7001"}]}}"""
    )
    assert main.main(["entry", str(path)]) == 1
    assert "$.entry: missing" in capsys.readouterr().err


@pytest.mark.parametrize(("failure", "code"), [("", 0), ("raise OSError('full')", 1)])
def test_a_stopped_role_exits_without_the_cleanup_of_the_interpreter(failure, code):
    # Under load the cleanup would use some tenths of a second of the time limit of a
    # planned stop.
    program = f"""
import atexit, sys
from coltsfootchute.commands import main
from coltsfootchute.commands import roles
def run(role, path):
    {failure}
    print("last line of", role)
roles.run = run
atexit.register(print, "cleanup")
sys.argv = ["coltsfootchute", "entry", "settings"]
sys.exit(main.main())
"""
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=False
    )
    assert done.returncode == code
    assert done.stdout == ("cleanup\n" if code else "last line of entry\n")


def test_control_starts_without_the_libraries_of_other_commands():
    # Each of these would use a part of the 32 MB to which the control role is limited.
    code = """
import sys
from coltsfootchute.commands import main
from coltsfootchute.commands import roles
assert main.main(["control", "no-such-file"]) == 1
import coltsfootchute.control.daemons
heavy = {"aiohttp", "aiomisc", "cyclopts", "rich", "prometheus_client"}
print(sorted(heavy & set(sys.modules)))
"""
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert done.stdout == "[]\n"
