"""Guards against two leaders, needless elections and leases that last too long."""

import random

import pytest

from coltsfootchute import errors
from coltsfootchute.agreement import elections, records
from coltsfootchute.agreement.tests import fakes
from coltsfootchute.proto import coltsfootchute_pb2 as pb

HOUR_S = 3600.0


def followers(network):
    return [i for i in network.running() if i is not network.leader]


def vote_request(sender, receiver, term, **fields):
    request = pb.VoteRequest(last_index=99, last_term=99, **fields)
    return pb.PeerMessage(
        cluster_id=receiver.replica.membership.cluster_id,
        sender=sender.identity.member_id,
        receiver=receiver.identity.member_id,
        term=term,
        vote_request=request,
    )


def test_a_follower_isolated_for_an_hour_does_not_raise_the_term():
    network = fakes.Network("abc", seed=1)
    leader = network.wait_for_leader()
    isolated = followers(network)[0]
    term = leader.replica.term
    network.isolate(isolated.name)
    network.run(HOUR_S)
    assert isolated.replica.role is records.Role.PRE_CANDIDATE
    network.heal()
    network.run(10)
    assert network.leader is leader
    assert {i.replica.term for i in network.running()} == {term}


@pytest.mark.parametrize("seed", range(3))
def test_pre_vote_prevents_leader_changes_by_a_returning_follower(seed):
    def changes(pre_vote):
        timing = records.Timing(pre_vote=pre_vote)
        network = fakes.Network("abcde", seed, timing)
        network.wait_for_leader()
        for _ in range(10):
            name = network.rng.choice(sorted(network.instances))
            if network.leader and network.leader.name == name:
                continue
            network.isolate(name)
            network.run(10)
            network.heal()
            network.run(10)
        return network.leader_changes - 1

    assert changes(pre_vote=True) == 0 < changes(pre_vote=False)


@pytest.mark.parametrize("pre_vote", [True, False])
def test_a_member_in_contact_with_a_leader_ignores_vote_requests(pre_vote):
    network = fakes.Network(seed=2)
    leader = network.wait_for_leader()
    network.run(1)
    asked, candidate = followers(network)
    term = leader.replica.term
    request = vote_request(candidate, asked, term + 9, pre_vote=pre_vote)
    for member in (asked, leader):
        request.receiver = member.identity.member_id
        assert not member.replica.step(request, network.now).messages
        assert member.replica.term == term
    request = vote_request(candidate, asked, term + 1, transfer=True)
    (reply,) = asked.replica.step(request, network.now).messages
    assert reply.vote_reply.granted


def test_a_restarted_member_does_not_vote_within_the_election_timeout():
    network = fakes.Network(seed=3)
    leader = network.wait_for_leader()
    asked, candidate = followers(network)
    network.kill(asked.name)
    network.restart(asked.name)
    request = vote_request(candidate, asked, leader.replica.term + 1)
    assert not asked.replica.step(request, network.now).messages
    (reply,) = asked.replica.step(request, network.now + 1.3).messages
    assert reply.vote_reply.granted


def test_a_restarted_member_does_not_vote_twice_in_a_term():
    network = fakes.Network(seed=4)
    a, b, c = network.instances.values()
    a.handle(a.replica.tick)
    network.now = 1.25
    a.handle(a.replica.step, vote_request(b, a, 5))
    network.kill("a")
    network.restart("a")
    a.handle(a.replica.tick)
    network.now = 2.46
    (reply,) = a.replica.step(vote_request(c, a, 5), network.now).messages
    assert not reply.vote_reply.granted


def test_a_leader_without_acknowledgements_steps_down_and_is_replaced():
    network = fakes.Network(seed=5)
    old = network.wait_for_leader()
    # The old leader receives nothing, but its messages still arrive.
    network.cuts = {(i.name, old.name) for i in followers(network)}
    assert network.run(6, lambda: network.leader not in (old, None))
    assert not old.replica.is_leader


def test_a_follower_that_receives_nothing_does_not_replace_the_leader():
    network = fakes.Network(seed=6)
    leader = network.wait_for_leader()
    unreachable = followers(network)[0]
    term = leader.replica.term
    network.cuts = {(i.name, unreachable.name) for i in network.running()}
    network.run(30)
    assert unreachable.replica.role is records.Role.PRE_CANDIDATE
    assert network.leader is leader and leader.replica.term == term


def test_a_leader_that_was_frozen_neither_reads_nor_proposes():
    network = fakes.Network(seed=7)
    old = network.wait_for_leader()
    network.freeze(old.name, 8)
    network.run(7.9)
    assert network.leader not in (old, None)
    network.now += 0.2  # Resumed, but it has not handled a timer or message yet.
    assert old.replica.is_leader
    assert not old.replica.can_read(network.now)
    with pytest.raises(errors.NotLeaderError):
        old.replica.propose([b"late"], network.now)


def test_the_lease_starts_when_the_acknowledged_message_was_sent():
    network = fakes.Network(seed=8)
    leader = network.wait_for_leader()
    network.propose(b"x")
    network.settle()
    network.keep_sent = True
    sent_at = network.now = leader.replica.next_deadline
    leader.handle(leader.replica.tick)
    message = network.sent[-1]
    peer = next(
        i for i in followers(network) if i.identity.member_id == message.receiver
    )
    (reply,) = peer.replica.step(message, sent_at).messages
    leader.replica.step(reply, sent_at + 0.9)
    assert leader.replica.can_read(sent_at + 0.99)
    assert not leader.replica.can_read(sent_at + 1.01)


def test_a_leadership_transfer_succeeds_within_100_ms():
    network = fakes.Network(seed=9)
    old = network.wait_for_leader()
    network.propose(b"x")
    old.handle(old.replica.transfer)
    assert not old.replica.can_read(network.now)
    assert network.run(0.1, lambda: network.leader not in (old, None))


def test_a_leader_does_not_regain_its_lease_after_a_failed_transfer():
    network = fakes.Network(seed=10)
    old = network.wait_for_leader()
    network.propose(b"x")
    network.settle()
    network.keep_sent = True
    old.handle(old.replica.transfer)
    (request,) = [m for m in network.sent if m.HasField("elect_now")]
    target = next(
        i for i in network.running() if i.identity.member_id == request.receiver
    )
    network.isolate(target.name)
    assert network.run(5, lambda: not old.replica.is_leader)
    assert network.leaders[old.replica.term] == old.identity.member_id


def test_log_comparison_and_the_range_of_election_timeouts():
    assert elections.is_up_to_date((3, 1), (2, 9))
    assert not elections.is_up_to_date((2, 9), (3, 1))
    delays = [
        elections.random_election_timeout(random.Random(n), records.Timing())
        for n in range(99)
    ]
    assert min(delays) >= 1.2 and max(delays) <= 2.4
