"""Declarations of services, of routes by host and path prefix, and of limits."""

from coltsfootchute.declarations.routes import RouteTable
from coltsfootchute.declarations.schemas import (
    Declaration,
    Limits,
    Route,
    Service,
    Share,
    Workspace,
    check,
    encode,
    key_digest,
    pack,
    parse,
    unpack,
)
from coltsfootchute.declarations.workspaces import WorkspaceTable, workspace_changes

__all__ = [
    "Declaration",
    "Limits",
    "Route",
    "RouteTable",
    "Service",
    "Share",
    "Workspace",
    "WorkspaceTable",
    "check",
    "encode",
    "key_digest",
    "pack",
    "parse",
    "unpack",
    "workspace_changes",
]
