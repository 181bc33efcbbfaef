"""The replicated state machine."""
