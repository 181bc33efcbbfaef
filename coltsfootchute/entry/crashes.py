"""Reports of requests whose target broke the connection while they ran."""

import time

from coltsfootchute import ids
from coltsfootchute.entry import attempts, clients, requests
from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["CrashReporter"]


class CrashReporter:
    """Counts possible crashes and reports those that count.

    Parameters
    ----------
    client
        The Control client.
    """

    def __init__(self, client: clients.ControlClient):
        self._client = client

    def crashed(
        self, call: requests.Call, target_id: str, attempt: attempts.Attempt
    ) -> None:
        """Count a connection that broke while the request ran.

        Parameters
        ----------
        call
            The call.
        target_id
            The target of the attempt.
        attempt
            The attempt.
        """
        service = call.service
        service.has_crashes = True
        report = service.pool.crashes.crashed(
            call.crash_digest(),
            ids.TargetId(target_id),
            attempt.started_s,
            attempt.revision,
            time.monotonic(),
        )
        if report is None:
            return
        command = coltsfootchute_pb2.CrashCommand(
            service=service.name,
            digest=report.digest,
            target_id=report.target_id,
            seen_revision=report.started_revision,
            earlier_target_ids=sorted(report.earlier_target_ids),
        )
        self._client.report_crash(command)

    def answered(self, call: requests.Call) -> None:
        """End the count of a digest after a complete response."""
        digest = call.crash_digest()
        if not call.service.pool.crashes.answered(digest):
            return
        command = coltsfootchute_pb2.CrashCommand(
            service=call.service.name, digest=digest, cleared=True
        )
        self._client.report_crash(command)
