"""Guards against a view that notices trouble too late or forgets it too soon."""

import math

import pytest

from coltsfootchute.balancing import loads, views


def make(share=4, **changes):
    target = {"target_id": "t", "address": "", "failure_domain": "a", "slots": 4}
    return views.TargetView(views.Target(**{**target, **changes}), share, 0.01)


def respond(view, response_s, now):
    token = view.started(now - response_s)
    view.measured(response_s, now)
    view.released(token)


def test_a_straggler_shows_before_it_responds():
    """A latency estimate alone stays low until the late response arrives."""
    view = make()
    respond(view, 0.01, 1.0)
    view.started(1.0)
    view.started(1.4)
    assert view.latency_s(1.5) == pytest.approx(0.5)


def test_estimate_rises_fast_and_falls_slowly():
    view = make()
    respond(view, 0.01, 1.0)
    respond(view, 0.11, 1.0)
    risen_s = view.latency_s(1.0)
    respond(view, 0.01, 1.0)
    assert risen_s - 0.01 > 2 * (risen_s - view.latency_s(1.0)) > 0


def test_an_idle_estimate_decays_so_that_a_target_is_tried_again():
    """A target that was slow once would otherwise stay unused for ever."""
    view = make()
    respond(view, 1.0, 0.0)
    later = views.IDLE_HALF_LIFE_S
    assert view.latency_s(later) == view.latency_s(0.0)
    assert view.latency_s(10 * later) < view.latency_s(0.0) / 100


def test_a_load_report_counts_other_entries_only_and_ages():
    """Own requests counted twice would push work away from a good target."""
    view = make()
    view.started(0.0)
    view.record_load(loads.LoadReport(in_flight=5), 0.0)
    assert view.others_load(0.0) == 4
    assert view.others_load(views.REPORT_HALF_LIFE_S) == pytest.approx(2)
    view.record_load(loads.LoadReport(in_flight=0), 0.0)
    assert view.others_load(0.0) == 0


def test_only_fast_errors_in_a_row_deserve_ejection():
    """An error as slow as a response does not attract requests."""
    view = make()
    respond(view, 0.01, 1.0)
    slow = [view.failed(views.Outcome.ERROR, 1.0) for _ in range(9)]
    assert not any(slow)
    fast = [view.failed(views.Outcome.ERROR, 0.001) for _ in range(2)]
    view.succeeded()
    fast += [view.failed(views.Outcome.ERROR, 0.001) for _ in range(3)]
    assert fast == [False] * 4 + [True]


def test_ejections_grow_from_one_to_thirty_seconds():
    view, now, lengths_s = make(), 0.0, []
    for _ in range(8):
        lengths_s.append(view.eject(now) - now)
        now = view.ejected_until_s
        assert not view.is_ejected(now)
        assert view.failed(views.Outcome.ERROR, 0.001)
    assert lengths_s == [1, 2, 4, 8, 16, 30, 30, 30]


def test_releases_and_resends_keep_the_count_and_the_oldest():
    """A count that drifts closes a target for ever."""
    view = make()
    first, second = view.started(0.0), view.started(1.0)
    view.resent(first, 2.0)
    assert view.oldest_age_s(3.0) == 2.0
    for token in (second, second, first):
        view.released(token)
        view.resent(token, 4.0)
    assert view.in_flight == 0 and view.oldest_age_s(9.0) == 0


def test_a_new_target_gets_one_request_at_first():
    view = make(up_since_s=5.0)
    view.started(5.0)
    assert not view.has_room(5.0)
    assert view.has_room(15.0)
    assert make(up_since_s=-math.inf).has_room(0.0)
