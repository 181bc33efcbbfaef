"""Guards against late detection of slow or failing targets, and wrong counts."""

import math

import pytest

from coltsfootchute.balancing import loads, views


def make(share=4, **changes):
    target = {"target_id": "t", "address": "", "failure_domain": "a", "slots": 4}
    return views.TargetView(views.Target(**{**target, **changes}), share, 0.01)


def respond(view, response_s, now):
    token = view.start_attempt(now - response_s)
    view.record_response_time(response_s, now)
    view.remove_attempt(token)


def test_a_straggler_is_detected_before_it_responds():
    """Guards against an estimate that stays low until the late response arrives."""
    view = make()
    respond(view, 0.01, 1.0)
    view.start_attempt(1.0)
    view.start_attempt(1.4)
    assert view.latency_s(1.5) == pytest.approx(0.5)


def test_estimate_rises_fast_and_falls_slowly():
    view = make()
    respond(view, 0.01, 1.0)
    respond(view, 0.11, 1.0)
    risen_s = view.latency_s(1.0)
    respond(view, 0.01, 1.0)
    assert risen_s - 0.01 > 2 * (risen_s - view.latency_s(1.0)) > 0


def test_an_idle_estimate_decays_so_that_a_target_is_tried_again():
    """Guards against a target that is never used again after slow responses."""
    view = make()
    respond(view, 1.0, 0.0)
    later = views.IDLE_HALF_LIFE_S
    assert view.latency_s(later) == view.latency_s(0.0)
    assert view.latency_s(10 * later) < view.latency_s(0.0) / 100


def test_a_load_report_counts_other_entries_only_and_decays():
    """Guards against the entry's own requests being counted twice."""
    view = make()
    view.start_attempt(0.0)
    view.record_load(loads.LoadReport(in_flight=5), 0.0)
    assert view.others_load(0.0) == 4
    assert view.others_load(views.REPORT_HALF_LIFE_S) == pytest.approx(2)
    view.record_load(loads.LoadReport(in_flight=0), 0.0)
    assert view.others_load(0.0) == 0


def test_only_consecutive_fast_errors_cause_an_ejection():
    """Guards against ejection for slow errors.

    Only fast errors make a target look idle, so that it gets more requests.
    """
    view = make()
    respond(view, 0.01, 1.0)
    slow = [view.record_error(views.Outcome.ERROR, 1.0) for _ in range(9)]
    assert not any(slow)
    fast = [view.record_error(views.Outcome.ERROR, 0.001) for _ in range(2)]
    view.record_success()
    fast += [view.record_error(views.Outcome.ERROR, 0.001) for _ in range(3)]
    assert fast == [False] * 4 + [True]


def test_ejections_grow_from_one_to_thirty_seconds():
    view, now, lengths_s = make(), 0.0, []
    for _ in range(8):
        lengths_s.append(view.eject(now) - now)
        now = view.ejected_until_s
        assert not view.is_ejected(now)
        assert view.record_error(views.Outcome.ERROR, 0.001)
    assert lengths_s == [1, 2, 4, 8, 16, 30, 30, 30]


def test_repeated_removals_keep_the_count_and_the_oldest_age():
    """Guards against a wrong count of attempts in flight.

    A count that is too high would keep the target at its limit permanently.
    """
    view = make()
    first, second = view.start_attempt(0.0), view.start_attempt(1.0)
    view.restart_timer(first, 2.0)
    assert view.oldest_age_s(3.0) == 2.0
    for token in (second, second, first):
        view.remove_attempt(token)
        view.restart_timer(token, 4.0)
    assert view.in_flight == 0 and view.oldest_age_s(9.0) == 0


def test_a_new_target_starts_with_one_request():
    view = make(up_since_s=5.0)
    view.start_attempt(5.0)
    assert not view.has_room(5.0)
    assert view.has_room(15.0)
    assert make(up_since_s=-math.inf).has_room(0.0)
