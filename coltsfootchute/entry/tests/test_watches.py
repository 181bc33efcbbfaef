"""Guards against a view that reverts to an older state or is no longer updated."""

import asyncio
import collections
import contextlib
import functools
import json
import os

import pytest

from coltsfootchute.control import feed_streams, feeds
from coltsfootchute.control import links as control_links
from coltsfootchute.entry import sources, watches
from coltsfootchute.entry.tests import fakes
from coltsfootchute.standins import links

pb = fakes.pb
ApplyResult = watches.ApplyResult


def section(revision, percent):
    document = {"rules": fakes.RULES, "retry_budget_percent": percent}
    body = pb.SectionInForce(name="shop", document=json.dumps(document))
    return pb.FeedChange(revision=revision, section=body)


def message(revision, *changes, cluster="c1", age_ms=0, **more):
    return pb.FeedMessage(
        cluster_id=cluster,
        revision=revision,
        has_proof=True,
        proof_age_ms=age_ms,
        changes=changes,
        **more,
    )


def percent_in_force(view):
    return view.rule_tables["shop"].section.retry_budget_percent


def _older_full_view_is_applied(view):
    """Tell whether a source that lags behind can revert an applied change."""
    view.apply(message(7, section(7, 70), full=True), 1.0)
    view.apply(message(5, section(5, 50), full=True), 2.0)
    return percent_in_force(view) != 70 or view.revision != 7


def test_an_older_revision_is_refused():
    view = watches.View()
    assert not _older_full_view_is_applied(view)
    assert view.apply(message(6, section(6, 60)), 3.0) is ApplyResult.OLD_REVISION
    assert view.apply(message(8, section(6, 60)), 3.0) is ApplyResult.APPLIED
    assert (percent_in_force(view), view.revision) == (70, 8)


def test_the_check_of_old_revisions_detects_a_broken_rule(monkeypatch):
    """The check must fail for a view that accepts every revision."""
    monkeypatch.setattr(watches.View, "_accepts", lambda self, message: True)
    assert _older_full_view_is_applied(watches.View())


def test_a_foreign_cluster_is_refused_with_its_proof():
    view = watches.View()
    view.apply(message(7, section(7, 70)), 1.0)
    foreign = message(9, section(9, 90), cluster="c2", full=True)
    assert view.apply(foreign, 5.0) is ApplyResult.FOREIGN_CLUSTER
    assert (percent_in_force(view), view.revision) == (70, 7)
    assert view.is_stale(5.0)


@pytest.mark.parametrize(
    ("age_ms", "later_s", "stale"),
    [(0, 2.9, False), (0, 3.1, True), (2000, 0.9, False), (2000, 1.1, True)],
)
def test_staleness_counts_from_the_proof_and_not_from_the_message(
    age_ms, later_s, stale
):
    view = watches.View()
    assert view.is_stale(0.0)
    view.apply(message(1, age_ms=age_ms), 10.0)
    assert view.is_stale(10.0 + later_s) is stale


def test_an_old_proof_does_not_shorten_a_newer_one():
    view = watches.View()
    view.apply(message(1), 10.0)
    view.apply(message(1, age_ms=9000), 10.5)
    assert not view.is_stale(12.9)


def test_an_invalid_section_leaves_the_last_one_in_force():
    view = watches.View()
    view.apply(message(1, section(1, 10)), 0.0)
    body = pb.SectionInForce(name="shop", document="{")
    view.apply(message(2, pb.FeedChange(revision=2, section=body)), 0.0)
    assert percent_in_force(view) == 10


def test_a_removed_target_is_not_used():
    async def scenario(harness):
        harness.control.publish(removed_target_id="t0")
        await fakes.wait_until(lambda: not harness.entry.view.targets)
        answer = await harness.send("GET", "/shop/items/1")
        assert answer.refusal == "not_run no_target 503"

    fakes.run(scenario, fakes.respond())


