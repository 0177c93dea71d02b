"""The `[fleet]` table: the example file, faults with file, line and key, the key file, and the effective settings."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from pathlib import Path

import pytest

from limenotch import toml
from limenotch.fleet.settings import Agreement, Fleet, Membership, Rules, Wallet, read_key, resolve
from limenotch.settings import Settings
from limenotch.settings_file import effective, parse

EXAMPLE = Path(__file__).parent.parent.parent / "deploy" / "fleet.toml"
KEY = b"sixteen bytes ok"
WALLET = 'voters = ["a"]\n\n[fleet.wallet]\n'  # another sidecar is the voter: this one needs no folder


@pytest.fixture
def key(tmp_path: Path) -> Path:
    path = tmp_path / "fleet.key"
    path.write_bytes(b"\n " + KEY + b"\n")
    return path


def table(key: Path, more: str = "") -> str:
    return f'[log]\nlevel = "info"\n\n[fleet]\ngroup = "g"\nlisten = "127.0.0.1:7400"\nkey_file = "{key}"\n{more}'


def example(key: Path) -> str:
    return EXAMPLE.read_text().replace("/etc/limenotch/fleet.key", str(key))


def test_the_example_is_valid_and_names_every_key(key: Path) -> None:
    settings = parse(example(key), "fleet.toml")
    keys = set(re.findall(r"^(\w+) =", EXAMPLE.read_text(), re.MULTILINE)) | set(
        re.findall(r"^\[fleet\.(?:\w+\.)?(\w+)\]", EXAMPLE.read_text(), re.MULTILINE)
    )
    assert keys >= {
        *Fleet.__struct_fields__,
        *Membership.__struct_fields__,
        *Agreement.__struct_fields__,
        *Rules.__struct_fields__,
        *Wallet.__struct_fields__,
    }
    assert settings.fleet.membership == Membership() and settings.fleet.agreement == Agreement()
    assert settings.fleet.rules == Rules() and settings.fleet.wallet == Wallet()
    assert settings.fleet.streams == Fleet("g", "h", "k").streams  # a value in the example is the default
    resolved = resolve(settings.fleet, "sidecar")
    assert (resolved.name, resolved.key, resolved.listen, resolved.address) == (
        "a",
        KEY,
        ("10.0.0.1", 7400),
        ("10.0.0.1", 7400),
    )
    assert resolved.seeds == (("10.0.0.2", 7400), ("10.0.0.3", 7400)) and resolved.addresses["c"] == ("10.0.0.3", 7400)


def test_the_effective_settings_can_be_parsed_again(key: Path) -> None:
    for text in (example(key), table(key), table(key, '[fleet.addresses]\n"a.b \\"c" = "[::1]:7"\n')):
        settings = parse(text, "x")
        shown = effective(settings)
        assert parse(shown, "x") == settings and KEY.decode() not in shown
    assert "fleet" not in effective(Settings())


@pytest.mark.parametrize(
    ("more", "message"),
    [
        ("streems = 3", "f.toml:8: fleet.streems: unknown key"),
        ("streams = 0", "f.toml:8: fleet.streams: expected"),
        ('seeds = ["127.0.0.1:1", "b"]', "f.toml:8: fleet.seeds[1]: expected HOST:PORT"),
        ('seeds = ["localhost:1"]', "f.toml:8: fleet.seeds[0]: expected a numeric host"),
        ('seeds = ["127.0.0.1:0"]', "f.toml:8: fleet.seeds[0]: expected a port other than 0"),
        ('voters = ["a", "a"]', "f.toml:8: fleet.voters: contains a name twice"),
        ('name = ""', "f.toml:8: fleet.name: expected"),
        ('[fleet.addresses]\nb = "x"', "f.toml:9: fleet.addresses.b: expected HOST:PORT"),
        ("[fleet.membership]\n\nperiod = 1", "f.toml:10: fleet.membership.period: unknown key"),
        ("[fleet.membership]\nprobes = 1.5", "f.toml:9: fleet.membership.probes: expected `int`"),
        ("[fleet.membership]\nperiod_ms = 5", "f.toml:8: fleet.membership: period_ms: 5"),
        ("[fleet.agreement]\nb = 1", "f.toml:9: fleet.agreement.b: unknown key"),
        ("[fleet.member]\nb = 1", "f.toml:8: fleet.member: unknown key"),
        ("[fleet.wallet]", "f.toml:8: fleet.wallet: needs voters to agree on credit"),
        (WALLET + 'tenants = ["a", "b", "a"]', "f.toml:11: fleet.wallet.tenants: contains a name twice"),
        (WALLET + 'tenants = ["a", "*"]', "f.toml:11: fleet.wallet.tenants: contains names beside"),
        (WALLET + "tenants = []", "f.toml:11: fleet.wallet.tenants: is empty"),
        (WALLET + 'without_lease = "advance"', "f.toml:11: fleet.wallet.without_lease: is advance, but"),
        (WALLET + 'without_lease = "go on"', "f.toml:11: fleet.wallet.without_lease: "),
        (WALLET + "[fleet.wallet.cost]\nread = -1", "f.toml:11: fleet.wallet.cost"),
        (WALLET + "costs = 1", "f.toml:11: fleet.wallet.costs: unknown key"),
    ],
)
def test_a_fault_names_file_line_and_key(key: Path, more: str, message: str) -> None:
    with pytest.raises(toml.FaultError, match="^" + re.escape(message)):
        parse(table(key, more), "f.toml")


def test_a_missing_key_is_named(key: Path) -> None:
    for needed in ("group", "listen", "key_file"):
        text = re.sub(rf"^{needed} = .*$", "", table(key), flags=re.MULTILINE)
        with pytest.raises(toml.FaultError, match=f"^f.toml:4: fleet.{needed}: missing"):
            parse(text, "f.toml")
    with pytest.raises(toml.FaultError, match="^f.toml:1: fleet: expected `object`"):
        parse("fleet = 3", "f.toml")


def test_the_sidecar_s_name_decides_address_and_faults(key: Path) -> None:
    wildcard = parse(table(key).replace("127.0.0.1", "0.0.0.0") + '[fleet.addresses]\nn = "127.0.0.1:7"\n', "x").fleet
    assert resolve(wildcard, "n").address == ("127.0.0.1", 7)
    voter = parse(table(key, 'voters = ["v"]'), "x").fleet
    assert resolve(voter, "n").name == "n"
    for fleet, name, message in [
        (wildcard, "m", "fleet.listen: 0.0.0.0:7400 can't be reached"),
        (voter, "v", "fleet.folder"),
        (voter, "x" * 65, "fleet.name"),
    ]:
        with pytest.raises(toml.FaultError, match="^" + message):
            resolve(fleet, name)


@pytest.mark.parametrize("content", [b"", b"fifteen bytes..", b"   fifteen bytes..\n\n\n", b"x" * 65, b"x" * 100_000])
def test_a_key_s_length_is_bounded_and_its_content_never_shown(tmp_path: Path, content: bytes) -> None:
    path = tmp_path / "k"
    path.write_bytes(content)
    with pytest.raises(toml.FaultError, match=r"^f\.toml:7: fleet\.key_file: .*: expected 16 to 64 bytes$") as fault:
        parse(table(path), "f.toml")
    assert "fifteen" not in str(fault.value) and "xx" not in str(fault.value)


def test_keys_of_minimal_and_maximal_length_and_a_missing_file(tmp_path: Path) -> None:
    path = tmp_path / "k"
    for size in (16, 64):
        path.write_bytes(b"\n" + bytes(range(100, 100 + size)) + b"\n")
        assert len(read_key(str(path))) == size
    path.unlink()
    with pytest.raises(toml.FaultError, match=r"^f\.toml:7: fleet\.key_file: .*: No such file"):
        parse(table(path), "f.toml")


def test_check_config_shows_the_table_and_its_faults(tmp_path: Path, key: Path) -> None:
    from tests.helpers.http_peers import SETTINGS

    (tmp_path / "c.json").write_text(
        json.dumps({"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS})
    )
    file = tmp_path / "s.toml"

    def check(text: str) -> subprocess.CompletedProcess[str]:
        file.write_text(text)
        return subprocess.run(
            [sys.executable, "-m", "limenotch", "check-config", "--settings", str(file)],
            capture_output=True,
            text=True,
            env={"LB_CONFIG": str(tmp_path / "c.json")},
        )

    shown = check(table(key, "streams = 7"))
    assert shown.returncode == 0 and '[fleet]\ngroup = "g"' in shown.stdout and "streams = 7" in shown.stdout
    shown = check(table(key, 'voters = ["n"]'))
    assert (shown.returncode, shown.stdout) == (2, "") and "limenotch: fleet.folder: missing" in shown.stderr
    assert "fleet" not in check('[log]\nform = "json"\n').stdout
