"""Set-up of the whole suite: fixed hypothesis profiles and known failures.

Tests listed in KNOWN-RED.txt are expected to fail: they are passed over and
printed, and a listed test that passes is a failure. A line is ``test id |
command and seed | what was seen | issue``.
"""

import os
import pathlib
import platform

import hypothesis
import pytest

pytest_plugins = ["pytester"]

# pytest imports the tests in the folder of this name as submodules. With a path, the
# module of the standard library serves as their parent instead of being replaced.
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
    """Return the listed test ids with their lines."""
    file = root / KNOWN_RED_FILE
    if not file.exists():
        return {}
    lines = [line for line in file.read_text().splitlines() if line.strip()]
    return {line.split("|")[0].strip(): line for line in lines}


def pytest_configure(config: pytest.Config):
    """Read the list once."""
    config.stash[KNOWN] = known_red(config.rootpath)


KNOWN = pytest.StashKey[dict[str, str]]()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item):
    """Turn the outcome of a listed test round."""
    report = yield
    line = item.config.stash[KNOWN].get(item.nodeid)
    if line is None or report.when != "call":
        return report
    if report.failed:
        report.outcome = "skipped"
        report.wasxfail = f"known red: {line}"
    elif report.passed:
        report.outcome = "failed"
        report.longrepr = f"{item.nodeid} passes; take it off {KNOWN_RED_FILE}"
    return report


@pytest.fixture
def missing_known_red(request: pytest.FixtureRequest) -> list[str]:
    """Return the listed ids that do not exist, as far as this session can tell."""
    root = request.config.rootpath
    collected = {item.nodeid for item in request.session.items}
    files = {nodeid.partition("::")[0] for nodeid in collected}
    return [
        nodeid
        for nodeid in request.config.stash[KNOWN]
        if nodeid not in collected
        and (
            nodeid.partition("::")[0] in files
            or not (root / nodeid.partition("::")[0]).exists()
        )
    ]
