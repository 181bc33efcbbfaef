"""Guards against lost, invented or silently damaged state after a crash."""

import itertools
import random

import pytest

from coltsfootchute import errors
from coltsfootchute.agreement import records, stores
from coltsfootchute.agreement.tests import fakes
from coltsfootchute.proto import coltsfootchute_pb2 as pb

FIRST = records.Snapshot(
    pb.SnapshotMeta(index=1, term=1, membership=pb.Membership(cluster_id="x"))
)


def entries(first, last, term=1):
    return [
        pb.LogEntry(index=n, term=term, kind=pb.ENTRY_KIND_COMMAND, payload=b"%d" % n)
        for n in range(first, last + 1)
    ]


def filled(disk=None, folder="f"):
    store = stores.FileStore(folder, "a", disk or fakes.MemoryDisk())
    store.append(pb.HardState(term=1), [], FIRST)
    store.append(None, entries(2, 5))
    store.append(pb.HardState(term=2, voted_for="b"), entries(4, 6, term=2))
    return store


def log_path(disk):
    return max(p for p in disk.files if "log-" in p)


def test_what_was_stored_is_read_back_from_local_files(tmp_path):
    folder = str(tmp_path / "data")
    store = stores.FileStore(folder, "a")
    store.append(pb.HardState(term=1), [], FIRST)
    store.append(None, entries(2, 5))
    store.append(pb.HardState(term=2, voted_for="b"), entries(4, 6, term=2))
    with pytest.raises(errors.FolderInUseError):
        stores.FileStore(folder, "a")
    store.close()
    again = stores.FileStore(folder, "a")
    assert again.member_id == store.member_id
    assert again.saved.hard_state == pb.HardState(term=2, voted_for="b")
    assert again.saved.snapshot == FIRST
    assert again.saved.entries == entries(2, 3) + entries(4, 6, term=2)
    meta = pb.SnapshotMeta(index=5, term=2, membership=FIRST.meta.membership)
    again.save_snapshot(records.Snapshot(meta, b"state"))
    again.close()
    assert stores.FileStore(folder, "a").saved.snapshot.data == b"state"


def test_a_torn_last_record_is_cut_off_at_any_byte():
    disk = fakes.MemoryDisk()
    store = filled(disk)
    path, before = log_path(disk), len(disk.files[log_path(disk)])
    store.append(None, entries(7, 9, term=2))
    whole = bytes(disk.files[path])
    for size, tear in itertools.product(range(before, len(whole)), (False, True)):
        content = bytearray(whole[:size])
        if tear and size > before:
            content[-1] ^= 0xFF
        disk.files[path][:] = content
        saved = stores.FileStore("f", "a", disk).saved
        assert saved.entries[-1].index == 6
        assert len(disk.files[path]) == before


def test_a_torn_batch_whose_first_part_is_missing_is_cut_off():
    disk = fakes.MemoryDisk()
    store = filled(disk)
    path, before = log_path(disk), len(disk.files[log_path(disk)])
    store.append(None, entries(7, 99, term=2))
    disk.files[path][before : before + 512] = bytes(512)
    assert stores.FileStore("f", "a", disk).saved.entries[-1].index == 6


def test_damage_before_the_last_record_is_refused_at_any_byte():
    disk = fakes.MemoryDisk()
    filled(disk)
    store = stores.FileStore("f", "a", disk)
    path, end = log_path(disk), len(disk.files[log_path(disk)])
    store.append(None, entries(7, 7, term=2))
    for position in range(end):
        disk.files[path][position] ^= 0x41
        with pytest.raises(errors.DamagedStoreError):
            stores.FileStore("f", "a", disk)
        disk.files[path][position] ^= 0x41
    assert stores.FileStore("f", "a", disk).saved.entries[-1].index == 7


@pytest.mark.parametrize("part", ["snapshot-", "identity"])
def test_damage_of_other_files_is_refused(part):
    disk = fakes.MemoryDisk()
    filled(disk)
    path = next(p for p in disk.files if part in p)
    disk.files[path][-1] ^= 1
    with pytest.raises(errors.DamagedStoreError):
        stores.FileStore("f", "a", disk)
    del disk.files[path]
    with pytest.raises(errors.DamagedStoreError):
        stores.FileStore("f", "a", disk)


def test_a_failed_sync_makes_the_store_unusable():
    disk = fakes.MemoryDisk()
    store = filled(disk)
    disk.failures = 1
    with pytest.raises(errors.SyncError):
        store.append(None, entries(7, 7, term=2))
    with pytest.raises(errors.SyncError):
        store.append(None, entries(7, 7, term=2))
    with pytest.raises(errors.SyncError):
        store.save_snapshot(FIRST)


def test_a_rewritten_log_survives_a_crash_after_a_failed_sync():
    """What was read back from memory after a failed sync must become durable."""
    disk = fakes.MemoryDisk()
    store = filled(disk)
    disk.failures = 1
    with pytest.raises(errors.SyncError):
        store.append(pb.HardState(term=2), entries(7, 9, term=2))
    store.close()
    again = stores.FileStore("f", "a", disk)
    kept = [entry.index for entry in again.saved.entries]
    assert kept[-1] == 9, "the failed write is not in memory, so nothing is shown"
    again.rewrite(again.saved)
    disk.crash()
    last = stores.FileStore("f", "a", disk).saved
    assert [entry.index for entry in last.entries] == kept
    assert last.hard_state.term == 2


