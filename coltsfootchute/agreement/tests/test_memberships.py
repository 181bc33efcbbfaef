"""Guards against lost entries or a lost quorum during membership changes."""

import contextlib
import random

import pytest

from coltsfootchute import errors
from coltsfootchute.agreement import memberships, records
from coltsfootchute.agreement.tests import fakes
from coltsfootchute.proto import coltsfootchute_pb2 as pb


def voters(network):
    members = network.leader.replica.committed_membership.members
    return {m.member_id: m.name for m in members if m.voter}


@pytest.mark.parametrize("names", ["abc", "abcde"])
@pytest.mark.parametrize("seed", range(3))
def test_each_disk_may_be_lost_right_after_the_previous_repair(names, seed):
    network = fakes.Network(names, seed)
    payloads = []
    for name in names * 2:
        payloads.append(b"%d" % len(payloads))
        network.propose(payloads[-1])
        network.lose_disk(name)
        network.wait_for_repair(name)
    assert len(network.lost_ids) == 2 * len(names)
    network.settle()
    assert not network.lost_ids & set(voters(network))
    assert sorted(voters(network).values()) == sorted(names)
    assert all(i.applied == payloads for i in network.running())


@pytest.mark.parametrize(("names", "second"), [("abc", "b"), ("abcde", "bc")])
def test_a_quorum_survives_disk_losses_just_after_a_promotion(names, second):
    network = fakes.Network(names, seed=4)
    network.propose(b"x")
    network.lose_disk("a")
    network.wait_for_repair("a")
    network.auto_repair = False
    for name in second:
        network.lose_disk(name)
    network.propose(b"y")
    network.auto_repair = True
    for name in second:
        network.wait_for_repair(name)
    network.settle()
    assert all(i.applied == [b"x", b"y"] for i in network.running())


@pytest.mark.parametrize("planned", [True, False])
@pytest.mark.parametrize("seed", range(5))
def test_two_disks_may_be_lost_after_an_instance_was_replaced_by_another(planned, seed):
    """A voter that was replaced must not reduce the number of tolerated failures."""
    network = fakes.Network("abcde", seed)
    network.propose(b"x")
    if planned:
        network.add("f")
        network.wait_for_repair("f")
        network.kill("a")
    else:
        network.kill("a")
        network.add("f")
        network.wait_for_repair("f")
    network.run(8)
    network.propose(b"y")
    network.auto_repair = False
    for name in "bc":
        network.lose_disk(name)
    network.propose(b"z")
    network.auto_repair = True
    for name in "bc":
        network.wait_for_repair(name)
    network.settle()
    assert sorted(voters(network).values()) == list("bcdef")
    assert all(i.applied == [b"x", b"y", b"z"] for i in network.running())


def lose_two_disks(network, names):
    """Lose two disks at once, commit an entry without them, and repair them."""
    network.auto_repair = False
    for name in names:
        network.lose_disk(name)
    network.propose(b"last")
    network.auto_repair = True
    for name in names:
        network.wait_for_repair(name)
    network.settle()
    assert all(i.applied[-1] == b"last" for i in network.running())


def release(network, name):
    """Let a voter give up its vote, as it does in a planned stop, then end it."""
    if network.wait_for_leader().name == name:
        network.leader.handle(network.leader.replica.transfer)
        assert network.run(5, lambda: network.leader and network.leader.name != name)
    member_id = network.instances[name].identity.member_id
    assert network.run(5, lambda: try_release(network, member_id))
    network.kill(name)


def try_release(network, member_id):
    leader = network.leader
    with contextlib.suppress(errors.AgreementError):
        return leader is not None and leader.handle(leader.replica.release, member_id)


