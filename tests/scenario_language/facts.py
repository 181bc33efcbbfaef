"""Facts about a world that a scenario may check with ``expect``, by name."""

from coltsfootchute import registries
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from tests.scenario_language import users

facts = registries.Registry("fact")


@facts.register("outcome")
def outcome(world, name):
    """Return the outcome of a proposal, none if it was never submitted."""
    return world.outcomes.get(name, "none")


@facts.register("answer")
def answer(world, name):
    """Return the kind of a caller's answer: ran, replayed, cut, none, or a verdict."""
    received = world.answers.get(name)
    if received is None:
        return "none"
    if not received.is_whole:
        return "cut"
    return "replayed" if received.is_replayed else received.verdict or "ran"


@facts.register("reason")
def reason(world, name):
    """Return the reason for which a caller's request was refused."""
    return world.answers[name].reason


@facts.register("leader")
def leader(world):
    """Return the name of the leader, or none."""
    return world.leader.name if world.leader else "none"


@facts.register("role")
def role(world, name):
    """Return the role in an instance's own state, out of date while it is frozen."""
    return world.controls[name].core.replica.role.value


@facts.register("voters")
def voters(world):
    """Return the number of voters in the leader's committed membership."""
    membership = world.leader and world.leader.core.replica.committed_membership
    return sum(m.voter for m in membership.members) if membership else 0


@facts.register("votes")
def votes(world, name):
    """Return whether an instance is a voter: yes or no."""
    return "yes" if world.is_voter(name) else "no"


@facts.register("members")
def members(world):
    """Return the number of members in the leader's membership."""
    return len(world.leader.core.replica.membership.members) if world.leader else 0


@facts.register("revision")
def revision(world, entry):
    """Return the revision of the section that is in force at an entry."""
    section = world.entries[entry].view.sections.get(users.SERVICE)
    return section.revision if section else 0


@facts.register("stale")
def stale(world, entry):
    """Return whether an entry is stale: yes or no."""
    return "yes" if world.entries[entry].view.is_stale(world.loop.now) else "no"


@facts.register("state")
def state(world, target, entry):
    """Return the state of a target in the view of an entry; gone without it."""
    for view in world.entries[entry].services.by_name[users.SERVICE].pool.all_views:
        if view.target.target_id == target:
            return "draining" if view.is_draining else view.target.state.value
    return "gone"


@facts.register("pool")
def pool(world, entry):
    """Return the number of targets that an entry may use, suspects included."""
    views = world.entries[entry].services.by_name[users.SERVICE].pool.all_views
    return sum(v.is_serving() or v.is_suspect() for v in views)


@facts.register("suspects")
def suspects(world, entry):
    """Return the number of suspect targets at an entry."""
    views = world.entries[entry].services.by_name[users.SERVICE].pool.all_views
    return sum(v.is_suspect() for v in views)


@facts.register("runs")
def runs(world, name):
    """Return how often a request, or any request with a key of this name, ran."""
    request = world.keys.get(name, name)
    return sum(r.request == request for r in world.history.runs)


@facts.register("ran")
def ran(world, target):
    """Return how many requests a target ran."""
    return sum(r.target == target for r in world.history.runs)


@facts.register("retries")
def retries(world, entry):
    """Return the number of retries that an entry sent."""
    return int(world.entries[entry].metrics.retries.total())


@facts.register("hedges")
def hedges(world, entry):
    """Return the number of hedges that an entry sent."""
    return int(world.entries[entry].metrics.meter(users.SERVICE).hedges.value)


@facts.register("quarantines")
def quarantines(world, entry):
    """Return the number of active quarantines at an entry."""
    return sum(q.active for q in world.entries[entry].view.quarantines.values())


@facts.register("crashed")
def crashed(world):
    """Return the number of processes that ended without being stopped or killed."""
    return len(world.crashes)


@facts.register("faults")
def faults(world, name):
    """Return whether a fault of the links has affected a message: yes or no."""
    return "yes" if name in world.network.effective_faults else "no"


@facts.register("snapshots")
def snapshots(world, name):
    """Return the number of snapshots that a control instance has saved since start."""
    return world.controls[name].core.counters["snapshots"]


@facts.register("base")
def base(world, name):
    """Return the log index that the snapshot of a control instance covers."""
    return world.controls[name].core.replica.log.snapshot_index


@facts.register("accepted")
def accepted(world):
    """Return the number of accepted changes."""
    return len(world.history.accepted)


@facts.register("conflicts")
def conflicts(world):
    """Return the number of changes that were refused because of a conflict."""
    return sum(
        o.kind == "change" and o.result is not None and o.result < 0
        for o in world.history.operations
    )


@facts.register("answered")
def answered(world):
    """Return the number of callers that received the whole answer of a target."""
    return sum(a.is_whole and not a.verdict for a in world.history.answers)


@facts.register("refused")
def refused(world, verdict):
    """Return the number of callers that were refused with a verdict."""
    return sum(a.verdict == verdict for a in world.history.answers)


@facts.register("truncated")
def truncated(world):
    """Return the number of callers whose connection ended before the whole answer."""
    return sum(not a.is_whole for a in world.history.answers)


@facts.register("failures")
def failures(world):
    """Return the number of answers with status 500."""
    return sum(a.status == 500 for a in world.history.answers)


@facts.register("slow")
def slow(world):
    """Return the number of callers that waited for more than 1 s."""
    return sum(a.returned - a.invoked > 1.0 for a in world.history.answers)


@facts.register("drained")
def drained(world, target):
    """Return the number of requests sent to a target over 3 s after its drain."""
    since_s = world.history.drains[target][0] + 3.0
    return sum(w.target == target and w.at_s > since_s for w in world.history.writes)


@facts.register("probes")
def probes(world):
    """Return the number of probes that were sent."""
    return len(world.history.probes)


@facts.register("stopped")
def stopped(world):
    """Return the number of planned stops that are complete."""
    return len(world.history.stops)


@facts.register("in_flight")
def in_flight(world, entry):
    """Return the number of callers that are waiting for an answer of an entry."""
    return len(world.entries[entry].requests)


@facts.register("stopping")
def stopping(world, name, entry):
    """Return whether the view of an entry shows an instance as stopping: yes or no."""
    instance = world.entries[entry].view.instances.get(name)
    known = instance is not None and instance.state == pb.INSTANCE_STATE_STOPPING
    return "yes" if known else "no"
