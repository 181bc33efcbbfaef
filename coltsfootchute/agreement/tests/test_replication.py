"""Guards against lost, changed or wrongly committed entries."""

import random

import pytest

from coltsfootchute.agreement import memberships, records, replicas
from coltsfootchute.agreement.tests import fakes
from coltsfootchute.proto import coltsfootchute_pb2 as pb


def test_loss_duplicates_and_reordering_change_nothing():
    network = fakes.Network("abcde", seed=1)
    network.loss, network.duplication, network.delay_max = 0.1, 0.2, 0.1
    payloads = [b"%d" % n for n in range(100)]
    for payload in payloads:
        network.propose(payload)
    network.loss = 0.0
    network.settle()
    assert all(i.applied == payloads for i in network.running())


def test_proposals_together_cost_one_sync_on_each_instance():
    network = fakes.Network(seed=2)
    network.wait_for_leader()
    network.settle()
    before = {i.name: i.disk.syncs for i in network.running()}
    network.propose(*[b"%d" % n for n in range(50)])
    network.settle()
    assert {i.name: i.disk.syncs - before[i.name] for i in network.running()} == {
        "a": 1,
        "b": 1,
        "c": 1,
    }


def test_entries_of_a_leader_without_a_quorum_are_replaced():
    network = fakes.Network(seed=3)
    old = network.wait_for_leader()
    network.propose(b"kept")
    network.isolate(old.name)
    for n in range(300):
        old.handle(old.replica.propose, [b"lost %d" % n])
    assert network.run(10, lambda: network.leader not in (old, None))
    network.propose(b"new")
    assert old.replica.log.last_index > 300
    network.heal()
    network.keep_sent = True
    network.settle()
    assert old.applied == [b"kept", b"new"]
    replies = [m for m in network.sent if m.HasField("append_reply")]
    refused = [m for m in replies if not m.append_reply.accepted]
    # One for each heartbeat that crosses the search, not one for each entry.
    assert 1 <= len(refused) <= 4


def test_entries_of_earlier_terms_are_not_committed_by_counting():
    members = [pb.Member(member_id=n, name=n, voter=True) for n in "abc"]
    membership = pb.Membership(cluster_id="x", members=members)
    snapshot = records.Snapshot(pb.SnapshotMeta(index=1, term=1, membership=membership))
    entries = [pb.LogEntry(index=2, term=2, kind=pb.ENTRY_KIND_COMMAND)]
    saved = records.SavedState(pb.HardState(term=3), snapshot, entries)
    timing = records.Timing(pre_vote=False)
    leader = replicas.Replica(
        records.Identity("a", "a"), saved, random.Random(1), timing
    )
    leader.tick(0.0)
    leader.tick(3.0)
    message = pb.PeerMessage(cluster_id="x", sender="b", receiver="a", term=4)
    message.vote_reply.granted = True
    leader.step(message, 3.0)
    assert leader.is_leader
    reply = pb.AppendReply(accepted=True, match_index=2, round=3_000_000)
    message.append_reply.CopyFrom(reply)
    assert not leader.step(message, 3.1).committed
    message.append_reply.match_index = 3
    assert [e.index for e in leader.step(message, 3.1).committed] == [2, 3]


def test_a_follower_is_current_only_with_a_fresh_message_of_a_leader_with_a_lease():
    network = fakes.Network(seed=4)
    leader = network.wait_for_leader()
    network.propose(b"x")
    network.run(2)
    follower = next(i for i in network.running() if i is not leader)
    assert follower.replica.proof_age(network.now) < 0.4
    assert leader.replica.proof_age(network.now) < 0.4
    network.isolate(leader.name)
    network.run(1.1)
    assert leader.replica.proof_age(network.now) > 1.0
    network.heal()
    network.run(5)
    follower = next(i for i in network.running() if i is not network.leader)
    # Messages that lay in a buffer during a freeze prove only their own time.
    network.keep_sent = True
    network.run(1)
    appends = (m for m in reversed(network.sent) if m.HasField("append_request"))
    late = next(m for m in appends if m.receiver == follower.identity.member_id)
    assert late.append_request.has_lease
    for term in (late.term, late.term + 1):  # Of the known and of a new leader.
        late.term = term
        follower.replica.step(late, network.now + 50)
        assert follower.replica.proof_age(network.now + 50) > 49


def test_followers_learn_a_commit_before_the_next_heartbeat():
    network = fakes.Network(seed=5)
    network.wait_for_leader()
    network.run(0.5)
    network.propose(b"x")
    network.settle(seconds=0.1)


@pytest.mark.parametrize("voters", range(1, 9))
def test_any_two_quorums_share_a_member(voters):
    assert 2 * memberships.quorum(voters) > voters


def test_an_idle_tick_allocates_nothing():
    network = fakes.Network(seed=6)
    leader = network.wait_for_leader()
    now = leader.replica.next_deadline - 0.001
    assert leader.replica.tick(now) is records.NO_ACTIONS
