"""Probes of a few targets right before a request is sent to one of them."""

import asyncio
import collections.abc
import math
import time

import loguru
import multidict

from coltsfootchute import balancing, cancellations, ids, settings
from coltsfootchute.balancing import loads
from coltsfootchute.entry import attempts, forwards, pools

__all__ = ["Sampler"]

# A probe that takes longer is given up; its connection is closed.
PROBE_LIMIT_S = 0.5
# A request that has less time left is sent without probes.
MIN_LEFT_S = 0.1
_NO_BODY = attempts.Body(b"", None)


class Sampler:
    """Asks targets for their load.

    Parameters
    ----------
    forwarder
        Connections to targets.
    cfg
        How many targets are asked, and how long a request waits.
    names
        Names of headers.

    Notes
    -----
    Load moves within milliseconds, so a report that came with an earlier response
    says little. A probe is answered within a few milliseconds and costs much less
    than a request on a busy machine.
    """

    def __init__(
        self,
        forwarder: forwards.Forwarder,
        cfg: settings.SampleSettings,
        names: settings.HeaderSettings,
    ):
        self._forwarder = forwarder
        self._cfg = cfg
        self._names = names
        self._probes: set[asyncio.Task[None]] = set()

    async def sample(
        self,
        service: pools.Service,
        deadline_s: float,
        tried: collections.abc.Collection[ids.TargetId] = (),
    ) -> int:
        """Refresh the load of a few targets.

        Parameters
        ----------
        service
            The service.
        deadline_s
            Time by which the request must be answered.
        tried
            Targets that the request does not go to any more.

        Returns
        -------
        int
            Number of targets that were asked.
        """
        now = time.monotonic()
        if not self._cfg.per_target_s or not service.health_path:
            return 0
        if deadline_s - now < MIN_LEFT_S:
            return 0
        views = service.pool.probe_candidates(self._cfg.fan_out, now, tried)
        tasks = [asyncio.ensure_future(self._probe(service, view)) for view in views]
        if not tasks:
            return 0
        self._probes.update(tasks)
        for task in tasks:
            task.add_done_callback(self._probes.discard)
        await asyncio.wait(tasks, timeout=self._cfg.wait_s)
        return len(tasks)

    async def close(self) -> None:
        """End the probes that are under way."""
        await cancellations.end_all(self._probes)

    async def _probe(self, service: pools.Service, view: balancing.TargetView) -> None:
        address = view.target.address
        attempt = attempts.Attempt()
        line = f"GET {service.health_path} HTTP/1.1"
        headers = multidict.CIMultiDict({"Host": address})
        view.probe_sent_s = min(view.probe_sent_s, time.monotonic())
        try:
            async with asyncio.timeout(PROBE_LIMIT_S):
                await self._forwarder.send(
                    attempt,
                    service.endpoint(address),
                    line,
                    headers,
                    _NO_BODY,
                    fresh=False,
                    head_only=False,
                )
                await attempt.discard_body(attempts.MAX_PROBE_RESPONSE_BYTES)
        except (TimeoutError, attempts.AttemptError, attempts.TruncatedError) as exc:
            loguru.logger.debug("entry: probe of {} failed: {!r}", address, exc)
            return
        finally:
            view.probe_sent_s = math.inf
            attempt.finish()
        report = attempt.headers.get(self._names.load)
        load = loads.FORMATS[self._names.load_format](report) if report else None
        # A target that tells no load is taken for idle: it does answer.
        view.record_load(load or loads.LoadReport(0.0), time.monotonic())
