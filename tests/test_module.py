"""The text of the module itself: its length, its width, its first lines."""

import ast
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "switchthread" / "decide.py"
LINES = SOURCE.read_text().splitlines()


def test_length() -> None:
    assert len([line for line in LINES if line.strip()]) <= 500


def test_width() -> None:
    assert max(len(line) for line in LINES) <= 110


def test_first_lines_name_the_interface() -> None:
    assert "interface.py" in "\n".join(LINES[:2])


def test_no_clock_no_globals() -> None:
    tree = ast.parse(SOURCE.read_text())
    names = {alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names}
    modules = {node.module for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)}
    standard = {"__future__", "bisect", "itertools", "math", "random", "zlib"}
    allowed = standard | {"books", "entry", "interface", "records", "roster", "subset", None}
    assert names | modules <= allowed
    assert not any(isinstance(node, (ast.Global, ast.Nonlocal)) for node in ast.walk(tree))
