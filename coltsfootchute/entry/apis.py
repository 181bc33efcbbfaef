"""Handlers of the `api` listener, for callers, targets, operators and monitoring."""

import typing

import aiohttp.web
import loguru
import msgspec

from coltsfootchute import announcements, declarations, errors, expositions, logs
from coltsfootchute.entry import (
    addresses,
    clients,
    descriptions,
    evacuations,
    metrics,
    operations,
    operators,
    watches,
)
from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["Api", "Extension", "TargetLeaseTimes"]

# Enough for a section document, which has at most a few hundred short rules.
MAX_BODY_BYTES = 1 << 20
MAX_DETAIL_CHARS = 500
READ_TIMEOUT_S = 3.0
CHANGE_TIMEOUT_S = 5.0

_Handler = typing.Callable[
    [aiohttp.web.Request], typing.Awaitable[aiohttp.web.Response]
]
_Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:-]*$", max_length=128)
]
_Number = typing.Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class TargetLeaseTimes(msgspec.Struct, frozen=True):
    """Length and renewal interval of a target's lease, in seconds."""

    lease_s: float = 30
    renew_s: float = 10


class _ProposalBody(msgspec.Struct, forbid_unknown_fields=True):
    expected_revision: _Number
    document: str | dict[str, typing.Any]
    author: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
    request_id: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class _TargetBody(msgspec.Struct, forbid_unknown_fields=True):
    id: _Name
    incarnation: _Number
    address: typing.Annotated[
        str, msgspec.Meta(pattern=r"^(\d+\.\d+\.\d+\.\d+|\[[0-9a-fA-F:]+\]):\d+$")
    ]
    failure_domain: _Name
    services: typing.Annotated[
        list[_Name], msgspec.Meta(min_length=1, max_length=announcements.MAX_SERVICES)
    ]
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=announcements.MAX_SLOTS)]


class _IncarnationBody(msgspec.Struct, forbid_unknown_fields=True):
    incarnation: _Number


_PROPOSAL_DECODER = msgspec.json.Decoder(_ProposalBody)
_TARGET_DECODER = msgspec.json.Decoder(_TargetBody)
_INCARNATION_DECODER = msgspec.json.Decoder(_IncarnationBody)

_PROPOSAL_ERRORS = {
    coltsfootchute_pb2.PROPOSAL_STATUS_CONFLICT: (409, "conflict"),
    coltsfootchute_pb2.PROPOSAL_STATUS_NOT_OWNER: (403, "not_owner"),
    coltsfootchute_pb2.PROPOSAL_STATUS_INVALID: (400, "invalid"),
    coltsfootchute_pb2.PROPOSAL_STATUS_REQUEST_ID_REUSED: (409, "request_id_reused"),
}
_ANNOUNCEMENT_ERRORS = {
    coltsfootchute_pb2.ANNOUNCEMENT_STATUS_OLD_INCARNATION: (409, "old_incarnation"),
    coltsfootchute_pb2.ANNOUNCEMENT_STATUS_UNKNOWN_TARGET: (404, "unknown_target"),
}
_MUST_ANNOUNCE = "the target must announce itself"
_COMMAND_KINDS = {
    "drain": coltsfootchute_pb2.TargetCommand.KIND_DRAIN,
    "withdraw": coltsfootchute_pb2.TargetCommand.KIND_WITHDRAW,
}


