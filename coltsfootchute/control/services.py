"""The gRPC services of a control instance."""

import collections.abc
import typing

import grpclib
import grpclib.const

from coltsfootchute import announcements, declarations, errors, sections
from coltsfootchute.control import (
    accounts,
    cores,
    feeds,
    joins,
    maintenance,
    members,
)
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["ControlService", "PeerService"]

TARGET_KINDS = (
    pb.TargetCommand.KIND_ANNOUNCE,
    pb.TargetCommand.KIND_DRAIN,
    pb.TargetCommand.KIND_WITHDRAW,
)

# Targets announce failure domains of at most this length.
MAX_DOMAIN_CHARS = 128

Handler = collections.abc.Callable[[typing.Any, typing.Any], typing.Any]
Check = collections.abc.Callable[[typing.Any], typing.Any]


def _unary(handler: Handler) -> Handler:
    """Wrap a method that returns a reply as a handler of a unary gRPC stream."""

    async def serve(self, stream) -> None:
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await handler(self, request, stream))

    serve.__name__ = handler.__name__
    serve.__doc__ = handler.__doc__
    return serve


def _require(condition: bool, reason: str) -> None:
    if not condition:
        raise grpclib.GRPCError(grpclib.const.Status.INVALID_ARGUMENT, reason)


def _require_valid(check: Check, document: typing.Any) -> None:
    try:
        check(document)
    except errors.DocumentError as exc:
        _require(False, str(exc))


class PeerService(rpc.PeerBase):
    """The gRPC service for calls between control instances.

    Parameters
    ----------
    core
        The replicated state.
    joiner
        Handles the formation of the cluster and joins.
    """

    def __init__(self, core: cores.Core, joiner: joins.Joiner):
        self._core = core
        self._joiner = joiner

    async def Exchange(self, stream) -> None:  # noqa: N802
        """Receive agreement messages until the sender ends the stream."""
        async for message in stream:
            self._core.receive(message)
        await stream.send_message(pb.ExchangeReply())

    @_unary
    async def Hello(self, request, stream) -> pb.HelloReply:  # noqa: N802
        """Return the identity of this instance and the cluster that it belongs to."""
        return self._joiner.hello()

    @_unary
    async def Form(self, request, stream) -> pb.FormReply:  # noqa: N802
        """Accept the first membership of a new cluster."""
        return self._joiner.form(request)

    @_unary
    async def Join(self, request, stream) -> pb.JoinReply:  # noqa: N802
        """Add an instance as a learner."""
        return self._joiner.join(request)

    @_unary
    async def Leave(self, request, stream) -> pb.LeaveReply:  # noqa: N802
        """Remove a voter that stops as planned, if the others are enough."""
        return self._joiner.release(request)


