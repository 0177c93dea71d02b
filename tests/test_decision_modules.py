"""Checks the source of the decision modules listed in deploy/balancer.toml: length, width, imports, no globals."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
POLICY_FILES = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
# Modules of the package that they may import, besides each other.
ALLOWED_MODULES = {
    "actions", "available_endpoints", "balancer_state", "endpoint_registry", "endpoint_statistics", "events", "rates",
    "selection_tables", "types",
}  # fmt: skip
STANDARD_MODULES = {"__future__", "bisect", "collections.abc", "math", "typing"}


def read_lines(name: str) -> list[str]:
    return (ROOT / name).read_text().splitlines()


def imported_modules(name: str) -> set[str]:
    """The modules that a file imports. Those of its own package have no prefix."""
    modules = set()
    for node in ast.walk(ast.parse("\n".join(read_lines(name)))):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            modules |= {node.module} if node.module else {alias.name for alias in node.names}
    return modules


def test_each_policy_file_is_listed_once() -> None:
    assert len(set(POLICY_FILES)) == len(POLICY_FILES)


@pytest.mark.parametrize("name", POLICY_FILES)
def test_policy_files_are_limited_in_length_and_width(name: str) -> None:
    """Each file must be short enough to be read at once. Their total length has no limit."""
    assert sum(bool(line.strip()) for line in read_lines(name)) <= 200
    assert max(len(line) for line in read_lines(name)) <= 110


def test_the_first_lines_of_balancer_py_refer_to_events_py() -> None:
    assert "events.py" in "\n".join(read_lines("limenotch/balancing/balancer.py")[:2])


@pytest.mark.parametrize("name", POLICY_FILES)
def test_policy_files_use_no_clock_and_no_globals(name: str) -> None:
    assert imported_modules(name) <= STANDARD_MODULES | ALLOWED_MODULES | {Path(other).stem for other in POLICY_FILES}
    tree = ast.parse("\n".join(read_lines(name)))
    assert not any(isinstance(node, (ast.Global, ast.Nonlocal)) for node in ast.walk(tree))
    # Module level has only docstrings, imports, constants, functions and classes: nothing that balancers could share.
    for node in tree.body:
        value = node.value if isinstance(node, ast.Assign) else None
        assert not isinstance(value, (ast.List, ast.Dict, ast.Set, ast.Call)), ast.dump(node)


def test_modules_that_record_state_import_no_decision_module() -> None:
    """They import none of the policy files except admission.py, whose type is part of the state."""
    decision_modules = {Path(name).stem for name in POLICY_FILES} - {"admission"}
    for module in sorted(ALLOWED_MODULES):
        assert not imported_modules(f"limenotch/balancing/{module}.py") & decision_modules