class Api:
    """Handlers of the `api` listener.

    Parameters
    ----------
    view
        The replicated state.
    client
        The Control client.
    teams
        Identifies the team that sent a request.
    meters
        Metrics.
    own_instance
        Returns the description of this instance with its current state.
    keep_s
        Seconds for which callers may cache an address answer.
    failure_domains
        Names of the known failure domains; empty if any name is accepted.
    """

    def __init__(
        self,
        *,
        view: watches.View,
        client: clients.ControlClient,
        teams: operators.Operators,
        meters: metrics.Metrics,
        own_instance: typing.Callable[[], coltsfootchute_pb2.Instance],
        keep_s: float,
        failure_domains: typing.Collection[str] = (),
    ):
        self._view = view
        self._client = client
        self._teams = teams
        self._meters = meters
        self._own_instance = own_instance
        self._keep_s = keep_s
        self._answer_count = 0
        self.operations = operations.Operations(
            view, client, own_instance, failure_domains
        )

    @property
    def view(self) -> watches.View:
        """The replicated state."""
        return self._view

    @property
    def keep_s(self) -> float:
        """Seconds for which callers may cache an address answer."""
        return self._keep_s

    def own_instance(self) -> coltsfootchute_pb2.Instance:
        """Return the description of this instance with its current state."""
        return self._own_instance()

    def application(self) -> aiohttp.web.Application:
        """Return the routes with their handlers."""
        app = aiohttp.web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[_answer_errors]
        )
        app.router.add_get("/v1/services/{service}/addresses", self.addresses)
        app.router.add_get("/v1/declaration", self.declaration)
        app.router.add_put("/v1/declaration", self.declare)
        app.router.add_get("/v1/sections", self.sections)
        app.router.add_get("/v1/sections/{name}", self.section)
        app.router.add_get("/v1/sections/{name}/history", self.history)
        app.router.add_put("/v1/sections/{name}", self.propose)
        app.router.add_get("/v1/targets", self.targets)
        app.router.add_post("/v1/targets", self.announce)
        app.router.add_post("/v1/targets/{id}/renew", self.renew)
        app.router.add_post("/v1/targets/{id}/{kind:drain|withdraw}", self.retire)
        evacuations.Handlers(self.operations, self._own_instance).add_routes(app.router)
        app.router.add_get("/v1/status", self.status)
        app.router.add_get("/metrics", self.metrics)
        app.router.add_get("/healthz", self.healthz)
        app.router.add_get("/readyz", self.readyz)
        return app

    async def addresses(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Return the entries that a caller of a service should use."""
        service = request.match_info["service"]
        table = self._view.rule_tables.get(service)
        if table is None:
            return _error(404, "no_service", f"no service {service!r}")
        instance = self._own_instance()
        others = [i for i in self._view.instances.values() if i.name != instance.name]
        self._answer_count += 1
        section = table.section
        candidates = addresses.entries_for_service(
            service, [instance, *others], section.entries
        )
        chosen = addresses.choose_addresses(
            candidates, section.entries_per_caller, self._answer_count
        )
        body = {
            "service": service,
            "keep_s": self._keep_s,
            "addresses": [
                {"address": i.calls_address, "failure_domain": i.failure_domain}
                for i in chosen
            ],
        }
        return _json(body)

    async def declaration(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Return the declaration in force as it was submitted."""
        found = await self.operations.read_declaration()
        if not found.version:
            return _error(
                404, "no_declaration", "no declaration has been submitted yet"
            )
        return aiohttp.web.Response(
            body=found.submitted, content_type="application/json"
        )

    async def declare(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Commit a declaration; an older version is acknowledged but not applied."""
        submitted = await request.read()
        try:
            declared = declarations.parse(submitted)
        except errors.DocumentError as exc:
            self.record_refused("declaration", exc)
            problems = [{"path": p, "reason": r} for p, r in exc.problems]
            return _json({"error": "invalid", "errors": problems}, 400)
        outcome = await self.operations.submit_declaration(declared, submitted)
        return _json({"version": outcome.version, "applied": outcome.applied})

    def record_refused(self, kind: str, exc: errors.DocumentError, **fields) -> None:
        """Log and count a document that was refused as invalid."""
        self._meters.refused_documents.labels(kind).inc()
        detail = str(exc)[:MAX_DETAIL_CHARS]
        logs.log_event("api", f"refused {kind}", detail=detail, **fields)

    async def sections(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Return all sections in force."""
        reply = await self._read_sections("")
        return _json(
            {"sections": [descriptions.describe_section(s) for s in reply.sections]}
        )

    async def section(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Return one section in force."""
        name = request.match_info["name"]
        reply = await self._read_sections(name)
        found = next((s for s in reply.sections if s.name == name), None)
        if found is None:
            return _error(404, "no_section", f"no section {name!r}")
        return _json(descriptions.describe_section(found))

    async def history(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Return the stored revisions of a section, oldest first."""
        name = request.match_info["name"]
        reply = await self._read_sections(name)
        found = next((s for s in reply.sections if s.name == name), None)
        if found is None:
            return _error(404, "no_section", f"no section {name!r}")
        history = [descriptions.describe_revision(r) for r in found.history]
        return _json({"name": name, "owner": found.owner, "history": history})

    async def _read_sections(self, name: str) -> coltsfootchute_pb2.ReadSectionsReply:
        request = coltsfootchute_pb2.ReadSectionsRequest(name=name)
        return await self._client.call(
            "ReadSections", request, READ_TIMEOUT_S, repeatable=True
        )

    async def propose(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Propose a new revision of a section."""
        team = self._teams.team_of(request)
        body = _PROPOSAL_DECODER.decode(await request.read())
        document = body.document
        if not isinstance(document, str):
            document = msgspec.json.encode(document).decode()
        proposal = coltsfootchute_pb2.Proposal(
            section=request.match_info["name"],
            expected_revision=body.expected_revision,
            document=document,
            team=team,
            author=body.author,
            request_id=body.request_id,
        )
        # Control returns the first outcome to a proposal that is sent again with the
        # same request id.
        reply = await self._client.call(
            "Propose", proposal, CHANGE_TIMEOUT_S, repeatable=True
        )
        return _proposal_answer(reply.outcome)

    async def announce(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Register a target that announces itself."""
        body = _TARGET_DECODER.decode(await request.read())
        target = coltsfootchute_pb2.Target(
            target_id=body.id,
            incarnation=body.incarnation,
            address=body.address,
            failure_domain=body.failure_domain,
            services=body.services,
            slots=body.slots,
        )
        kind = coltsfootchute_pb2.TargetCommand.KIND_ANNOUNCE
        return await self._change_target(kind, target)

    async def retire(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Drain or withdraw a target."""
        body = _INCARNATION_DECODER.decode(await request.read())
        target = coltsfootchute_pb2.Target(
            target_id=request.match_info["id"], incarnation=body.incarnation
        )
        return await self._change_target(
            _COMMAND_KINDS[request.match_info["kind"]], target
        )

    async def _change_target(
        self, kind: int, target: coltsfootchute_pb2.Target
    ) -> aiohttp.web.Response:
        outcome = await self.operations.change_target(kind, target, CHANGE_TIMEOUT_S)
        if outcome.status in _ANNOUNCEMENT_ERRORS:
            status, name = _ANNOUNCEMENT_ERRORS[outcome.status]
            detail = f"incarnation {outcome.incarnation} is already registered"
            return _error(status, name, _MUST_ANNOUNCE if status == 404 else detail)
        if outcome.status != coltsfootchute_pb2.ANNOUNCEMENT_STATUS_ACCEPTED:
            return _error(
                504, "unknown", "the outcome is unknown; send the request again"
            )
        times = msgspec.to_builtins(TargetLeaseTimes())
        return _json({"incarnation": outcome.incarnation, **times})

    async def renew(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Renew the lease of a target.

        Notes
        -----
        A current entry confirms the renewal from its own view and sends it to the
        leader with the next batch. An entry that is stale, or whose last renewals
        did not reach the leader, waits for the leader's reply. If that fails, the
        target gets an error and turns to another entry.
        """
        body = _INCARNATION_DECODER.decode(await request.read())
        target_id = request.match_info["id"]
        if self.operations.can_confirm_renewal(target_id, body.incarnation):
            self._client.renew_in_background(target_id, body.incarnation)
            return _json(msgspec.to_builtins(TargetLeaseTimes()))
        if await self._client.renew(target_id, body.incarnation):
            return _json(msgspec.to_builtins(TargetLeaseTimes()))
        known = self._view.targets.get(target_id)
        if known is not None and known.incarnation > body.incarnation:
            detail = f"incarnation {known.incarnation} is already registered"
            return _error(409, "old_incarnation", detail)
        return _error(404, "unknown_target", _MUST_ANNOUNCE)

    async def targets(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Return the registered targets with their leases, as known to the leader."""
        reply = await self._client.status(READ_TIMEOUT_S)
        targets = [
            {**descriptions.describe_target(t.target), "remaining_ms": t.remaining_ms}
            for t in reply.targets
        ]
        return _json({"targets": targets})

    async def status(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Return leader, term, members and the revision at each entry."""
        reply = await self._client.status(READ_TIMEOUT_S)
        return _json(descriptions.describe_status(reply, self._own_instance()))

    async def metrics(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Return the metrics in the text format of Prometheus."""
        headers = {"Content-Type": expositions.CONTENT_TYPE}
        return aiohttp.web.Response(body=self.exposition(), headers=headers)

    def exposition(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        instance = self._own_instance()
        self._meters.stale.set(instance.stale)
        self._meters.revision.set(instance.revision)
        self._meters.evacuated.set(len(self._view.evacuated))
        return self._meters.exposition()

    async def healthz(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Report that the process responds."""
        return _json({"healthy": True})

    async def readyz(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Report whether the entry is current and not stopping."""
        instance = self._own_instance()
        is_stopping = instance.state == coltsfootchute_pb2.INSTANCE_STATE_STOPPING
        ready = not instance.stale and not is_stopping
        body = {"ready": ready, "stale": instance.stale, "stopping": is_stopping}
        return _json({**body, "revision": instance.revision}, 200 if ready else 503)


Extension = typing.Callable[[aiohttp.web.Application, Api], None]


@aiohttp.web.middleware
async def _answer_errors(
    request: aiohttp.web.Request, handler: _Handler
) -> aiohttp.web.StreamResponse:
    """Answer errors of a handler as JSON with their status."""
    try:
        return await handler(request)
    except msgspec.ValidationError as exc:
        reason, _, path = str(exc).partition(" - at `")
        problems = [{"path": path.rstrip("`") or "$", "reason": reason}]
        return _json({"error": "invalid", "errors": problems}, 400)
    except msgspec.DecodeError as exc:
        problems = [{"path": "$", "reason": str(exc)}]
        return _json({"error": "invalid", "errors": problems}, 400)
    except operators.UnauthorizedError as exc:
        return _error(401, "unauthorized", str(exc))
    except clients.RejectedError as exc:
        return _error(400, "invalid", str(exc))
    except errors.UnavailableError as exc:
        return _error(503, "unavailable", str(exc))
    except errors.OutcomeUnknownError as exc:
        return _error(504, "unknown", str(exc))
    except aiohttp.web.HTTPRequestEntityTooLarge:
        detail = f"the body is larger than {MAX_BODY_BYTES} bytes"
        return _error(413, "body_too_large", detail)
    except aiohttp.web.HTTPException as exc:
        name = "not_found" if exc.status == 404 else "bad_request"
        return _error(exc.status, name, exc.reason)
    except Exception:
        loguru.logger.exception("entry: {} {} failed", request.method, request.path)
        return _error(
            500, "internal", "the entry failed to handle the request; see its log"
        )


def _json(body: typing.Any, status: int = 200) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


def _error(status: int, name: str, detail: str) -> aiohttp.web.Response:
    response = _json({"error": name, "detail": detail}, status)
    if status == 503:
        response.headers["Retry-After"] = "1"
    return response


def _proposal_answer(
    outcome: coltsfootchute_pb2.ProposalOutcome,
) -> aiohttp.web.Response:
    if outcome.status == coltsfootchute_pb2.PROPOSAL_STATUS_ACCEPTED:
        return _json({"revision": outcome.revision, "index": outcome.index})
    if outcome.status not in _PROPOSAL_ERRORS:
        return _error(
            504,
            "unknown",
            "the outcome is unknown; send it again with the same request id",
        )
    status, name = _PROPOSAL_ERRORS[outcome.status]
    problems = [{"path": e.path, "reason": e.reason} for e in outcome.errors]
    body = {"error": name, "revision": outcome.revision, "author": outcome.author}
    return _json({**body, "errors": problems}, status)
