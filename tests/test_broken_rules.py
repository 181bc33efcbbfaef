"""Mutation tests: each test breaks one rule of the code, and a scenario must fail.

Guards against scenarios and checkers that pass whatever the code does.
"""

import re

import pytest

from coltsfootchute import errors, verdicts
from coltsfootchute.agreement import (
    elections,
    logs,
    memberships,
    replicas,
    replication,
)
from coltsfootchute.agreement.tests import fakes
from coltsfootchute.balancing import ejections, policies, probes, views
from coltsfootchute.control import feeds, leases
from coltsfootchute.entry import calls, daemons, keys, watches
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.state import claims, machines, outcomes, quarantines, registers
from tests import test_scenarios
from tests.scenario_language import controls, worlds

BROKEN_RULES = {}


def breaks(scenario, wanted):
    """Register a function that breaks a rule.

    Parameters
    ----------
    scenario
        Name of the scenario that must fail with the broken rule.
    wanted
        Regular expression for the problems, one of which it must match.
    """

    def register(function):
        BROKEN_RULES[function.__name__] = (function, scenario, wanted)
        return function

    return register


# Agreement.


@breaks("partition_of_the_leader", "two leaders")
def quorum_of_one(patch):
    patch.setattr(memberships, "quorum", lambda voters: 1)


@breaks("lost_disk_of_a_voter_during_an_election", "whose disk is lost|two votes")
def vote_after_a_lost_disk(patch):
    def lose_disk(world, name):
        old = world.controls[name]
        world.kill(name)
        world.history.votes_before_disk_loss[old.identity.member_id] = len(
            world.history.votes
        )
        disk = world._new_disk()
        disk.files = {p: f for p, f in old.disk.files.items() if "identity" in p}
        disk.synced_sizes = {id(f): len(f) for f in disk.files.values()}
        disk.durable_files = dict(disk.files)
        new = world._add_control(name, disk)
        new.form(old.core.replica.committed_membership)

    patch.setattr(worlds.World, "lose_disk", lose_disk)


@breaks("drain_by_the_feed", "before the sync")
def sync_skipped(patch):
    original = fakes.MemoryDisk.sync

    def sync(disk, path):
        disk.skips_sync = "log-" in path
        original(disk, path)

    patch.setattr(fakes.MemoryDisk, "sync", sync)


@breaks("frozen_reader", "no order|two leaders hold")
def lease_ignored_by_a_frozen_leader(patch):
    patch.setattr(replication.Leadership, "has_lease", lambda lead, now: True)
    patch.setattr(worlds.World, "leader", property(_newest_leader))


def _newest_leader(world):
    leaders = [c for c in world.controls.values() if c.is_leader]
    return max(leaders, key=lambda c: c.core.replica.term, default=None)


@breaks("lagging_member", "changed at|vanished|no order|accepted is")
def vote_for_a_member_that_lags(patch):
    patch.setattr(elections, "is_up_to_date", lambda candidate, own: True)


@breaks(
    "second_lost_before_the_promotion_of_3", "votes is|voters is|no leader|accepted"
)
def lost_member_stays_in_the_quorum(patch):
    patch.setattr(memberships, "same_name_members", lambda membership, learner: [])
    patch.setattr(memberships, "can_spare", lambda *args: False)
    patch.setattr(
        replicas.Replica, "_require_no_pending_change", replicas.Replica._require_lease
    )


# State.


@breaks("resend_of_a_change", "outcome is|then|accepted is")
def no_table_of_request_ids(patch):
    patch.setattr(outcomes.OutcomeTable, "find", lambda table, proposal: None)


@breaks("resend_of_a_change", "outcome is|then")
def request_ids_lost_in_a_snapshot(patch):
    patch.setattr(outcomes.OutcomeTable, "load", lambda table, stored: None)


@breaks("racing_operators", "accepted is|no order")
def last_writer_wins(patch):
    original = registers.SectionRegister.propose

    def propose(register, proposal, index, time_ms):
        section = register._sections.get(proposal.section)
        forced = pb.Proposal()
        forced.CopyFrom(proposal)
        forced.expected_revision = section.history[-1].revision if section else 0
        return original(register, forced, index, time_ms)

    patch.setattr(registers.SectionRegister, "propose", propose)


@breaks("entry_killed", "ran 2 times|answer is|runs is")
def claim_granted_twice(patch):
    patch.setattr(claims.ClaimTable, "find", lambda table, command: None)


