"""Guards against an entry that stays on sources without the current state."""

import collections
import itertools

import pytest

from coltsfootchute.entry import sources

CURRENT, OUTDATED, LOST = "current", sources.End.OUTDATED, sources.End.LOST
NAMES = [f"e{number}" for number in range(16)]
PEERS = ["p0", "p1"]


def watch(order, states, seeds=(), peers=PEERS):
    """Yield each watched source; a source with a current state ends the watch."""
    while True:
        source = order.choose([name for name in states if name[0] == "c"], seeds, peers)
        yield source
        if source is not None:
            state = states.get(source.address, LOST)
            if state is CURRENT:
                return
            order.record_end(source, state, was_current=False)


def order_after(name, states):
    """Return an order whose entry has watched an outdated source until now."""
    order = sources.Order(name)
    while True:
        source = order.choose(list(states), [], [])
        if source is not None and states[source.address] is OUTDATED:
            order.record_end(source, OUTDATED, was_current=True)
            return order
        if source is not None:
            order.record_end(source, LOST, was_current=False)


def controls(*states):
    return {f"c{number}": state for number, state in enumerate(states)}


@pytest.mark.parametrize("name", NAMES)
@pytest.mark.parametrize(
    "states",
    [
        controls(OUTDATED, OUTDATED, CURRENT, CURRENT, CURRENT),
        controls(OUTDATED, CURRENT, OUTDATED, CURRENT, CURRENT),
        controls(OUTDATED, CURRENT, CURRENT),
        controls(OUTDATED, OUTDATED, LOST, CURRENT, CURRENT),
    ],
)
def test_a_source_of_the_majority_is_found_without_a_wait(name, states):
    chosen = list(watch(order_after(name, states), states))
    assert not any(source.hold_s for source in chosen)
    assert len(chosen) <= len(states) - 1


@pytest.mark.parametrize("name", NAMES)
@pytest.mark.parametrize("count", [1, 3, 5, 9])
def test_an_election_does_not_make_entries_connect_again_and_again(name, count):
    states = controls(*[OUTDATED] * count)
    chosen = itertools.islice(watch(order_after(name, states), states), 60)
    watched = list(filter(None, chosen))
    assert watched[count // 2].hold_s == sources.HOLD_S
    holds = sum(source.hold_s > 0 for source in watched)
    assert holds >= len(watched) // (count + 1)
    assert not any(source.address in PEERS for source in watched)


@pytest.mark.parametrize("name", NAMES)
def test_an_entry_that_is_cut_off_from_control_soon_asks_another_entry(name):
    states = controls(LOST, LOST, LOST, LOST, LOST) | {"p0": CURRENT, "p1": CURRENT}
    chosen = list(watch(sources.Order(name), states))
    assert len(chosen) == sources.MAX_LOST + 1
    assert chosen[-1].limit_s == sources.PEER_WATCH_S


@pytest.mark.parametrize("name", NAMES)
def test_other_entries_are_seldom_asked_while_control_responds(name):
    states = controls(OUTDATED, LOST, OUTDATED, LOST, LOST)
    chosen = itertools.islice(watch(sources.Order(name), states), 60)
    counts = collections.Counter(
        "hold" if s.hold_s else s.address[0] for s in chosen if s is not None
    )
    assert 0 < counts["p"] <= counts["hold"] + 1


@pytest.mark.parametrize("name", NAMES)
@pytest.mark.parametrize("state", [LOST, OUTDATED])
def test_replaced_control_instances_are_found_by_the_settings(name, state):
    """Instances that were removed from the cluster may go on running."""
    states = controls(state, state, state) | {"s1": CURRENT}
    chosen = itertools.islice(
        watch(sources.Order(name), states, seeds=["c0", "s1"], peers=[]), 20
    )
    watched = list(filter(None, chosen))
    assert watched[-1].address == "s1"
    assert sum(source.hold_s for source in watched) <= sources.HOLD_S
