"""Parsing of TOML documents into typed structures, with all faults reported at once.

A syntax error is the exception: the TOML parser stops there and reports the line.
"""

import tomllib
from difflib import get_close_matches
from typing import Any, TypeVar

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.findings import CheckMessage, error
from jaylatch_core.json_documents import MAX_INTEGER

SYNTAX = "documents.E001"
UNKNOWN_KEY = "documents.E002"
WRONG_VALUE = "documents.E003"
MISSING_KEY = "documents.E004"
WHOLE_DOCUMENT = "document"

Structure = TypeVar("Structure", bound=msgspec.Struct)


def parse_document(
    document: bytes, structure: type[Structure]
) -> Result[Structure, tuple[CheckMessage, ...]]:
    """Return the document as a ``structure``, or all its faults."""
    try:
        table = tomllib.loads(document.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as fault:
        hint = "correct the TOML syntax there; faults after it are not reported yet"
        return Err((error(SYNTAX, WHOLE_DOCUMENT, f"the document is not TOML: {fault}", hint),))
    faults = tuple(_find_faults(table, structure, ""))
    if faults:
        return Err(faults)
    return Success(msgspec.convert(table, structure))


def _find_faults(
    table: dict[str, Any], structure: type[msgspec.Struct], path: str
) -> list[CheckMessage]:
    fields = {field.encode_name: field for field in msgspec.structs.fields(structure)}
    faults = [_unknown_key(name, list(fields), path) for name in table if name not in fields]
    for name, field in fields.items():
        if name in table:
            faults += _find_value_faults(table[name], field.type, path + name)
        elif field.required:
            hint = f"add {name} = ..."
            faults.append(error(MISSING_KEY, path + name, "the key is missing", hint))
    return faults


def _find_value_faults(value: Any, kind: Any, path: str) -> list[CheckMessage]:
    match msgspec.inspect.type_info(kind):
        case msgspec.inspect.StructType(cls=structure) if isinstance(value, dict):
            return _find_faults(value, structure, f"{path}.")
        case msgspec.inspect.VarTupleType(
            item_type=msgspec.inspect.StructType(cls=structure)
        ) if isinstance(value, list):
            return [
                fault
                for number, item in enumerate(value)
                for fault in _find_value_faults(item, structure, f"{path}[{number}]")
            ]
    if isinstance(value, int) and not -MAX_INTEGER <= value <= MAX_INTEGER:
        text = f"the value is {value}"
        return [error(WRONG_VALUE, path, text, f"give a number up to {MAX_INTEGER}")]
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as fault:
        return [error(WRONG_VALUE, path, f"the value is {value!r}: {fault}", _hint(kind))]
    return []


def _unknown_key(name: str, known: list[str], path: str) -> CheckMessage:
    close = get_close_matches(name, known, n=1)
    hint = f"did you mean {close[0]!r}?" if close else f"known keys: {', '.join(known)}"
    return error(UNKNOWN_KEY, path + name, "the key does not exist", hint)


def _hint(kind: Any) -> str:
    info = msgspec.inspect.type_info(kind)
    if isinstance(info, msgspec.inspect.Metadata):
        unit = (info.extra or {}).get("unit", "")
        if unit:
            return f"give a plain number; the unit is {unit}"
        info = info.type
    match info:
        case msgspec.inspect.EnumType(cls=choices):
            return f"one of: {', '.join(item.value for item in choices)}"
        case msgspec.inspect.StructType():
            return "give a table"
        case _:
            return "see docs/reference/settings.md"