@pytest.mark.parametrize("when_stale", ["serve", "refuse"])
def test_a_stale_entry_refuses_claims_and_marks_its_answers_as_stale(when_stale):
    async def scenario(harness):
        harness.entry.view.clear_proof()
        answer = await harness.order()
        assert answer.refusal == "not_run stale 503"
        answer = await harness.send("GET", "/shop/items/1")
        assert answer.status == (200 if when_stale == "serve" else 503)
        assert answer.headers["coltsfootchute-stale"] == "1"
        ready = await harness.send("GET", "/readyz", to=harness.entry.api_address)
        assert (ready.status, json.loads(ready.body)["stale"]) == (503, True)

    section = {"when_stale": when_stale}
    fakes.run(scenario, fakes.respond(), section=section)


def test_an_entry_without_control_watches_another_entry():
    async def scenario(harness):
        peer = pb.Instance(name="e1", peer_address=harness.entry.peer_address)
        harness.control.feed.set_instances([peer])
        second = fakes.daemons.Daemon(harness.settings())
        await second.start()
        await fakes.wait_until(lambda: second.view.instances and second.view.revision)
        # The second entry loses control; the first one still watches it.
        second._watcher._control = []
        second._watcher._name = "e2"
        second.view.clear_proof()
        for task in second._tasks:
            task.cancel()
        second._tasks = [asyncio.ensure_future(second._watcher.run())]
        harness.control.section("late")
        await fakes.wait_until(lambda: "late" in second.view.rule_tables)
        assert not second.view.is_stale(watches.clock())
        await second.abort()

    fakes.run(scenario)


@contextlib.asynccontextmanager
async def watching_over_a_link():
    """Run a watcher of a control instance over a link."""
    control = fakes.FakeControl()
    await control.start()
    view = watches.View()
    async with links.Link(control.address) as link:
        watcher = watches.Watcher(view, "e1", [link.address])
        task = asyncio.ensure_future(watcher.run())
        try:
            yield control, link, view
        finally:
            task.cancel()
            await asyncio.wait([task])
    await control.stop()


