"""Guards against failures that are ignored although they are not known.

A known failure is a test that KNOWN-RED.txt lists.
"""

import pathlib

CONFTEST = pathlib.Path(__file__).parents[1] / "conftest.py"
MODULE = """
def test_fails():
    assert False

def test_passes():
    pass

def test_list(missing_known_red):
    assert not missing_known_red
"""


def run(pytester, listed):
    """Run `MODULE` with some of its tests listed; return the counts of outcomes."""
    source = CONFTEST.read_text().replace('pytest_plugins = ["pytester"]', "")
    pytester.makeconftest(source)
    pytester.makepyfile(test_m=MODULE)
    (pytester.path / "KNOWN-RED.txt").write_text(
        "".join(f"test_m.py::{name} | command | seen | 4\n" for name in listed)
    )
    result = pytester.runpytest_inprocess("-p", "no:xdist", "-p", "no:cacheprovider")
    return result.parseoutcomes()


def test_every_listed_test_exists(missing_known_red):
    assert not missing_known_red


def test_a_listed_failure_is_expected(pytester):
    assert run(pytester, ["test_fails"]) == {"xfailed": 1, "passed": 2}


def test_a_listed_test_that_passes_is_a_failure(pytester):
    outcome = run(pytester, ["test_fails", "test_passes"])
    assert outcome == {"xfailed": 1, "failed": 1, "passed": 1}


def test_a_listed_id_that_does_not_exist_is_a_failure(pytester):
    outcome = run(pytester, ["test_fails", "test_gone"])
    assert outcome == {"xfailed": 1, "failed": 1, "passed": 1}