@pytest.mark.parametrize("count", range(1, 6))
def test_two_disks_may_be_lost_right_after_any_number_of_planned_replacements(count):
    """Guards against voters that are stopped for good and count as losses."""
    network = fakes.Network("abcde", seed=40 + count)
    network.propose(b"x")
    old, new = "abcde"[:count], "fghij"[:count]
    for name in new:
        network.add(name)
    for name in new:
        network.wait_for_repair(name)
    for name in old:
        release(network, name)
    network.settle()
    left = sorted(set("abcde") - set(old) | set(new))
    assert sorted(voters(network).values()) == left
    lose_two_disks(network, left[-2:])
    assert sorted(voters(network).values()) == left


@pytest.mark.parametrize("seed", range(12))
def test_two_disks_may_be_lost_after_two_replacements_at_any_moments(seed):
    """Guards against a removal that only one of several gone voters gets."""
    rng = random.Random(f"{seed} replacements")
    network = fakes.Network("abcde", seed)
    network.propose(b"x")
    events = [(rng.uniform(0, 4), network.add, name) for name in "fg"]
    events += [(rng.uniform(0, 4), network.kill, name) for name in rng.sample("bcd", 2)]
    if seed % 3 == 0:
        # A machine that is only down meanwhile, and returns.
        network.kill("e")
        events.append((6.0, network.restart, "e"))
    for at_s, event, name in sorted(events, key=lambda item: item[0]):
        network.run(max(0.0, at_s - network.now))
        event(name)
    smallest = []
    network.run(
        20, lambda: smallest.append(len(voters(network))) if network.leader else None
    )
    assert min(smallest) >= 5
    up = sorted(i.name for i in network.running())
    assert sorted(voters(network).values()) == up
    lose_two_disks(network, rng.sample(up, 2))


@pytest.mark.parametrize("names", ["abcde", "abcdef"])
def test_voters_that_are_only_down_are_not_removed(names):
    """Guards against a cluster that bears fewer losses after each outage."""
    network = fakes.Network(names, seed=50)
    network.propose(b"x")
    for name in names[:2]:
        network.kill(name)
    network.run(60)
    assert sorted(voters(network).values()) == list(names)


def test_instances_of_the_first_start_that_join_later_are_not_spared():
    """Guards against five instances, three of them initial, that shrink to three."""
    network = fakes.Network("abc", seed=51)
    network.auto_repair = False
    for name in "de":
        member = network.add(name).identity.member()
        leader = network.wait_for_leader()
        leader.handle(
            lambda now, m=member, r=leader.replica: r.add_learner(
                m, now, first_start=True
            )
        )
        network.settle()
    network.auto_repair = True
    for name in "de":
        network.wait_for_repair(name)
    for name in "ad":
        network.kill(name)
    network.run(60)
    assert sorted(voters(network).values()) == list("abcde")


def test_voters_needed_for_the_tolerated_losses_are_not_spared():
    """Guards against a cluster that grew after its start and shrinks again."""
    membership = pb.Membership(cluster_id="x", initial_size=3)
    for name in "abcdef":
        membership.members.add(member_id=name, name=name, voter=True)
    assert memberships.can_spare(membership, "a", 2)
    smaller = memberships.without(membership, "a")
    assert not memberships.can_spare(smaller, "b", 2)
    assert memberships.can_spare(smaller, "b", 1)
    assert smaller.initial_size == 3
    assert not memberships.can_spare(memberships.without(smaller, "b"), "c", 2)


def test_a_voter_that_is_needed_is_not_released():
    """Guards against restarts of all instances that leave one voter after another."""
    network = fakes.Network("abcde", seed=52)
    leader = network.wait_for_leader()
    other = next(i for i in network.running() if i is not leader)
    with pytest.raises(errors.AgreementError, match="not enough"):
        leader.replica.release(other.identity.member_id, network.now)
    with pytest.raises(errors.AgreementError, match="not a voter"):
        leader.replica.release("unknown", network.now)


