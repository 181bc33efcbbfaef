"""The bound on log lines."""

import io

from coltsfootchute import logs


def test_routine_lines_do_not_crowd_out_failures():
    """A burst of answers must leave room for the lines of failures."""
    budget = logs.LineBudget(0.0)
    written = [budget.allows(True, 0.0) for _ in range(1000)]
    assert sum(written) == logs.ROUTINE_LINES_PER_S * logs.BURST_S
    assert budget.allows(False, 0.0)
    assert budget.dropped == 1000 - sum(written)


def test_the_volume_of_a_burst_is_bounded():
    budget = logs.LineBudget(0.0)
    written = sum(budget.allows(False, n / 1000) for n in range(10_000))
    assert written <= logs.LINES_PER_S * (10 + logs.BURST_S)


def test_a_stream_without_a_descriptor_takes_lines():
    assert logs._is_writable(io.StringIO())
