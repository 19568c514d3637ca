"""Decodes files into typed structures and reports every fault with file, line, key and allowed values.

`msgspec` stops at the first fault. To report all of them in one run, this module removes the faulty value and
decodes the rest again.
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

from sagetrack.config.allowed_values import describe, field_names, field_type, type_at
from sagetrack.config.errors import FileError, IncompleteFileError, UnreadableError
from sagetrack.config.key_lines import KeyPath, json_key_lines, key_text, nearest_line, toml_key_lines

Structure = TypeVar("Structure")

MAX_FAULTS = 100  # faults reported per file
MAX_VALUE_LENGTH = 80  # characters of a faulty value that a message shows
# msgspec reports a fault only as text, which these patterns parse.
MSGSPEC_FAULT = re.compile(r"^(?P<reason>.*?)(?: - at `(?:key in )?\$(?P<path>[^`]*)`)?$", re.S)
# A step of a path: a key, a list index, or an unnamed key of a map
MSGSPEC_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]|\[(\.\.\.)\]")
MSGSPEC_UNKNOWN = re.compile(r"Object contains unknown field `(.+)`")
MSGSPEC_MISSING = re.compile(r"Object missing required field `(.+)`")


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault in a file."""

    path: KeyPath  # key whose line is reported
    message: str
    missing: KeyPath | None = None  # the missing key, if that is the fault


Check = Callable[[Any], Iterator[Fault]]


def _no_check(value: object) -> Iterator[Fault]:
    return iter(())


def read(path: Path | str, type_: type[Structure], check: Check = _no_check) -> Structure:
    """Read a file into a structure: JSON if it is named `.json`, TOML otherwise.

    Args:
        path: the file.
        type_: the structure.
        check: finds faults that types cannot express; called only if the types find none.

    Raises:
        UnreadableError: the file cannot be read.
        IncompleteFileError: the syntax of the file is invalid.
        FileError: the content is invalid; `faults` lists every fault.
    """
    path = Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise UnreadableError(path, error) from None
    except UnicodeDecodeError:
        raise IncompleteFileError([f"{path}: file is not UTF-8 text"]) from None
    is_json = path.suffix == ".json"
    raw = _parse(path, text, is_json)
    lines = json_key_lines(text) if is_json else toml_key_lines(text)
    value, faults = decode(raw, type_)
    if value is not None:
        faults = list(check(value))
    if faults or value is None:
        raise FileError([f"{path}:{nearest_line(lines, fault.path)}: {fault.message}" for fault in faults])
    return value


def _parse(path: Path, text: str, is_json: bool) -> Any:
    try:
        return json.loads(text) if is_json else tomllib.loads(text)
    except (json.JSONDecodeError, tomllib.TOMLDecodeError) as error:
        found = re.search(r"line (\d+)", str(error))
        line = f":{found[1]}" if found is not None else ""
        form = "JSON" if is_json else "TOML"
        raise IncompleteFileError([f"{path}{line}: not valid {form}: {str(error).splitlines()[0]}"]) from None


def decode(raw: Any, type_: type[Structure]) -> tuple[Structure | None, list[Fault]]:
    """Decode plain data into a structure.

    Args:
        raw: the output of a JSON or TOML parser; faulty values are removed from it.
        type_: the structure.

    Returns:
        The structure and no faults, or None and at most MAX_FAULTS faults.
    """
    faults: list[Fault] = []
    removed: set[KeyPath] = set()
    for _ in range(2 * MAX_FAULTS):
        try:
            value = msgspec.convert(raw, type_)
            return (None if faults else value), faults
        except msgspec.ValidationError as error:
            fault = _fault(error, raw, inspect.type_info(type_))
            if fault.missing not in removed:  # otherwise an earlier iteration removed it
                faults.append(fault)
            if not fault.path or len(faults) >= MAX_FAULTS or not _remove(raw, fault.path):
                break
            removed.add(fault.path)
    return None, faults


def _fault(error: msgspec.ValidationError, raw: object, kind: inspect.Type) -> Fault:
    """Convert an error of msgspec to a fault with a message for operators."""
    found = MSGSPEC_FAULT.match(str(error))
    assert found is not None
    reason, path = found["reason"], _key_path(found["path"] or "")
    here = type_at(kind, path)
    if (unknown := MSGSPEC_UNKNOWN.match(reason)) is not None:
        path += (unknown[1],)
        known = ", ".join(field_names(here)) or "none"
        return Fault(path, f"{key_text(path)} is unknown; allowed keys are {known}")
    if (missing := MSGSPEC_MISSING.match(reason)) is not None:
        expected = field_type(here, missing[1])
        absent = (*path, missing[1])
        allowed = describe(expected) if expected is not None else ""
        return Fault(path, f"{key_text(absent)} is missing; it must be {allowed}", absent)
    try:
        value = json.dumps(_value_at(raw, path), default=str)[:MAX_VALUE_LENGTH]
    except (KeyError, IndexError, TypeError):
        value = "?"
    return Fault(path, f"{key_text(path)} = {value} is not allowed; it must be {describe(here)}")


def _key_path(text: str) -> KeyPath:
    """Parse a path in the notation of msgspec, up to the first map key that msgspec leaves unnamed."""
    path: KeyPath = ()
    for key, index, any_key in MSGSPEC_STEP.findall(text):
        if any_key:
            break
        path += (int(index) if index else key,)
    return path


def _value_at(raw: object, path: KeyPath) -> Any:
    for part in path:
        raw = raw[part]  # type: ignore[index]
    return raw


def _remove(raw: Any, path: KeyPath) -> bool:
    """Remove the value at a path; return False if it cannot be removed.

    A list entry is overwritten with another entry, so that the indices of the other entries do not change.
    """
    try:
        holder = _value_at(raw, path[:-1])
        if isinstance(holder, list):
            others = [entry for number, entry in enumerate(holder) if number != path[-1]]
            if not others:
                return False
            holder[path[-1]] = others[-1] if path[-1] == 0 else others[0]  # type: ignore[index]
        else:
            del holder[path[-1]]
    except (KeyError, IndexError, TypeError):
        return False
    return True
