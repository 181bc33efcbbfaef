"""Idempotency keys: claims before the first attempt, settlements after it."""

import uuid

from coltsfootchute import errors, verdicts
from coltsfootchute.entry import clients, digests, requests
from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["CLAIM_TIMEOUT_S", "QUARANTINE_DETAIL", "Claims"]

# A claim takes one round trip to a quorum and one disk sync. During an election, an
# early refusal and a retry by the caller are better than a longer wait.
CLAIM_TIMEOUT_S = 1.0
QUARANTINE_DETAIL = "this request crashed two targets within 10 minutes"

_V = verdicts.Verdict
_R = verdicts.Reason
_REFUSALS = {
    coltsfootchute_pb2.CLAIM_STATUS_CLAIMED: verdicts.Refusal(
        _V.MAY_HAVE_RUN,
        _R.CLAIMED_ELSEWHERE,
        "another request with this key is or was in progress",
    ),
    coltsfootchute_pb2.CLAIM_STATUS_DIGEST_MISMATCH: verdicts.Refusal(
        _V.NOT_RUN, _R.KEY_REUSED, "the key belongs to a different request"
    ),
    coltsfootchute_pb2.CLAIM_STATUS_KEY_EXPIRED: verdicts.Refusal(
        _V.MAY_HAVE_RUN, _R.KEY_EXPIRED, "the key is older than the retention time"
    ),
    coltsfootchute_pb2.CLAIM_STATUS_KEY_IN_FUTURE: verdicts.Refusal(
        _V.NOT_RUN, _R.KEY_MALFORMED, "the timestamp of the key is in the future"
    ),
    coltsfootchute_pb2.CLAIM_STATUS_QUARANTINED: verdicts.Refusal(
        _V.NOT_RUN, _R.QUARANTINED, QUARANTINE_DETAIL
    ),
}
_ANSWER_NOT_KEPT = verdicts.Refusal(
    _V.MAY_HAVE_RUN,
    _R.ANSWER_NOT_KEPT,
    "the request ran, but its answer was too large to be stored",
)


class Claims:
    """Claims, settles and releases the idempotency keys of calls.

    Parameters
    ----------
    client
        The Control client.
    entry
        Name of this instance.
    """

    def __init__(self, client: clients.ControlClient, entry: str):
        self._client = client
        self._entry = entry

    async def claim(
        self, call: requests.Call, key: bytes
    ) -> coltsfootchute_pb2.StoredAnswer | None:
        """Claim the key of a call.

        Returns
        -------
        StoredAnswer or None
            The answer of the first request if it has run; None if the claim was
            granted and the request is to be sent.

        Raises
        ------
        RefusedError
            For every other outcome.

        Notes
        -----
        The attempt id is new for each call and never used again, so a claim
        whose outcome is unknown can be released without a race.
        """
        attempt_id = uuid.uuid4().bytes
        command = coltsfootchute_pb2.ClaimCommand(
            service=call.service.name,
            key=key,
            digest=digests.claim_digest(call),
            entry=self._entry,
            attempt_id=attempt_id,
            retention_s=call.service.section.key_retention_s,
            crash_digest=digests.crash_digests(call)[0],
        )
        call.claim = (key, attempt_id)
        try:
            outcome = await self._client.claim(command, CLAIM_TIMEOUT_S)
        except errors.OutcomeUnknownError as exc:
            raise _unavailable(exc) from exc
        except errors.UnavailableError as exc:
            call.claim = None
            raise _unavailable(exc) from exc
        return self._check_outcome(call, outcome)

    def _check_outcome(
        self, call: requests.Call, outcome: coltsfootchute_pb2.ClaimOutcome
    ) -> coltsfootchute_pb2.StoredAnswer | None:
        if outcome.status == coltsfootchute_pb2.CLAIM_STATUS_GRANTED:
            return None
        if outcome.status == coltsfootchute_pb2.CLAIM_STATUS_RAN:
            call.claim = None
            if outcome.answer.body_kept:
                return outcome.answer
            raise requests.pools.RefusedError(_ANSWER_NOT_KEPT)
        refusal = _REFUSALS.get(outcome.status)
        if refusal is None:
            raise _unavailable("control does not know the outcome of the claim")
        call.claim = None
        raise requests.pools.RefusedError(refusal)

    def settle(
        self, call: requests.Call, answer: coltsfootchute_pb2.StoredAnswer
    ) -> None:
        """Record the complete answer of a claimed call."""
        key, attempt_id = call.claim
        call.claim = None
        self._client.settle(
            coltsfootchute_pb2.SettleCommand(
                service=call.service.name,
                key=key,
                attempt_id=attempt_id,
                answer=answer,
            )
        )

    def release_unless_run(self, call: requests.Call) -> None:
        """Release the claim of a call that has ended and certainly did not run."""
        if call.claim is None or call.may_have_run:
            return
        key, attempt_id = call.claim
        call.claim = None
        self._client.settle(
            coltsfootchute_pb2.SettleCommand(
                service=call.service.name,
                key=key,
                attempt_id=attempt_id,
                released=True,
            )
        )


def _unavailable(cause: object) -> requests.pools.RefusedError:
    return requests.refused(verdicts.Reason.CLAIM_UNAVAILABLE, str(cause))
