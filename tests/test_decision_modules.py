"""The text of the files that decide, as deploy/balancer.toml names them: length, width, imports, no globals."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
POLICY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
# What they may read of the package, besides one another.
BESIDE = {
    "actions", "available_endpoints", "balancer_state", "endpoint_registry", "endpoint_statistics", "events", "rates",
    "selection_tables", "types",
}  # fmt: skip
STANDARD = {"__future__", "bisect", "collections.abc", "math", "typing"}


def lines(name: str) -> list[str]:
    return (ROOT / name).read_text().splitlines()


def imports(name: str) -> set[str]:
    """Modules that a file imports; of its own package by their bare names."""
    found = set()
    for node in ast.walk(ast.parse("\n".join(lines(name)))):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            found |= {node.module} if node.module else {alias.name for alias in node.names}
    return found


def test_each_is_named_once() -> None:
    assert len(set(POLICY)) == len(POLICY)


@pytest.mark.parametrize("name", POLICY)
def test_length_and_width_of_each(name: str) -> None:
    """The files together have no limit any more: each is held to what can be read at a sitting."""
    assert sum(bool(line.strip()) for line in lines(name)) <= 200
    assert max(len(line) for line in lines(name)) <= 110


def test_first_lines_name_the_events() -> None:
    assert "events.py" in "\n".join(lines("limenotch/balancing/balancer.py")[:2])


@pytest.mark.parametrize("name", POLICY)
def test_no_clock_no_globals(name: str) -> None:
    assert imports(name) <= STANDARD | BESIDE | {Path(other).stem for other in POLICY}
    tree = ast.parse("\n".join(lines(name)))
    assert not any(isinstance(node, (ast.Global, ast.Nonlocal)) for node in ast.walk(tree))
    # At a module's top only text, imports, constants, functions and classes: nothing that a balancer could write to.
    for node in tree.body:
        value = node.value if isinstance(node, ast.Assign) else None
        assert not isinstance(value, (ast.List, ast.Dict, ast.Set, ast.Call)), ast.dump(node)


def test_what_keeps_books_decides_nothing() -> None:
    """Files beside the policy import none of it, but for the door's type that the books hold."""
    deciding = {Path(name).stem for name in POLICY} - {"admission"}
    for beside in sorted(BESIDE):
        assert not imports(f"limenotch/balancing/{beside}.py") & deciding