@breaks("resend_after_expiry", "ran 2 times|answer is|reason is")
def expired_key_granted_again(patch):
    granted = pb.CLAIM_STATUS_GRANTED
    patch.setattr(claims.ClaimTable, "check_time", lambda *_: granted)


@breaks("resend_of_a_key", "ran 2 times|answer is")
def claims_lost_in_a_snapshot(patch):
    patch.setattr(claims.ClaimTable, "load", lambda *_: None)


@breaks("keyed_request_that_crashes_targets", "answer is|crashed is")
def claims_of_quarantined_requests_granted(patch):
    patch.setattr(machines, "_is_quarantined", lambda machine, command: False)


@breaks("two_faults_crash_and_killed_leader", "quarantines is")
def crashes_not_counted(patch):
    patch.setattr(quarantines.QuarantineTable, "_counts", lambda *_: False)


# Leases of the leader.


@breaks("loss_of_many_leases", "pool is|suspects is|answer is")
def expiry_without_a_limit(patch):
    patch.setattr(leases._Pool, "allows_expiry", lambda pool: True)


@breaks("loss_of_control", "pool is|suspects is")
def leases_kept_by_a_new_leader(patch):
    patch.setattr(leases.TargetLeases, "renew_all", _expire_all)


def _expire_all(target_leases, targets, now):
    target_leases._end_times_s = {target.target_id: now - 1 for target in targets}


@breaks("measuring", "s in . leases")
def probe_shares_granted_at_once_by_a_new_leader(patch):
    original = leases.ProbeLeases.__init__

    def init(probe_leases, now):
        original(probe_leases, now)
        probe_leases._grants_from_s = now

    patch.setattr(leases.ProbeLeases, "__init__", init)


@breaks("measuring", "s in . leases")
def probe_shares_spent_without_a_bound(patch):
    original = probes.ProbeShares.end
    patch.setattr(
        probes.ProbeShares,
        "end",
        lambda shares, permit, _: original(shares, permit, 0.0),
    )


# Entries.


@breaks("targets_killed", "ran 2 times")
def retry_after_the_request_was_written(patch):
    patch.setattr(verdicts.Verdict, "allows_retry", lambda self, *, repeatable: True)


@breaks("targets_killed", "not_run and ran")
def not_run_told_after_the_request_was_written(patch):
    not_run = verdicts.Verdict.NOT_RUN

    async def refuse(self, request, refusal, status=None):
        false_refusal = verdicts.Refusal(not_run, refusal.reason)
        return await original(self, request, false_refusal, status)

    original = calls.Calls._refuse
    patch.setattr(calls.Calls, "_refuse", refuse)


@breaks("lost_claim_answers", "answer is|runs is")
def request_sent_without_a_claim(patch):
    original = keys.Claims.claim

    async def claim(self, call, key):
        try:
            return await original(self, call, key)
        except keys.requests.pools.RefusedError:
            return None

    patch.setattr(keys.Claims, "claim", claim)


@breaks("truncated_answers", "got ")
def truncated_answers_closed_cleanly(patch):
    def truncate(self, call, exc):
        call.request.is_whole = True
        return calls.answers.CLOSE_CONNECTION

    patch.setattr(calls.Calls, "_truncate", truncate)


@breaks("older_source", "went back")
def older_revision_accepted(patch):
    patch.setattr(watches.View, "_accepts", lambda view, message: True)


@breaks("drain_by_the_feed", "after its drain")
def drain_ignored(patch):
    patch.setattr(views.TargetView, "is_serving", lambda view: not view.is_suspect())


@breaks("drain_learned_from_the_target", "state is")
def draining_header_ignored(patch):
    patch.setattr(calls.balancing.Pool, "mark_draining", lambda pool, target_id: None)


@breaks("drain_learned_from_an_entry", "state is|stale is|after its drain")
def other_entries_not_watched(patch):
    patch.setattr(watches.Watcher, "_peers", lambda watcher: [])


@breaks("stale_refuse", "answer is|stale is")
def stale_entry_takes_itself_for_current(patch):
    patch.setattr(watches.View, "is_stale", lambda view, now: False)


@breaks("frozen_entry_that_is_cut_off", "stale is|answer is")
def freeze_unnoticed(patch):
    patch.setattr(watches, "FREEZE_THRESHOLD_S", 1e9)


@breaks("planned_stop_of_an_entry", "cut or refused by")
def stop_without_waiting(patch):
    async def stop(entry):
        entry._instance.state = pb.INSTANCE_STATE_STOPPING

    patch.setattr(daemons.Daemon, "stop", stop)


