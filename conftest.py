"""Configuration of the whole test suite: hypothesis profiles and known failures.

Tests listed in KNOWN-RED.txt are expected to fail: their failures are reported as
xfailed with the line of the list, and a listed test that passes is a failure. A line
is ``test id | command and seed | what was seen | issue``.
"""

import os
import pathlib
import platform

import hypothesis
import pytest

pytest_plugins = ["pytester"]

# pytest imports the tests in the folder "platform" as submodules of a package of that
# name. With a path, the module of the standard library is their parent package, so
# that pytest does not replace it.
platform.__path__ = [str(pathlib.Path(__file__).parent / "platform")]

FUZZ_EXAMPLES = int(os.environ.get("COLTSFOOTCHUTE_FUZZ_EXAMPLES", "0"))
KNOWN_RED_FILE = "KNOWN-RED.txt"

hypothesis.settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile(
    "fuzz",
    derandomize=False,
    deadline=None,
    database=None,
    max_examples=max(FUZZ_EXAMPLES, 1),
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("fuzz" if FUZZ_EXAMPLES else "fixed")


def known_red(root: pathlib.Path) -> dict[str, str]:
    """Return the lines of the list of known failures by test id."""
    file = root / KNOWN_RED_FILE
    if not file.exists():
        return {}
    lines = [line for line in file.read_text().splitlines() if line.strip()]
    return {line.split("|")[0].strip(): line for line in lines}


def pytest_configure(config: pytest.Config):
    """Read the list of known failures once for the session."""
    config.stash[KNOWN_RED] = known_red(config.rootpath)


KNOWN_RED = pytest.StashKey[dict[str, str]]()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item):
    """Report a listed failure as xfailed, and a listed test that passes as failed."""
    report = yield
    line = item.config.stash[KNOWN_RED].get(item.nodeid)
    if line is None or report.when != "call":
        return report
    if report.failed:
        report.outcome = "skipped"
        report.wasxfail = f"known red: {line}"
    elif report.passed:
        report.outcome = "failed"
        report.longrepr = f"{item.nodeid} passes; remove it from {KNOWN_RED_FILE}"
    return report


@pytest.fixture
def missing_known_red(request: pytest.FixtureRequest) -> list[str]:
    """Return the listed ids that do not exist.

    Of a file that was not collected, only its existence is checked.
    """
    root = request.config.rootpath
    collected = {item.nodeid for item in request.session.items}
    files = {nodeid.partition("::")[0] for nodeid in collected}
    return [
        nodeid
        for nodeid in request.config.stash[KNOWN_RED]
        if nodeid not in collected
        and (
            nodeid.partition("::")[0] in files
            or not (root / nodeid.partition("::")[0]).exists()
        )
    ]
