"""JSON documents with comments, checked against msgspec structs.

A document is checked completely before anything is reported, so that one run of a
check shows every mistake, each with the path of its field.
"""

import re
import types
import typing

import msgspec
import pyjson5

from coltsfootchute import errors

__all__ = ["MAX_DOCUMENT_BYTES", "check", "decode"]

MAX_DOCUMENT_BYTES = 1 << 20

T = typing.TypeVar("T", bound=msgspec.Struct)

_OFFSET = re.compile(r"near (\d+)")


def decode(text: str) -> object:
    """Parse JSON with comments.

    Parameters
    ----------
    text
        The document.

    Returns
    -------
    object
        Dicts, lists, strings, numbers, booleans and None.

    Raises
    ------
    coltsfootchute.errors.DocumentError
        If the text is too long or is not JSON. The path of a syntax error is the line.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        reason = f"{len(text)} characters; the limit is {MAX_DOCUMENT_BYTES}"
        raise errors.DocumentError([("$", reason)])
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception as exc:
        raise errors.DocumentError([_syntax_problem(text, str(exc.args[0]))]) from None


def check(data: object, schema: type[T]) -> T:
    """Convert decoded data to a struct.

    Parameters
    ----------
    data
        Decoded document, as `decode` returns it.
    schema
        The struct; its field types and `msgspec.Meta` constraints are the schema.

    Returns
    -------
    msgspec.Struct
        An instance of `schema`.

    Raises
    ------
    coltsfootchute.errors.DocumentError
        With one problem for each field that is unknown, missing or invalid.

    Notes
    -----
    msgspec stops at the first error, so each field is converted separately.
    The cost is O(fields).
    """
    problems = list(_problems(data, schema, "$"))
    if problems:
        raise errors.DocumentError(problems)
    return msgspec.convert(data, schema)


def _syntax_problem(text: str, message: str) -> tuple[str, str]:
    found = _OFFSET.search(message)
    if not found:
        return "$", message
    offset = int(found.group(1))
    line = text.count("\n", 0, offset) + 1
    reason = _OFFSET.sub("here", message).replace("b'", "'")
    return f"line {line}", reason


def _problems(
    data: object, schema: object, path: str
) -> typing.Iterator[tuple[str, str]]:
    schema = _without_none(data, schema)
    if isinstance(schema, type) and issubclass(schema, msgspec.Struct):
        yield from _struct_problems(data, schema, path)
        return
    inner = _list_of(schema)
    if inner is not None and isinstance(data, list):
        found = [
            problem
            for position, item in enumerate(data)
            for problem in _problems(item, inner, f"{path}[{position}]")
        ]
        if found:
            yield from found
            return
    try:
        msgspec.convert(data, schema)
    except msgspec.ValidationError as exc:
        yield path, str(exc).partition(" - at ")[0]


def _struct_problems(
    data: object, schema: type[msgspec.Struct], path: str
) -> typing.Iterator[tuple[str, str]]:
    if not isinstance(data, dict):
        yield path, f"Expected `object`, got `{type(data).__name__}`"
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(schema)}
    for name in data.keys() - fields.keys():
        known = ", ".join(sorted(fields))
        yield f"{path}.{name}", f"unknown field; known: {known}"
    for name, field in fields.items():
        if name in data:
            yield from _problems(data[name], field.type, f"{path}.{name}")
        elif field.required:
            yield f"{path}.{name}", "missing"


def _list_of(schema: object) -> object | None:
    """Return the item type of a list type with or without constraints, else None."""
    if typing.get_origin(schema) is typing.Annotated:
        schema = typing.get_args(schema)[0]
    return typing.get_args(schema)[0] if typing.get_origin(schema) is list else None


def _without_none(data: object, schema: object) -> object:
    """Return an optional field's type without None, so that its fields are checked."""
    if data is None or not isinstance(schema, types.UnionType):
        return schema
    members = [arg for arg in typing.get_args(schema) if arg is not type(None)]
    return members[0] if len(members) == 1 else schema
