"""The state machine that the control instances replicate."""

from coltsfootchute.state.claims import key_time_ms
from coltsfootchute.state.machines import Machine, commands
from coltsfootchute.state.outcomes import ApplyResult

__all__ = ["ApplyResult", "Machine", "commands", "key_time_ms"]
