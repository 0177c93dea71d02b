"""The code and the tests that docs/acceptance.md refers to exist."""

from __future__ import annotations

import re

from .helpers.processes import ROOT

PAGE = (ROOT / "docs" / "acceptance.md").read_text(encoding="utf-8")


def test_the_referenced_tests_exist() -> None:
    references = re.findall(r"`(tests/[\w/]+\.py)(?:::(\w+))?`", PAGE)
    assert references
    for path, name in references:
        text = (ROOT / path).read_text(encoding="utf-8")
        assert not name or f"def {name}(" in text, f"{path}::{name}"


def test_the_referenced_code_exists() -> None:
    references = re.findall(r"`((?:limenotch|deploy)/[\w/.-]+)`(?: \(((?:`\w+`(?:, )?)+)\))?", PAGE)
    assert references
    for path, names in references:
        assert (ROOT / path).exists(), path
        for name in re.findall(r"`(\w+)`", names):
            assert name in (ROOT / path).read_text(encoding="utf-8"), f"{path}: {name}"
