"""Test programs that stand in for targets, callers, operators and network links."""
