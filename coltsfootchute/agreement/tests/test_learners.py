"""Guards against unresponsive learners that block membership changes."""

import pytest

from coltsfootchute.agreement import memberships, records, replication
from coltsfootchute.agreement.tests import fakes
from coltsfootchute.proto import coltsfootchute_pb2 as pb

LOST_S = records.Timing().learner_timeout_s


def members(network):
    """Return the instance names of the committed voters and learners."""
    found = network.leader.replica.committed_membership.members
    voters = sorted(m.name for m in found if m.voter)
    return voters, sorted(m.name for m in found if not m.voter)


def add_learner(network, name):
    """Start an instance and wait until it is a learner, not yet promoted."""
    network.auto_repair = False
    leader = network.wait_for_leader()
    instance = network.add(name)
    leader.handle(leader.replica.add_learner, instance.identity.member())
    assert network.run(1, lambda: name in members(network)[1])
    network.auto_repair = True
    return instance


def add_lost_learner(network, name):
    """Add a learner that is killed before its promotion."""
    instance = add_learner(network, name)
    lose_learner(network, name)
    return instance


def lose_learner(network, name):
    network.kill(name)
    network.auto_repair = False
    network.run(network.timing.ack_timeout_s)
    network.auto_repair = True


def replace_disk(network, name):
    """Replace an instance's disk and wait until the new member is the only learner."""
    network.lose_disk(name)
    old_id = next(iter(network.lost_ids))
    assert network.run(10, lambda: network.leader and not has_voter(network, old_id))
    assert members(network)[1] == [name]


def has_voter(network, member_id):
    membership = network.leader.replica.committed_membership
    return memberships.is_voter(membership, member_id)


def follower(network):
    leader = network.wait_for_leader()
    return next(i for i in network.running() if i is not leader)


def has_lost_vote(network, name):
    return lambda: network.leader and not network.is_voter(name)


@pytest.mark.parametrize("seed", range(3))
def test_lost_learners_do_not_take_the_last_places(seed):
    network = fakes.Network("abcde", seed)
    for name in "fgh":
        add_lost_learner(network, name)
    assert len(network.leader.replica.membership.members) == memberships.MEMBERS_MAX
    network.add("i")
    network.wait_for_repair("i")
    network.run(3 * LOST_S)
    assert members(network) == (list("abcdei"), [])


@pytest.mark.parametrize("seed", range(3))
def test_several_lost_learners_do_not_keep_the_vote_of_a_voter_that_is_gone(seed):
    network = fakes.Network("abcdef", seed)
    for name in "gh":
        add_lost_learner(network, name)
    lost = follower(network).name
    network.kill(lost)
    network.run(2 * LOST_S + 2)
    voters = [name for name in "abcdef" if name != lost]
    assert members(network) == (voters, [])


def test_a_new_learner_is_not_removed_before_it_could_answer():
    network = fakes.Network("abc", seed=31)
    network.run(20)
    learner = network.add("d")
    network.isolate("d")
    assert network.run(1, lambda: members(network)[1] == ["d"])
    network.run(LOST_S - 0.5)
    assert members(network)[1] == ["d"]
    network.heal()
    network.wait_for_repair("d")
    assert learner.replica.role is not records.Role.LEARNER


def test_a_learner_is_not_removed_for_its_silence_towards_an_earlier_leader():
    network = fakes.Network("abc", seed=32)
    add_lost_learner(network, "d")
    network.run(LOST_S - 1.5)
    first = network.wait_for_leader()
    network.kill(first.name)
    assert network.wait_for_leader() is not first
    network.run(LOST_S - 1.0)
    assert members(network)[1] == ["d"]
    network.run(2.0)
    assert members(network) == (list("abc"), [])


def test_leaders_that_follow_each_other_still_remove_a_lost_learner():
    network = fakes.Network("abc", seed=33)
    add_lost_learner(network, "d")
    for _ in range(3):
        leader = network.wait_for_leader()
        leader.handle(leader.replica.transfer)
        assert network.run(5, lambda old=leader: network.leader not in (None, old))
        network.run(LOST_S / 2)
    assert members(network)[1] == ["d"]
    network.run(LOST_S)
    assert members(network) == (list("abc"), [])


@pytest.mark.parametrize("power_lost", [True, False])
def test_a_removed_learner_that_restarts_joins_again(power_lost):
    network = fakes.Network("abc", seed=34)
    learner = add_lost_learner(network, "d")
    network.propose(b"x")
    network.run(LOST_S + 1)
    assert members(network) == (list("abc"), [])
    network.restart("d", power_lost)
    network.wait_for_repair("d")
    network.settle()
    assert learner.applied == [b"x"]


