"""The gRPC services of a control instance."""

import collections.abc
import typing

import grpclib
import grpclib.const

from coltsfootchute import declarations, errors, sections
from coltsfootchute.control import cores, feeds, joins, maintenance, members
from coltsfootchute.proto import coltsfootchute_grpc as rpc
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["ControlService", "PeerService"]

TARGET_KINDS = (
    pb.TargetCommand.KIND_ANNOUNCE,
    pb.TargetCommand.KIND_DRAIN,
    pb.TargetCommand.KIND_WITHDRAW,
)

Handler = collections.abc.Callable[[typing.Any, typing.Any], typing.Any]


def _unary(handler: Handler) -> Handler:
    """Turn a method from request to reply into one of a unary stream."""

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


class PeerService(rpc.PeerBase):
    """Agreement between control instances.

    Parameters
    ----------
    core
        The replicated state.
    joiner
        Forms or joins the cluster.
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
        """Tell who this instance is and whether it belongs to a cluster."""
        return self._joiner.hello()

    @_unary
    async def Form(self, request, stream) -> pb.FormReply:  # noqa: N802
        """Accept the first membership of a new cluster."""
        return self._joiner.form(request)

    @_unary
    async def Join(self, request, stream) -> pb.JoinReply:  # noqa: N802
        """Add an instance as a learner."""
        return self._joiner.join(request)


class ControlService(rpc.ControlBase):
    """What entries and operators ask of control.

    Parameters
    ----------
    core
        The replicated state.
    work
        Leases and instance reports.
    """

    def __init__(self, core: cores.Core, work: maintenance.Maintenance):
        self._core = core
        self._duties = work

    def _count(self, name: str) -> None:
        self._core.counters[name] += 1

    def _header(self, leads: bool) -> pb.ReplyHeader:
        if leads:
            return pb.ReplyHeader(status=pb.REPLY_STATUS_OK)
        self._count("not_leader")
        address = self._core.leader_address
        return pb.ReplyHeader(status=pb.REPLY_STATUS_NOT_LEADER, leader_address=address)

    async def _commit(self, command: pb.Command) -> dict:
        """Commit a command; return the fields of a reply."""
        try:
            reply = await self._core.propose(command)
        except errors.NotLeaderError:
            return {"header": self._header(leads=False)}
        except errors.OutcomeUnknownError:
            return {"header": pb.ReplyHeader(status=pb.REPLY_STATUS_UNKNOWN)}
        fields = {"header": self._header(leads=True)}
        return fields if reply is None else fields | {"outcome": reply}

    @_unary
    async def Propose(self, request, stream) -> pb.ProposeReply:  # noqa: N802
        """Change a section by compare-and-swap."""
        self._count("proposals")
        if not self._core.is_leader:
            return pb.ProposeReply(header=self._header(leads=False))
        problems = _proposal_problems(request)
        if problems:
            self._count("proposals_invalid")
            outcome = pb.ProposalOutcome(
                status=pb.PROPOSAL_STATUS_INVALID,
                errors=[pb.FieldError(path=p, reason=r) for p, r in problems],
            )
            return pb.ProposeReply(header=self._header(leads=True), outcome=outcome)
        return pb.ProposeReply(**await self._commit(pb.Command(proposal=request)))

    @_unary
    async def ReadSections(self, request, stream) -> pb.ReadSectionsReply:  # noqa: N802
        """Read sections under the lease of the leader."""
        reply = pb.ReadSectionsReply(
            sections=self._core.machine.sections.read(request.name),
            revision=self._core.machine.revision,
        )
        # Asked last: a process that was frozen has no lease any more.
        if not self._core.is_leader:
            return pb.ReadSectionsReply(header=self._header(leads=False))
        reply.header.CopyFrom(self._header(leads=True))
        return reply

    @_unary
    async def Declare(self, request, stream) -> pb.DeclareReply:  # noqa: N802
        """Put a declaration in force if its version is the highest."""
        self._count("declarations")
        _require(request.version > 0, "version: missing")
        try:
            declarations.parse(request.document)
        except errors.DocumentError as exc:
            _require(False, str(exc))
        command = pb.Command(declaration=request)
        return pb.DeclareReply(**await self._commit(command))

    @_unary
    async def ReadDeclaration(self, request, stream):  # noqa: N802
        """Read the declaration under the lease of the leader."""
        reply = pb.ReadDeclarationReply(
            declaration=self._core.machine.declaration.newest
        )
        # Asked last: a process that was frozen has no lease any more.
        if not self._core.is_leader:
            return pb.ReadDeclarationReply(header=self._header(leads=False))
        reply.header.CopyFrom(self._header(leads=True))
        return reply

    @_unary
    async def Announce(self, request, stream) -> pb.AnnounceReply:  # noqa: N802
        """Register, drain or withdraw a target."""
        self._count("announcements")
        command = request.command
        _require(command.kind in TARGET_KINDS, "kind: only announce, drain, withdraw")
        _require(bool(command.target.target_id), "target_id: missing")
        if command.kind == pb.TargetCommand.KIND_ANNOUNCE:
            _require(bool(command.target.address), "address: missing")
            _require(bool(command.target.services), "services: missing")
        return pb.AnnounceReply(**await self._commit(pb.Command(target=command)))

    @_unary
    async def Renew(self, request, stream) -> pb.RenewReply:  # noqa: N802
        """Renew the leases of targets."""
        now = feeds.clock()
        if not self._duties.check_leadership(now):
            return pb.RenewReply(header=self._header(leads=False))
        refused = [item for item in request.renewals if not self._renew(item, now)]
        return pb.RenewReply(header=self._header(leads=True), refused=refused)

    def _renew(self, renewal: pb.Renewal, now: float) -> bool:
        target = self._core.machine.targets.get(renewal.target_id)
        if target is None or target.incarnation != renewal.incarnation:
            self._count("renewals_refused")
            return False
        self._duties.targets.renew(renewal.target_id, now)
        return True

    @_unary
    async def Claim(self, request, stream) -> pb.ClaimReply:  # noqa: N802
        """Claim a key for one attempt of one entry."""
        _require(bool(request.service), "service: missing")
        _require(bool(request.attempt_id), "attempt_id: missing")
        fields = await self._commit(pb.Command(claim=request))
        # A claim at a follower has no outcome at all; `not_leader` counts it.
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
        """Note the report of an entry; any control instance accepts it."""
        _require(bool(request.instance.name), "name: missing")
        now = feeds.clock()
        news = self._duties.instances.report(request.instance, now)
        self._duties.publish_instances(now)
        if news and members.RELAYED_HEADER not in (stream.metadata or {}):
            self._core.links.relay(request.instance)
        return pb.ReportReply(header=pb.ReplyHeader(status=pb.REPLY_STATUS_OK))

    @_unary
    async def ReportCrash(self, request, stream) -> pb.CrashReply:  # noqa: N802
        """Count a possible crash, or end a count."""
        _require(bool(request.service and request.digest), "service, digest: missing")
        _require(bool(request.target_id or request.cleared), "target_id: missing")
        self._count("crash_reports")
        return pb.CrashReply(**await self._commit(pb.Command(crash=request)))

    @_unary
    async def LeaseProbes(self, request, stream) -> pb.LeaseProbesReply:  # noqa: N802
        """Lease shares of the probe time of targets to an entry."""
        _require(bool(request.entry), "entry: missing")
        now = feeds.clock()
        if not self._duties.check_leadership(now):
            return pb.LeaseProbesReply(header=self._header(leads=False))
        entries = len(self._duties.instances.all())
        budgets = self._duties.probe_budgets_us(list(request.target_ids))
        shares = self._duties.probes.lease(request.entry, budgets, entries, now)
        if not self._core.is_leader:
            return pb.LeaseProbesReply(header=self._header(leads=False))
        return pb.LeaseProbesReply(header=self._header(leads=True), shares=shares)

    @_unary
    async def Status(self, request, stream) -> pb.StatusReply:  # noqa: N802
        """Describe this instance; any control instance answers."""
        return self.status()

    def status(self) -> pb.StatusReply:
        """Return what `Status` answers."""
        replica = self._core.replica
        leads = self._core.is_leader
        counters = dict(self._core.counters)
        counters["link_messages_dropped"] = self._core.links.dropped
        counters["feed_watchers"] = self._core.feed.watchers
        counters["claims_stored"] = len(self._core.machine.claims)
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
            instances=self._duties.instances.all(),
            targets=self._duties.target_leases(now) if leads else [],
            counters=counters,
        )


def _proposal_problems(proposal: pb.Proposal) -> list[tuple[str, str]]:
    """Return the paths and reasons of everything that is wrong."""
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
