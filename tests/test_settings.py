"""The program's settings: the shipped file, errors by file, line and key, and the effective settings."""

from __future__ import annotations

import json
import logging
import re
from pathlib import Path

import pytest

from limenotch import logs, toml
from limenotch.settings import Settings
from limenotch.settings_file import effective, load_settings, parse

from .helpers.processes import output_of

SHIPPED = Path(__file__).parent.parent / "deploy" / "limenotch.toml"


def test_the_shipped_file_has_every_key_at_its_default() -> None:
    assert parse(SHIPPED.read_text(), "limenotch.toml") == Settings()
    keys = re.findall(r"^(\w+) =", SHIPPED.read_text(), re.MULTILINE)
    assert keys == re.findall(r"^(\w+) =", effective(Settings()), re.MULTILINE)


def test_effective_settings_can_be_parsed_again() -> None:
    settings = parse('[log]\nform = "json"\n[providers]\nanswer_s = 1.5\n', "x")
    assert parse(effective(settings), "x") == settings and settings.endpoints.answer_s == 1.5


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('[log]\n\nform = "xml"', "f.toml:3: log.form: "),
        ("[consumers]\nidle_s = 0", "f.toml:2: consumers.idle_s: expected"),
        ("[consumers]\nidel_s = 1", "f.toml:2: consumers.idel_s: unknown key"),
        ("[consumers]\naccept_s = 2.0", "f.toml:1: consumers: keep_s: expected accept_s or more"),
        ("[descriptors]\nreserve = 1.5", "f.toml:2: descriptors.reserve: expected `int`"),
        ("log = 3", "f.toml:1: log: expected `object`"),
        ("[log", "f.toml: not TOML: "),
    ],
)
def test_an_error_names_file_line_and_key(text: str, message: str) -> None:
    with pytest.raises(toml.FaultError, match="^" + re.escape(message)):
        parse(text, "f.toml")


def test_the_path_of_the_settings_file(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text("[providers]\nanswer_s = 2")
    assert load_settings(None, {}) == Settings()
    assert load_settings(None, {"LIMENOTCH_SETTINGS": str(path)}).endpoints.answer_s == 2
    with pytest.raises(toml.FaultError, match="No such file"):
        load_settings(str(tmp_path / "none.toml"), {"LIMENOTCH_SETTINGS": str(path)})
    path.write_bytes(b"\xff")
    with pytest.raises(toml.FaultError, match="not UTF-8"):
        load_settings(str(path), {})


def test_the_line_of_a_table_in_a_list() -> None:
    text = "[[tier]]\n[[tier.kind]]\na = 1\n[[tier]]\n[[tier.kind]]\n[[tier.kind]]\nb = 2\n"
    assert [
        toml.line_of(text, path) for path in ("tier[1].kind[1].b", "tier[1].kind[0].z", "tier[0].kind[0].a", "q")
    ] == [7, 5, 3, None]


@pytest.mark.parametrize("form", logs.FORMS)
def test_a_log_line_has_its_fields(form: str, capsys: pytest.CaptureFixture[str]) -> None:
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    try:
        logs.configure(form, "info", "n3")
        logs.get("some").warning("answer not understood", provider="p1", call="c1")
        logging.getLogger("other").info("plain %d", 7)
        lines = capsys.readouterr().err.splitlines()
    finally:
        root.handlers[:], root.level = handlers, level
    if form == "json":
        first = json.loads(lines[0])
        assert (first["event"], first["provider"], first["call"], first["sidecar"], first["level"]) == (
            "answer not understood",
            "p1",
            "c1",
            "n3",
            "warning",
        )
        assert json.loads(lines[1])["event"] == "plain 7"
    else:
        assert "provider" in lines[0] and "p1" in lines[0] and "plain 7" in lines[1]


def test_serve_does_not_import_the_laboratory() -> None:
    """Guards the memory use and the start-up time of every sidecar."""
    code = (
        "import sys, limenotch.cli.serve, limenotch.app; "
        "print([m for m in sys.modules if m.split('.')[0] in ('numpy', 'scipy', 'rich', 'hdrh', 'matplotlib', "
        "'jinja2') or m.startswith('limenotch.lab')])"
    )
    # structlog imports rich where it is installed; the installation on the platform has none.
    assert [m for m in eval(output_of(code)) if not m.startswith(("rich", "pygments"))] == []
