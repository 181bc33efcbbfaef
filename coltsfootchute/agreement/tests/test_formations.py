"""Guards against a second cluster that replaces acknowledged changes."""

import random

import pytest

from coltsfootchute.agreement import formations, records
from coltsfootchute.agreement.tests import fakes
from coltsfootchute.proto import coltsfootchute_pb2 as pb

IDENTITIES = {n: records.Identity(f"id-{n}", n, f"address-{n}") for n in "abcd"}
RNG = random.Random(1)


def hello(name, membership=None, leader_address=""):
    return pb.HelloReply(
        member=IDENTITIES[name].member(),
        formed=membership is not None,
        membership=membership,
        leader_address=leader_address,
    )


def decide(name, *replies):
    answers = {reply.member.name: reply for reply in replies}
    return formations.decide(IDENTITIES[name], "abc", answers, RNG)


def formed():
    return decide("a", hello("b"), hello("c")).membership


def test_only_the_first_of_all_initial_members_forms_a_cluster():
    decision = decide("a", hello("b"), hello("c"))
    assert decision.step is formations.Step.FORM
    members = decision.membership.members
    assert [(m.member_id, m.voter) for m in members] == [
        ("id-a", True),
        ("id-b", True),
        ("id-c", True),
    ]
    assert decide("b", hello("a"), hello("c")).step is formations.Step.WAIT
    assert decide("d", hello("a"), hello("b")).step is formations.Step.WAIT
    assert decision.membership.cluster_id != formed().cluster_id


def test_a_quorum_does_not_form_a_cluster():
    # a and b have lost their disks; c still holds the log.
    decision = decide("a", hello("b"))
    assert decision.step is formations.Step.WAIT and "c" in decision.detail


def test_an_instance_with_a_new_id_joins_and_a_member_adopts():
    membership = formed()
    adopted = decide("b", hello("a", membership), hello("c"))
    assert adopted.step is formations.Step.ADOPT
    assert adopted.membership == membership
    fresh = records.Identity("new-id", "b")
    answers = {"a": hello("a", membership), "c": hello("c", membership, "address-c")}
    joins = formations.decide(fresh, "abc", answers, RNG)
    assert joins.step is formations.Step.JOIN and joins.address == "address-c"
    assert not formations.accepts_formation(fresh, None, membership)
    assert formations.accepts_formation(IDENTITIES["b"], None, membership)
    assert not formations.accepts_formation(IDENTITIES["b"], membership, formed())


def test_two_clusters_are_never_chosen_between():
    decision = decide("a", hello("b", formed()), hello("c", formed()))
    assert decision.step is formations.Step.WAIT


@pytest.mark.parametrize("missed", "abc")
def test_a_member_that_missed_the_forming_adopts_later_and_can_vote(missed):
    network = fakes.Network("abc", seed=3)
    network.kill(missed)
    network.propose(b"x")
    membership = network.leader.replica.committed_membership
    instance = network.instances[missed]
    identity = instance.identity  # It never formed, so its id has no vote yet.
    instance.disk.files.clear()
    instance.restart()
    instance.identity = identity
    instance.form(membership)
    network.kill(network.leader.name)
    assert network.wait_for_leader().name != missed
    network.propose(b"y")
    assert network.run(2, lambda: instance.applied == [b"x", b"y"])


def test_a_removed_instance_that_returns_asks_to_join():
    membership = formed()
    present = decide("b", hello("a", membership)).membership
    assert not formations.was_removed(IDENTITIES["b"], present, hello("a", membership))
    del membership.members[1]
    assert formations.was_removed(IDENTITIES["b"], present, hello("a", membership))
    assert not formations.was_removed(IDENTITIES["b"], present, hello("a", formed()))


def test_the_term_of_an_earlier_vote_is_kept():
    hard_state = pb.HardState(term=7, voted_for="id-c")
    assert formations.initial_state(formed(), hard_state).hard_state == hard_state
    assert formations.initial_state(formed(), pb.HardState()).hard_state.term == 1
