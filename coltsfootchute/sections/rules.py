"""Matching of requests to the rules of a section.

A table is compiled once per accepted change, so that matching a request costs one
dict look-up and one regular expression per rule of its method.
"""

import collections
import re

from coltsfootchute.sections import schemas

__all__ = ["RuleTable"]

_SEGMENT = "[^/]+"


class RuleTable:
    """The rules of one section, compiled for matching.

    Parameters
    ----------
    section
        The section in force.

    Notes
    -----
    Matching a request is O(rules for its method).
    """

    def __init__(self, section: schemas.Section):
        self.section = section
        self._by_method: dict[str, list[tuple[re.Pattern[str], schemas.Rule]]] = (
            collections.defaultdict(list)
        )
        for rule in section.rules:
            pattern = re.compile(_expression(rule.path))
            for method in rule.methods:
                self._by_method[method].append((pattern, rule))

    def match(self, method: str, path: str) -> schemas.Rule | None:
        """Return the first rule that matches a request.

        Parameters
        ----------
        method
            HTTP method in upper case.
        path
            Path without the query, as the target receives it.

        Returns
        -------
        Rule or None
            None if no rule matches.
        """
        for pattern, rule in self._by_method.get(method, ()):
            if pattern.fullmatch(path):
                return rule
        return None


def _expression(path: str) -> str:
    """Return the regular expression of a path pattern."""
    head, any_remainder = path.removesuffix("/**"), path.endswith("/**")
    segments = [_SEGMENT if seg == "*" else re.escape(seg) for seg in head.split("/")]
    return "/".join(segments) + ("(/.*)?" if any_remainder else "")
