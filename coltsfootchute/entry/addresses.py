"""Which entries a caller is told to use."""

import collections
import itertools

from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["choose_addresses"]


def choose_addresses(
    instances: list[coltsfootchute_pb2.Instance], count: int, turn: int
) -> list[coltsfootchute_pb2.Instance]:
    """Choose the entries to hand out.

    Parameters
    ----------
    instances
        All known entries, the answering one included.
    count
        The most entries to return.
    turn
        Number of the answer; successive answers start with different entries.

    Returns
    -------
    list of Instance
        Entries of as many failure domains as possible. Stopping entries are
        left out; so are stale ones if any other is known.

    Notes
    -----
    Takes the entries of the failure domains in turn, O(n log n). The order of
    the domains and the order within each domain rotate independently, so that
    callers spread over all entries.
    """
    serving = _usable(instances)
    domains: dict[str, list[coltsfootchute_pb2.Instance]] = collections.defaultdict(
        list
    )
    for instance in sorted(serving, key=lambda i: i.name):
        domains[instance.failure_domain].append(instance)
    if not domains:
        return []
    names = _rotate(sorted(domains), turn)
    within = turn // len(names)
    rows = itertools.zip_longest(*(_rotate(domains[n], within) for n in names))
    flat = (i for row in rows for i in row if i is not None)
    return list(itertools.islice(flat, count))


def _usable(
    instances: list[coltsfootchute_pb2.Instance],
) -> list[coltsfootchute_pb2.Instance]:
    stopping = coltsfootchute_pb2.INSTANCE_STATE_STOPPING
    serving = [i for i in instances if i.state != stopping]
    current = [i for i in serving if not i.stale]
    return current or serving


def _rotate(items: list, turn: int) -> list:
    split = turn % len(items)
    return items[split:] + items[:split]
