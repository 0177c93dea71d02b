"""The README's example runs as printed, and its test command is the one that CI runs."""

import re
import subprocess
import venv
from pathlib import Path

import pytest

from . import __main__ as runner

ROOT = Path(__file__).parent.parent
README = ROOT / "README.md"


def test_the_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    blocks = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})
    assert capsys.readouterr().out.startswith("send call-1 to 10.0.0.")


def test_the_test_command_is_the_one_that_ci_runs() -> None:
    command = re.search(r"^## Test\n\n    (.*)\n", README.read_text(), re.MULTILINE)
    assert command is not None
    assert (ROOT / ".ci" / "run").read_text().splitlines()[-1] == f"exec {command[1]}"


def test_tools_are_reinstalled_when_requirements_change(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    commands: list[list[str]] = []
    monkeypatch.setattr(subprocess, "run", lambda command, **_: commands.append(command))
    monkeypatch.setattr(venv, "create", lambda folder, with_pip: (folder / "bin").mkdir(parents=True))
    (tmp_path / runner.REQUIREMENTS).write_text("-r base.txt\ntool==1\n")
    (tmp_path / "base.txt").write_text("library==1\n")
    for must_install in (True, False):
        python = runner.set_up(tmp_path)
        python.touch()
        assert bool(commands) == must_install
        commands.clear()
    (tmp_path / "base.txt").write_text("library==2\n")
    runner.set_up(tmp_path)
    assert commands[0][-2:] == ["-r", runner.REQUIREMENTS]
