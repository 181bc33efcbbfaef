"""Section documents, their checks, and rule matching."""

from coltsfootchute.sections.rules import RuleTable
from coltsfootchute.sections.schemas import Queue, Rule, Section, parse

__all__ = ["Queue", "Rule", "RuleTable", "Section", "parse"]
