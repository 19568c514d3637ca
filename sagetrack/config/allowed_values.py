"""Descriptions of the values that a type allows, for error messages."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import inspect

from sagetrack.config.key_lines import KeyPath


def describe(kind: inspect.Type) -> str:
    """Describe the values that a type allows, as in `a whole number from 1 to 9`."""
    for type_, describe_type in _DESCRIPTIONS:
        if isinstance(kind, type_):
            return describe_type(kind)
    return "another value"


def _describe_number(kind: inspect.IntType | inspect.FloatType, noun: str) -> str:
    least = kind.ge if kind.ge is not None else kind.gt
    most = kind.le if kind.le is not None else kind.lt
    excludes_least = kind.gt is not None
    excludes_most = kind.lt is not None
    if least is not None and most is not None:
        above = "above " if excludes_least else "from "
        below = "below " if excludes_most else ""
        return f"{noun} {above}{least:g} to {below}{most:g}"
    if least is not None:
        return f"{noun} {'above' if excludes_least else 'of at least'} {least:g}"
    return noun if most is None else f"{noun} {'below' if excludes_most else 'of at most'} {most:g}"


def _describe_text(kind: inspect.StrType) -> str:
    text = "a string"
    if kind.min_length:
        text += " that is not empty"
    return text + (f" that matches {kind.pattern}" if kind.pattern else "")


def _describe_union(kind: inspect.UnionType) -> str:
    return " or ".join(describe(item) for item in kind.types if not isinstance(item, inspect.NoneType))


_DESCRIPTIONS: tuple[tuple[type, Callable[..., str]], ...] = (
    (inspect.Metadata, lambda kind: describe(kind.type)),
    (inspect.LiteralType, lambda kind: "one of " + ", ".join(str(value) for value in kind.values)),
    (inspect.IntType, lambda kind: _describe_number(kind, "a whole number")),
    (inspect.FloatType, lambda kind: _describe_number(kind, "a number")),
    (inspect.BoolType, lambda kind: "true or false"),
    (inspect.StrType, _describe_text),
    (inspect.StructType, lambda kind: "a table with " + ", ".join(field_names(kind))),
    (inspect.ListType, lambda kind: f"a list, each {describe(kind.item_type)}"),
    (inspect.VarTupleType, lambda kind: f"a list, each {describe(kind.item_type)}"),
    (inspect.TupleType, lambda kind: "a list of " + " and ".join(describe(item) for item in kind.item_types)),
    (inspect.DictType, lambda kind: "a table"),
    (inspect.UnionType, _describe_union),
)


def field_names(kind: inspect.Type) -> list[str]:
    """Return the keys of a structure as they are written in the file; an empty list for other types."""
    return [field.encode_name for field in kind.fields] if isinstance(kind, inspect.StructType) else []


def field_type(kind: inspect.Type, name: str | int) -> inspect.Type | None:
    """Return the type of a structure's field; None if the structure has no such field."""
    if not isinstance(kind, inspect.StructType):
        return None
    return next((field.type for field in kind.fields if field.encode_name == name), None)


def type_at(kind: inspect.Type, path: KeyPath) -> inspect.Type:
    """Return the type of the value at a path inside a value of type `kind`."""
    for part in path:
        if isinstance(kind, inspect.UnionType):
            kind = next(item for item in kind.types if not isinstance(item, inspect.NoneType))
        if isinstance(kind, inspect.StructType):
            kind = field_type(kind, part) or inspect.AnyType()
        elif isinstance(kind, inspect.ListType | inspect.VarTupleType):
            kind = kind.item_type
        elif isinstance(kind, inspect.TupleType) and isinstance(part, int):
            kind = kind.item_types[part]
        elif isinstance(kind, inspect.DictType):
            kind = kind.value_type
    return kind
