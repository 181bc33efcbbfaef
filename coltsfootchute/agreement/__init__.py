"""The replicated log: elections, replication, membership, storage."""
