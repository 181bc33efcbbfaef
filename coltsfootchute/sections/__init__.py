"""Section documents, their checks, and rule matching."""
