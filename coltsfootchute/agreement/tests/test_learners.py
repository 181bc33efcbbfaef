"""Guards against unresponsive learners that block membership changes."""

import string

import pytest

from coltsfootchute.agreement import memberships, records, replication
from coltsfootchute.agreement.tests import fakes
from coltsfootchute.proto import coltsfootchute_pb2 as pb

LEARNER_TIMEOUT_S = records.Timing().learner_timeout_s


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


def add_killed_learner(network, name):
    """Add a learner that is killed before its promotion."""
    instance = add_learner(network, name)
    kill_learner(network, name)
    return instance


def kill_learner(network, name):
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


def voter_removed(network, name):
    return lambda: network.leader and not network.is_voter(name)


@pytest.mark.parametrize("seed", range(3))
def test_unresponsive_learners_do_not_block_new_members(seed):
    network = fakes.Network("abcde", seed)
    for name in string.ascii_lowercase[5 : memberships.MEMBERS_MAX]:
        add_killed_learner(network, name)
    assert len(network.leader.replica.membership.members) == memberships.MEMBERS_MAX
    network.add("z")
    network.wait_for_repair("z")
    network.run(3 * LEARNER_TIMEOUT_S)
    assert members(network) == (list("abcdez"), [])


@pytest.mark.parametrize("seed", range(3))
def test_several_unresponsive_learners_do_not_prevent_the_removal_of_a_lost_voter(seed):
    network = fakes.network_with_excess_voter(seed)
    for name in "gh":
        add_killed_learner(network, name)
    killed = follower(network).name
    network.kill(killed)
    network.run(2 * LEARNER_TIMEOUT_S + 2)
    voters = [name for name in "abcdef" if name != killed]
    assert members(network) == (voters, [])


def test_a_new_learner_is_not_removed_before_its_timeout():
    network = fakes.Network("abc", seed=31)
    network.run(20)
    learner = network.add("d")
    network.isolate("d")
    assert network.run(1, lambda: members(network)[1] == ["d"])
    network.run(LEARNER_TIMEOUT_S - 0.5)
    assert members(network)[1] == ["d"]
    network.heal()
    network.wait_for_repair("d")
    assert learner.replica.role is not records.Role.LEARNER


def test_a_new_leader_restarts_the_timeout_of_learners():
    network = fakes.Network("abc", seed=32)
    add_killed_learner(network, "d")
    network.run(LEARNER_TIMEOUT_S - 1.5)
    first = network.wait_for_leader()
    network.kill(first.name)
    assert network.wait_for_leader() is not first
    network.run(LEARNER_TIMEOUT_S - 1.0)
    assert members(network)[1] == ["d"]
    network.run(2.0)
    assert members(network) == (list("abc"), [])


def test_an_unresponsive_learner_is_removed_despite_leader_changes():
    network = fakes.Network("abc", seed=33)
    add_killed_learner(network, "d")
    for _ in range(3):
        leader = network.wait_for_leader()
        leader.handle(leader.replica.transfer)
        assert network.run(5, lambda old=leader: network.leader not in (None, old))
        network.run(LEARNER_TIMEOUT_S / 2)
    assert members(network)[1] == ["d"]
    network.run(LEARNER_TIMEOUT_S)
    assert members(network) == (list("abc"), [])


@pytest.mark.parametrize("power_lost", [True, False])
def test_a_removed_learner_that_restarts_joins_again(power_lost):
    network = fakes.Network("abc", seed=34)
    learner = add_killed_learner(network, "d")
    network.propose(b"x")
    network.run(LEARNER_TIMEOUT_S + 1)
    assert members(network) == (list("abc"), [])
    network.restart("d", power_lost)
    network.wait_for_repair("d")
    network.settle()
    assert learner.applied == [b"x"]


