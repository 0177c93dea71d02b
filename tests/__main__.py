"""Sets up and tests on a machine with Python alone: `python3 -m tests [PYTEST ARGUMENTS]`, from the root.

Makes .venv-dev, installs requirements-dev.txt there (again when a requirements file has changed), then runs ruff, mypy
and pytest and ends with the first fault's code. Imports the standard library only; the package index is needed once.
"""

from __future__ import annotations

import os
import subprocess
import sys
import venv
from pathlib import Path

ROOT = Path(__file__).parent.parent
FOLDER = ".venv-dev"
NEEDED = "requirements-dev.txt"
CHECKS = (
    ("ruff", "format", "--check", "--quiet", "."),
    ("ruff", "check", "."),
    ("mypy", "--no-incremental"),
    ("pytest",),
)


def wanted(root: Path, name: str = NEEDED) -> str:
    """The text of a requirements file and of those that it includes."""
    text = (root / name).read_text(encoding="utf-8")
    included = [line.split()[1] for line in text.splitlines() if line.startswith("-r ")]
    return text + "".join(wanted(root, one) for one in included)


def set_up(root: Path) -> Path:
    """The interpreter that has all that tests need. Raises CalledProcessError."""
    folder = root / FOLDER
    python, installed = folder / "bin" / "python", folder / "installed.txt"
    if not python.exists():
        venv.create(folder, with_pip=True)
    want = wanted(root)
    if not installed.exists() or installed.read_text(encoding="utf-8") != want:
        command = [str(python), "-m", "pip", "-q", "--disable-pip-version-check", "install", "-r", NEEDED]
        subprocess.run(command, cwd=root, check=True)
        installed.write_text(want, encoding="utf-8")
    return python


def main(arguments: list[str]) -> int:
    if sys.version_info < (3, 11):  # noqa: UP036 (whoever has an older one is to be told so)
        print("tests: Python 3.11 or later is needed", file=sys.stderr)
        return 2
    try:
        python = set_up(ROOT)
    except subprocess.CalledProcessError as error:
        print(f"tests: could not set up {ROOT / FOLDER}: {error}", file=sys.stderr)
        return 2
    environ = {
        **os.environ,
        "PATH": f"{python.parent}{os.pathsep}{os.environ.get('PATH', '')}",
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    for check in CHECKS:
        more = arguments if check[0] == "pytest" else []
        code = subprocess.run([python, "-m", *check, *more], cwd=ROOT, env=environ, check=False).returncode
        if code:
            return code
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
