"""The settings that make sidecars of a case one fleet."""

from __future__ import annotations

import secrets
from pathlib import Path

import rig as r


def key_file(rig: r.Rig) -> Path:
    """The key of the fleet, readable by its user alone."""
    path = rig.folder / "fleet.key"
    path.write_text(secrets.token_hex(32))
    path.chmod(0o600)
    return path


def settings_file(rig: r.Rig, name: str, ports: dict[str, int], key: Path, tables: str) -> Path:
    """The settings of the sidecar `name`. `ports`: the fleet's port of each sidecar; all of them vote."""
    folder = rig.folder / f"log-{name}"
    folder.mkdir()
    seeds = ", ".join(f'"{r.HOST}:{port}"' for other, port in ports.items() if other != name)
    voters = ", ".join(f'"{each}"' for each in ports)
    path = rig.folder / f"{name}.toml"
    path.write_text(
        f'[fleet]\ngroup = "review"\nlisten = "{r.HOST}:{ports[name]}"\nkey_file = "{key}"\nname = "{name}"\n'
        f'seeds = [{seeds}]\nvoters = [{voters}]\nfolder = "{folder}"\n{tables}'
    )
    return path
