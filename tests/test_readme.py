"""The README's example runs as printed, and its test command is the one that CI calls."""

import re
import subprocess
import venv
from pathlib import Path

import pytest

from . import __main__ as tests

ROOT = Path(__file__).parent.parent
README = ROOT / "README.md"


def test_example(capsys: pytest.CaptureFixture[str]) -> None:
    blocks = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})
    assert capsys.readouterr().out.startswith("send call-1 to 10.0.0.")


def test_the_test_command_is_the_one_that_ci_runs() -> None:
    command = re.search(r"^## Test\n\n    (.*)\n", README.read_text(), re.MULTILINE)
    assert command is not None
    assert (ROOT / ".ci" / "run").read_text().splitlines()[-1] == f"exec {command[1]}"


def test_tools_are_installed_again_when_requirements_change(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    ran: list[list[str]] = []
    monkeypatch.setattr(subprocess, "run", lambda command, **_: ran.append(command))
    monkeypatch.setattr(venv, "create", lambda folder, with_pip: (folder / "bin").mkdir(parents=True))
    (tmp_path / tests.NEEDED).write_text("-r base.txt\ntool==1\n")
    (tmp_path / "base.txt").write_text("library==1\n")
    for needed in (True, False):
        python = tests.set_up(tmp_path)
        python.touch()
        assert bool(ran) == needed
        ran.clear()
    (tmp_path / "base.txt").write_text("library==2\n")
    tests.set_up(tmp_path)
    assert ran[0][-2:] == ["-r", tests.NEEDED]