def test_a_voter_removed_while_isolated_joins_again():
    network = fakes.network_with_excess_voter(seed=11)
    isolated = next(i for i in network.running() if i is not network.wait_for_leader())
    network.isolate(isolated.name)
    network.run(8)
    assert not network.is_voter(isolated.name) and len(voters(network)) == 5
    network.propose(b"x")
    network.heal()
    network.wait_for_repair(isolated.name)
    network.settle()
    assert isolated.applied == [b"x"]


def test_an_unresponsive_voter_of_an_odd_number_is_not_removed():
    network = fakes.Network("abcde", seed=12)
    isolated = next(i for i in network.running() if i is not network.wait_for_leader())
    network.isolate(isolated.name)
    network.run(30)
    assert network.is_voter(isolated.name)


def test_an_unresponsive_voter_is_not_removed_while_a_learner_may_be_promoted():
    network = fakes.Network("abcde", seed=13)
    network.propose(b"x")
    learner = network.lose_disk("a")
    old_id = next(iter(network.lost_ids))
    assert network.run(10, lambda: network.leader and old_id not in voters(network))
    network.kill("a")
    network.auto_repair = False
    network.run(2)
    network.auto_repair = True
    isolated = next(i for i in network.running() if i is not network.leader)
    network.isolate(isolated.name)
    network.run(network.timing.learner_timeout_s - 3)
    assert not network.is_voter("a") and network.is_voter(isolated.name)
    network.heal()
    network.restart("a")
    assert network.instances["a"] is learner
    network.wait_for_repair("a")


def test_a_learner_does_not_count_in_a_quorum_before_its_promotion():
    network = fakes.Network("abc", seed=5)
    network.propose(b"x")
    network.auto_repair = False
    learner = network.lose_disk("a")
    leader = network.wait_for_leader()
    leader.handle(leader.replica.add_learner, learner.identity.member())
    network.settle()
    assert learner.applied == [b"x"] and not network.is_voter("a")
    killed = next(i for i in network.running() if i not in (leader, learner))
    network.kill(killed.name)
    network.run(10)
    assert network.leader is None
    assert learner.replica.role is records.Role.LEARNER
    network.restart(killed.name)
    network.auto_repair = True
    network.wait_for_repair("a")
    network.settle()
    assert all(i.applied == [b"x"] for i in network.running())


def test_four_voters_tolerate_one_loss_before_a_promotion():
    network = fakes.Network("abcde", seed=6)
    network.propose(b"x")
    learner = network.lose_disk("a")
    old_id = next(iter(network.lost_ids))
    assert network.run(10, lambda: network.leader and old_id not in voters(network))
    assert not network.is_voter("a")
    other = next(i for i in network.running() if i not in (network.leader, learner))
    network.lose_disk(other.name)
    network.propose(b"y")
    network.wait_for_repair("a")
    network.wait_for_repair(other.name)


def test_a_promoted_member_votes_before_it_receives_its_promotion():
    network = fakes.Network("abc", seed=7)
    network.propose(b"x")
    promoted = network.lose_disk("a")
    network.auto_repair = False
    leader = network.wait_for_leader()
    other = next(i for i in network.running() if i not in (leader, promoted))
    leader.handle(leader.replica.add_learner, promoted.identity.member())
    network.settle()
    leader.handle(leader.replica.remove_member, next(iter(network.lost_ids)))
    network.settle()
    network.isolate("a")
    proposed = leader.handle(leader.replica.promote, promoted.identity.member_id)
    assert network.run(1, lambda: proposed.indexes[0] in network.committed)
    network.kill(leader.name)
    network.heal()
    assert promoted.replica.role is records.Role.LEARNER
    assert network.wait_for_leader() is other


def test_a_learner_never_starts_an_election():
    network = fakes.Network("abc", seed=8)
    network.auto_repair = False
    learner = network.add("d")
    leader = network.wait_for_leader()
    leader.handle(leader.replica.add_learner, learner.identity.member())
    network.settle()
    term = learner.replica.term
    network.isolate("d")
    network.run(60)
    assert learner.replica.role is records.Role.LEARNER
    assert learner.replica.term == term
    assert network.leader is leader


