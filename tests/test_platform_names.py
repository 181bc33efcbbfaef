"""Guards against names of the platform outside its adapter."""

import pathlib
import re
import subprocess

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADAPTER = ("platform/", "deploy/", "docs/platform.md", "journal/")
NAMES = re.compile(
    "|".join(
        (
            "COLTSFOOTCHUTE_BOOT",
            "Response-" + "Seal",
            "Server-" + "Load",
            "Not-" + "Executed",
            "Expect-" + "Instance",
            "heartbeat_" + "url",
            "cold_" + "remaining_s",
            "traffic_" + "split",
            "front_" + "addresses",
            "path_" + "prefix",
            "in_" + "tolerance",
            "(?<!Coltsfootchute-)Deadline-Ms",
        )
    )
)
OWN_PAGES = {"DEVELOPERS.md", "tests/test_platform_names.py"}


def platform_names(text):
    return sorted({match.group() for match in NAMES.finditer(text)})


def test_no_name_of_the_platform_is_used_outside_the_adapter():
    """Guards against a product that depends on the terms of one platform."""
    listed = subprocess.run(
        ["git", "ls-files"], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout.split()
    checked = [
        name
        for name in listed
        if not name.startswith(ADAPTER) and name not in OWN_PAGES
    ]
    assert len(checked) > 100
    texts = {
        name: (ROOT / name).read_bytes().decode(errors="replace") for name in checked
    }
    assert {n: platform_names(t) for n, t in texts.items() if platform_names(t)} == {}


def test_the_check_finds_a_name():
    assert platform_names("x = 'Server-" + "Load'") == ["Server-Load"]
    assert platform_names("Coltsfootchute-Deadline-Ms") == []
