"""Guards against workspaces that exceed their limit, or are refused below it."""

import types

import pytest

from coltsfootchute import quotas, settings
from coltsfootchute.balancing import allotments as rulers
from coltsfootchute.control import accounts, allotments
from coltsfootchute.control.tests import allotment_worlds
from coltsfootchute.proto import coltsfootchute_pb2 as pb

ENTRIES = allotment_worlds.ENTRIES
SOME = range(0, ENTRIES, 6)  # 17 % of the entries.
SURGE = 7.5
SIZES = [(2.0, 4.0), (20.0, 20.0), (100.0, 100.0)]


def surge(world, usual):
    world.run(8, SURGE * usual)


def surge_at_one_entry(world, usual):
    world.run(8, SURGE * usual, [5])


def delayed(world, usual):
    world.delay_s = (0.07, 0.12)
    surge(world, usual)


def cut_some(world, usual):
    for number in SOME:
        world.entries[number].is_cut = True
    world.run(2, usual)
    surge(world, usual)
    for number in SOME:
        world.entries[number].is_cut = False
    surge(world, usual)


def cut_some_as_a_surge_begins(world, usual):
    for number in SOME:
        world.entries[number].is_cut = True
    surge(world, usual)


def cut_all(world, usual):
    world.run(3, SURGE * usual)
    for entry in world.entries:
        entry.is_cut = True
    surge(world, usual)
    for entry in world.entries:
        entry.is_cut = False
    surge(world, usual)


def cut_all_while_idle(world, usual):
    for entry in world.entries:
        entry.is_cut = True
    world.run(60, 0.001)
    surge(world, usual)


def two_owners(world, usual):
    for entry in world.entries[::2]:
        entry.lost.add(0)
    world.run(3, usual)
    surge(world, usual)


def owner_killed_and_replaced(world, usual):
    world.run(3, SURGE * usual)
    world.owners[0].is_up = False
    # Their streams are reset, so all entries turn to the next owner at once.
    for entry in world.entries:
        entry.connect(1)
    world.run(5, SURGE * usual)
    world.owners[0].is_up = True
    world.owners[0].restart()
    surge(world, usual)


def frozen(world, usual):
    world.run(3, SURGE * usual)
    for number in SOME:
        world.entries[number].frozen_until = world.now + 4
    surge(world, usual)


def all_restarted(world, usual):
    world.run(3, SURGE * usual)
    for entry in world.entries:
        entry.restart()
    surge(world, usual)


SCENARIOS = [
    surge,
    surge_at_one_entry,
    delayed,
    cut_some,
    cut_some_as_a_surge_begins,
    cut_all,
    cut_all_while_idle,
    two_owners,
    owner_killed_and_replaced,
    frozen,
    all_restarted,
]


@pytest.mark.parametrize("size", SIZES, ids=str)
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.__name__)
def test_a_workspace_stays_within_its_limit(scenario, size):
    """No fault may let more requests run in any 5 s than the bound of the page."""
    world = allotment_worlds.World(*size, seed=7)
    usual = 0.75 * size[0]
    world.run(6, usual)
    scenario(world, usual)
    assert world.refused, "the limit was not reached"
    assert world.worst() <= world.limits["w"].bound


@pytest.mark.parametrize("number", [None, 5], ids=["spread", "one_entry"])
@pytest.mark.parametrize("size", SIZES, ids=str)
def test_nothing_is_refused_below_the_limit(size, number):
    """Random arrivals and a burst up to the limit must all be admitted."""
    world = allotment_worlds.World(*size, seed=7)
    numbers = None if number is None else [number]
    world.run(6, 0.5 * size[0])
    world.refused.clear()
    world.run(30, 0.75 * size[0], numbers)
    # Exactly the burst, at once, and then nearly the rate.
    world.run(4, 0.0)
    for _ in range(int(size[1])):
        world.offer(world.entries[world.rng.choice(numbers or range(ENTRIES))])
    world.run(3, 0.7 * size[0], numbers)
    assert world.refused == []


@pytest.mark.parametrize("number", [None, 5], ids=["spread", "one_entry"])
def test_a_limited_workspace_gets_its_rate(number):
    """A workspace over its limit must not get much less than the limit."""
    world = allotment_worlds.World(20.0, 20.0, seed=7)
    numbers = None if number is None else [number]
    world.run(5, 150.0, numbers)
    world.ran.clear()
    world.run(20, 150.0, numbers)
    assert len(world.ran) >= 0.9 * 20 * 20


@pytest.mark.parametrize("is_cut", [False, True], ids=["owner", "alone"])
@pytest.mark.parametrize("change", [(40.0, 10.0), (10.0, 40.0)], ids=str)
def test_a_changed_limit_applies_within_one_window(change, is_cut):
    rate, new_rate = change
    world = allotment_worlds.World(rate, rate, seed=7)
    world.run(8, 120.0)
    for entry in world.entries:
        entry.is_cut = is_cut
    world.run(3, 120.0)
    world.set_limits(new_rate, new_rate)
    changed_s = world.now
    world.run(10, 120.0)
    limit = world.limits["w"]
    assert world.worst(since=changed_s) <= limit.bound
    # Without an owner, tokens expire at entries that get no request in time.
    least = 0.5 if is_cut else 0.85
    assert sum(t > changed_s + 5 for t in world.ran) >= least * 5 * new_rate


def grant_everything(owner, now):
    owner._share = 1.0


