"""Reports of requests whose target broke the connection while they ran."""

import asyncio
import time

from coltsfootchute import balancing, ids, logs
from coltsfootchute.entry import attempts, clients, requests
from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["CrashReporter"]


# A target that crashed is down for seconds; a connection takes about 1 ms.
CONFIRM_AFTER_S = 0.05
CONNECT_TIMEOUT_S = 0.25


class CrashReporter:
    """Counts possible crashes and reports those that count.

    Parameters
    ----------
    client
        The Control client.
    """

    def __init__(self, client: clients.ControlClient):
        self._client = client
        self._checks: set[asyncio.Task[None]] = set()

    def crashed(
        self, call: requests.Call, target: balancing.Target, attempt: attempts.Attempt
    ) -> None:
        """Count a connection that broke while the request ran.

        Parameters
        ----------
        call
            The call.
        target
            The target of the attempt.
        attempt
            The attempt.

        Notes
        -----
        Targets of declared routes are asked for a new connection first: many lose
        an answer or reset a connection without a crash, and requests with the same
        path and body come from many callers.
        """
        if not call.is_declared:
            self._count(call, target.target_id, attempt)
            return
        check = asyncio.ensure_future(self._confirm(call, target, attempt))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _confirm(
        self, call: requests.Call, target: balancing.Target, attempt: attempts.Attempt
    ) -> None:
        await asyncio.sleep(CONFIRM_AFTER_S)
        host, _, port = target.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        except (OSError, TimeoutError) as exc:
            logs.log_event(
                "entry",
                "a target crashed",
                request=call.request_id,
                target=target.target_id,
                error=repr(exc),
            )
            self._count(call, target.target_id, attempt)
        else:
            writer.close()

    def _count(
        self, call: requests.Call, target_id: str, attempt: attempts.Attempt
    ) -> None:
        service = call.service
        service.has_crashes = True
        report = service.pool.crashes.record_crash(
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
        if not call.service.pool.crashes.clear_count(digest):
            return
        command = coltsfootchute_pb2.CrashCommand(
            service=call.service.name, digest=digest, cleared=True
        )
        self._client.report_crash(command)
