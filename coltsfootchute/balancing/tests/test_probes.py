"""Guards against probes that take more time than was agreed (R1)."""

import hypothesis
import pytest
from hypothesis import strategies as st

from coltsfootchute.balancing import probes

LEASE_S = 10.0
SHARE_S = 0.05
TARGET = "t"
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["lease", "lost", "renew", "probe", "probe", "end", "restart"]),
        st.floats(0, 1),
    ),
    max_size=60,
)


def drive(make, steps):
    """Run one entry under a leader that grants a share for each lease time.

    The leader renews a share at any time, but grants none to a restarted entry
    until its earlier share has ended. The sum of probe times is checked in
    every lease, on the leader's clock, and over the whole sequence.
    """
    now, shares, permits = 0.0, make(), []
    lease_end_s, spent_s, total_s, knows = -1.0, 0.0, 0.0, False
    probes_sent = 0
    for act, part in steps:
        now += part
        if act == "renew" and knows and now < lease_end_s:
            shares.set_lease(TARGET, SHARE_S, LEASE_S, now)
            lease_end_s, spent_s = now + LEASE_S, 0.0
        elif act in ("lease", "lost") and now >= lease_end_s:
            asked_s = now - part / 10
            lease_end_s, spent_s = now + LEASE_S, 0.0
            knows = act == "lease"
            if knows:
                shares.set_lease(TARGET, SHARE_S, LEASE_S, asked_s)
        elif act == "probe":
            permit = shares.begin(TARGET, -1e9, now)
            if permit is not None:
                probes_sent += 1
                assert now + permit.limit_s <= lease_end_s
                permits.append((permit, lease_end_s))
                spent_s += permit.limit_s
                total_s += permit.limit_s
        elif act == "end" and permits:
            permit, paid_by_s = permits.pop()
            took_s = permit.limit_s * part
            if paid_by_s == lease_end_s:
                spent_s -= permit.limit_s - took_s
            total_s -= permit.limit_s - took_s
            shares.end(permit, took_s)
            shares.end(permit, 0.0)
        elif act == "restart":
            shares, permits, knows = make(), [], False
        assert spent_s <= SHARE_S + 1e-9
        assert total_s <= SHARE_S * (1 + (now + 0.1) / LEASE_S) + 1e-9
    return probes_sent


@hypothesis.given(STEPS)
def test_probe_time_never_exceeds_the_share_over_lost_leases_and_restarts(steps):
    drive(probes.ProbeShares, steps)


def test_the_sequence_reaches_the_end_of_a_share():
    """The property above means nothing if no share is ever used up."""
    steps = [("lease", 0.1)] + [("probe", 0.1)] * 10
    assert drive(probes.ProbeShares, steps) >= 2


@pytest.mark.parametrize("fault", ["no_reserve", "old_lease", "renewals"])
def test_a_broken_account_is_caught(fault):
    class Broken(probes.ProbeShares):
        def set_lease(self, *args):
            if fault == "renewals":
                self._shares.clear()
            super().set_lease(*args)

        def begin(self, target_id, last_response_s, now):
            share = self._shares.get(target_id)
            if share is not None and fault == "no_reserve":
                share.left_s = SHARE_S
            if share is not None and fault == "old_lease":
                share.ends_s = now + LEASE_S
            return super().begin(target_id, last_response_s, now)

    steps = {
        "no_reserve": [("probe", 0.2)] * 5,
        "old_lease": [("end", 1.0)] * 11 + [("probe", 0.1)],
        "renewals": [("probe", 0.1), ("probe", 0.1), ("renew", 0.1)] * 4,
    }[fault]
    steps = [("lease", 0.1), *steps]
    drive(probes.ProbeShares, steps)
    with pytest.raises(AssertionError):
        drive(Broken, steps)


def test_unused_time_of_an_ended_lease_is_not_spent_in_the_next():
    shares = probes.ProbeShares()
    shares.set_lease(TARGET, SHARE_S, LEASE_S, 0.0)
    permit = shares.begin(TARGET, -9.0, 8.9)
    shares.set_lease(TARGET, probes.TYPICAL_PROBE_S, LEASE_S, 10.0)
    shares.end(permit, 0.0)
    assert shares.begin(TARGET, -9.0, 11.0).limit_s == probes.TYPICAL_PROBE_S
    assert shares.begin(TARGET, -9.0, 11.0) is None


def test_no_probe_with_budget_zero_nor_after_a_recent_response():
    shares = probes.ProbeShares()
    assert shares.begin(TARGET, -9.0, 0.0) is None
    shares.set_lease(TARGET, 0.0, LEASE_S, 0.0)
    assert shares.begin(TARGET, -9.0, 0.0) is None
    shares.set_lease(TARGET, SHARE_S, LEASE_S, 10.0)
    assert shares.begin(TARGET, 10.5, 11.0) is None
    assert shares.begin(TARGET, 9.5, 11.0) is not None
