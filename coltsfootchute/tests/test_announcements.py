"""Guards against one odd target that stops the use of all others."""

import hypothesis
import pytest
from hypothesis import strategies

from coltsfootchute import announcements, errors
from coltsfootchute.entry import watches
from coltsfootchute.proto import coltsfootchute_pb2 as pb

GOOD = {
    "target_id": "t1",
    "incarnation": 1,
    "address": "10.0.0.1:80",
    "failure_domain": "fd-a",
    "services": ["s"],
    "slots": 4,
}
ODD = [
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:65536"},
    {"address": "10.0.0.1:-1"},
    {"address": "10.0.0.1:99999999999999999999"},
    {"address": "10.0.0.1:\u0661"},
    {"address": "10.0.0.300:80"},
    {"address": "host:80"},
    {"address": "[::1:80"},
    {"address": "x" * (1 << 20)},
    {"address": ""},
    {"target_id": ""},
    {"target_id": "x" * (1 << 20)},
    {"failure_domain": "x" * (1 << 20)},
    {"services": ["x" * (1 << 20)]},
    {"services": ["s"] * 1000},
    {"services": ["s", ""]},
    {"slots": (1 << 32) - 1},
    {"state": 77},
    {"warm_up_ms": (1 << 32) - 1},
]


@pytest.mark.parametrize("changes", ODD, ids=lambda c: repr(c)[:40])
def test_an_odd_target_is_refused_and_skipped(changes):
    odd = pb.Target(**{**GOOD, **changes})
    with pytest.raises(errors.DocumentError) as caught:
        announcements.check(odd)
    assert len(str(caught.value)) < 1000
    view = watches.View()
    good = pb.Target(**{**GOOD, "target_id": "t2", "address": "[::1]:80"})
    announcements.check(good)
    changes = [pb.FeedChange(revision=r, target=t) for r, t in ((1, odd), (2, good))]
    message = pb.FeedMessage(cluster_id="c", revision=2, changes=changes)
    assert view.apply(message, 0.0) is watches.ApplyResult.APPLIED
    assert list(view.targets) == ["t2"]


def test_an_odd_change_ends_the_use_of_the_target_that_it_replaces():
    """The entry must not keep sending to an address that was announced before."""
    view = watches.View()
    for revision, changes in enumerate(({}, {"address": "10.0.0.1:0"}), 1):
        target = pb.Target(**{**GOOD, **changes})
        change = pb.FeedChange(revision=revision, target=target)
        view.apply(
            pb.FeedMessage(cluster_id="c", revision=revision, changes=[change]), 0.0
        )
    assert view.targets == {}


@hypothesis.given(raw=strategies.binary(max_size=200))
def test_any_target_that_can_be_decoded_is_accepted_or_refused(raw):
    try:
        target = pb.Target.FromString(raw)
    except Exception:
        return
    try:
        announcements.check(target)
    except errors.DocumentError:
        return
    assert target.services


@hypothesis.given(
    address=strategies.text(max_size=30)
    | strategies.from_regex(r"\d{1,3}(\.\d{1,3}){3}:\d{1,7}", fullmatch=True)
)
def test_an_accepted_address_has_a_port_that_can_be_connected_to(address):
    try:
        announcements.check_address(address)
    except ValueError:
        return
    assert 0 < int(address.rpartition(":")[2]) < 1 << 16
