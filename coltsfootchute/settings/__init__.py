"""Settings files and their schemas."""
