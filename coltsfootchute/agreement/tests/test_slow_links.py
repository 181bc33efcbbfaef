"""Guards against needless retransmission to a follower behind a slow link."""

import pytest

from coltsfootchute.agreement import records
from coltsfootchute.agreement.tests import fakes

MESSAGE_BYTES = 8000
# Sending one message takes longer than a heartbeat interval.
BYTES_PER_S = MESSAGE_BYTES / (2.5 * records.Timing.heartbeat_s)
PAYLOADS = [b"%100d" % n for n in range(400)]


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("snapshot_entries", [50, 1000], ids=["snapshot", "entries"])
def test_a_follower_behind_a_slow_link_catches_up(seed, snapshot_entries):
    timing = records.Timing(
        snapshot_entries=snapshot_entries,
        kept_entries=5,
        chunk_bytes=MESSAGE_BYTES,
        max_append_bytes=MESSAGE_BYTES,
    )
    network = fakes.Network(seed=seed, timing=timing)
    leader = network.wait_for_leader()
    lagging = next(i for i in network.running() if i is not leader)
    network.kill(lagging.name)
    network.propose(*PAYLOADS)
    network.run(1.0)
    assert (leader.replica.log.base_index > 300) is (snapshot_entries == 50)
    network.rates[leader.name, lagging.name] = BYTES_PER_S
    network.keep_sent = True
    network.restart(lagging.name)
    least_bytes = sum(map(len, PAYLOADS))
    network.settle(3 * least_bytes / BYTES_PER_S)
    assert lagging.applied == PAYLOADS
    sent = [m for m in network.sent if m.receiver == lagging.identity.member_id]
    assert sum(m.ByteSize() for m in sent) < 2 * least_bytes
    assert network.leader is leader