@breaks("planned_stop_of_the_leader", "leader is|answered is")
def no_transfer_at_a_planned_stop(patch):
    async def keep_leading(daemon):
        pass

    patch.setattr(controls.Control, "_transfer", keep_leading)
    patch.setattr(feeds.Feed, "close", lambda feed: None)


@breaks("straggler", "slow is")
def selection_at_random(patch):
    random_policy = policies.POLICIES["random"]
    patch.setitem(policies.POLICIES._items, "expected_wait", random_policy)


@breaks("targets_that_fail_fast", "ran is")
def no_ejection(patch):
    patch.setattr(ejections, "may_eject", lambda in_use, now: False)


@breaks("late_answers", "slow is|hedges is")
def no_hedges(patch):
    patch.setattr(calls.Calls, "_hedge", lambda self, call: None)


@breaks("shed_load", "answered is|retries is|not_run and ran")
def shed_requests_not_retried(patch):
    original = calls.Calls._retry

    def retry(self, call, error):
        error.verdict = verdicts.Verdict.MAY_HAVE_RUN
        return original(self, call, error)

    patch.setattr(calls.Calls, "_retry", retry)


@breaks("bad_links", "changed at|no order|vanished|accepted is")
def entries_cut_off_by_a_late_message(patch):
    original = logs.Log.merge

    def merge(log, entries, commit_index):
        uncommitted = [e for e in entries if e.index > commit_index]
        if uncommitted and uncommitted[0].index <= log.last_index:
            log._truncate(uncommitted[0].index)
        return original(log, entries, commit_index)

    patch.setattr(logs.Log, "merge", merge)


FIRST_SCENARIOS = [(name, *rule[1:]) for name, rule in BROKEN_RULES.items()]
# Further scenarios that must fail with one of these rules broken.
MORE_SCENARIOS = [
    ("quorum_of_one", "frozen_leader", "two leaders"),
    ("quorum_of_one", "claims_without_a_quorum", "answer is"),
    ("quorum_of_one", "two_faults_partition_and_lost_disk", "two leaders"),
    ("vote_after_a_lost_disk", "lost_disk", "whose disk is lost"),
    ("lost_member_stays_in_the_quorum", "second_lost_after_a_repair_of_3", "no leader"),
    ("lost_member_stays_in_the_quorum", "second_lost_after_a_repair_of_5", "voters is"),
    (
        "lost_member_stays_in_the_quorum",
        "second_lost_before_the_promotion_of_5",
        "voters is",
    ),
    (
        "lost_member_stays_in_the_quorum",
        "two_faults_restart_and_disk_twice",
        "leader is",
    ),
    ("sync_skipped", "everything_killed", "damaged record"),
    ("request_ids_lost_in_a_snapshot", "hundreds_of_changes", "2 then"),
    ("claim_granted_twice", "everything_killed", "ran 2 times"),
    (
        "claim_granted_twice",
        "two_faults_frozen_leader_and_killed_entry",
        "ran 2 times",
    ),
    ("request_sent_without_a_claim", "claims_without_a_quorum", "answer is"),
    ("request_sent_without_a_claim", "claims_during_a_change_of_leader", "refused is"),
    ("crashes_not_counted", "request_that_crashes_targets", "quarantines is"),
    ("stale_entry_takes_itself_for_current", "stale_serve", "stale is"),
    ("drain_ignored", "two_faults_drain_and_killed_leader", "after its drain"),
]


@pytest.mark.parametrize(
    ("name", "scenario", "wanted"), FIRST_SCENARIOS + MORE_SCENARIOS
)
def test_a_broken_rule_is_found(name, scenario, wanted, monkeypatch):
    BROKEN_RULES[name][0](monkeypatch)
    problems = []
    for seed in test_scenarios.SCENARIOS[scenario].seeds:
        problems += run_scenario(scenario, seed)
        if re.search(wanted, "\n".join(problems)):
            return
    pytest.fail(f"{scenario} finds only {problems[:5]}, not {wanted!r}")


def run_scenario(scenario, seed):
    """Return the problems that a scenario finds, or the error that stopped it."""
    try:
        return test_scenarios.SCENARIOS[scenario].run(seed)[0]
    except (
        AssertionError,
        errors.ColtsfootchuteError,
        test_scenarios.interpreter.ScenarioError,
    ) as exc:
        return [str(exc)]
