"""What watchers learn from a feed."""

import asyncio
import random

import pytest

from coltsfootchute.control import feed_streams, feeds
from coltsfootchute.proto import coltsfootchute_pb2 as pb


class View:
    """A watcher that reconnects with the revision that it has."""

    def __init__(self):
        self.cluster_id = ""
        self.revision = 0
        self.states = {}
        self.full_views = 0

    def connect(self):
        request = pb.WatchRequest(cluster_id=self.cluster_id, revision=self.revision)
        self.watcher = feeds.WatcherProgress(request)

    def apply(self, message):
        self.cluster_id = message.cluster_id
        if message.full:
            self.states.clear()
            self.full_views += 1
        for change in message.changes:
            if change.WhichOneof("body") == "target":
                self.states[change.target.target_id] = change.target.state
            else:
                self.states.pop(change.removed_target_id, None)
        self.revision = max(self.revision, message.revision)


def change_randomly(truth: dict, revision: int, rng: random.Random) -> pb.FeedChange:
    name = f"t{rng.randrange(8)}"
    if name in truth and rng.random() < 0.4:
        del truth[name]
        return pb.FeedChange(revision=revision, removed_target_id=name)
    truth[name] = rng.randrange(3)
    target = pb.Target(target_id=name, state=truth[name])
    return pb.FeedChange(revision=revision, target=target)


def follow(kind: type, seed: int) -> int:
    """Compare watchers that come and go with the truth; return their full views."""
    rng = random.Random(seed)
    feed, truth = kind("c"), {}
    feed.set_proof(0.0)
    views = [View() for _ in range(3)]
    for view in views:
        view.connect()
    for revision in range(1, 200):
        feed.publish([change_randomly(truth, revision, rng)], revision)
        for view in views:
            if rng.random() < 0.1:
                view.connect()
            if rng.random() < 0.3:
                view.apply(feed.message(view.watcher, 1.0))
                assert view.states == truth, "the watcher missed a change"
                assert view.revision == revision
    return sum(view.full_views for view in views)


class ForgetsStart(feeds.Feed):
    def publish(self, changes, revision):
        super().publish(changes, revision)
        self._history_start = 0


def test_watchers_follow_all_changes(monkeypatch):
    # Guards against a change that is not in force at a watcher (R7).
    monkeypatch.setattr(feeds, "KEPT_REMOVALS", 2)
    assert sum(follow(feeds.Feed, seed) for seed in range(10)) > 30


def test_checker_rejects_a_lost_change(monkeypatch):
    monkeypatch.setattr(feeds, "KEPT_REMOVALS", 2)
    with pytest.raises(AssertionError, match="missed a change"):
        follow(ForgetsStart, 0)


@pytest.mark.parametrize("known", [0, 1])
def test_a_watcher_that_is_behind_is_not_sent_replaced_declarations(known):
    # Guards against a backlog that grows with each change and is never delivered.
    feed = feeds.Feed("c")
    feed.set_proof(0.0)
    for revision in range(1, 9):
        declaration = pb.Declaration(version=revision, document="x" * 100_000)
        change = pb.FeedChange(revision=revision, declaration=declaration)
        feed.publish([change], revision)
    request = pb.WatchRequest(cluster_id="c", revision=known)
    message = feed.message(feeds.WatcherProgress(request), 1.0)
    assert [c.declaration.version for c in message.changes] == [8]


def test_unproven_view_is_not_sent():
    # Guards against an old view from an instance that has just started.
    feed = feeds.Feed("c")
    watcher = feeds.WatcherProgress(pb.WatchRequest())
    assert feed.message(watcher, 5.0) is None
    feed.set_proof(4.5)
    message = feed.message(watcher, 5.0)
    assert message.full
    assert message.proof_age_ms >= 500
    feed.set_proof(3.0)
    assert feed.proof_age_s(5.0) == 0.5, "an earlier proof replaced a later one"


def test_watcher_ahead_of_a_lagging_source_is_not_reverted():
    # Guards against a revision that reverts when a watcher changes its source.
    feed = feeds.Feed("c")
    feed.set_proof(0.0)
    feed.publish([pb.FeedChange(revision=5, removed_target_id="t")], 5)
    watcher = feeds.WatcherProgress(pb.WatchRequest(cluster_id="c", revision=9))
    message = feed.message(watcher, 1.0)
    assert not message.full
    assert not message.changes
    foreign = feeds.WatcherProgress(pb.WatchRequest(cluster_id="other", revision=9))
    assert feed.message(foreign, 1.0).full


def test_instances_are_sent_once_they_are_known():
    # Guards against address responses without entries after a restart of control.
    feed = feeds.Feed("c")
    feed.set_proof(0.0)
    watcher = feeds.WatcherProgress(pb.WatchRequest())
    assert not feed.message(watcher, 1.0).has_instances
    feed.set_instances([pb.Instance(name="e1")])
    assert [i.name for i in feed.message(watcher, 1.0).instances] == ["e1"]
    assert not feed.message(watcher, 1.0).has_instances


def test_the_proof_of_a_long_message_ages_while_its_parts_are_sent(monkeypatch):
    # Guards against an entry that takes a view for current when it no longer is.
    now_s = 10.0
    ages = []
    feed = feeds.Feed("c")
    feed.set_proof(9.5)
    target = pb.Target(target_id="t", failure_domain="x" * 3 * feed_streams.PART_BYTES)
    feed.publish([pb.FeedChange(revision=1, target=target)], 1)
    monkeypatch.setattr(feeds, "clock", lambda: now_s)

    async def send(part):
        nonlocal now_s
        ages.append(part.proof_age_ms)
        now_s += 1.0
        if not part.more:
            feed.close()

    asyncio.run(feed.watch(pb.WatchRequest(), send))
    assert ages == [501, 1501, 2501, 3501]


def test_changes_are_told_in_the_order_in_which_they_were_made():
    # Guards against a watcher that acts on a removal before an earlier change.
    feed = feeds.Feed("c")
    feed.set_proof(0.0)
    for revision in range(1, 7):
        name = f"t{revision}"
        body = {"target": pb.Target(target_id=name)}
        if revision % 2:
            body = {"removed_target_id": name}
        feed.publish([pb.FeedChange(revision=revision, **body)], revision)
    watcher = feeds.WatcherProgress(pb.WatchRequest(cluster_id="c", revision=1))
    message = feed.message(watcher, 1.0)
    assert [change.revision for change in message.changes] == [2, 3, 4, 5, 6]
