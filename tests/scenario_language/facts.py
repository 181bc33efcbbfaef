"""What a scenario may expect: facts of a world, by name."""

from coltsfootchute import registries
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from tests.scenario_language import users

facts = registries.Registry("fact")


@facts.register("outcome")
def outcome(world, name):
    """Return the outcome of a proposal."""
    return world.outcomes.get(name, "none")


@facts.register("answer")
def answer(world, name):
    """Return what a caller got: ran, replayed, cut, none, or a verdict."""
    found = world.answers.get(name)
    if found is None:
        return "none"
    if not found.is_whole:
        return "cut"
    return "replayed" if found.is_replayed else found.verdict or "ran"


@facts.register("reason")
def reason(world, name):
    """Return why a caller was refused."""
    return world.answers[name].reason


@facts.register("leader")
def leader(world):
    """Return the name of the leader, or none."""
    return world.leader.name if world.leader else "none"


@facts.register("role")
def role(world, name):
    """Return what an instance believes to be; a frozen one may be wrong."""
    return world.controls[name].core.replica.role.value


@facts.register("voters")
def voters(world):
    """Return the number of voters at the leader."""
    found = world.leader and world.leader.core.replica.committed_membership
    return sum(m.voter for m in found.members) if found else 0


@facts.register("votes")
def votes(world, name):
    """Return whether an instance is a voter: yes or no."""
    return "yes" if world.is_voter(name) else "no"


@facts.register("members")
def members(world):
    """Return the number of members at the leader."""
    return len(world.leader.core.replica.membership.members) if world.leader else 0


@facts.register("revision")
def revision(world, entry):
    """Return the revision of the section that is in force at an entry."""
    found = world.entries[entry].view.sections.get(users.SERVICE)
    return found.revision if found else 0


@facts.register("stale")
def stale(world, entry):
    """Return whether an entry is stale: yes or no."""
    return "yes" if world.entries[entry].view.is_stale(world.loop.now) else "no"


@facts.register("state")
def state(world, target, entry):
    """Return the state of a target as an entry knows it."""
    for view in world.entries[entry].services.by_name[users.SERVICE].pool.all_views:
        if view.target.target_id == target:
            return "draining" if view.is_draining else view.target.state.value
    return "gone"


@facts.register("pool")
def pool(world, entry):
    """Return the number of targets, suspects included, that an entry may use."""
    views = world.entries[entry].services.by_name[users.SERVICE].pool.all_views
    return sum(v.is_serving() or v.is_suspect() for v in views)


@facts.register("suspects")
def suspects(world, entry):
    """Return the number of suspect targets at an entry."""
    views = world.entries[entry].services.by_name[users.SERVICE].pool.all_views
    return sum(v.is_suspect() for v in views)


@facts.register("runs")
def runs(world, name):
    """Return how often a request, or the requests with a key, ran."""
    request = world.keys.get(name, name)
    return sum(r.request == request for r in world.history.runs)


@facts.register("ran")
def ran(world, target):
    """Return how many requests a target ran."""
    return sum(r.target == target for r in world.history.runs)


@facts.register("retries")
def retries(world, entry):
    """Return how often an entry sent a request again."""
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
    """Return the number of processes that ended by themselves."""
    return len(world.crashes)


@facts.register("faults")
def faults(world, name):
    """Return whether a fault of the links had an effect: yes or no."""
    return "yes" if name in world.network.seen else "no"


@facts.register("snapshots")
def snapshots(world, name):
    """Return the number of snapshots that a control instance saved since its start."""
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
    """Return the number of changes that lost a race."""
    return sum(
        o.kind == "change" and o.result is not None and o.result < 0
        for o in world.history.operations
    )


@facts.register("answered")
def answered(world):
    """Return the number of callers that got a whole answer of a target."""
    return sum(a.is_whole and not a.verdict for a in world.history.answers)


@facts.register("refused")
def refused(world, verdict):
    """Return the number of callers that were refused with a verdict."""
    return sum(a.verdict == verdict for a in world.history.answers)


@facts.register("truncated")
def truncated(world):
    """Return the number of callers whose connection ended before the answer did."""
    return sum(not a.is_whole for a in world.history.answers)


@facts.register("failures")
def failures(world):
    """Return the number of errors that targets answered."""
    return sum(a.status == 500 for a in world.history.answers)


@facts.register("slow")
def slow(world):
    """Return the number of callers that waited for over a second."""
    return sum(a.returned - a.invoked > 1.0 for a in world.history.answers)


@facts.register("drained")
def drained(world, target):
    """Return the number of requests that a target got more than 3 s after its drain."""
    since = world.history.drains[target][0] + 3.0
    return sum(w.target == target and w.at > since for w in world.history.writes)


@facts.register("probes")
def probes(world):
    """Return the number of probes that were sent."""
    return len(world.history.probes)


@facts.register("stopped")
def stopped(world):
    """Return the number of planned stops that ended."""
    return len(world.history.stops)


@facts.register("in_flight")
def in_flight(world, entry):
    """Return the number of callers that wait for an answer of an entry."""
    return len(world.entries[entry].requests)


@facts.register("stopping")
def stopping(world, name, entry):
    """Return whether an entry knows that another one is stopping: yes or no."""
    found = world.entries[entry].view.instances.get(name)
    known = found is not None and found.state == pb.INSTANCE_STATE_STOPPING
    return "yes" if known else "no"
