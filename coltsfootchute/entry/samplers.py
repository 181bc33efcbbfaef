"""Load probes of a few targets just before a request is sent to one of them."""

import asyncio
import collections.abc
import math
import time

import loguru
import multidict

from coltsfootchute import balancing, cancellations, ids, settings
from coltsfootchute.balancing import loads
from coltsfootchute.entry import attempts, forwards, pools, statements

__all__ = ["Sampler"]

# A probe that takes longer is cancelled, and its connection is closed.
PROBE_TIMEOUT_S = 0.5
# A request with less time left until its deadline is sent without probes.
MIN_REMAINING_S = 0.1


class Sampler:
    """Probes targets for their load.

    Parameters
    ----------
    forwarder
        Connections to targets.
    cfg
        Number of targets to probe, and how long a request waits for the answers.
    header_names
        Names of headers, among them the one of a load report.
    recorder
        Records what targets state in their responses.

    Notes
    -----
    The load of a target changes within milliseconds, so a report that came with an
    earlier response is out of date. A probe is answered within a few milliseconds and
    costs much less than a request that is sent to a busy machine.
    """

    def __init__(
        self,
        forwarder: forwards.Forwarder,
        cfg: settings.SampleSettings,
        header_names: settings.HeaderSettings,
        recorder: statements.Recorder,
    ):
        self._forwarder = forwarder
        self._cfg = cfg
        self._header_names = header_names
        self._recorder = recorder
        self._probes: set[asyncio.Task[None]] = set()

    async def sample(
        self,
        service: pools.Service,
        deadline_s: float,
        tried_target_ids: collections.abc.Collection[ids.TargetId] = (),
        left: float = 0.0,
        also: balancing.TargetView | None = None,
    ) -> int:
        """Refresh the load of a few targets.

        Parameters
        ----------
        service
            The service.
        deadline_s
            Time of the monotonic clock by which the request must be answered.
        tried_target_ids
            Targets that the request is not sent to again.
        left
            Part of the probe rate limit that is left to other requests, 0 to 1.
        also
            A target that is probed before all others.

        Returns
        -------
        int
            Number of targets that were probed.
        """
        now = time.monotonic()
        if not self._cfg.per_target_s or not service.health_path:
            return 0
        if deadline_s - now < MIN_REMAINING_S:
            return 0
        views = service.pool.probe_candidates(
            self._cfg.fan_out, now, tried_target_ids, left, also
        )
        tasks = [asyncio.ensure_future(self._probe(service, view)) for view in views]
        if not tasks:
            return 0
        self._track(tasks)
        await asyncio.wait(tasks, timeout=self._cfg.wait_s)
        return len(tasks)

    def start_probe(self, service: pools.Service, view: balancing.TargetView) -> None:
        """Probe a target in the background, within the limit on probes."""
        is_possible = self._cfg.per_target_s and service.health_path
        if is_possible and service.pool.take_probe(view, time.monotonic()):
            self._track([asyncio.ensure_future(self._probe(service, view))])

    def _track(self, tasks: list[asyncio.Task[None]]) -> None:
        self._probes.update(tasks)
        for task in tasks:
            task.add_done_callback(self._probes.discard)

    async def close(self) -> None:
        """Cancel the probes in progress."""
        await cancellations.cancel_and_wait(self._probes)

    async def _probe(self, service: pools.Service, view: balancing.TargetView) -> None:
        address = view.target.address
        attempt = attempts.Attempt()
        request_line = f"GET {service.health_path} HTTP/1.1"
        headers = multidict.CIMultiDict({"Host": address})
        asked_s = time.monotonic()
        view.probe_sent_s = min(view.probe_sent_s, asked_s)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                endpoint = service.endpoint(address)
                await self._forwarder.probe(attempt, endpoint, request_line, headers)
        except (TimeoutError, attempts.AttemptError, attempts.TruncatedError) as exc:
            loguru.logger.debug("entry: probe of {} failed: {!r}", address, exc)
            return
        finally:
            view.probe_sent_s = math.inf
            attempt.finish()
            if attempt.headers is not None:
                self._recorder.record(view.target, attempt, is_probe=True)
        report = attempt.headers.get(self._header_names.load)
        load = loads.FORMATS[self._header_names.load_format](report) if report else None
        # A target that responds without a load report counts as idle.
        if load is None:
            view.record_load(loads.LoadReport(0.0), time.monotonic())
        else:
            view.record_probe(load, asked_s, time.monotonic())
