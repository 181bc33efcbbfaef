"""Guards against a request that crashes one target after another."""

import pytest

from coltsfootchute.balancing import quarantines

DIGEST = b"d"


def digest(**changes):
    request = {
        "service": "s",
        "method": "GET",
        "path": "/a",
        "query": "",
        "body": b"x",
    }
    return quarantines.digest_of(**{**request, **changes})


def test_second_crash_on_another_target_quarantines():
    guard = quarantines.CrashGuard()
    assert guard.record_crash(DIGEST, "t1", 0.0, 1, 1.0)
    assert not guard.is_quarantined(DIGEST, 1.0)
    second = guard.record_crash(DIGEST, "t2", 1.1, 2, 2.0)
    assert second.started_revision == 2
    # The log needs them for a retry that started before it had the first crash.
    assert second.earlier_target_ids == {"t1"}
    assert guard.is_quarantined(DIGEST, 2.0)


@pytest.mark.parametrize(
    ("target_id", "started_s"), [("t1", 1.1), ("t2", 0.9)], ids=["same", "earlier"]
)
def test_innocent_requests_are_not_quarantined(target_id, started_s):
    """Targets that fail at once would otherwise condemn what they ran."""
    guard = quarantines.CrashGuard()
    guard.record_crash(DIGEST, "t1", 0.0, 1, 1.0)
    assert guard.record_crash(DIGEST, target_id, started_s, 1, 2.0) is None
    assert not guard.is_quarantined(DIGEST, 2.0)


def test_a_complete_response_clears_the_count():
    guard = quarantines.CrashGuard()
    guard.record_crash(DIGEST, "t1", 0.0, 1, 1.0)
    assert guard.clear_count(DIGEST)
    assert not guard.clear_count(DIGEST)
    guard.record_crash(DIGEST, "t2", 1.1, 1, 2.0)
    assert not guard.is_quarantined(DIGEST, 2.0)


def test_a_late_response_does_not_end_a_quarantine():
    guard = quarantines.CrashGuard()
    guard.apply_record(DIGEST, {"t1", "t2"}, True, 1.0)
    assert not guard.clear_count(DIGEST)
    assert guard.is_quarantined(DIGEST, 2.0)


def test_a_crash_learned_from_the_log_counts_as_the_first():
    """Each entry would otherwise sacrifice two targets of its own."""
    guard = quarantines.CrashGuard()
    guard.apply_record(DIGEST, {"t1"}, False, 1.0)
    guard.record_crash(DIGEST, "t2", 1.1, 7, 2.0)
    assert guard.is_quarantined(DIGEST, 2.0)


def test_a_record_ends_after_its_time_and_memory_is_bounded():
    guard = quarantines.CrashGuard()
    guard.apply_record(DIGEST, {"t1", "t2"}, True, 0.0)
    for number in range(quarantines.MAX_DIGESTS + 10):
        guard.record_crash(str(number).encode(), "t", 0.0, 1, 0.0)
    assert len(guard._records) == quarantines.MAX_DIGESTS
    assert guard.is_quarantined(DIGEST, quarantines.MEMORY_S - 1)
    assert not guard.is_quarantined(DIGEST, quarantines.MEMORY_S)


def test_digests_separate_fields_and_bodies():
    """Joined fields would mix up requests, and quarantine innocent ones."""
    digests = [
        digest(),
        digest(path="/", query="a"),
        digest(path="/a", query="x", body=b""),
        digest(body=None, length=1),
        digest(body=None, length=1, content_type="text/plain"),
        digest(body=b"1 "),
    ]
    assert len(set(digests)) == len(digests)
    assert digest() == digest()
