"""Choice of the entries whose addresses callers get."""

import collections
import hashlib
import itertools

from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["choose_addresses", "entries_for_service", "usable_entries"]


def choose_addresses(
    instances: list[coltsfootchute_pb2.Instance], count: int, sequence_number: int
) -> list[coltsfootchute_pb2.Instance]:
    """Choose the entries for one address answer.

    Parameters
    ----------
    instances
        All known entries, including the one that answers.
    count
        Maximum number of entries to return.
    sequence_number
        Sequence number of the answer; successive answers start with different
        entries.

    Returns
    -------
    list of Instance
        Entries of as many failure domains as possible. Stopping entries are
        left out, and so are stale ones unless all entries are stale.

    Notes
    -----
    Chooses one entry of each failure domain in turn, O(n log n). The order of the
    domains and the order within each domain rotate independently, so that callers
    are distributed over all entries.
    """
    serving = usable_entries(instances)
    domains = _group_by_domain(sorted(serving, key=lambda i: i.name))
    if not domains:
        return []
    domain_names = _rotate(sorted(domains), sequence_number)
    offset = sequence_number // len(domain_names)
    return _interleave([_rotate(domains[name], offset) for name in domain_names], count)


def entries_for_service(
    service: str,
    instances: list[coltsfootchute_pb2.Instance],
    count: int | None,
) -> list[coltsfootchute_pb2.Instance]:
    """Return the entries whose addresses the callers of a service get.

    Parameters
    ----------
    service
        The service.
    instances
        All known entries.
    count
        Number of entries that the service uses; all of them if None.

    Returns
    -------
    list of Instance
        At most `count` entries that are not stopping, of as many failure
        domains as possible.

    Notes
    -----
    With fewer entries, each one sees more of the load of a target. Every entry
    computes the same choice by rendezvous hashing, O(n log n). When an entry joins
    or leaves, at most one entry of a service is replaced as long as the set of
    failure domains stays the same.

    References
    ----------
    Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
    IEEE/ACM Transactions on Networking, 1998.
    """
    serving = usable_entries(instances)
    if count is None or count >= len(serving):
        return serving
    domains = _group_by_domain(sorted(serving, key=lambda i: _weight(service, i.name)))
    domain_names = sorted(domains, key=lambda name: _weight(service, name))
    return _interleave([domains[name] for name in domain_names], count)


def _group_by_domain(
    instances: list[coltsfootchute_pb2.Instance],
) -> dict[str, list[coltsfootchute_pb2.Instance]]:
    """Group instances by failure domain; each group keeps their order."""
    domains = collections.defaultdict(list)
    for instance in instances:
        domains[instance.failure_domain].append(instance)
    return domains


def _interleave(
    groups: list[list[coltsfootchute_pb2.Instance]], count: int
) -> list[coltsfootchute_pb2.Instance]:
    """Return at most `count` instances, taking one of each group in turn."""
    rows = itertools.zip_longest(*groups)
    flat = (i for row in rows for i in row if i is not None)
    return list(itertools.islice(flat, count))


def _weight(service: str, name: str) -> bytes:
    text = f"{service}\0{name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def usable_entries(
    instances: list[coltsfootchute_pb2.Instance],
) -> list[coltsfootchute_pb2.Instance]:
    """Return the entries that are not stopping; stale ones only if all are stale."""
    stopping = coltsfootchute_pb2.INSTANCE_STATE_STOPPING
    serving = [i for i in instances if i.state != stopping]
    current = [i for i in serving if not i.stale]
    return current or serving


def _rotate(items: list, steps: int) -> list:
    split = steps % len(items)
    return items[split:] + items[:split]
