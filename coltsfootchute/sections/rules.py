"""Matching of requests to the rules of a section.

A table is compiled once per accepted change, so that a call costs one dict
look-up and one regular expression per candidate rule.
"""

import collections
import re

from coltsfootchute.sections import schemas

__all__ = ["RuleTable"]

_SEGMENT = "[^/]+"


class RuleTable:
    """The compiled rules of one section.

    Parameters
    ----------
    section
        The section in force.

    Notes
    -----
    Matching is O(rules of the method) for a request.
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
        """Return the first rule for a request.

        Parameters
        ----------
        method
            HTTP method in upper case.
        path
            Path without the query, as the target gets it.

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
    head, any_rest = path.removesuffix("/**"), path.endswith("/**")
    parts = [_SEGMENT if part == "*" else re.escape(part) for part in head.split("/")]
    return "/".join(parts) + ("(/.*)?" if any_rest else "")
