"""Guards against callers that get a stopping entry, or all get the same entry."""

import collections

from coltsfootchute.entry import addresses
from coltsfootchute.entry.tests import fakes

pb = fakes.pb


def entry(name, domain, **more):
    return pb.Instance(name=name, failure_domain=domain, **more)


def names(instances, count, sequence_number=0):
    chosen = addresses.choose_addresses(instances, count, sequence_number)
    return [i.name for i in chosen]


def test_addresses_span_failure_domains_and_rotate_over_all_entries():
    known = [entry(f"{d}{n}", d) for d in "abc" for n in range(1 + "abc".index(d) * 2)]
    counts = collections.Counter()
    for sequence_number in range(3 * 15):
        chosen = addresses.choose_addresses(known, 3, sequence_number)
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


def names_for_service(known, service="s", count=4):
    return {i.name for i in addresses.entries_for_service(service, known, count)}


def entries_in_three_domains():
    return [entry(f"{d}{n}", d) for d in "abc" for n in range(5)]


def test_every_entry_chooses_the_same_entries_of_several_domains():
    known = entries_in_three_domains()
    assert names_for_service(known) == names_for_service(known[::-1])
    assert len(names_for_service(known)) == 4
    assert {name[0] for name in names_for_service(known)} == set("abc")
    assert len({frozenset(names_for_service(known, f"s{n}")) for n in range(20)}) > 10
    assert names_for_service(known, count=None) == {i.name for i in known}


def test_a_removed_entry_changes_at_most_one_entry_of_a_service():
    known = entries_in_three_domains()
    for removed in known:
        remaining = names_for_service([i for i in known if i is not removed])
        assert len(names_for_service(known) - remaining) <= 1


def test_a_stopping_entry_of_a_service_is_replaced():
    known = entries_in_three_domains()
    (first, *_) = names_for_service(known)
    next(i for i in known if i.name == first).state = pb.INSTANCE_STATE_STOPPING
    assert first not in names_for_service(known)
    assert len(names_for_service(known)) == 4
