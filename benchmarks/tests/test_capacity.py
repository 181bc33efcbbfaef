"""Guard against a capacity page that disagrees with the results, and wrong sums."""

import copy
import json

import pytest

from benchmarks import capacity, capacity_tables, slopes_fits
from benchmarks import capacity_models as models

PAGE = capacity.PAGE.read_text()
DATA = json.loads(capacity.RESULTS.read_text())


def test_page_agrees_with_results():
    # Guards against a page that shows results of an earlier run.
    assert capacity.rewrite(PAGE, DATA) == PAGE


def test_page_has_every_table_once():
    # Guards against a registered table that is missing on the page.
    names = [found[2] for found in capacity._TABLE_BLOCK.finditer(PAGE)]
    assert sorted(names) == capacity_tables.TABLES.names()


def test_changed_result_changes_page():
    # Guards against a comparison that passes for any result.
    changed = copy.deepcopy(DATA)
    for point in changed["latency"]["points"]:
        point["added_p99_ms"] += 1
    changed["calls"]["small"]["entry"]["medians"][-1] *= 2
    assert capacity.rewrite(PAGE, changed) != PAGE


def fitted_series(found, key=""):
    if "medians" in found:
        yield key, found
    elif isinstance(found, dict):
        for name, item in found.items():
            if isinstance(item, dict):
                yield from fitted_series(item, f"{key}.{name}")


def test_lines_have_three_sizes_or_more():
    # Guards against a slope through two points. Clusters with followers have at least
    # 3 members, so followers have fewer sizes than leaders.
    for key, found in fitted_series(DATA):
        assert len(found["sizes"]) >= 3, key
        assert found["unit"] and found["per"], key
        assert found["sizes"] == sorted(found["sizes"]), key


def test_fit_finds_slope_and_spread():
    # Guards against a slope that swaps sizes and values.
    found = slopes_fits.fit_series(
        "ms", "calls", [{0: 1, 1: 3, 2: 5}, {0: 1, 1: 5, 2: 9}]
    )
    assert (found.slope, found.intercept) == pytest.approx((3, 1))
    assert found.slope_spread == pytest.approx([2, 4])
    assert found.spread == [[1, 1], [3, 5], [5, 9]]


def test_extrapolation_is_marked():
    # Guards against an extrapolated value that is shown as a measured one.
    line = {"sizes": [10, 200], "slope": 2.0, "intercept": 1.0}
    results = models.Results({"line": line})
    assert results.at("line", 100).text(3) == "201"
    assert results.at("line", 1000).text(4) == "2,001†"
    total = results.at("line", 100) + results.growth("line", 1000)
    assert total.text(4).endswith("†")


def test_placements_keep_quorum_without_any_failure_domain():
    # Guards against a placement that loses its quorum with one failure domain, or
    # that has a quorum in both regions.
    found = models.placements(5, 4)
    assert models.Placement((2, 1, 1, 1)) in found
    for placement in found:
        assert max(placement.voters) <= 2
        assert sum(n >= placement.quorum for n in placement.regions) <= 1
    assert not models.Placement((3, 1, 1, 0)).survives_domains()
