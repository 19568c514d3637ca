"""docs/architecture.md names only existing files, classes and functions, and covers every package."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "architecture.md").read_text()
FILE = re.compile(r"`((?:sagetrack|tests|docs|deploy)/[\w/.-]+\.(?:py|md|toml|proto))`")
NAME = re.compile(r"`([A-Za-z_]\w*(?:\.[a-z_]\w*)?)`")
NAMING_COLUMNS = {"function", "owner", "read by"}  # names in these columns are defined in the row's file


def defined(path: Path) -> set[str]:
    """Return the classes, functions and methods of a file; methods with and without the class name."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ClassDef):
            found.add(node.name)
            for member in node.body:
                if isinstance(member, ast.FunctionDef | ast.AsyncFunctionDef):
                    found |= {member.name, f"{node.name}.{member.name}"}
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            found.add(node.name)
    return found


def cells(row: str) -> list[str]:
    return [cell.strip() for cell in row.strip().strip("|").split("|")]


def located_names() -> list[tuple[str, str]]:
    """Return pairs of a name and the file that a table row of the page gives for it."""
    pairs: list[tuple[str, str]] = []
    header: list[str] = []
    for line in PAGE.splitlines():
        if not line.startswith("|"):
            header = []
        elif not header:
            header = cells(line)
        elif header[-1] == "file":
            row = dict(zip(header, cells(line), strict=True))
            named = [name for column in NAMING_COLUMNS & row.keys() for name in NAME.findall(row[column])]
            pairs += [(name, file) for file in FILE.findall(row["file"]) for name in named]
    return pairs


@pytest.mark.parametrize("file", sorted(set(FILE.findall(PAGE))))
def test_files_exist(file: str) -> None:
    assert (ROOT / file).is_file()


def test_names_are_defined_in_the_files_that_the_page_gives() -> None:
    pairs = located_names()
    missing = [pair for pair in pairs if pair[0] not in defined(ROOT / pair[1])]
    assert len(pairs) > 40 and not missing


def test_every_package_is_on_the_page() -> None:
    packages = [path.name for path in (ROOT / "sagetrack").iterdir() if (path / "__init__.py").exists()]
    assert packages and all(re.search(rf"\b{name}\b", PAGE) for name in packages)
