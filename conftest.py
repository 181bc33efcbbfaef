"""Fixed hypothesis profiles, so that every run checks the same examples."""

import os

import hypothesis

FUZZ_EXAMPLES = int(os.environ.get("COLTSFOOTCHUTE_FUZZ_EXAMPLES", "0"))

hypothesis.settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile(
    "fuzz",
    derandomize=False,
    deadline=None,
    database=None,
    max_examples=max(FUZZ_EXAMPLES, 1),
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("fuzz" if FUZZ_EXAMPLES else "fixed")
