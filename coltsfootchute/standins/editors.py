"""Stand-in operator that proposes changes to a section and records the outcomes."""

import asyncio
import dataclasses
import itertools
import random
import time
import typing

import aiohttp
import msgspec

from coltsfootchute import errors
from coltsfootchute.commands import documents
from coltsfootchute.standins import clusters

__all__ = ["Change", "Editor", "Refusal", "find_lost"]

# Shorter than an election, so that changes are resent while the outcome is unknown.
SEND_TIMEOUT_S = 0.7
RESEND_INTERVAL_S = 0.05
HTTP_OK = 200
HTTP_CONFLICT = 409


@dataclasses.dataclass(frozen=True)
class Change:
    """A change that control accepted.

    Parameters
    ----------
    revision
        Revision of the section with this change.
    index
        Log index of the change, comparable to the revision that an entry has in
        force.
    request_id
        Request id of the change.
    accepted_s
        Monotonic time of the accepting response in s.
    attempts
        Number of times that the request was sent.
    """

    revision: int
    index: int
    request_id: str
    accepted_s: float
    attempts: int


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A change that was refused because it conflicted with another change.

    Parameters
    ----------
    request_id
        Request id of the change.
    attempts
        Number of times that the request was sent.
    """

    request_id: str
    attempts: int


class Editor:
    """Proposes changes to the section of `clusters.SERVICE`, one after the other.

    Parameters
    ----------
    name
        Author of the changes; unique among the editors of a section.
    apis
        Addresses of API listeners, used in turn.
    session
        HTTP client.
    rng
        Source of the random values in the changed sections.

    Attributes
    ----------
    accepted
        Changes in the order of their acceptance.
    refused
        Changes refused after a conflict, in the order of their refusal.
    """

    def __init__(
        self,
        name: str,
        apis: typing.Sequence[str],
        session: aiohttp.ClientSession,
        rng: random.Random,
    ):
        self.accepted: list[Change] = []
        self.refused: list[Refusal] = []
        self._name = name
        self._apis = itertools.cycle(apis)
        self._session = session
        self._rng = rng
        self._revision = 1
        self._numbers = itertools.count(1)

    async def propose(self, timeout_s: float = 20.0) -> Change:
        """Propose changes until one is accepted; each conflict leads to a new change.

        Raises
        ------
        coltsfootchute.errors.OutcomeUnknownError
            If an outcome is unknown, or no change is accepted, within `timeout_s`.
        """
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            outcome = await self.propose_once(end - time.monotonic())
            if isinstance(outcome, Change):
                return outcome
        raise errors.OutcomeUnknownError(
            f"{self._name}: every change proposed within {timeout_s:.1f} s conflicted"
        )

    async def propose_once(self, timeout_s: float = 20.0) -> Change | Refusal:
        """Propose one change and resend it until its outcome is known.

        Raises
        ------
        coltsfootchute.errors.OutcomeUnknownError
            If the outcome is unknown after `timeout_s`.
        """
        body = self._new_request()
        end = time.monotonic() + timeout_s
        reply, attempts = await self._send_until_known(body, end)
        self._revision = reply["revision"]
        if "index" not in reply:
            refusal = Refusal(body["request_id"], attempts)
            self.refused.append(refusal)
            return refusal
        change = Change(
            revision=reply["revision"],
            index=reply["index"],
            request_id=body["request_id"],
            accepted_s=time.monotonic(),
            attempts=attempts,
        )
        self.accepted.append(change)
        return change

    async def _send_until_known(
        self, body: dict[str, typing.Any], end: float
    ) -> tuple[dict[str, typing.Any], int]:
        attempts, status, reply = 0, 0, {}
        while time.monotonic() < end:
            attempts += 1
            status, reply = await self._send(body)
            if status in (HTTP_OK, HTTP_CONFLICT):
                return reply, attempts
            await asyncio.sleep(RESEND_INTERVAL_S)
        raise errors.OutcomeUnknownError(
            f"{body['request_id']}: outcome unknown after {attempts} attempts, "
            f"last response: HTTP status {status}, {reply}"
        )

    def _new_request(self) -> dict[str, typing.Any]:
        percent = self._rng.randrange(10, 100)
        document = {**clusters.SECTION, "retry_budget_percent": percent}
        return {
            "expected_revision": self._revision,
            "document": document,
            "author": self._name,
            "request_id": f"{self._name}-{next(self._numbers)}",
        }

    async def _send(
        self, body: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        url = f"http://{next(self._apis)}/v1/sections/{clusters.SERVICE}"
        timeout = aiohttp.ClientTimeout(total=SEND_TIMEOUT_S)
        headers = {documents.TEAM_HEADER: clusters.TEAM}
        try:
            async with self._session.put(
                url, json=body, headers=headers, timeout=timeout
            ) as resp:
                return resp.status, msgspec.json.decode(await resp.read())
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            return 0, {"error": repr(exc)}


def find_lost(
    accepted: typing.Iterable[Change], history: typing.Iterable[dict[str, typing.Any]]
) -> list[str]:
    """Return the request ids of accepted changes that are missing from a history.

    Parameters
    ----------
    accepted
        Accepted changes of all editors.
    history
        Revisions that control keeps, oldest first, as the API listener returns
        them.

    Notes
    -----
    The history contains only the latest revisions. A change with an older
    revision counts as lost if another accepted change has the same revision.
    """
    kept = {item["revision"]: item["request_id"] for item in history}
    oldest, latest = min(kept, default=0), max(kept, default=0)
    seen: set[int] = set()
    lost = []
    for change in accepted:
        is_lost = change.revision > latest or change.revision in seen
        if change.revision >= oldest:
            is_lost = is_lost or kept.get(change.revision) != change.request_id
        if is_lost:
            lost.append(change.request_id)
        seen.add(change.revision)
    return lost
