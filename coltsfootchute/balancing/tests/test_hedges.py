"""Guards against a hedge delay that is too short, or never available."""

import random

import hypothesis
from hypothesis import strategies as st

from coltsfootchute.balancing import hedges


def test_no_delay_before_enough_responses():
    """Guards against an imprecise quantile of a few responses.

    With it, about half of the requests would be hedged.
    """
    delay = hedges.HedgeDelay()
    for _ in range(hedges.MIN_SAMPLES - 1):
        delay.record(0.01)
    assert delay.delay_s() is None


def test_about_one_in_twenty_responses_takes_longer_than_the_delay():
    rng, delay = random.Random(1), hedges.HedgeDelay()
    times_s = [rng.lognormvariate(-4.6, 0.5) for _ in range(4000)]
    for time_s in times_s:
        delay.record(time_s)
    longer = sum(time_s > delay.delay_s() for time_s in times_s) / len(times_s)
    assert 0.02 <= longer <= 0.05


def test_delay_follows_a_service_that_became_slower():
    """Guards against an out-of-date delay, with which every request is hedged."""
    delay = hedges.HedgeDelay()
    for time_s in [0.01] * 5000 + [0.1] * 2000:
        delay.record(time_s)
    assert delay.delay_s() >= 0.1


@hypothesis.given(st.lists(st.floats(0, 1e6), min_size=64, max_size=200))
def test_any_response_time_fits_the_buckets(times_s):
    delay = hedges.HedgeDelay()
    for time_s in times_s:
        delay.record(time_s)
    assert delay.delay_s() > 0