@pytest.mark.parametrize("sends", [True, False])
@pytest.mark.parametrize("seed", range(3))
def test_a_learner_cut_off_one_way_does_not_keep_the_vote_of_a_lost_voter(seed, sends):
    """The learner is removed and rejoins repeatedly; the log must not grow fast."""
    network = fakes.Network("abcdef", seed)
    network.propose(b"x")
    learner = add_learner(network, "g")
    for name in "abcdef":
        network.cuts.add(("g", name) if sends else (name, "g"))
    lost = follower(network).name
    network.kill(lost)
    assert network.run(3 * LOST_S, has_lost_vote(network, lost))
    network.run(3 * LOST_S)
    size = network.leader.replica.log.last_index
    network.run(10 * LOST_S)
    # At most one removal and one addition within each timeout for learners.
    assert network.leader.replica.log.last_index - size <= 2 * 10
    network.heal()
    network.wait_for_repair("g")
    network.settle()
    assert learner.applied == [b"x"]


def test_a_learner_that_is_back_in_time_spares_the_vote_of_a_silent_voter():
    network = fakes.Network("abcde", seed=36)
    network.propose(b"x")
    replace_disk(network, "a")
    lose_learner(network, "a")
    silent = follower(network).name
    network.isolate(silent)
    assert not network.run(LOST_S - 1.5, has_lost_vote(network, silent))
    assert members(network) == (list("bcde"), ["a"])
    network.restart("a")
    assert not network.run(30, has_lost_vote(network, silent))
    assert members(network) == (list("abcde"), [])


def test_a_learner_that_answers_spares_the_vote_of_a_silent_voter():
    """It isn't promoted, because a voter that is up has the same instance name."""
    network = fakes.Network("abcdef", seed=37)
    leader = network.wait_for_leader()
    twin = network.add(leader.name)
    network.instances[leader.name], network.instances["twin"] = leader, twin
    twin.name = "twin"
    network.run(1)
    silent = next(i.name for i in network.running() if i not in (leader, twin))
    network.isolate(silent)
    assert not network.run(30, has_lost_vote(network, silent))
    network.kill("twin")
    assert network.run(2 * LOST_S, has_lost_vote(network, silent))


@pytest.mark.parametrize("seed", range(3))
def test_a_lost_learner_and_a_silent_voter_leave_room_for_one_more_loss(seed):
    network = fakes.Network("abcde", seed)
    network.propose(b"x")
    replace_disk(network, "a")
    lose_learner(network, "a")
    silent = follower(network).name
    network.isolate(silent)
    network.run(2 * LOST_S + 2)
    lost = next(
        i.name for i in network.running() if i.name not in (silent, network.leader.name)
    )
    network.kill(lost)
    network.propose(b"y")
    network.heal()
    for name in ("a", lost):
        network.restart(name)
    for name in ("a", silent, lost):
        network.wait_for_repair(name)
    network.settle()
    assert members(network) == (list("abcde"), [])
    assert all(i.applied == [b"x", b"y"] for i in network.running())


def test_late_acknowledgements_do_not_count_as_silence():
    membership = pb.Membership(cluster_id="x")
    for name in "abc":
        membership.members.add(member_id=name, name=name, voter=name != "c")
    lead = replication.Leadership("a", 1, 100.0, records.Timing())
    lead.set_membership(membership, 1, 100.0)
    assert not lead.unresponsive_learners(100.0 + LOST_S - 0.1)
    assert lead.unresponsive_learners(100.0 + LOST_S) == ["c"]
    lead.record_reply("c", replication.round_of(100.0), 103.0)
    lead.record_reply("b", replication.round_of(103.0), 103.0)
    assert not lead.unresponsive_learners(103.0 + LOST_S - 0.1)
    assert not lead.is_up("c", 103.0)
    lead.set_membership(membership, 5, 105.0)
    assert lead.unresponsive_learners(103.0 + LOST_S) == ["c"]


def test_a_learner_does_not_wait_for_a_leader_that_sends_nothing():
    network = fakes.Network("abc", seed=38)
    learner = add_learner(network, "d")
    network.auto_repair = False
    network.settle()
    assert learner.replica.leader_id == network.leader.identity.member_id
    leader = network.leader
    member_id = learner.identity.member_id
    leader.handle(leader.replica.remove_member, member_id)
    network.run(network.timing.election_max_s + 0.1)
    assert learner.replica.leader_id == ""
    assert learner.replica.role is records.Role.LEARNER
    leader.handle(leader.replica.add_learner, learner.identity.member())
    network.settle()
    assert learner.replica.leader_id == leader.identity.member_id


def test_a_pause_does_not_begin_the_transfer_of_a_snapshot_anew():
    timing = records.Timing(snapshot_entries=20, kept_entries=5, chunk_bytes=64)
    network = fakes.Network("abc", seed=39, timing=timing)
    for n in range(200):
        network.propose(b"%d" % n)
    network.keep_sent = True

    def offsets():
        return [
            m.snapshot_reply.next_offset
            for m in network.sent
            if m.HasField("snapshot_reply")
        ]

    learner = network.add("d")
    assert network.run(5, lambda: max(offsets(), default=0) >= 256)
    network.isolate("d")
    network.run(LOST_S - 1)
    assert learner.replica.leader_id == ""
    network.sent.clear()
    network.heal()
    assert network.run(1, offsets)
    assert min(offsets()) >= 256
    network.wait_for_repair("d")
