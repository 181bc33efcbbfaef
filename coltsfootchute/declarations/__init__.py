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

__all__ = [
    "Declaration",
    "Limits",
    "Route",
    "RouteTable",
    "Service",
    "Share",
    "Workspace",
    "check",
    "encode",
    "key_digest",
    "pack",
    "parse",
    "unpack",
]