def test_membership_changes_wait_for_an_entry_of_the_term_and_for_each_other():
    network = fakes.Network("abc", seed=9)
    network.auto_repair = False
    for name in "abc":
        network.instances[name].handle(network.instances[name].replica.tick)
    assert network.run(9, lambda: any(i.replica.is_leader for i in network.running()))
    leader = next(i for i in network.running() if i.replica.is_leader)
    with pytest.raises(errors.AgreementError):
        leader.replica.add_learner(pb.Member(member_id="x", name="x"), network.now)
    network.wait_for_leader()
    leader.handle(leader.replica.add_learner, pb.Member(member_id="x", name="x"))
    with pytest.raises(errors.AgreementError, match="pending"):
        leader.replica.add_learner(pb.Member(member_id="y", name="y"), network.now)
    network.settle()
    with pytest.raises(errors.AgreementError, match="caught up"):
        leader.replica.promote("x", network.now)
    with pytest.raises(errors.AgreementError, match="itself"):
        leader.replica.remove_member(leader.identity.member_id, network.now)


def test_a_voter_that_is_up_is_not_replaced_by_an_instance_with_its_name():
    network = fakes.Network("abc", seed=10)
    leader = network.wait_for_leader()
    old = next(i for i in network.running() if i is not leader)
    twin = network.add(old.name)
    network.instances[old.name], network.instances["twin"] = old, twin
    twin.name = "twin"
    network.run(10)
    assert twin.replica.membership is not None
    assert not network.is_voter("twin") and network.is_voter(old.name)


def test_invalid_membership_changes_are_refused():
    membership = pb.Membership(cluster_id="x")
    for n in range(memberships.MEMBERS_MAX):
        member = pb.Member(member_id=f"m{n}", name=f"i{n // 2}", voter=True)
        membership = memberships.with_learner(membership, member)
    with pytest.raises(
        errors.AgreementError, match=f"{memberships.MEMBERS_MAX} members"
    ):
        memberships.with_learner(membership, pb.Member(member_id="more"))
    membership = memberships.with_voter(membership, "m0")
    assert memberships.voter_ids(membership) == {"m0"}
    with pytest.raises(errors.AgreementError, match="remove it first"):
        memberships.with_voter(membership, "m1")
    assert not memberships.find(memberships.without(membership, "m0"), "m0")


def test_an_unresponsive_learner_does_not_prevent_the_removal_of_a_lost_voter():
    network = fakes.Network("abcde", seed=14)
    network.propose(b"x")
    network.kill("a")
    network.add("f")

    def is_learner():
        leader = network.leader
        members = leader.replica.committed_membership.members if leader else ()
        return any(m.name == "f" and not m.voter for m in members)

    assert network.run(10, is_learner)
    network.kill("f")
    network.run(2)
    assert not network.is_voter("f")
    network.add("g")
    network.wait_for_repair("g")
    network.run(30)
    assert sorted(voters(network).values()) == list("bcdeg")


@pytest.mark.parametrize("seed", range(4))
def test_six_voters_lose_nothing_with_two_killed_and_one_isolated(seed):
    network = fakes.network_with_excess_voter(seed=20 + seed)
    network.propose(b"x")
    network.auto_repair = True
    leader = network.wait_for_leader().name
    others = [name for name in "abcdef" if name != leader]
    network.kill(others[0])
    network.kill(others[1])
    network.run(1)
    network.isolate(others[2])
    network.run(8)
    network.heal()
    network.propose(b"y")
    for name in others[:2]:
        network.restart(name)
    network.settle(30)
    network.run(8)
    network.propose(b"z")
    network.settle(30)
    assert all(i.applied == [b"x", b"y", b"z"] for i in network.running())
