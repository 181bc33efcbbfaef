"""What operators, targets and callers ask of an instance, apart from HTTP."""

import typing

from coltsfootchute import declarations
from coltsfootchute.entry import addresses, clients, watches
from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["Operations"]

# An operator that gets no response within a second turns to another instance.
DECLARATION_LIMIT_S = 0.9
# A target that gets no response within a second turns to another instance.
REPORT_LIMIT_S = 0.9


class Operations:
    """Declarations, reports of targets, and the list of entries.

    Parameters
    ----------
    view
        The replicated state.
    client
        The Control client.
    own
        Returns this instance with its present state.
    """

    def __init__(
        self,
        view: watches.View,
        client: clients.ControlClient,
        own: typing.Callable[[], coltsfootchute_pb2.Instance],
    ):
        self._view = view
        self._client = client
        self._own = own

    async def read_declaration(self) -> coltsfootchute_pb2.Declaration:
        """Return the newest declaration; version 0 if there is none.

        Raises
        ------
        coltsfootchute.errors.ColtsfootchuteError
            If the leader did not reply, so that the newest one is not known.
        """
        request = coltsfootchute_pb2.ReadDeclarationRequest()
        reply = await self._client.call(
            "ReadDeclaration", request, DECLARATION_LIMIT_S, repeatable=True
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
            What the operator sent, for later reads.

        Raises
        ------
        coltsfootchute.errors.ColtsfootchuteError
            If it may not be in force; it can be sent again.
        """
        message = coltsfootchute_pb2.Declaration(
            version=declared.version,
            document=declarations.encode(declared),
            submitted=submitted,
        )
        reply = await self._client.call(
            "Declare", message, DECLARATION_LIMIT_S, repeatable=True
        )
        return reply.outcome

    async def report_target(
        self, target: coltsfootchute_pb2.Target
    ) -> coltsfootchute_pb2.AnnouncementOutcome | None:
        """Take the periodic report of a target.

        Parameters
        ----------
        target
            The target; in state draining if it is leaving.

        Returns
        -------
        AnnouncementOutcome or None
            None if the report holds no news; then only the lease is renewed.

        Raises
        ------
        coltsfootchute.errors.ColtsfootchuteError
            If the report may be lost; the target must turn to another instance.
        """
        if self._holds(target):
            self._client.renew_in_background(target.target_id, target.incarnation)
            return None
        return await self.change_target(
            coltsfootchute_pb2.TargetCommand.KIND_ANNOUNCE, target
        )

    def _holds(self, target: coltsfootchute_pb2.Target) -> bool:
        known = self._view.targets.get(target.target_id)
        if not self.is_registered(target.target_id, target.incarnation):
            return False
        told = (target.address, list(target.services), target.slots, target.state)
        held = (known.address, list(known.services), known.slots, known.state)
        # A draining target stays draining, whatever a late report says.
        drains = known.state == coltsfootchute_pb2.TARGET_STATE_DRAINING
        return told == held or (drains and told[:3] == held[:3])

    async def change_target(
        self,
        kind: int,
        target: coltsfootchute_pb2.Target,
        limit_s: float = REPORT_LIMIT_S,
    ) -> coltsfootchute_pb2.AnnouncementOutcome:
        """Commit a command for a target.

        Raises
        ------
        coltsfootchute.errors.ColtsfootchuteError
            If it may not be in force; it can be sent again.
        """
        command = coltsfootchute_pb2.TargetCommand(kind=kind, target=target)
        message = coltsfootchute_pb2.AnnounceRequest(command=command)
        # Register commands are idempotent for the same incarnation.
        reply = await self._client.call("Announce", message, limit_s, repeatable=True)
        return reply.outcome

    def entries(self) -> list[coltsfootchute_pb2.Instance]:
        """Return the entries that callers should use, nearest not considered."""
        return addresses.usable(list(self._view.instances.values()))

    def is_registered(self, target_id: str, incarnation: int) -> bool:
        """Tell whether a renewal needs no reply of control."""
        known = self._view.targets.get(target_id)
        if known is None or known.incarnation != incarnation:
            return False
        return self._client.are_renewals_acknowledged and not self._own().stale
