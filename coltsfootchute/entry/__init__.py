"""The entry role."""
