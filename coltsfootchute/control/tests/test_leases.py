"""Leases of targets and of shares of probe time."""

import itertools
import random

import pytest

from coltsfootchute.control import leases
from coltsfootchute.proto import coltsfootchute_pb2 as pb

LEASE_S = int(leases.TARGET_LEASE_S)


def make_targets(count: int, service: str = "s") -> dict[str, pb.Target]:
    return {
        f"{service}{n}": pb.Target(target_id=f"{service}{n}", services=[service])
        for n in range(count)
    }


def apply(targets: dict[str, pb.Target], command: pb.TargetCommand) -> None:
    kind = pb.TargetCommand.Kind.Name(command.kind)
    target_id = command.target.target_id
    if kind == "KIND_EXPIRE":
        del targets[target_id]
        return
    states = {"KIND_SUSPECT": pb.TARGET_STATE_SUSPECT, "KIND_RENEWED": 0}
    moved = pb.Target()
    moved.CopyFrom(targets[target_id])
    moved.state = states[kind]
    targets[target_id] = moved


def simulate(count: int, seed: int, seconds: int = 200) -> list[int]:
    """Return the size of a pool at each second while renewals get lost."""
    rng = random.Random(seed)
    targets = make_targets(count)
    held = leases.TargetLeases()
    held.renew_all(list(targets.values()), 0.0)
    lost_from_s = rng.randrange(60)
    sizes = []
    for now in range(seconds):
        for target_id in targets:
            if now < lost_from_s or rng.random() < rng.choice([0, 0.02]):
                held.renew(target_id, now)
        for command in held.due_commands(list(targets.values()), now):
            apply(targets, command)
            held.applied(command.target.target_id)
        sizes.append(len(targets))
    return sizes


def check_limits(sizes: list[int]) -> int:
    """Check the rules of expiry; return the number of expiries."""
    for now, size in enumerate(sizes):
        before = sizes[max(0, now - LEASE_S)]
        start = sizes[max(0, now - LEASE_S + 1)]
        assert size > 0, "empty pool"
        assert size >= before / 2, "less than half of the pool is left"
        assert start - size <= before // 4, "over a quarter expired in a lease time"
    return sizes[0] - sizes[-1]


@pytest.mark.parametrize("count", [1, 3, 4, 8, 16, 39])
def test_expiry_never_empties_a_pool(count):
    # Guards against an empty pool after a loss of control or of many renewals.
    expired = sum(check_limits(simulate(count, seed)) for seed in range(10))
    assert (expired > 0) == (count >= 4)


def test_checker_rejects_unlimited_expiry(monkeypatch):
    monkeypatch.setattr(leases._Pool, "allows_expiry", lambda self: True)
    with pytest.raises(AssertionError):
        check_limits(simulate(16, 0))


def test_target_of_two_services_spares_the_smaller_pool():
    # Guards against a small pool that shrinks with the expiries of a large one.
    targets = make_targets(8, "a")
    targets["b0"] = pb.Target(target_id="b0", services=["a", "b", "b"])
    held = leases.TargetLeases()
    held.renew_all(list(targets.values()), 0.0)
    commands = held.due_commands(list(targets.values()), LEASE_S + 1.0)
    kinds = {c.target.target_id: c.kind for c in commands}
    assert kinds["b0"] == pb.TargetCommand.KIND_SUSPECT
    assert list(kinds.values()).count(pb.TargetCommand.KIND_EXPIRE) == 2


def test_suspect_serves_again_and_draining_expires():
    # Guards against a target that stays suspect, and a drain that never ends.
    targets = make_targets(2)
    targets["s0"].state = pb.TARGET_STATE_SUSPECT
    targets["s1"].state = pb.TARGET_STATE_DRAINING
    held = leases.TargetLeases()
    held.renew_all(list(targets.values()), 0.0)
    held.renew("s0", 20.0)
    first, second = held.due_commands(list(targets.values()), LEASE_S + 1.0)
    assert first.kind == pb.TargetCommand.KIND_RENEWED
    assert second.kind == pb.TargetCommand.KIND_EXPIRE
    assert not held.due_commands(list(targets.values()), LEASE_S + 2.0), (
        "proposed twice"
    )


class NoGrace(leases.ProbeLeases):
    def __init__(self, now):
        super().__init__(now - leases.PROBE_LEASE_S)


class RenewsLiveShares(leases.ProbeLeases):
    def lease(self, entry, budgets_us, entries, now):
        for shares in self._shares.values():
            shares.pop(entry, None)
        return super().lease(entry, budgets_us, entries, now)


def most_live_us(kind: type, seed: int, budget_us: int) -> int:
    """Return the most probe time in live shares while leaders and entries change."""
    rng = random.Random(seed)
    leader = kind(0.0)
    live: list[tuple[float, int]] = []
    most = 0
    for now in itertools.takewhile(lambda t: t < 200, itertools.count(0.0, 0.5)):
        if rng.random() < 0.02:
            leader = kind(now)
        live = [share for share in live if share[0] > now]
        for entry in "abc":
            if rng.random() < 0.3:
                shares = leader.lease(entry, {"t": budget_us}, 2, now)
                end = now + leases.PROBE_LEASE_S
                live += [(end, share.probe_time_us) for share in shares]
        most = max(most, sum(us for _, us in live))
    return most


def test_live_probe_shares_stay_within_the_budget():
    # Guards against probes over budget (R1) after a change of leaders or restarts.
    most = [most_live_us(leases.ProbeLeases, seed, 1000) for seed in range(20)]
    assert max(most) == 1000


@pytest.mark.parametrize("broken", [NoGrace, RenewsLiveShares])
def test_checker_rejects_shares_over_budget(broken):
    assert max(most_live_us(broken, seed, 1000) for seed in range(20)) > 1000