class ControlService(rpc.ControlBase):
    """The gRPC service for entries and operators.

    Parameters
    ----------
    core
        The replicated state.
    maintenance
        Periodic maintenance, with the leases and the instance reports.
    accounts
        Limits on the requests of workspaces; None if this instance keeps none.
    """

    def __init__(
        self,
        core: cores.Core,
        maintenance: maintenance.Maintenance,
        accounts: accounts.Accounts | None = None,
    ):
        self._core = core
        self._accounts = accounts
        self._maintenance = maintenance

    def _count(self, name: str) -> None:
        self._core.counters[name] += 1

    def _header(self, is_leader: bool) -> pb.ReplyHeader:
        if is_leader:
            return pb.ReplyHeader(status=pb.REPLY_STATUS_OK)
        self._count("not_leader")
        address = self._core.leader_address
        return pb.ReplyHeader(status=pb.REPLY_STATUS_NOT_LEADER, leader_address=address)

    async def _commit(self, command: pb.Command) -> dict:
        """Commit a command; return the fields of its gRPC reply."""
        try:
            reply = await self._core.propose(command)
        except errors.NotLeaderError:
            return {"header": self._header(is_leader=False)}
        except errors.OutcomeUnknownError:
            return {"header": pb.ReplyHeader(status=pb.REPLY_STATUS_UNKNOWN)}
        fields = {"header": self._header(is_leader=True)}
        return fields if reply is None else fields | {"outcome": reply}

    @_unary
    async def Propose(self, request, stream) -> pb.ProposeReply:  # noqa: N802
        """Change a section by compare-and-swap."""
        self._count("proposals")
        if not self._core.is_leader:
            return pb.ProposeReply(header=self._header(is_leader=False))
        problems = _proposal_problems(request)
        if problems:
            self._count("proposals_invalid")
            outcome = pb.ProposalOutcome(
                status=pb.PROPOSAL_STATUS_INVALID,
                errors=[pb.FieldError(path=p, reason=r) for p, r in problems],
            )
            return pb.ProposeReply(header=self._header(is_leader=True), outcome=outcome)
        return pb.ProposeReply(**await self._commit(pb.Command(proposal=request)))

    @_unary
    async def ReadSections(self, request, stream) -> pb.ReadSectionsReply:  # noqa: N802
        """Return sections, if this instance is the leader with its lease."""
        reply = pb.ReadSectionsReply(
            sections=self._core.machine.sections.read(request.name),
            revision=self._core.machine.revision,
        )
        # Checked after the read: if the process was frozen meanwhile, its lease has
        # ended and the data may be outdated.
        if not self._core.is_leader:
            return pb.ReadSectionsReply(header=self._header(is_leader=False))
        reply.header.CopyFrom(self._header(is_leader=True))
        return reply

    @_unary
    async def Declare(self, request, stream) -> pb.DeclareReply:  # noqa: N802
        """Put a declaration in force if its version is the highest so far."""
        self._count("declarations")
        _require(request.version > 0, "version: missing")
        _require_valid(declarations.parse, request.document)
        command = pb.Command(declaration=request)
        return pb.DeclareReply(**await self._commit(command))

    @_unary
    async def ReadDeclaration(self, request, stream):  # noqa: N802
        """Return the declaration, if this instance is the leader with its lease."""
        reply = pb.ReadDeclarationReply(
            declaration=self._core.machine.declaration.newest
        )
        # Checked after the read: if the process was frozen meanwhile, its lease has
        # ended and the data may be outdated.
        if not self._core.is_leader:
            return pb.ReadDeclarationReply(header=self._header(is_leader=False))
        reply.header.CopyFrom(self._header(is_leader=True))
        return reply

    @_unary
    async def Announce(self, request, stream) -> pb.AnnounceReply:  # noqa: N802
        """Register, drain or withdraw a target."""
        self._count("announcements")
        command = request.command
        _require(
            command.kind in TARGET_KINDS,
            f"kind: {command.kind} is not announce, drain or withdraw",
        )
        _require(bool(command.target.target_id), "target_id: missing")
        if command.kind == pb.TargetCommand.KIND_ANNOUNCE:
            _require_valid(announcements.check, command.target)
        return pb.AnnounceReply(**await self._commit(pb.Command(target=command)))

    @_unary
    async def Renew(self, request, stream) -> pb.RenewReply:  # noqa: N802
        """Renew the leases of targets."""
        now = feeds.clock()
        if not self._maintenance.check_leadership(now):
            return pb.RenewReply(header=self._header(is_leader=False))
        refused = [item for item in request.renewals if not self._renew(item, now)]
        return pb.RenewReply(header=self._header(is_leader=True), refused=refused)

    def _renew(self, renewal: pb.Renewal, now: float) -> bool:
        target = self._core.machine.targets.get(renewal.target_id)
        if target is None or target.incarnation != renewal.incarnation:
            self._count("renewals_refused")
            return False
        self._maintenance.targets.renew(renewal.target_id, now)
        return True

    @_unary
    async def Claim(self, request, stream) -> pb.ClaimReply:  # noqa: N802
        """Claim a key for one attempt of one entry."""
        _require(bool(request.service), "service: missing")
        _require(bool(request.attempt_id), "attempt_id: missing")
        fields = await self._commit(pb.Command(claim=request))
        # A refusal by a follower has no outcome; `not_leader` counts it.
        if fields["header"].status != pb.REPLY_STATUS_NOT_LEADER:
            outcome = fields.get("outcome", pb.ClaimOutcome())
            name = pb.ClaimStatus.Name(outcome.status)
            self._count(f"claims_{name.removeprefix('CLAIM_STATUS_').lower()}")
        return pb.ClaimReply(**fields)

    @_unary
    async def Settle(self, request, stream) -> pb.SettleReply:  # noqa: N802
        """Store the answer of a claimed request, or release its claim."""
        self._count("settlements")
        return pb.SettleReply(**await self._commit(pb.Command(settle=request)))

    @_unary
    async def Report(self, request, stream) -> pb.ReportReply:  # noqa: N802
        """Store the report of an entry; any control instance accepts it."""
        _require(bool(request.instance.name), "name: missing")
        now = feeds.clock()
        is_relay_due = self._maintenance.instances.add_report(request.instance, now)
        self._maintenance.publish_instances(now)
        if is_relay_due and members.RELAYED_HEADER not in (stream.metadata or {}):
            self._core.links.relay(request.instance)
        return pb.ReportReply(header=pb.ReplyHeader(status=pb.REPLY_STATUS_OK))

    @_unary
    async def ReportCrash(self, request, stream) -> pb.CrashReply:  # noqa: N802
        """Count a possible crash of a target, or end the count of a request."""
        _require(bool(request.service and request.digest), "service, digest: missing")
        _require(bool(request.target_id or request.cleared), "target_id: missing")
        self._count("crash_reports")
        return pb.CrashReply(**await self._commit(pb.Command(crash=request)))

    @_unary
    async def LeaseProbes(self, request, stream) -> pb.LeaseProbesReply:  # noqa: N802
        """Lease shares of the probe time of targets to an entry."""
        _require(bool(request.entry), "entry: missing")
        now = feeds.clock()
        if not self._maintenance.check_leadership(now):
            return pb.LeaseProbesReply(header=self._header(is_leader=False))
        entries = len(self._maintenance.instances.all())
        budgets = self._maintenance.probe_budgets_us(list(request.target_ids))
        shares = self._maintenance.probes.lease(request.entry, budgets, entries, now)
        if not self._core.is_leader:
            return pb.LeaseProbesReply(header=self._header(is_leader=False))
        return pb.LeaseProbesReply(header=self._header(is_leader=True), shares=shares)

    @_unary
    async def Evacuate(self, request, stream) -> pb.EvacuateReply:  # noqa: N802
        """Start or end the evacuation of a failure domain."""
        _require(
            0 < len(request.failure_domain) <= MAX_DOMAIN_CHARS,
            f"failure_domain: needs 1 to {MAX_DOMAIN_CHARS} characters",
        )
        self._count("evacuations")
        command = pb.Command(evacuation=request)
        return pb.EvacuateReply(**await self._commit(command))

    async def Account(self, stream) -> None:  # noqa: N802
        """Count the requests of workspaces and limit them."""
        if self._accounts is None:
            raise grpclib.GRPCError(grpclib.const.Status.UNIMPLEMENTED)
        await self._accounts.serve(stream)

    @_unary
    async def Status(self, request, stream) -> pb.StatusReply:  # noqa: N802
        """Return the status of this instance; any control instance answers."""
        return self.status()

    def close(self) -> None:
        """End the streams of `Account`."""
        if self._accounts is not None:
            self._accounts.close()

    def status(self) -> pb.StatusReply:
        """Return the reply of `Status`."""
        replica = self._core.replica
        is_leader = self._core.is_leader
        counters = dict(self._core.counters)
        counters["link_messages_dropped"] = self._core.links.dropped
        counters["feed_watchers"] = self._core.feed.watcher_count
        counters["claims_stored"] = len(self._core.machine.claims)
        evacuations = self._core.machine.evacuations.dump()
        counters["evacuations_in_force"] = len(evacuations)
        now = feeds.clock()
        return pb.StatusReply(
            header=pb.ReplyHeader(leader_address=self._core.leader_address),
            member_id=self._core.identity.member_id,
            role=replica.role.value,
            term=replica.term,
            leader_id=replica.leader_id,
            commit_index=replica.commit_index,
            applied_index=replica.applied_index,
            revision=self._core.machine.revision,
            membership=replica.membership,
            instances=self._maintenance.instances.all(),
            targets=self._maintenance.target_leases(now) if is_leader else [],
            counters=counters,
            evacuations=evacuations,
        )


def _proposal_problems(proposal: pb.Proposal) -> list[tuple[str, str]]:
    """Return the path and the reason of each problem of a proposal."""
    problems = [
        (field, "missing")
        for field in ("section", "team", "request_id")
        if not getattr(proposal, field)
    ]
    try:
        sections.parse(proposal.document)
    except errors.DocumentError as exc:
        problems += exc.problems
    return problems
