"""Commands that check files without a running instance."""

import pathlib

from coltsfootchute import errors, sections, settings
from coltsfootchute.commands import exits, tables

__all__ = ["check_section", "check_settings", "read_section"]


def check_settings(path: pathlib.Path, *, json: bool = False) -> None:
    """Check the settings of an instance.

    Parameters
    ----------
    path
        Settings file, JSON with comments.
    json
        Print the result as JSON.
    """
    try:
        cfg = settings.load(path)
    except errors.SettingsError as exc:
        _refuse(path, exc, json=json)
    roles = [role for role in ("control", "entry") if getattr(cfg, role) is not None]
    if json:
        tables.print_json({"ok": True, "instance": cfg.instance, "roles": roles})
        return
    print(f"{path}: instance {cfg.instance.name}, {' and '.join(roles)}")


def check_section(path: pathlib.Path, *, json: bool = False) -> None:
    """Check a section document.

    Parameters
    ----------
    path
        Section document, JSON with comments.
    json
        Print the result as JSON.
    """
    try:
        section = sections.parse(read_section(path), policies=_policy_names())
    except errors.DocumentError as exc:
        _refuse(path, exc, json=json)
    rules = [rule.name for rule in section.rules]
    if json:
        tables.print_json({"ok": True, "policy": section.policy, "rules": rules})
        return
    print(f"{path}: policy {section.policy}, rules {', '.join(rules)}")


def read_section(path: pathlib.Path) -> str:
    """Return the text of a section document.

    Raises
    ------
    coltsfootchute.errors.DocumentError
        If the file can't be read.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, "strerror", None) or "not UTF-8"
        raise errors.DocumentError([("$", reason)]) from None


def _policy_names() -> list[str]:
    from coltsfootchute.balancing import policies

    return policies.POLICIES.names()


def _refuse(path: pathlib.Path, exc: errors.DocumentError, *, json: bool) -> None:
    if json:
        problems = [{"path": field, "reason": reason} for field, reason in exc.problems]
        tables.print_json({"ok": False, "problems": problems})
    raise exits.RefusedError(f"{path}: {exc}") from None
