"""docs/acceptance.md names code and tests that are there."""

from __future__ import annotations

import re

from .helpers.processes import ROOT

PAGE = (ROOT / "docs" / "acceptance.md").read_text(encoding="utf-8")


def test_the_tests_named_are_there() -> None:
    named = re.findall(r"`(tests/[\w/]+\.py)(?:::(\w+))?`", PAGE)
    assert named
    for path, name in named:
        text = (ROOT / path).read_text(encoding="utf-8")
        assert not name or f"def {name}(" in text, f"{path}::{name}"


def test_the_code_named_is_there() -> None:
    named = re.findall(r"`((?:limenotch|deploy)/[\w/.-]+)`(?: \(((?:`\w+`(?:, )?)+)\))?", PAGE)
    assert named
    for path, names in named:
        assert (ROOT / path).exists(), path
        for name in re.findall(r"`(\w+)`", names):
            assert name in (ROOT / path).read_text(encoding="utf-8"), f"{path}: {name}"