def killed(disk, step, event):
    """Run an event in which the process is killed, its files as they were."""
    disk.crash_at = step
    try:
        event()
    except KeyboardInterrupt:
        return True
    finally:
        disk.crash_at = float("inf")
    return False


@pytest.mark.parametrize("seed", range(6))
def test_an_entry_read_after_a_kill_before_its_sync_survives_a_crash(seed):
    """A replica acknowledges what it started from without writing it again."""
    disk = fakes.MemoryDisk(random.Random(seed))
    store = filled(disk)
    assert killed(disk, 1, lambda: store.append(None, entries(7, 9, term=2)))
    assert disk.has_unsynced()
    read = stores.FileStore("f", "a", disk).saved
    assert read.entries[-1].index == 9, "the write was not read back"
    disk.crash()
    assert stores.FileStore("f", "a", disk).saved == read


@pytest.mark.parametrize("seed", range(6))
def test_a_vote_read_after_a_kill_before_its_sync_survives_a_crash(seed):
    disk = fakes.MemoryDisk(random.Random(seed))
    store = filled(disk)
    vote = pb.HardState(term=3, voted_for="c")
    assert killed(disk, 1, lambda: store.append(vote, []))
    assert stores.FileStore("f", "a", disk).saved.hard_state == vote
    disk.crash()
    assert stores.FileStore("f", "a", disk).saved.hard_state == vote


@pytest.mark.parametrize("received", [True, False])
def test_a_crash_after_a_kill_at_any_step_of_a_snapshot_loses_nothing(received):
    """Names without a sync of their folder may be lost after they were read."""
    meta = pb.SnapshotMeta(index=5, term=3 if received else 2)
    snapshot = records.Snapshot(meta, b"state")
    reached = set()
    for step, seed in itertools.product(range(14), range(12)):
        disk = fakes.MemoryDisk(random.Random(seed))
        store = filled(disk)
        if received:
            write = lambda s=store: s.append(  # noqa: E731
                pb.HardState(term=3), entries(6, 7, term=3), snapshot
            )
        else:
            write = lambda s=store: s.save_snapshot(snapshot)  # noqa: E731
        was_killed = killed(disk, step, write)
        read = stores.FileStore("f", "a", disk).saved
        reached.add((was_killed, read.snapshot == snapshot))
        disk.crash()
        assert stores.FileStore("f", "a", disk).saved == read
    assert reached >= {(True, False), (True, True)}


@pytest.mark.parametrize("seed", range(24))
def test_a_replaced_log_with_a_torn_end_may_reappear(seed):
    """The removal of a log whose last write failed may be lost in a crash."""
    disk = fakes.MemoryDisk(random.Random(seed))
    store = filled(disk)
    file = disk.files[log_path(disk)]
    stored = len(file)
    disk.failures = 1
    with pytest.raises(errors.SyncError):
        store.append(None, entries(7, 9, term=2))
    again = stores.FileStore("f", "a", disk)
    kept = again.saved.entries
    disk.synced_sizes[id(file)] = stored  # A sync after a failed one proves nothing.
    again.rewrite(again.saved)
    disk.crash()
    assert stores.FileStore("f", "a", disk).saved.entries == kept


def test_an_append_costs_one_sync():
    disk = fakes.MemoryDisk()
    store = filled(disk)
    before = disk.syncs
    store.append(pb.HardState(term=3), entries(7, 200, term=3))
    assert disk.syncs == before + 1


def test_data_of_another_instance_is_set_aside(tmp_path):
    first = stores.FileStore(str(tmp_path), "a")
    first.append(pb.HardState(term=9, voted_for="x"), [], FIRST)
    first.close()
    second = stores.FileStore(str(tmp_path), "b")
    assert second.member_id != first.member_id
    assert not second.saved.formed and second.saved.hard_state.term == 0
    assert len(list((tmp_path / f"foreign-{first.member_id}").iterdir())) == 3


@pytest.mark.parametrize("received", [True, False])
def test_a_kill_at_any_step_of_a_snapshot_loses_nothing(received):
    """A received snapshot conflicts with the log; an own one covers a part of it."""
    meta = pb.SnapshotMeta(index=5, term=3 if received else 2)
    snapshot = records.Snapshot(meta, b"state")
    reached = set()
    for step, seed in itertools.product(range(14), range(3)):
        disk = fakes.MemoryDisk(random.Random(seed))
        store = filled(disk)
        disk.crash_at = step
        done = False
        try:
            if received:
                store.append(pb.HardState(term=3), entries(6, 7, term=3), snapshot)
            else:
                store.save_snapshot(snapshot)
            done = True
        except KeyboardInterrupt:
            pass
        disk.crash()
        saved = stores.FileStore("f", "a", disk).saved
        new = saved.snapshot == snapshot
        reached.add((done, new))
        terms = {e.index: e.term for e in saved.entries if e.index > 5}
        if not received or not new:
            assert terms == {6: 2}
            assert saved.hard_state.term == 2
        else:
            assert terms in ({}, {6: 3, 7: 3})
        if done:
            assert new and (not received or terms == {6: 3, 7: 3})
    assert reached == {(False, False), (False, True), (True, True)}
