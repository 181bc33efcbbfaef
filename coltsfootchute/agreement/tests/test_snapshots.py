"""Guards against snapshots that change the state or grow without bound."""

from coltsfootchute.agreement import records, snapshots
from coltsfootchute.agreement.tests import fakes
from coltsfootchute.proto import coltsfootchute_pb2 as pb

SMALL = records.Timing(snapshot_entries=20, kept_entries=5, chunk_bytes=64)


def test_a_lagging_follower_receives_a_snapshot_over_a_lossy_link():
    network = fakes.Network(seed=1, timing=SMALL)
    leader = network.wait_for_leader()
    lagging = next(i for i in network.running() if i is not leader)
    network.kill(lagging.name)
    payloads = [b"%d" % n for n in range(200)]
    for payload in payloads:
        network.propose(payload)
    network.loss, network.duplication, network.delay_max = 0.05, 0.2, 0.05
    network.keep_sent = True
    network.restart(lagging.name)
    network.settle(60)
    chunks = {
        m.snapshot_chunk.offset for m in network.sent if m.HasField("snapshot_chunk")
    }
    assert len(chunks) > 5
    assert lagging.replica.log.snapshot_index > 100
    assert lagging.applied == payloads


def test_a_restart_reads_a_bounded_number_of_entries():
    network = fakes.Network(seed=2, timing=SMALL)
    for n in range(300):
        network.propose(b"%d" % n)
    network.settle()
    for name in "abc":
        network.kill(name)
        network.restart(name)
        saved = network.instances[name].store.saved
        assert len(saved.entries) <= 2 * SMALL.snapshot_entries
        assert saved.snapshot.meta.index > 260
        assert len(network.instances[name].disk.files) <= 5
    network.wait_for_leader()
    network.settle()


def test_chunks_out_of_order_or_of_another_snapshot_are_not_mixed():
    old = records.Snapshot(pb.SnapshotMeta(index=5, term=1), b"old old")
    new = records.Snapshot(pb.SnapshotMeta(index=9, term=1), b"new state")
    incoming = snapshots.SnapshotAssembler()
    first, second = (snapshots.make_chunk(new, n, 5, 0) for n in (0, 5))
    assert incoming.add(second) is None and incoming.next_offset == 0
    assert incoming.add(first) is None
    assert incoming.add(first) is None and incoming.next_offset == 5
    assert incoming.add(snapshots.make_chunk(old, 0, 5, 0)) is None
    assert incoming.add(second) is None
    assert incoming.add(first) is None
    assert incoming.add(second) == new


def test_large_entries_before_a_snapshot_are_not_kept_in_memory():
    timing = records.Timing(snapshot_bytes=4000, kept_bytes=1000)
    network = fakes.Network(seed=3, timing=timing)
    lagging = next(i for i in network.running() if i is not network.wait_for_leader())
    network.kill(lagging.name)
    payloads = [b"%100d" % n for n in range(150)]
    for payload in payloads:
        network.propose(payload)
    for instance in network.running():
        log = instance.replica.log
        held = log.between(log.base_index + 1, log.snapshot_index)
        assert log.snapshot_index > 100
        assert 0 < sum(len(entry.payload) for entry in held) <= 1000
    network.restart(lagging.name)
    network.settle()
    assert lagging.applied == payloads
