"""Guard against reports that hide a missed aim or count a run wrongly."""

import pytest

from benchmarks import bench_callers, bench_reports, bench_rows


def row(policy, times_ms, **more):
    histogram = bench_callers.new_histogram()
    for time_ms in times_ms:
        histogram.record_value(int(time_ms * 1000))
    fields = {
        "deployment": "A",
        "case": "straggler",
        "policy": policy,
        "round": 0,
        "calls": len(times_ms),
        "latency": histogram.encode().decode(),
        "outcomes": {"ok": len(times_ms)},
        "refusals": {},
        "retries": {},
        "hedges": 0,
        "sent": len(times_ms),
        "runs": len(times_ms),
        "duplicates": 0,
        "false_verdicts": 0,
        "probe_runs": 0,
        "cores": {},
        "entry_us": 0.0,
        "late_us": 0,
        "resent": 0,
    }
    return bench_rows.Row(**{**fields, **more})


def aims_of(*rows):
    return bench_reports.check_aims(bench_reports.Results(rows=list(rows), added=[]))


def test_rounds_are_merged_before_quantiles_are_computed():
    fast, slow = row("random", [10] * 100), row("random", [90] * 100, round=1)
    (figures,) = bench_reports.summarize([fast, slow])
    assert figures.calls == 200
    assert (figures.p50, figures.p99) == pytest.approx((10, 90), rel=0.01)


def test_p99_above_half_of_the_reference_misses_the_aim():
    reference = row("two_choices", [100] * 10)
    good = aims_of(reference, row("expected_wait", [40] * 10))
    bad = aims_of(reference, row("expected_wait", [60] * 10))
    assert good[0].startswith("met: A straggler")
    assert bad[0].startswith("MISSED: A straggler")


@pytest.mark.parametrize(
    "fault",
    [
        {"duplicates": 1},
        {"false_verdicts": 1},
        {"outcomes": {"ok": 9, "lost": 1}},
        {"outcomes": {"ok": 9, "wrong": 1}},
        {"retries": {"target_shed": 1}},
        {"hedges": 1},
        {"probe_runs": 1},
    ],
)
def test_each_fault_misses_exactly_one_aim(fault):
    assert all(line.startswith("met") for line in aims_of(row("random", [1] * 10)))
    lines = aims_of(row("random", [1] * 10, **fault))
    assert sum(line.startswith("MISSED") for line in lines) == 1


@pytest.mark.parametrize(
    ("p50_ms", "p99_ms", "status"),
    [(1.5, 3.5, "met"), (3.0, 2.0, "MISSED"), (1.5, 4.0, "MISSED")],
)
def test_low_p99_does_not_hide_added_median_latency(p50_ms, p99_ms, status):
    added = [
        bench_rows.AddedLatency(
            deployment="A", kind=kind, p50_ms=p50, p99_ms=p99, calls=10
        )
        for kind, p50, p99 in (("direct", 1.0, 3.0), ("entry", p50_ms, p99_ms))
    ]
    lines = bench_reports.check_aims(bench_reports.Results(rows=[], added=added))
    (line,) = [one for one in lines if "an entry adds" in one]
    assert line.startswith(status)


def test_counters_are_parsed_by_reason():
    text = (
        'coltsfootchute_retries_total{reason="target_shed"} 3.0\n'
        'coltsfootchute_hedges_total{service="a"} 2.0\n'
        'coltsfootchute_hedges_total{service="b"} 1.0\n'
    )
    found = bench_rows.parse_counters(text)
    assert found["coltsfootchute_retries_total", "target_shed"] == 3
    assert found["coltsfootchute_hedges_total", ""] == 3


def test_arrival_times_follow_rate_burst_and_seed():
    plan = bench_callers.LoadPlan(
        service="s",
        prefix="p",
        apis=(),
        start_s=0.0,
        warm_s=1.0,
        measured_s=9.0,
        rate=100.0,
        burst=(4.0, 5.0, 5.0),
    )
    times = list(bench_callers.arrival_times(plan))
    in_burst = [at for at in times if 5.0 <= at < 6.0]
    assert times == sorted(times) == list(bench_callers.arrival_times(plan))
    assert len(in_burst) == pytest.approx(500, rel=0.2)
    assert len(times) - len(in_burst) == pytest.approx(900, rel=0.2)


def test_only_text_between_markers_is_replaced():
    page = f"a\n{bench_reports.BEGIN_MARKER}\nold\n{bench_reports.END_MARKER}\nb"
    replaced = bench_reports.replace_between(page, "new")
    assert "old" not in replaced
    assert replaced.startswith("a\n")
    assert replaced.endswith(f"new\n\n{bench_reports.END_MARKER}\nb")
    with pytest.raises(ValueError, match="substring"):
        bench_reports.replace_between("no markers", "new")
