"""Guards against lists of instances that are wrong, or sent whole again and again."""

import random

import pytest

from coltsfootchute.control import feeds, instance_lists
from coltsfootchute.entry import watches
from coltsfootchute.proto import coltsfootchute_pb2 as pb

WATCHERS = 100
RESTARTS = 50


def instance(number, start_ms=1, state=pb.INSTANCE_STATE_SERVING):
    host = f"10.{number % 3}.7.{number}"
    return pb.Instance(
        name=f"front-{number:03}",
        calls_address=f"{host}:8641",
        api_address=f"{host}:8640",
        peer_address=f"{host}:7621",
        failure_domain="abc"[number % 3],
        start_ms=1_796_369_346_059 + start_ms,
        state=state,
    )


class Watcher:
    """A watcher with its view, which counts the bytes that it is sent."""

    def __init__(self, accepts):
        self.view = watches.View()
        self.accepts = accepts
        self.sent_bytes = 0
        self.whole_lists = 0

    def connect(self, feed):
        self.feed = feed
        request = pb.WatchRequest(
            cluster_id=self.view.cluster_id,
            revision=self.view.revision,
            accepts_instance_changes=self.accepts,
        )
        self.progress = feeds.WatcherProgress(request)
        self.received = instance_lists.ReceivedInstances()

    def poll(self):
        message = self.feed.next_message(self.progress, 1.0)
        message = pb.FeedMessage.FromString(message.SerializeToString())
        self.sent_bytes += message.ByteSize()
        self.whole_lists += message.has_instances
        self.received.merge(message)
        result = self.view.apply(message, 1.0)
        if result is watches.ApplyResult.APPLIED:
            self.received.record_applied()
        return result


def bytes_of_restarts(accepts):
    """Return the bytes that 100 watchers are sent while 50 of them restart."""
    feed = feeds.Feed("c")
    feed.set_proof(0.0)
    known = {number: instance(number) for number in range(WATCHERS)}
    feed.set_instances(list(known.values()))
    watchers = [Watcher(accepts) for _ in known]
    for watcher in watchers:
        watcher.connect(feed)
        watcher.poll()
    start_bytes = sum(watcher.sent_bytes for watcher in watchers)
    for number in range(RESTARTS):
        steps = [
            {number: instance(number, state=pb.INSTANCE_STATE_STOPPING)},
            {number: None},
            {number: instance(number, 2)},
        ]
        for step in steps:
            known |= step
            feed.set_instances([i for i in known.values() if i is not None])
            if step[number] is None:
                watchers[number].connect(feed)
            for watcher in watchers:
                watcher.poll()
    expected = {i.name: i for i in known.values()}
    assert all(watcher.view.instances == expected for watcher in watchers)
    streams = [2] * RESTARTS + [1] * (WATCHERS - RESTARTS)
    assert not accepts or [watcher.whole_lists for watcher in watchers] == streams
    return sum(watcher.sent_bytes for watcher in watchers) - start_bytes


def test_restarts_cost_a_small_part_of_whole_lists():
    """75 restarts of 128 entries cost 115 MB, a large part of it between domains."""
    before, after = bytes_of_restarts(accepts=False), bytes_of_restarts(accepts=True)
    print(f"{before / 1e6:.1f} MB before, {after / 1e6:.2f} MB after")
    assert after < before / 40


def new_sources(published):
    sources = [feeds.Feed("c"), feeds.Feed("c")]
    for feed in sources:
        feed.set_proof(0.0)
        feed._instances = published()
        feed.set_instances([])
    return sources


def change_list(known, rng):
    """Add, change or remove an instance, or do nothing."""
    number = rng.randrange(8)
    if rng.random() < 0.5:
        return
    if number in known and rng.random() < 0.5:
        del known[number]
    else:
        known[number] = instance(number, rng.randrange(3))


def simulate(seed, published=instance_lists.PublishedInstances):
    """Move watchers between two sources, one of which lags behind, and compare."""
    rng, known, revision = random.Random(seed), {}, 0
    sources = new_sources(published)
    watchers = [Watcher(accepts) for accepts in (True, True, False)]
    for watcher in watchers:
        watcher.connect(sources[0])
    for _ in range(300):
        change_list(known, rng)
        for feed in sources:
            feed.set_instances([known[n] for n in sorted(known)])
        if rng.random() < 0.1:
            revision += 1
            sources[0].publish([], revision)
        if rng.random() < 0.1:
            sources[1].publish([], revision)
        for watcher in watchers:
            if rng.random() < 0.1:
                watcher.connect(rng.choice(sources))
            if rng.random() < 0.7:
                result = watcher.poll()
                if result is watches.ApplyResult.APPLIED:
                    expected = {i.name: i for i in known.values()}
                    assert watcher.view.instances == expected, "wrong list"


def test_lists_stay_equal_over_streams_and_lagging_sources(monkeypatch):
    monkeypatch.setattr(instance_lists, "MAX_REMOVED", 2)
    for seed in range(10):
        simulate(seed)


class ForgetsDroppedRemovals(instance_lists.PublishedInstances):
    def replace(self, instances):
        changed = super().replace(instances)
        self._dropped_version = 0
        return changed


class ForgetsIgnoredMessages(instance_lists.ReceivedInstances):
    def merge(self, message):
        super().merge(message)
        self.record_applied()


@pytest.mark.parametrize("broken", [ForgetsDroppedRemovals, ForgetsIgnoredMessages])
def test_the_check_rejects_lost_changes(monkeypatch, broken):
    monkeypatch.setattr(instance_lists, "MAX_REMOVED", 2)
    published = instance_lists.PublishedInstances
    if issubclass(broken, published):
        published = broken
    else:
        monkeypatch.setattr(instance_lists, "ReceivedInstances", broken)
    with pytest.raises(AssertionError, match="wrong list"):
        for seed in range(10):
            simulate(seed, published)
