"""Guards against a retry that could run a request twice."""

import itertools

from coltsfootchute import verdicts


def test_a_request_that_is_not_repeatable_is_retried_only_if_not_run():
    allowed = {v for v in verdicts.Verdict if v.allows_retry(repeatable=False)}
    assert allowed == {verdicts.Verdict.NOT_RUN}


def test_a_request_that_ran_is_never_retried():
    for verdict, repeatable in itertools.product([verdicts.Verdict.RAN], [True, False]):
        assert not verdict.allows_retry(repeatable=repeatable)
