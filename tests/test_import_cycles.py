"""Modules form no import cycles, including imports that only type checkers see."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent


def module_name(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported(tree: ast.Module, modules: set[str]) -> Iterator[str]:
    """Yield the modules of this project that a file imports at any level."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name in modules)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            for alias in node.names:
                full = f"{node.module}.{alias.name}"
                if full in modules:
                    yield full
                elif node.module in modules:
                    yield node.module


def import_graph() -> dict[str, set[str]]:
    files = {module_name(path): path for path in (ROOT / "sagetrack").rglob("*.py")}
    return {
        name: set(imported(ast.parse(path.read_text()), set(files))) - {name} for name, path in files.items()
    }


def reachable(graph: dict[str, set[str]], start: str) -> set[str]:
    found: set[str] = set()
    waiting = [start]
    while waiting:
        for target in graph[waiting.pop()]:
            if target not in found:
                found.add(target)
                waiting.append(target)
    return found


def cycles(graph: dict[str, set[str]]) -> set[frozenset[str]]:
    reach = {name: reachable(graph, name) for name in graph}
    return {
        frozenset({name} | {other for other in reach[name] if name in reach[other]})
        for name in graph
        if name in reach[name]
    }


def test_a_cycle_is_found() -> None:
    graph = {"a": {"b"}, "b": {"c"}, "c": {"b"}, "d": {"a"}}
    assert cycles(graph) == {frozenset({"b", "c"})}


def test_modules_form_no_import_cycles() -> None:
    assert not cycles(import_graph())
