"""Guards against a limit that blocks a target or exceeds the share."""

import hypothesis
import pytest
from hypothesis import strategies as st

from coltsfootchute.balancing import limits

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("completed"), st.integers(0, 20)),
        st.tuples(st.just("shed"), st.floats(0, 5)),
        st.tuples(st.just("set_maximum"), st.integers(1, 12)),
    ),
    max_size=80,
)


def drive(limit, steps):
    """Run a sequence and check the bounds after each step."""
    now = 0.0
    for name, value in steps:
        if name == "shed":
            now += value
            limit.shed(now)
        else:
            getattr(limit, name)(value)
        for age_s in (0.0, 3.0, 1e9):
            assert 1 <= limit.current(age_s) <= limit.share


@hypothesis.given(st.integers(1, 12), STEPS)
def test_limit_stays_between_one_and_the_share(share, steps):
    drive(limits.Limit(share), steps)


def test_a_decrease_without_a_floor_is_caught():
    class Broken(limits.Limit):
        def shed(self, now):
            self._value *= limits.DECREASE_FACTOR

    with pytest.raises(AssertionError):
        drive(Broken(4), [("shed", 1.0)] * 8)


def test_an_increase_without_the_share_is_caught():
    class Broken(limits.Limit):
        def completed(self, in_flight):
            self._value += 1

    with pytest.raises(AssertionError):
        drive(Broken(4), [("completed", 9)])


@hypothesis.given(st.integers(0, 64), st.floats(0.001, 1))
def test_share_is_a_usable_part_of_the_slots(slots, fraction):
    assert 1 <= limits.share_of(slots, fraction) <= max(1, slots)


def test_sheds_of_one_moment_lower_the_limit_once():
    """Several sheds of the same overload would otherwise drop it to 1."""
    limit = limits.Limit(10)
    for _ in range(5):
        limit.shed(1.0)
    assert limit.current() == 7


def test_an_idle_target_does_not_raise_its_limit():
    """A limit that rises without being used says nothing about the target."""
    limit = limits.Limit(10)
    limit.shed(1.0)
    for _ in range(100):
        limit.completed(0)
    assert limit.current() == 7
    for _ in range(100):
        limit.completed(limit.current() - 1)
    assert limit.current() == 10


def test_a_new_target_starts_with_one_request():
    limit = limits.Limit(8)
    grown = [limit.current(age_s) for age_s in (0, 2, 5, 8, 10)]
    assert grown[0] == 1 and grown[-1] == 8
    assert grown == sorted(grown)