@pytest.mark.parametrize("sends", [True, False])
@pytest.mark.parametrize("seed", range(3))
def test_a_learner_cut_off_one_way_does_not_prevent_the_removal_of_a_lost_voter(
    seed, sends
):
    """The learner is removed and rejoins repeatedly; the log must not grow fast."""
    network = fakes.network_with_excess_voter(seed)
    network.propose(b"x")
    learner = add_learner(network, "g")
    for name in "abcdef":
        network.cuts.add(("g", name) if sends else (name, "g"))
    killed = follower(network).name
    network.kill(killed)
    assert network.run(3 * LEARNER_TIMEOUT_S, voter_removed(network, killed))
    network.run(3 * LEARNER_TIMEOUT_S)
    size = network.leader.replica.log.last_index
    network.run(10 * LEARNER_TIMEOUT_S)
    # At most one removal and one addition within each timeout for learners.
    assert network.leader.replica.log.last_index - size <= 2 * 10
    network.heal()
    network.wait_for_repair("g")
    network.settle()
    assert learner.applied == [b"x"]


def test_a_learner_that_returns_in_time_prevents_the_removal_of_a_voter():
    network = fakes.Network("abcde", seed=36)
    network.propose(b"x")
    replace_disk(network, "a")
    kill_learner(network, "a")
    isolated = follower(network).name
    network.isolate(isolated)
    assert not network.run(LEARNER_TIMEOUT_S - 1.5, voter_removed(network, isolated))
    assert members(network) == (list("bcde"), ["a"])
    network.restart("a")
    assert not network.run(30, voter_removed(network, isolated))
    assert members(network) == (list("abcde"), [])


def test_a_learner_that_is_not_promoted_does_not_keep_an_excess_voter_that_is_gone():
    """It isn't promoted, because a voter that is up has the same instance name."""
    network = fakes.network_with_excess_voter(seed=37)
    leader = network.wait_for_leader()
    twin = network.add(leader.name)
    network.instances[leader.name], network.instances["twin"] = leader, twin
    twin.name = "twin"
    network.run(1)
    isolated = next(i.name for i in network.running() if i not in (leader, twin))
    network.isolate(isolated)
    assert network.run(LEARNER_TIMEOUT_S, voter_removed(network, isolated))
    assert members(network)[1] == [leader.name]
    assert not network.is_voter("twin")


@pytest.mark.parametrize("seed", range(3))
def test_voters_that_are_only_down_stay_with_a_lost_learner_and_an_isolated_voter(seed):
    """A majority of three of the five instances would bear one loss less."""
    network = fakes.Network("abcde", seed)
    network.propose(b"x")
    replace_disk(network, "a")
    kill_learner(network, "a")
    isolated = follower(network).name
    network.isolate(isolated)
    network.run(2 * LEARNER_TIMEOUT_S + 2)
    assert members(network) == (list("bcde"), [])
    network.propose(b"y")
    killed = next(
        i.name
        for i in network.running()
        if i.name not in (isolated, network.leader.name)
    )
    network.kill(killed)
    network.run(LEARNER_TIMEOUT_S)
    network.heal()
    for name in ("a", killed):
        network.restart(name)
    for name in ("a", isolated, killed):
        network.wait_for_repair(name)
    network.settle()
    assert members(network) == (list("abcde"), [])
    assert all(i.applied == [b"x", b"y"] for i in network.running())


def test_late_acknowledgements_restart_the_timeout_of_a_learner():
    membership = pb.Membership(cluster_id="x")
    for name in "abc":
        membership.members.add(member_id=name, name=name, voter=name != "c")
    leadership = replication.Leadership("a", 1, 100.0, records.Timing())
    leadership.set_membership(membership, 1, 100.0)
    assert not leadership.unresponsive_learners(100.0 + LEARNER_TIMEOUT_S - 0.1)
    assert leadership.unresponsive_learners(100.0 + LEARNER_TIMEOUT_S) == ["c"]
    leadership.record_reply("c", replication.round_of(100.0), 103.0)
    leadership.record_reply("b", replication.round_of(103.0), 103.0)
    assert not leadership.unresponsive_learners(103.0 + LEARNER_TIMEOUT_S - 0.1)
    assert not leadership.is_up("c", 103.0)
    leadership.set_membership(membership, 5, 105.0)
    assert leadership.unresponsive_learners(103.0 + LEARNER_TIMEOUT_S) == ["c"]


def test_a_removed_learner_forgets_its_leader_after_the_election_timeout():
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


def test_a_pause_does_not_restart_a_snapshot_transfer():
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
    network.run(LEARNER_TIMEOUT_S - 1)
    assert learner.replica.leader_id == ""
    network.sent.clear()
    network.heal()
    assert network.run(1, offsets)
    assert min(offsets()) >= 256
    network.wait_for_repair("d")
