"""Configuration: defaults, overrides, and messages that name the faulty key."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest

from limenotch.cli import main
from limenotch.config import ConfigError, load, parse

CLASS = {"name": "look", "effect": "idempotent", "target_ms": 400.0, "hard_limit_ms": 900.0}
RAW: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:5000",
    "discovery": "127.0.0.2:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"sockets": 256, "of_tomorrow": 1},
    "known": {"index": 1, "endpoints": []},
    "of_tomorrow": [],
    "settings": {"classes": [CLASS], "zones": ["a"], "skus": ["m2"], "permissions": {"conn_idle_ms": 9000}},
}


def test_values_of_the_file_and_defaults() -> None:
    config = parse(RAW, {"LB_LISTEN": "127.0.0.9:1"})
    assert config.listen == ("127.0.0.9", 1) and config.discovery == ("127.0.0.2", 8500)
    assert config.seed == 0x8C1F30D27A5BE964  # the seed is hexadecimal also where it looks decimal
    assert (config.sockets, config.endpoint_idle_ms, config.connect_timeout_ms, config.max_open) == (
        256,
        9000,
        250,
        20000,
    )


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        ("listen", "nowhere", "listen"),
        ("discovery", None, "discovery"),
        ("seed", "xyz", "seed"),
        ("limits", 3, "limits"),
        ("limits.sockets", "many", "limits.sockets"),
        ("known", [], "known"),
        ("settings", None, "settings"),
        ("settings.classes", None, "settings.classes"),
        ("settings.classes", [{**CLASS, "effect": "odd"}], r"settings.classes\[0\].effect"),
        ("settings.zones", "a", "settings.zones"),
        ("settings.permissions.conn_idle_ms", -1, "settings.permissions.conn_idle_ms"),
        ("settings.permissions.max_attempts", 0, "settings.max_attempts"),
        ("limits.memory_mb", float("inf"), "limits.memory_mb"),
        ("admin_addr", "127.0.0.1", "admin_addr"),
        ("settings.classes", [CLASS, CLASS], "settings.classes"),
        ("settings.classes", {"look": CLASS}, "settings.classes"),
    ],
)
def test_an_error_names_its_key(path: str, value: object, key: str) -> None:
    raw = copy.deepcopy(RAW)
    *outer_keys, last_key = path.split(".")
    section = raw
    for name in outer_keys:
        section = section[name]
    section[last_key] = value
    with pytest.raises(ConfigError, match=f"^{key}: "):
        parse(raw, {})


FAULTY_NUMBERS = [0, -1, float("nan"), float("inf"), True, "900", None, [900]]


@pytest.mark.parametrize("value", FAULTY_NUMBERS, ids=str)
def test_what_is_no_number_above_0(value: object) -> None:
    raw = copy.deepcopy(RAW)
    raw["settings"]["classes"][0]["hard_limit_ms"] = value
    with pytest.raises(ConfigError, match=r"^settings.classes\[0\].hard_limit_ms: "):
        parse(raw, {})
    raw = copy.deepcopy(RAW)
    raw["settings"]["permissions"]["max_attempts"] = value
    if value is not None:  # none given: the default
        with pytest.raises(ConfigError, match="^settings.max_attempts: "):
            parse(raw, {})


@pytest.mark.parametrize(
    "path",
    [
        "discovery",
        "limits",
        "settings",
        "settings.classes",
        "settings.zones",
        "settings.permissions",
        "settings.permissions.conn_idle_ms",
        "settings.classes.0.effect",
        "settings.classes.0.hard_limit_ms",
    ],
)
def test_a_reloaded_file_has_to_have_every_key_of_the_current_one(tmp_path: Path, path: str) -> None:
    # Guards against a truncated file that is still valid JSON: defaults would replace the operators' values.
    current = parse(RAW, {})
    raw = copy.deepcopy(RAW)
    section: Any = raw
    *outer_keys, last_key = path.split(".")
    for name in outer_keys:
        section = section[int(name) if name.isdigit() else name]
    del section[last_key]
    file = tmp_path / "config.json"
    file.write_text(json.dumps(raw))
    with pytest.raises(ConfigError, match=last_key):
        load({"LB_CONFIG": str(file)}, current)


def test_a_reloaded_file_may_lack_keys_used_only_at_start(tmp_path: Path) -> None:
    current = parse(RAW, {})
    file = tmp_path / "config.json"
    traffic_class = {"name": "tidy", "effect": "at_most_once", "target_ms": 50, "hard_limit_ms": 90, "worth": 2}
    settings = {**RAW["settings"], "classes": [traffic_class]}
    raw = {**{k: v for k, v in RAW.items() if k not in ("known", "seed")}, "settings": settings}
    file.write_text(json.dumps(raw))
    assert [cls.name for cls in load({"LB_CONFIG": str(file)}, current).settings.classes] == ["tidy"]


@pytest.mark.parametrize("text", ["{", "[]", None])
def test_an_invalid_or_missing_file(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    for environ in ({"LB_CONFIG": str(path)}, {}):
        with pytest.raises(ConfigError, match="^LB_CONFIG: "):
            load(environ)


def test_commands(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "config.json"
    monkeypatch.setenv("LB_CONFIG", str(path))
    for name in ("LB_LISTEN", "LB_DISCOVERY", "LB_NAME"):
        monkeypatch.delenv(name, raising=False)
    path.write_text(json.dumps(RAW))
    assert main(["check-config"]) == 0 and "listen: 127.0.0.1:5000" in capsys.readouterr().out
    path.write_text(json.dumps({**RAW, "seed": "?"}))
    assert main(["serve"]) == 2 and capsys.readouterr().err.startswith("limenotch: seed: ")
    assert main(["version"]) == 0
