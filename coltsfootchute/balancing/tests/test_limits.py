"""Guards against a limit below 1 or above its upper bound."""

import hypothesis
import pytest
from hypothesis import strategies as st

from coltsfootchute.balancing import limits

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("record_response"), st.integers(0, 20)),
        st.tuples(st.just("record_shed"), st.floats(0, 5)),
        st.tuples(st.just("set_maximum"), st.integers(1, 12)),
    ),
    max_size=80,
)


def run_limit(limit, steps):
    """Run changes of a limit; check the bounds after each one."""
    now = 0.0
    for name, value in steps:
        if name == "record_shed":
            now += value
            limit.record_shed(now)
        else:
            getattr(limit, name)(value)
        for age_s in (0.0, 3.0, 1e9):
            assert 1 <= limit.current(age_s) <= limit.maximum


@hypothesis.given(st.integers(1, 12), STEPS)
def test_limit_stays_between_one_and_the_maximum(share, steps):
    run_limit(limits.Limit(share), steps)


def test_the_check_detects_a_limit_below_one():
    class Broken(limits.Limit):
        def record_shed(self, now):
            self._value *= limits.DECREASE_FACTOR

    with pytest.raises(AssertionError):
        run_limit(Broken(4), [("record_shed", 1.0)] * 8)


def test_the_check_detects_a_limit_above_the_maximum():
    class Broken(limits.Limit):
        def record_response(self, in_flight):
            self._value += 1

    with pytest.raises(AssertionError):
        run_limit(Broken(4), [("record_response", 9)])


@hypothesis.given(st.integers(0, 64), st.floats(0.001, 1))
def test_maximum_is_between_one_and_the_slots(slots, fraction):
    assert 1 <= limits.max_limit(slots, fraction) <= max(1, slots)


def test_simultaneous_sheds_lower_the_limit_once():
    """Guards against a limit that falls to 1 after several sheds of one overload."""
    limit = limits.Limit(10)
    for _ in range(5):
        limit.record_shed(1.0)
    assert limit.current() == 7


def test_an_idle_target_does_not_raise_its_limit():
    """Guards against a limit that rises while the target has little load."""
    limit = limits.Limit(10)
    limit.record_shed(1.0)
    for _ in range(100):
        limit.record_response(0)
    assert limit.current() == 7
    for _ in range(100):
        limit.record_response(limit.current() - 1)
    assert limit.current() == 10


def test_a_new_target_starts_with_one_request():
    limit = limits.Limit(8)
    limits_by_age = [limit.current(age_s) for age_s in (0, 2, 5, 8, 10)]
    assert limits_by_age[0] == 1 and limits_by_age[-1] == 8
    assert limits_by_age == sorted(limits_by_age)
