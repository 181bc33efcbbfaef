"""A small language for scenarios of faults, and the fakes that it drives."""
