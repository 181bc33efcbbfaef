"""Operations for operators, targets and callers, independent of HTTP."""

import asyncio
import hashlib
import time
import typing

from coltsfootchute import announcements, declarations, errors, logs
from coltsfootchute.entry import addresses, clients, watches
from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["Operations", "UnknownDomainError"]

# Operators turn to another instance after 1 s without a response.
DECLARATION_TIMEOUT_S = 0.9
# The transfer of a declaration to control goes on for this time after the operator has
# turned to another instance, so that the next attempt does not start again.
SUBMISSION_TIMEOUT_S = 10.0
# Maximum number of declarations that are transferred at the same time.
MAX_SUBMISSIONS = 8
# Targets turn to another instance after 1 s without a response.
REPORT_TIMEOUT_S = 0.9
# The platform takes an evacuation without an answer within 1 s as failed.
EVACUATION_TIMEOUT_S = 0.9


class UnknownDomainError(errors.ColtsfootchuteError):
    """The settings name the failure domains, and this one is not among them.

    Parameters
    ----------
    domain
        The unknown name.
    known
        The known names.
    """

    def __init__(self, domain: str, known: typing.Collection[str]):
        self.known = sorted(known)
        names = ", ".join(self.known)
        super().__init__(f"no failure domain {domain!r:.100}; known are {names}")


