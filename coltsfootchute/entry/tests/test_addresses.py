"""Guards against callers being sent to entries that stop, or all to one."""

import collections

from coltsfootchute.entry import addresses
from coltsfootchute.entry.tests import stands

pb = stands.pb


def entry(name, domain, **more):
    return pb.Instance(name=name, failure_domain=domain, **more)


def names(instances, count, turn=0):
    chosen = addresses.choose_addresses(instances, count, turn)
    return [i.name for i in chosen]


def test_addresses_span_failure_domains_and_rotate_over_all_entries():
    known = [entry(f"{d}{n}", d) for d in "abc" for n in range(1 + "abc".index(d) * 2)]
    counts = collections.Counter()
    for turn in range(3 * 15):
        chosen = addresses.choose_addresses(known, 3, turn)
        assert len({i.failure_domain for i in chosen}) == 3
        counts.update(i.name for i in chosen)
    assert len(counts) == len(known)


def test_stopping_entries_are_left_out_and_stale_ones_unless_all_are():
    stopping = pb.INSTANCE_STATE_STOPPING
    known = [
        entry("s", "a", state=stopping),
        entry("old", "b", stale=True),
        entry("new", "a"),
    ]
    assert names(known, 3) == ["new"]
    assert names(known[:2], 3) == ["old"]
    assert names(known[:1], 3) == []
