"""Target selection, limits, retries and hedges; no I/O."""
