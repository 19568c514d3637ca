"""Finds the line number of each key in TOML 1.0 or JSON (RFC 8259) text.

Neither `tomllib` nor `json` reports where a key is, so a small scanner finds it. The scanner is lenient:
its result is used for text that a parser has accepted, and on any other text it must only not raise.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field

KeyPath = tuple[str | int, ...]  # table keys and list indices (from 0) from the top level down
KeyLines = dict[KeyPath, int]  # line numbers, from 1

TOML_TABLE = re.compile(r"^\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(?:#.*)?$")
_TOML_NAME = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
TOML_KEY = re.compile(rf"^\s*({_TOML_NAME}(?:\s*\.\s*{_TOML_NAME})*)\s*=")
JSON_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[{}\[\]:,]|[^\s{}\[\]:,"]+|\n')


def toml_key_lines(text: str) -> KeyLines:
    """Return the line number of each key and table in TOML text."""
    lines: KeyLines = {}
    last_index: dict[KeyPath, int] = {}  # last index used in each array of tables
    table: KeyPath = ()
    for number, line in enumerate(text.splitlines(), 1):
        header = TOML_TABLE.match(line)
        if header is not None:
            table = _toml_table_path(header[2], header[1] == "[[", last_index)
            lines.setdefault(table, number)
            continue
        key = TOML_KEY.match(line)
        if key is not None:
            lines.setdefault(table + _toml_names(key[1]), number)
    return lines


def _toml_names(dotted: str) -> tuple[str, ...]:
    return tuple(name.strip().strip("\"'") for name in dotted.split("."))


def _toml_table_path(dotted: str, is_array_entry: bool, last_index: dict[KeyPath, int]) -> KeyPath:
    """Return the path that a table header names; a header of an array entry advances `last_index`."""
    names = _toml_names(dotted)
    table: KeyPath = ()
    for depth, name in enumerate(names):
        table += (name,)
        if is_array_entry and depth == len(names) - 1:
            last_index[table] = last_index.get(table, -1) + 1
        if table in last_index:
            table += (last_index[table],)
    return table


def json_key_lines(text: str) -> KeyLines:
    """Return the line number of each key and list entry in JSON text."""
    scan = _JsonScan()
    for token in JSON_TOKEN.findall(text):
        scan.take(token)
    return scan.lines


@dataclass(slots=True)
class _JsonScan:
    """The state of a scan over the tokens of JSON text."""

    lines: KeyLines = field(default_factory=dict)
    line: int = 1
    path: list[str | int] = field(default_factory=list)  # path of the next value
    open_brackets: list[str] = field(default_factory=list)
    key: str | None = None  # the last key read
    expects_key: bool = False

    def take(self, token: str) -> None:
        if token == "\n":
            self.line += 1
        elif token in "{[":
            self._open(token)
        elif token in "}]":
            self._close()
        elif token == ",":
            self._next_entry()
        elif token == ":":
            self._end_key()
        elif self.expects_key and token.startswith('"'):
            self._read_key(token)
        else:
            self.lines.setdefault(tuple(self.path), self.line)

    def _open(self, bracket: str) -> None:
        self.lines.setdefault(tuple(self.path), self.line)
        self.open_brackets.append(bracket)
        self.path.append("" if bracket == "{" else 0)
        self.expects_key = bracket == "{"

    def _close(self) -> None:
        if self.open_brackets:
            self.open_brackets.pop()
            self.path.pop()
        self.expects_key = False

    def _next_entry(self) -> None:
        in_list = bool(self.open_brackets) and self.open_brackets[-1] == "["
        if in_list:
            self.path[-1] = int(self.path[-1]) + 1
        self.expects_key = bool(self.open_brackets) and not in_list

    def _end_key(self) -> None:
        in_object = bool(self.open_brackets) and self.open_brackets[-1] == "{"
        if in_object and self.key is not None:
            self.path[-1] = self.key
            self.lines.setdefault(tuple(self.path), self.line)

    def _read_key(self, token: str) -> None:
        try:
            self.key = json.loads(token)
        except ValueError:  # not a JSON string; the JSON parser reports the error
            self.key = token
        self.expects_key = False


def nearest_line(lines: KeyLines, path: KeyPath) -> int:
    """Return the line of a key, or of the innermost container of it whose line is known."""
    for end in range(len(path), -1, -1):
        if path[:end] in lines:
            return lines[path[:end]]
    return 1


def key_text(path: KeyPath) -> str:
    """Format a path for error messages, as in `class[2].aim_ms`, with list indices from 1."""
    text = ""
    for part in path:
        text += f"[{part + 1}]" if isinstance(part, int) else f".{part}" if text else part
    return text or "the file"