class Operations:
    """Declarations, evacuations, reports of targets, and the list of entries.

    Parameters
    ----------
    view
        The replicated state.
    client
        The Control client.
    own_instance
        Returns the description of this instance with its current state.
    failure_domains
        Names of the known failure domains; empty if any name is accepted.
    """

    def __init__(
        self,
        view: watches.View,
        client: clients.ControlClient,
        own_instance: typing.Callable[[], coltsfootchute_pb2.Instance],
        failure_domains: typing.Collection[str] = (),
    ):
        self._view = view
        self._client = client
        self._own_instance = own_instance
        self._failure_domains = failure_domains
        # Transfers to control by the digest of what the operator sent.
        self._submissions: dict[bytes, asyncio.Task[typing.Any]] = {}

    async def read_declaration(self) -> coltsfootchute_pb2.Declaration:
        """Return the newest declaration; version 0 if there is none.

        Raises
        ------
        coltsfootchute.errors.ColtsfootchuteError
            If the leader did not reply, so that the newest declaration is unknown.
        """
        request = coltsfootchute_pb2.ReadDeclarationRequest()
        reply = await self._client.call(
            "ReadDeclaration", request, DECLARATION_TIMEOUT_S, repeatable=True
        )
        return reply.declaration

    async def submit_declaration(
        self, declared: declarations.Declaration, submitted: bytes
    ) -> coltsfootchute_pb2.DeclarationOutcome:
        """Commit a checked declaration.

        Parameters
        ----------
        declared
            The declaration.
        submitted
            The bytes that the operator sent, which later reads return unchanged.

        Raises
        ------
        coltsfootchute.errors.ColtsfootchuteError
            If the declaration may not be in force. It is safe to submit it again.
        """
        digest = hashlib.blake2b(submitted, digest_size=16).digest()
        task = self._submissions.get(digest)
        if task is None:
            if len(self._submissions) >= MAX_SUBMISSIONS:
                raise errors.UnavailableError(
                    f"{MAX_SUBMISSIONS} other declarations are being transferred"
                )
            message = coltsfootchute_pb2.Declaration(
                version=declared.version,
                document=declarations.encode(declared),
                submitted=submitted,
            )
            task = self._client.start_call("Declare", message, SUBMISSION_TIMEOUT_S)
            self._submissions[digest] = task
            task.add_done_callback(lambda _: self._submissions.pop(digest))
        try:
            async with asyncio.timeout(DECLARATION_TIMEOUT_S):
                reply = await asyncio.shield(task)
        except TimeoutError:
            raise errors.OutcomeUnknownError(
                f"no reply to the declaration within {DECLARATION_TIMEOUT_S} s"
            ) from None
        return reply.outcome

    async def evacuate(
        self, domain: str, *, ended: bool
    ) -> coltsfootchute_pb2.EvacuationOutcome:
        """Commit the start or the end of the evacuation of a failure domain.

        Parameters
        ----------
        domain
            Name of the failure domain. It may have no targets yet.
        ended
            Whether the evacuation ends.

        Raises
        ------
        UnknownDomainError
            If the settings name the failure domains and this one is not among them.
        coltsfootchute.errors.ColtsfootchuteError
            If the command may not be in force after `EVACUATION_TIMEOUT_S`. It is safe
            to send it again, to any entry.
        """
        if self._failure_domains and domain not in self._failure_domains:
            raise UnknownDomainError(domain, self._failure_domains)
        message = coltsfootchute_pb2.Evacuation(failure_domain=domain, ended=ended)
        reply = await self._client.call(
            "Evacuate", message, EVACUATION_TIMEOUT_S, repeatable=True
        )
        logs.log_event(
            "api",
            "evacuation ended" if ended else "evacuation started",
            failure_domain=domain,
            applied=reply.outcome.applied,
        )
        return reply.outcome

    def evacuations(self) -> list[coltsfootchute_pb2.Evacuation]:
        """Return the evacuations that this entry applies.

        Raises
        ------
        coltsfootchute.errors.UnavailableError
            If the entry has not received any state since its start.

        Notes
        -----
        The status of a control instance is not used: until a restarted instance knows
        what is committed, it would list no evacuation.
        """
        if not self._view.cluster_id:
            raise errors.UnavailableError("the entry has received no state yet")
        return [
            coltsfootchute_pb2.Evacuation(failure_domain=domain, started_ms=started_ms)
            for domain, started_ms in self._view.evacuated.items()
        ]

    async def report_target(
        self, target: coltsfootchute_pb2.Target
    ) -> coltsfootchute_pb2.AnnouncementOutcome | None:
        """Process the periodic report of a target.

        Parameters
        ----------
        target
            The target; in state draining if it is leaving.

        Returns
        -------
        AnnouncementOutcome or None
            None if the report contains no change; then only the lease is renewed.

        Raises
        ------
        coltsfootchute.errors.ColtsfootchuteError
            If the report may be lost; the target has to turn to another instance.
        """
        if self._is_unchanged(target):
            self._client.renew_in_background(target.target_id, target.incarnation)
            return None
        return await self.change_target(
            coltsfootchute_pb2.TargetCommand.KIND_ANNOUNCE, target
        )

    def _is_unchanged(self, target: coltsfootchute_pb2.Target) -> bool:
        known = self._view.targets.get(target.target_id)
        if not self.can_confirm_renewal(target.target_id, target.incarnation):
            return False
        if self._has_ramp(target) and announcements.changes_warm_up(
            known, target.warm_up_ms, int(time.time() * 1000)
        ):
            return False
        reported = (target.address, list(target.services), target.slots, target.state)
        registered = (known.address, list(known.services), known.slots, known.state)
        # A target stays in state draining even if a late report has another state.
        is_draining = known.state == coltsfootchute_pb2.TARGET_STATE_DRAINING
        return reported == registered or (
            is_draining and reported[:3] == registered[:3]
        )

    def _has_ramp(self, target: coltsfootchute_pb2.Target) -> bool:
        """Tell whether requests to the target are limited while it is cold."""
        routes = self._view.routes
        return routes is not None and any(
            service.ramp_per_s and service.name in target.services
            for service in routes.declaration.services
        )

    async def change_target(
        self,
        kind: int,
        target: coltsfootchute_pb2.Target,
        limit_s: float = REPORT_TIMEOUT_S,
    ) -> coltsfootchute_pb2.AnnouncementOutcome:
        """Commit a command about a target.

        Raises
        ------
        coltsfootchute.errors.ColtsfootchuteError
            If the command may not have been applied. It is safe to send it again.
        """
        command = coltsfootchute_pb2.TargetCommand(kind=kind, target=target)
        message = coltsfootchute_pb2.AnnounceRequest(command=command)
        # Commands for targets are idempotent for the same incarnation.
        reply = await self._client.call("Announce", message, limit_s, repeatable=True)
        return reply.outcome

    def entries(self) -> list[coltsfootchute_pb2.Instance]:
        """Return the entries that callers may use, in any failure domain."""
        return addresses.usable_entries(list(self._view.instances.values()))

    def can_confirm_renewal(self, target_id: str, incarnation: int) -> bool:
        """Tell whether a renewal can be confirmed without a reply from control."""
        known = self._view.targets.get(target_id)
        if known is None or known.incarnation != incarnation:
            return False
        return self._client.are_renewals_acknowledged and not self._own_instance().stale
