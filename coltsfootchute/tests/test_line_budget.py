"""Guards against log lines without a limit, and against dropped failure lines."""

import io

from coltsfootchute import logs


def test_a_burst_of_routine_lines_does_not_drop_other_lines():
    """Lines of failures must be written beside many lines of answered requests."""
    budget = logs.LineBudget(0.0)
    written = [budget.try_spend(True, 0.0) for _ in range(1000)]
    assert sum(written) == logs.ROUTINE_LINES_PER_S * logs.BURST_S
    assert budget.try_spend(False, 0.0)
    assert budget.dropped == 1000 - sum(written)


def test_the_number_of_lines_in_a_burst_is_limited():
    budget = logs.LineBudget(0.0)
    written = sum(budget.try_spend(False, n / 1000) for n in range(10_000))
    assert written <= logs.LINES_PER_S * (10 + logs.BURST_S)


def test_a_stream_without_a_descriptor_is_writable():
    assert logs._is_writable(io.StringIO())