@pytest.mark.parametrize("is_watching", [False, True])
def test_a_view_that_takes_longer_than_the_timeouts_is_applied(is_watching):
    """Guards against an entry that starts the same long transfer again and again."""
    bytes_per_s = 100_000
    size_bytes = int(
        2 * bytes_per_s * max(watches.IDLE_TIMEOUT_S, watches.FIRST_PART_TIMEOUT_S)
    )

    async def scenario():
        async with watching_over_a_link() as (control, link, view):
            if is_watching:
                control.section("early")
                await fakes.wait_until(lambda: "early" in view.rule_tables)
            link.limit_rate(bytes_per_s, links.Direction.BACKWARD)
            failure_domain = os.urandom(size_bytes // 2).hex()
            control.publish(
                target=pb.Target(target_id="t1", failure_domain=failure_domain)
            )
            control.publish_proof()
            await fakes.wait_until(lambda: view.targets, 4 * size_bytes / bytes_per_s)
            assert link.forwarded_bytes(links.Direction.BACKWARD) < 1.5 * size_bytes

    asyncio.run(scenario())


async def publish_proofs(control):
    while True:
        control.publish_proof()
        await asyncio.sleep(0.3)


def test_pings_are_not_delayed_by_a_long_view():
    """Guards against a source that mistakes a slow link for a broken one."""
    bytes_per_s = 50_000
    ping_s = control_links.CHANNEL_CONFIG._keepalive_time
    ping_s += control_links.CHANNEL_CONFIG._keepalive_timeout
    size_bytes = int(1.5 * bytes_per_s * ping_s)
    ended_at = []

    async def watch(feed, request, send):
        try:
            await feeds.Feed.watch(feed, request, send)
        finally:
            ended_at.append(view.revision)

    async def scenario():
        nonlocal view
        async with watching_over_a_link() as (control, link, view):
            proof_task = asyncio.ensure_future(publish_proofs(control))
            control.feed.watch = functools.partial(watch, control.feed)
            link.limit_rate(bytes_per_s, links.Direction.BACKWARD)
            failure_domain = os.urandom(size_bytes // 2).hex()
            control.publish(
                target=pb.Target(target_id="t1", failure_domain=failure_domain)
            )
            await fakes.wait_until(
                lambda: view.targets or ended_at, 3 * size_bytes / bytes_per_s
            )
            assert not ended_at, "the source ended the stream"
            proof_task.cancel()

    view = None
    asyncio.run(scenario())


def test_a_process_is_stale_after_a_freeze_until_it_gets_a_new_message():
    async def scenario(harness):
        watcher = harness.entry._watcher
        assert not harness.entry.view.is_stale(watches.clock())
        watcher._check_freeze(watches.clock() + watches.FREEZE_THRESHOLD_S + 1)
        assert harness.entry.view.is_stale(watches.clock())
        # The proof in a message that waited in the socket is not used.
        harness.control.section("other")
        await fakes.wait_until(lambda: "other" in harness.entry.view.rule_tables)

    fakes.run(scenario)


def test_a_long_view_of_another_entry_is_applied_over_a_slow_link():
    bytes_per_s = 50_000
    size_bytes = int(1.5 * bytes_per_s * sources.PEER_WATCH_S)

    async def scenario():
        source = fakes.FakeControl()
        await source.start()
        failure_domain = os.urandom(size_bytes // 2).hex()
        source.publish(target=pb.Target(target_id="t1", failure_domain=failure_domain))
        view = watches.View()
        async with links.Link(source.address) as link:
            link.limit_rate(bytes_per_s, links.Direction.BACKWARD)
            # Control does not respond, but the view knows another entry.
            view.instances["e2"] = pb.Instance(name="e2", peer_address=link.address)
            watcher = watches.Watcher(view, "e1", ["127.0.0.1:9"])
            task = asyncio.ensure_future(watcher.run())
            try:
                await fakes.wait_until(
                    lambda: view.targets, 4 * size_bytes / bytes_per_s
                )
            finally:
                task.cancel()
                await asyncio.wait([task])
        await source.stop()

    asyncio.run(scenario())


def test_a_damaged_long_message_does_not_stop_the_watcher():
    async def scenario():
        source = fakes.FakeControl()
        await source.start()
        calls = []

        async def watch(request, send):
            calls.append(request)
            if len(calls) > 1:
                await type(source.feed).watch(source.feed, request, send)
            else:
                await send(pb.FeedMessage(part=b"\xff\xff", more=False))
                await asyncio.sleep(5)

        source.feed.watch = watch
        source.section("early")
        view = watches.View()
        watcher = watches.Watcher(view, "e1", [source.address])
        task = asyncio.ensure_future(watcher.run())
        try:
            await fakes.wait_until(lambda: "early" in view.rule_tables, 5)
        finally:
            task.cancel()
            await asyncio.wait([task])
            await source.stop()

    asyncio.run(scenario())


class TimedStream:
    """Fake stream that delivers each message at a given time of a fake clock."""

    def __init__(self, monkeypatch, view, *deliveries):
        self._view = view
        self._deliveries = iter(deliveries)
        self.now_s = 0.0
        for module in (watches, feed_streams):
            monkeypatch.setattr(module, "clock", lambda: self.now_s)

    async def recv_message(self):
        self.now_s, received = next(self._deliveries, (self.now_s, None))
        # The process was not frozen meanwhile.
        self._view.last_run_at = self.now_s
        return received


@pytest.mark.parametrize("took_s", [0.4, 2 * watches.MAX_PROOF_AGE_S])
@pytest.mark.parametrize("is_proof_old", [False, True])
def test_a_source_is_dropped_for_an_old_proof_and_not_for_a_long_message(
    monkeypatch, took_s, is_proof_old
):
    """Guards against an entry that changes the source after each long message."""

    async def scenario():
        view = watches.View()
        whole = message(1, section(1, 10), control_addresses=["a" * 40_000])
        began_s = watches.MAX_PROOF_AGE_S * 1.5 if is_proof_old else 0.0
        deliveries = []
        split = list(feed_streams.split(whole))
        for number, part in enumerate(split):
            arrival_s = began_s + took_s * number / (len(split) - 1)
            # The source last proved that it is current when the watch began.
            part.proof_age_ms = int(arrival_s * 1000)
            deliveries.append((arrival_s, part))
        stream = TimedStream(monkeypatch, view, *deliveries)
        watcher = watches.Watcher(view, "e1", ["127.0.0.1:9"])
        end, _ = await watcher._receive(sources.Source("127.0.0.1:9"), stream)
        assert percent_in_force(view) == 10
        assert (end is sources.End.OUTDATED) is is_proof_old

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def running_watchers(controls, instances=()):
    """Run 16 watchers with the same sources in the same order."""
    watchers = [watches.Watcher(watches.View(), f"e{i}", controls) for i in range(16)]
    for watcher in watchers:
        watcher._view.instances = {i.name: i for i in instances}
    tasks = [asyncio.ensure_future(watcher.run()) for watcher in watchers]
    try:
        yield watchers
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


def test_entries_do_not_all_ask_the_same_other_entry_when_control_is_lost():
    """Guards against a link overloaded by sending the view to all other entries."""
    source_by_watcher = {}

    async def watch(name, request, send):
        source_by_watcher.setdefault(request.watcher, name)
        await asyncio.sleep(watches.FIRST_PART_TIMEOUT_S)

    async def scenario():
        peers = {f"e{i}": fakes.FakeControl() for i in range(16)}
        for name, peer in peers.items():
            await peer.start()
            peer.feed.watch = functools.partial(watch, name)
        instances = [
            pb.Instance(name=name, peer_address=peer.address)
            for name, peer in peers.items()
        ]
        async with running_watchers(["127.0.0.1:9"], instances):
            await fakes.wait_until(lambda: len(source_by_watcher) == len(peers))
        for peer in peers.values():
            await peer.stop()

    asyncio.run(scenario())
    _, most = collections.Counter(source_by_watcher.values()).most_common(1)[0]
    assert most <= len(source_by_watcher) / 4, source_by_watcher


def test_entries_do_not_all_watch_the_same_control_instance():
    async def scenario():
        controls = [fakes.FakeControl() for _ in range(3)]
        for control in controls:
            await control.start()
            control.section()
        addresses = [control.address for control in controls]
        async with running_watchers(addresses) as watchers:
            await fakes.wait_until(lambda: all(watcher.source for watcher in watchers))
            assert {watcher.source for watcher in watchers} == set(addresses)
        for control in controls:
            await control.stop()

    asyncio.run(scenario())


def test_a_split_of_control_does_not_keep_entries_on_an_old_state():
    """A source that was cut off from the leader was replaced by another such one."""

    async def scenario():
        controls = [fakes.FakeControl() for _ in range(5)]
        for control in controls:
            await control.start()
            control.section(retry_budget_percent=10)
        addresses = [control.address for control in controls]
        async with running_watchers(addresses) as watchers:
            views = [watcher._view for watcher in watchers]
            await fakes.wait_until(lambda: all(view.revision == 1 for view in views))
            for control in controls:
                control.publish_proof()
            split_at = watches.clock()
            for control in controls[2:]:
                control.section(retry_budget_percent=20)
            while any(view.revision != 2 for view in views):
                assert watches.clock() - split_at < watches.STALE_AFTER_S
                await asyncio.sleep(0.05)
                for control in controls[2:]:
                    control.publish_proof()
            minority = [w for w in watchers if w.source in addresses[:2]]
            assert not minority
        for control in controls:
            await control.stop()

    asyncio.run(scenario())