def carry_whole_bursts(bucket, share, new_share):
    bucket.level += (new_share - share) * 5 * bucket.limit.capacity


def forget_debts(allotments, account, rate, now):
    account.unconfirmed = 0
    original_begin_alone(allotments, account, rate, now)


original_begin_alone = rulers.Allotments._begin_alone
# Each row breaks one rule and names a scenario that has to notice.
BROKEN = [
    (allotments, "THRESHOLD", -50.0, surge),
    (allotments.Owner, "_update_share", grant_everything, two_owners),
    (allotments._Bucket, "change_share", carry_whole_bursts, owner_killed_and_replaced),
    (rulers, "OWNER_TIMEOUT_S", 600.0, cut_all_while_idle),
    (rulers.Allotments, "_begin_alone", forget_debts, cut_some_as_a_surge_begins),
    (rulers, "FALLBACK_PART", 50.0, cut_all_while_idle),
]


@pytest.mark.parametrize("row", BROKEN, ids=lambda row: row[1])
def test_the_simulation_detects_a_broken_rule(row, monkeypatch):
    module, name, value, scenario = row
    monkeypatch.setattr(module, name, value)
    with pytest.raises(AssertionError):
        for size in [(100.0, 100.0), (100.0, 0.0), (20.0, 20.0)]:
            test_a_workspace_stays_within_its_limit(scenario, size)


def report(number, count=0, *, entry="a", start_ms=1, workspace="w"):
    use = pb.Use(workspace=workspace, offered=count, admitted=count)
    return pb.UsageReport(
        entry=entry, start_ms=start_ms, sequence_number=number, uses=[use]
    )


def new_owner(rate=10.0, burst=10.0):
    owner = allotments.Owner()
    owner.set_limits(1, allotment_worlds.limits(rate, burst), 0.0)
    return owner


@pytest.mark.parametrize(
    ("late", "is_counted"),
    [
        (report(2), False),
        (report(1), False),
        (report(9, start_ms=0), False),
        (report(3), True),
        (report(1, start_ms=2), True),
    ],
    ids=["repeated", "out_of_order", "earlier_run", "next", "next_run"],
)
def test_late_reports_are_ignored(late, is_counted):
    """Usage must not be counted twice, nor a restarted entry be ignored."""
    owner = new_owner()
    assert owner.report(report(2), 0.0)
    assert owner.report(late, 0.1) is is_counted


def test_the_share_counts_entries_that_are_known():
    """An owner of some entries must not grant them the part of all others."""
    owner = new_owner()
    owner.see_entries("abcd", 0.0)
    shares = []
    reports = {1: "a", 2: "b", 31: "a", 35: "a"}
    for second in range(36):
        owner.expire(second)
        if second in reports:
            owner.report(report(second, entry=reports[second]), second)
            shares.append(owner.share)
    # Entries are known for 30 s.
    assert shares == [1 / 4, 2 / 4, 1 / 2, 1]
    owner.leave("a", 1, 35.0)
    assert owner.share == 0


def test_a_frozen_owner_still_knows_the_entries():
    """After a freeze, the first entry to report must not get the whole limit."""
    owner = new_owner()
    owner.expire(0.0)
    owner.see_entries("abcd", 0.0)
    owner.expire(60.0)
    owner.report(report(1), 60.0)
    assert owner.share == 1 / 4


def test_unknown_and_removed_workspaces_take_no_memory():
    owner, allotments = (
        new_owner(),
        allotment_worlds.World(10.0, 10.0).entries[0].allotments,
    )
    for number in range(1, 100):
        owner.report(report(number, 1, workspace=f"w{number}"), 0.0)
        assert allotments.admit(f"w{number}", 0.0) is None
    assert (owner.workspaces, len(allotments)) == (2, 2)
    allotments.admit("w", 0.0)
    owner.set_limits(2, {}, 1.0)
    allotments.set_limits({}, 1.0)
    assert (owner.workspaces, len(allotments), allotments.take_usage()) == (0, 0, [])


def test_reports_leave_early_after_a_pause_and_seldom_on_average():
    pacer, sent = quotas.Pacer(0.25, burst=3, gap_s=0.02), []
    while len(sent) < 40:
        now = pacer.due_s(sent[-1] if sent else 0.0)
        pacer.record(now)
        sent.append(now)
    assert sent[2] <= 0.05
    assert sent[-1] >= 0.25 * 36


def test_a_restarted_owner_answers_once_the_entries_have_connected():
    """After a restart of all processes, all requests were refused for 2.5 s."""
    started = types.SimpleNamespace(publish_instances_from_s=10.0)
    own = accounts.Accounts(None, started, settings.QuotaSettings())
    assert not own._knows_entries(5.0)
    for number, now in enumerate((5.0, 5.1, 5.25)):
        report = pb.UsageReport(entry=f"e{number}", start_ms=1, sequence_number=1)
        assert own.owner.report(report, now)
        assert not own._knows_entries(now + accounts.SETTLE_S - 0.01)
    # Further reports of a known entry do not delay the first message.
    report = pb.UsageReport(entry="e2", start_ms=1, sequence_number=2)
    assert own.owner.report(report, 5.4)
    assert own._knows_entries(5.25 + accounts.SETTLE_S)
    # Entries that keep joining do not silence it for ever.
    own.owner.joined_s = 10.0
    assert own._knows_entries(10.0)
