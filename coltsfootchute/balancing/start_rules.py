"""Rules of a service for requests to cold targets and to targets that hang."""

from coltsfootchute.balancing import hangs, slow_starts, views

__all__ = ["StartRules"]


class StartRules:
    """Base class of a set of targets, with the rules for the start of attempts.

    Parameters
    ----------
    starts
        Coldness of targets, which all services of an entry share.

    Attributes
    ----------
    overdue : hangs.OverdueCheck
        Finds requests that are overdue.
    new_hangs : list of views.TargetView
        Targets that began to hang, until the daemon has logged them.
    gate : slow_starts.Gate
        Limits the requests to cold targets.
    """

    def __init__(self, starts: slow_starts.SlowStarts):
        self.gate = slow_starts.Gate(starts)
        self.overdue = hangs.OverdueCheck()
        self.new_hangs: list[views.TargetView] = []

    def start_attempt(self, view: views.TargetView, now: float) -> views.AttemptToken:
        """Start an attempt; its token must be passed to `Pool.finish_attempt`."""
        token = view.start_attempt(now)
        token.is_cold = self.gate.start(view.target, now)
        return token

    def _is_doubtful(self, view: views.TargetView, now: float) -> bool:
        if view.hang.is_hanging:
            return view.hang.is_due(now)
        return self.gate.is_active(now) and self.gate.wants_probe(view.target, now)

    def _cold(self, found, now) -> list[views.TargetView]:
        if not self.gate.is_active(now):
            return []
        return [view for view in found if self.gate.is_cold(view.target, now)]

    def prefer_cold(self, found, now, exclude) -> list[views.TargetView]:
        """Return the cold targets for a first attempt, and the others for a later one.

        An entry holds a token of a cold target only for a short time, and targets that
        joined must get requests soon. A second attempt is already late.
        """
        cold = self._cold(found, now)
        if not cold:
            return found
        if not exclude:
            return cold
        return [view for view in found if view not in cold] or found

    def record_head(self, token: views.AttemptToken, now: float) -> bool:
        """Record the head of any response; return whether its target had hung."""
        token.is_answered = True
        return token.view.hang.record_answer(now)

    def mark_overdue(self, token: views.AttemptToken) -> None:
        """Mark an attempt as overdue."""
        token.is_overdue = True
        if token.view.hang.record_overdue(token.started_s):
            self.new_hangs.append(token.view)

    def _record_unanswered(self, token: views.AttemptToken, now: float) -> None:
        """Record the end of an attempt whose target has not answered."""
        hang, limit_s = token.view.hang, self.overdue.limit_s()
        if hang.record_abandoned(token.started_s, now, limit_s):
            self.new_hangs.append(token.view)
