"""Guards against retries and hedges that add load beyond the budget."""

import hypothesis
import pytest
from hypothesis import strategies as st

from coltsfootchute.balancing import budgets


def run_budget(budget, percent, steps):
    """Run requests and retries; check the bound after each step."""
    requests = taken = 0
    for is_request in steps:
        if is_request:
            budget.deposit()
            requests += 1
        else:
            taken += budget.take()
        assert taken <= budgets.MAX_TOKENS + requests * percent / 100 + 1e-6
        assert budget.tokens <= budgets.MAX_TOKENS
    return taken


@hypothesis.given(st.integers(0, 100), st.lists(st.booleans(), max_size=300))
def test_taken_tokens_never_exceed_the_share_of_requests(percent, steps):
    taken = run_budget(budgets.TokenBudget(percent), percent, steps)
    assert percent or not taken


MANY_RETRIES = [False] * 20 + ([True] * 10 + [False] * 3) * 20


def test_many_retries_use_up_the_budget():
    """Guards against a property test whose sequences never use up the budget."""
    assert run_budget(budgets.TokenBudget(10), 10, MANY_RETRIES) == 30


@pytest.mark.parametrize("cost", [0.0, 0.9])
def test_the_check_detects_a_budget_that_takes_less_than_a_token(cost):
    class Broken(budgets.TokenBudget):
        def take(self):
            taken = self.available()
            self._tokens -= cost * taken
            return taken

    with pytest.raises(AssertionError):
        run_budget(Broken(10), 10, MANY_RETRIES)


def test_ten_requests_at_ten_percent_earn_a_whole_token():
    """Guards against a floating-point sum of ten times 0.1 that is below 1."""
    budget = budgets.TokenBudget(10)
    while budget.take():
        pass
    for _ in range(10):
        budget.deposit()
    assert budget.take()
    assert not budget.take()


def test_a_change_to_zero_percent_stops_retries_at_once():
    budget = budgets.TokenBudget(10)
    budget.change(0)
    budget.deposit()
    assert not budget.take()
