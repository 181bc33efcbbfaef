"""Reports of requests that may have crashed the target that ran them."""

import asyncio
import time

from coltsfootchute import balancing, ids, logs
from coltsfootchute.entry import attempts, clients, digests, requests
from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["CrashReporter"]


# A target that crashed is unreachable for seconds; a connection takes about 1 ms.
CONFIRM_AFTER_S = 0.05
CONNECT_TIMEOUT_S = 0.25


class CrashReporter:
    """Counts possible crashes of targets and reports them to control.

    Parameters
    ----------
    client
        The Control client.
    """

    def __init__(self, client: clients.ControlClient):
        self._client = client
        self._confirm_tasks: set[asyncio.Task[None]] = set()

    def record_lost_connection(
        self, call: requests.Call, target: balancing.Target, attempt: attempts.Attempt
    ) -> None:
        """Count the loss of a connection while the request ran as a possible crash.

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
        For declared routes, only the failure of a new connection to the target
        confirms the crash: many targets lose a response or reset a connection without
        a crash, and requests with the same path and body come from many callers.
        """
        if not call.is_declared:
            self._record_crash(call, target.target_id, attempt)
            return
        task = asyncio.ensure_future(self._confirm_crash(call, target, attempt))
        self._confirm_tasks.add(task)
        task.add_done_callback(self._confirm_tasks.discard)

    async def _confirm_crash(
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
            self._record_crash(call, target.target_id, attempt)
        else:
            writer.close()

    def _record_crash(
        self, call: requests.Call, target_id: str, attempt: attempts.Attempt
    ) -> None:
        service = call.service
        service.has_crashes = True
        for digest in digests.crash_digests(call):
            report = service.pool.crashes.record_crash(
                digest,
                ids.TargetId(target_id),
                attempt.started_s,
                attempt.revision,
                time.monotonic(),
            )
            if report is None:
                continue
            command = coltsfootchute_pb2.CrashCommand(
                service=service.name,
                digest=report.digest,
                target_id=report.target_id,
                seen_revision=report.started_revision,
                earlier_target_ids=sorted(report.earlier_target_ids),
            )
            self._client.report_crash(command)

    def record_response(self, call: requests.Call) -> None:
        """Clear the crash counts of a request after a complete response."""
        for digest in digests.crash_digests(call):
            if call.service.pool.crashes.clear_count(digest):
                command = coltsfootchute_pb2.CrashCommand(
                    service=call.service.name, digest=digest, cleared=True
                )
                self._client.report_crash(command)
