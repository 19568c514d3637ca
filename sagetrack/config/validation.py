"""Files into typed structures, with every fault named by file, line, key and what is allowed.

`msgspec` stops at the first fault. Here the part that holds it is set aside and the rest is decoded again,
so that one run names them all. TOML 1.0 and JSON (RFC 8259) are read; neither parser tells lines, so a small
scan of the text finds them.
"""

from __future__ import annotations

import json
import re
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from msgspec import inspect

T = TypeVar("T")
Place = tuple[str | int, ...]  # keys and places in lists, from the top

MOST_FAULTS = 100
STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]|\[(\.\.\.)\]")
FAULT = re.compile(r"^(?P<why>.*?)(?: - at `(?:key in )?\$(?P<place>[^`]*)`)?$", re.S)
UNKNOWN = re.compile(r"Object contains unknown field `(.+)`")
MISSING = re.compile(r"Object missing required field `(.+)`")
TABLE = re.compile(r"^\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(?:#.*)?$")
_NAME = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
KEY = re.compile(rf"^\s*({_NAME}(?:\s*\.\s*{_NAME})*)\s*=")
JSON_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[{}\[\]:,]|[^\s{}\[\]:,"]+|\n')


class FileError(ValueError):
    """A file that cannot be used; `faults` has one plain line for each thing that is wrong."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__(faults[0])
        self.faults = faults


@dataclass(slots=True, frozen=True)
class Fault:
    place: Place
    why: str
    missing: Place | None = None  # what is not there


def toml_lines(text: str) -> dict[Place, int]:
    """The line of each key and table of a TOML text, counted from 1."""
    lines: dict[Place, int] = {}
    counts: dict[Place, int] = {}
    table: Place = ()
    for number, line in enumerate(text.splitlines(), 1):
        header = TABLE.match(line)
        if header is not None:
            table = ()
            names = [name.strip().strip("\"'") for name in header[2].split(".")]
            for depth, name in enumerate(names):
                table += (name,)
                last = depth == len(names) - 1
                if header[1] == "[[" and last:
                    counts[table] = counts.get(table, -1) + 1
                if table in counts:
                    table += (counts[table],)
            lines.setdefault(table, number)
            continue
        key = KEY.match(line)
        if key is not None:
            place = table + tuple(part.strip().strip("\"'") for part in key[1].split("."))
            lines.setdefault(place, number)
    return lines


def json_lines(text: str) -> dict[Place, int]:
    """The line of each key and list entry of a JSON text, counted from 1."""
    lines: dict[Place, int] = {}
    place: list[str | int] = []
    kinds: list[str] = []
    key: str | None = None
    line = 1
    awaits_key = False
    for token in JSON_TOKEN.findall(text):
        if token == "\n":
            line += 1
        elif token in "{[":
            lines.setdefault(tuple(place), line)
            kinds.append(token)
            place.append("" if token == "{" else 0)
            awaits_key = token == "{"
        elif token in "}]":
            if kinds:
                kinds.pop()
                place.pop()
            awaits_key = False
        elif token == ",":
            if kinds and kinds[-1] == "[":
                place[-1] = int(place[-1]) + 1
            awaits_key = bool(kinds) and kinds[-1] == "{"
        elif token == ":":
            if kinds and key is not None:
                place[-1] = key
                lines.setdefault(tuple(place), line)
        elif awaits_key and token.startswith('"'):
            try:
                key = json.loads(token)
            except ValueError:  # not JSON after all, which the parser has said
                key = token
            awaits_key = False
        else:
            lines.setdefault(tuple(place), line)
    return lines


def line_of(lines: dict[Place, int], place: Place) -> int:
    """The line of a place, or of the nearest thing round it."""
    for end in range(len(place), -1, -1):
        if place[:end] in lines:
            return lines[place[:end]]
    return 1


def name_of(place: Place) -> str:
    """As operators write it: `class[2].aim_ms`, counted from 1."""
    text = ""
    for part in place:
        text += f"[{part + 1}]" if isinstance(part, int) else f".{part}" if text else part
    return text or "the file"


def _place(text: str) -> Place:
    return tuple(
        match[1] if match[1] is not None else int(match[2]) if match[2] is not None else "..."
        for match in STEP.finditer(text)
    )


def _at(raw: object, place: Place) -> Any:
    for part in place:
        raw = raw[part]  # type: ignore[index]
    return raw


def _bounds(kind: inspect.IntType | inspect.FloatType, what: str) -> str:
    least = kind.ge if kind.ge is not None else kind.gt
    most = kind.le if kind.le is not None else kind.lt
    above = "above " if kind.gt is not None else "from "
    below = "below " if kind.lt is not None else ""
    if least is not None and most is not None:
        return f"{what} {above}{least:g} to {below}{most:g}"
    if least is not None:
        return f"{what} {'above' if kind.gt is not None else 'of at least'} {least:g}"
    return what if most is None else f"{what} {'below' if kind.lt is not None else 'of at most'} {most:g}"


def allowed(kind: inspect.Type) -> str:
    """What a value of this type may be, in words."""
    match kind:
        case inspect.Metadata():
            return allowed(kind.type)
        case inspect.LiteralType():
            return "one of " + ", ".join(str(value) for value in kind.values)
        case inspect.IntType():
            return _bounds(kind, "a whole number")
        case inspect.FloatType():
            return _bounds(kind, "a number")
        case inspect.BoolType():
            return "true or false"
        case inspect.StrType():
            text = "a text"
            if kind.min_length:
                text += " that is not empty"
            return text + (f" of the form {kind.pattern}" if kind.pattern else "")
        case inspect.StructType():
            return "a table with " + ", ".join(field.encode_name for field in kind.fields)
        case inspect.ListType() | inspect.VarTupleType():
            return f"a list, each {allowed(kind.item_type)}"
        case inspect.TupleType():
            return "a list of " + " and ".join(allowed(item) for item in kind.item_types)
        case inspect.DictType():
            return "a table"
        case inspect.UnionType():
            return " or ".join(allowed(item) for item in kind.types if not isinstance(item, inspect.NoneType))
    return "another value"


def _type_at(kind: inspect.Type, place: Place) -> inspect.Type:
    for part in place:
        if isinstance(kind, inspect.UnionType):
            kinds = [item for item in kind.types if not isinstance(item, inspect.NoneType)]
            kind = kinds[0]
        if isinstance(kind, inspect.StructType):
            kind = next((field.type for field in kind.fields if field.encode_name == part), inspect.AnyType())
        elif isinstance(kind, inspect.ListType | inspect.VarTupleType):
            kind = kind.item_type
        elif isinstance(kind, inspect.TupleType) and isinstance(part, int):
            kind = kind.item_types[part]
        elif isinstance(kind, inspect.DictType):
            kind = kind.value_type
    return kind


def _fault(error: msgspec.ValidationError, raw: object, kind: inspect.Type) -> tuple[Fault, Place]:
    """The fault in words, and the part to set aside."""
    found = FAULT.match(str(error))
    assert found is not None
    place = _place(found["place"] or "")
    why = found["why"]
    if "..." in place:
        place = place[: place.index("...")]
    unknown, missing = UNKNOWN.match(why), MISSING.match(why)
    here = _type_at(kind, place)
    if unknown is not None:
        place += (unknown[1],)
        names = here.fields if isinstance(here, inspect.StructType) else ()
        known = ", ".join(field.encode_name for field in names) or "none"
        return Fault(place, f"{name_of(place)} is unknown; allowed are {known}"), place
    if missing is not None:
        fields = here.fields if isinstance(here, inspect.StructType) else ()
        wanted = next((allowed(f.type) for f in fields if f.encode_name == missing[1]), "")
        absent = (*place, missing[1])
        return Fault(place, f"{name_of(absent)} is missing; it is {wanted}", absent), place
    try:
        value = json.dumps(_at(raw, place), default=str)[:80]
    except (KeyError, IndexError, TypeError):
        value = "?"
    return Fault(place, f"{name_of(place)} = {value} is not allowed; it is {allowed(here)}"), place


def faults_of(raw: Any, type_: type[T]) -> tuple[T | None, list[Fault]]:
    """Decode plain data; the structure if nothing is wrong, and what is wrong otherwise. `raw` is used up."""
    faults: list[Fault] = []
    gone: set[Place] = set()
    for _ in range(2 * MOST_FAULTS):
        try:
            value = msgspec.convert(raw, type_)
            return (None if faults else value), faults
        except msgspec.ValidationError as error:
            fault, aside = _fault(error, raw, inspect.type_info(type_))
            if fault.missing not in gone:  # else it is missing because it was set aside
                faults.append(fault)
            if not aside or len(faults) >= MOST_FAULTS or not _set_aside(raw, aside):
                break
            gone.add(aside)
    return None, faults


def _set_aside(raw: Any, place: Place) -> bool:
    """Take a part out. Of a list, the faulty entry makes room for a good one, so that places stay."""
    try:
        holder = _at(raw, place[:-1])
        if isinstance(holder, list):
            others = [entry for number, entry in enumerate(holder) if number != place[-1]]
            if not others:
                return False
            holder[place[-1]] = others[-1] if place[-1] == 0 else others[0]  # type: ignore[index]
        else:
            del holder[place[-1]]
    except (KeyError, IndexError, TypeError):
        return False
    return True


Check = Callable[[Any], Iterator[Fault]]


def _nothing(value: object) -> Iterator[Fault]:
    return iter(())


class UnreadableError(FileError):
    """The file cannot be read at all: nothing is said of what is in it."""

    def __init__(self, path: Path, error: OSError) -> None:
        super().__init__([f"{path}: {error.strerror}"])
        self.error = error


def read(path: Path | str, type_: type[T], check: Check = _nothing) -> T:
    """Read a `.json` or TOML file into a structure.

    `check` finds what types cannot tell. FileError names everything that is wrong, a line each.
    """
    path = Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise UnreadableError(path, error) from None
    except UnicodeDecodeError:
        raise FileError([f"{path}: not UTF-8"]) from None
    is_json = path.suffix == ".json"
    try:
        raw = json.loads(text) if is_json else tomllib.loads(text)
    except (json.JSONDecodeError, tomllib.TOMLDecodeError) as error:
        found = re.search(r"line (\d+)", str(error))
        line = f":{found[1]}" if found is not None else ""
        form = "JSON" if is_json else "TOML"
        raise FileError([f"{path}{line}: not {form}: {str(error).splitlines()[0]}"]) from None
    lines = json_lines(text) if is_json else toml_lines(text)
    value, faults = faults_of(raw, type_)
    if value is not None:
        faults = list(check(value))
    if faults or value is None:
        raise FileError([f"{path}:{line_of(lines, fault.place)}: {fault.why}" for fault in faults])
    return value
