"""A small language for fault scenarios, and the simulated cluster that runs them."""
