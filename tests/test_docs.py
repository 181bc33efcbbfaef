"""Guards against pages that name other statuses, routes or metrics than the code."""

import pathlib
import re

import pytest

from coltsfootchute import verdicts
from coltsfootchute.entry import answers, apis, metrics

DOCS = pathlib.Path(__file__).parents[1] / "docs"


def reasons(text):
    """Return the status of each reason in the table of refusals of a page."""
    known = {reason.value for reason in verdicts.Reason}
    statuses = {}
    for row in re.findall(r"^\| (\d{3}) \| (`[^|]*`) \|[^|]*\|[^|]*\|$", text, re.M):
        names = re.findall(r"`(\w+)`", row[1])
        statuses |= {name: int(row[0]) for name in names if name in known}
    return statuses


def check_reasons(text):
    assert reasons(text) == {r.value: s for r, s in answers.STATUSES.items()}


def test_http_page_has_the_status_of_each_reason():
    text = (DOCS / "http.md").read_text()
    check_reasons(text)
    for wrong in (text.replace("| 422 |", "| 423 |"), text.replace("`stale`", "`s`")):
        with pytest.raises(AssertionError):
            check_reasons(wrong)


def test_http_page_has_each_header_and_route():
    text = (DOCS / "http.md").read_text()
    headers = [v for k, v in vars(verdicts).items() if k.endswith("_HEADER")]
    assert [name for name in headers if name not in text] == []
    api = apis.Api(
        view=None, client=None, teams=None, meters=None, own_instance=None, keep_s=5.0
    )
    paths = {route.resource.canonical for route in api.application().router.routes()}
    paths = {path.replace("{id}/{kind}", "{id}/drain") for path in paths}
    assert [path for path in sorted(paths) if path not in text] == []


def test_operations_page_has_each_metric_and_reason():
    text = (DOCS / "OPERATIONS.md").read_text()
    families = [family.name for family in metrics.Metrics().families]
    assert [name for name in families if name not in text] == []
    quoted = set(re.findall(r"`(\w+)`", text))
    assert {reason.value for reason in verdicts.Reason} <= quoted
