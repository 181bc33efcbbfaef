"""Verdicts: whether a request may have run, and why it was refused."""

import dataclasses
import enum

__all__ = [
    "ATTEMPTS_HEADER",
    "DEADLINE_HEADER",
    "DEPTH_HEADER",
    "DRAINING_HEADER",
    "KEY_HEADER",
    "LOAD_HEADER",
    "REASON_HEADER",
    "REPLAYED_HEADER",
    "STALE_HEADER",
    "VERDICT_HEADER",
    "Reason",
    "Refusal",
    "Verdict",
]

VERDICT_HEADER = "Coltsfootchute-Verdict"
REASON_HEADER = "Coltsfootchute-Reason"
DEADLINE_HEADER = "Coltsfootchute-Deadline-Ms"
DEPTH_HEADER = "Coltsfootchute-Depth"
ATTEMPTS_HEADER = "Coltsfootchute-Attempts-Left"
DRAINING_HEADER = "Coltsfootchute-Draining"
REPLAYED_HEADER = "Coltsfootchute-Replayed"
STALE_HEADER = "Coltsfootchute-Stale"
KEY_HEADER = "Idempotency-Key"
LOAD_HEADER = "endpoint-load-metrics"


class Verdict(enum.Enum):
    """Whether a request may have run on a target."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    def allows_retry(self, *, repeatable: bool) -> bool:
        """Return whether another attempt is safe.

        Parameters
        ----------
        repeatable
            Whether the rule of the request allows it to run more than once.

        Returns
        -------
        bool
            True for a request that was not run, and for a repeatable request whose
            response was not received.
        """
        if self is Verdict.NOT_RUN:
            return True
        return repeatable and self is Verdict.MAY_HAVE_RUN


class Reason(enum.Enum):
    """Why a request was refused or retried."""

    NO_SERVICE = "no_service"
    NO_RULE = "no_rule"
    NO_TARGET = "no_target"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    MISDIRECTED = "misdirected"
    TARGET_FAILED = "target_failed"
    STALE = "stale"
    TOO_DEEP = "too_deep"
    BODY_TOO_LARGE = "body_too_large"
    KEY_REQUIRED = "key_required"
    KEY_MALFORMED = "key_malformed"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    CLAIMED_ELSEWHERE = "claimed_elsewhere"
    ANSWER_NOT_KEPT = "answer_not_kept"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    QUARANTINED = "quarantined"
    CONNECTION_FAILED = "connection_failed"
    CONNECTION_LOST = "connection_lost"
    TARGET_SHED = "target_shed"
    TARGET_TIMEOUT = "target_timeout"
    STOPPING = "stopping"
    TARGETS_AT_REST = "targets_at_rest"
    TARGETS_HANG = "targets_hang"
    BAD_REQUEST = "bad_request"
    UNKNOWN_KEY = "unknown_key"
    OVER_ALLOTMENT = "over_allotment"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A response of the system itself in place of a target's response.

    Parameters
    ----------
    verdict
        Whether the request may have run.
    reason
        Why it was refused.
    detail
        One sentence for a human reader.
    retry_after_s
        Seconds after which the caller should try again; None for the usual time.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None
