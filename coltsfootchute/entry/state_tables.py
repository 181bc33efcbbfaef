"""Sections, routes, targets, quarantines and evacuations as an entry knows them."""

import random

import loguru

from coltsfootchute import announcements, declarations, errors, logs, sections
from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["StateTables"]

MAX_LOGGED_NAMES = 10


class StateTables:
    """Tables that the changes of a feed update.

    Notes
    -----
    A change that is invalid is logged and skipped, and all others are applied. Its
    source accepted it, so it would be sent again after every new connection.
    """

    def __init__(self):
        self.sections: dict[str, coltsfootchute_pb2.SectionInForce] = {}
        self.rule_tables: dict[str, sections.RuleTable] = {}
        # Routes of the declaration in force; None as long as there is none.
        self.routes: declarations.RouteTable | None = None
        # Version whose workspaces were logged, and these workspaces.
        self._logged_version = 0
        self._logged_workspaces: declarations.WorkspaceTable | None = None
        self.health_paths: dict[str, str] = {}
        self.declared_services: dict[str, declarations.Service] = {}
        self.targets: dict[str, coltsfootchute_pb2.Target] = {}
        self.quarantines: dict[tuple[str, bytes], coltsfootchute_pb2.Quarantine] = {}
        # Failure domains whose targets get no new requests, with the start in Unix ms.
        self.evacuated: dict[str, int] = {}

    def targets_of(self, service: str) -> list[coltsfootchute_pb2.Target]:
        """Return the targets that announced a service."""
        return [t for t in self.targets.values() if service in t.services]

    def max_head_bytes(self) -> int:
        """Return the limit on the header fields of a request."""
        if self.routes is None:
            return declarations.Limits().max_header_bytes
        return self.routes.declaration.limits.max_header_bytes

    def _apply_changes(
        self, message: coltsfootchute_pb2.FeedMessage, revision: int
    ) -> set[str]:
        """Apply the changes after a revision; return the services that changed."""
        changed: set[str] = set()
        if message.full:
            changed |= self._clear()
        for change in message.changes:
            if message.full or change.revision > revision:
                changed |= self._apply(change)
        return changed

    def _clear(self) -> set[str]:
        changed = set(self.rule_tables)
        for target in self.targets.values():
            changed.update(target.services)
        self.routes = None
        for table in (
            *(self.sections, self.rule_tables, self.targets),
            *(self.health_paths, self.declared_services),
        ):
            table.clear()
        self.quarantines.clear()
        self.evacuated.clear()
        return changed

    def _apply(self, change: coltsfootchute_pb2.FeedChange) -> set[str]:
        kind = change.WhichOneof("body")
        if kind == "section":
            return self._apply_section(change.section)
        if kind == "declaration":
            return self._apply_declaration(change.declaration)
        if kind == "target":
            return self._apply_target(change.target)
        if kind == "removed_target_id":
            removed = self.targets.pop(change.removed_target_id, None)
            return set(removed.services) if removed is not None else set()
        if kind == "quarantine":
            key = (change.quarantine.service, change.quarantine.digest)
            if change.quarantine.removed:
                self.quarantines.pop(key, None)
            else:
                self.quarantines[key] = change.quarantine
        if kind == "evacuation":
            return self._apply_evacuation(change.evacuation)
        return set()

    def _apply_evacuation(self, evacuation: coltsfootchute_pb2.Evacuation) -> set[str]:
        domain = evacuation.failure_domain
        if evacuation.ended:
            self.evacuated.pop(domain, None)
        else:
            self.evacuated[domain] = evacuation.started_ms
        located = (t for t in self.targets.values() if t.failure_domain == domain)
        return {service for target in located for service in target.services}

    def _apply_section(self, section: coltsfootchute_pb2.SectionInForce) -> set[str]:
        try:
            table = sections.RuleTable(sections.parse(section.document))
        except errors.DocumentError as exc:
            # The leader validates documents, so the usual cause is a newer schema.
            loguru.logger.error("feed: section {} is invalid: {}", section.name, exc)
            return set()
        self.sections[section.name] = section
        if section.name in self.health_paths:
            # The declaration takes precedence.
            return set()
        self.rule_tables[section.name] = table
        return {section.name}

    def _apply_declaration(
        self, declaration: coltsfootchute_pb2.Declaration
    ) -> set[str]:
        try:
            text = declaration.document or declarations.unpack(declaration.packed)
            declared = declarations.parse(text)
        except errors.DocumentError as exc:
            # The leader validates declarations, so the usual cause is a newer schema.
            loguru.logger.error("feed: the declaration is invalid: {}", exc)
            return set()
        removed = self.health_paths.keys() - {s.name for s in declared.services}
        for name in removed:
            del self.health_paths[name]
            self.rule_tables.pop(name, None)
            if name in self.sections:
                self._apply_section(self.sections[name])
        for service in declared.services:
            if service.name not in self.health_paths:
                empty = sections.Section(rules=[])
                self.rule_tables[service.name] = sections.RuleTable(empty)
            self.health_paths[service.name] = service.health_path
        self.declared_services = {s.name: s for s in declared.services}
        self.routes = declarations.RouteTable(declared, random.random())
        self._log_workspaces()
        return removed | self.health_paths.keys()

    def _log_workspaces(self) -> None:
        """Log once for each version what it changes in the workspaces."""
        declared, table = self.routes.declaration, self.routes.workspaces
        if declared.version == self._logged_version:
            return
        changes = declarations.workspace_changes(self._logged_workspaces, table)
        if any(changes.values()):
            logs.log_event(
                "feed", "workspaces changed", version=declared.version, **changes
            )
        limited = [r.name for r in declared.routes if r.regions]
        limited += [w.name for w in declared.workspaces or () if w.regions]
        if limited:
            logs.log_event(
                "feed",
                "regions are stored but not enforced",
                version=declared.version,
                names=limited[:MAX_LOGGED_NAMES],
            )
        self._logged_version = declared.version
        self._logged_workspaces = table

    def _apply_target(self, target: coltsfootchute_pb2.Target) -> set[str]:
        previous = self.targets.pop(target.target_id, None)
        try:
            # A target without services is never connected to.
            if target.services:
                announcements.check(target)
        except errors.DocumentError as exc:
            # Other targets are not affected. The log may hold targets that an earlier
            # version of control accepted.
            loguru.logger.error(
                "feed: target {!r:.100} is ignored: {}", target.target_id, exc
            )
            return set(previous.services) if previous is not None else set()
        self.targets[target.target_id] = target
        changed = set(target.services)
        return changed | set(previous.services) if previous is not None else changed
