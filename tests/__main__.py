"""Sets up the development environment and runs all checks: `python3 -m tests [PYTEST ARGUMENTS]`, from the root.

Creates .venv-dev, installs requirements-dev.txt there (again when a requirements file has changed), then runs ruff,
mypy and pytest and exits with the first failing check's code. Needs Python's standard library only, and the package
index for the installation.
"""

from __future__ import annotations

import os
import subprocess
import sys
import venv
from pathlib import Path

ROOT = Path(__file__).parent.parent
VENV_FOLDER = ".venv-dev"
REQUIREMENTS = "requirements-dev.txt"
CHECKS = (
    ("ruff", "format", "--check", "--quiet", "."),
    ("ruff", "check", "."),
    ("mypy", "--no-incremental"),
    ("pytest",),
)


def requirements_text(root: Path, name: str = REQUIREMENTS) -> str:
    """Returns the text of a requirements file and of the files that it includes."""
    text = (root / name).read_text(encoding="utf-8")
    included = [line.split()[1] for line in text.splitlines() if line.startswith("-r ")]
    return text + "".join(requirements_text(root, included_file) for included_file in included)


def set_up(root: Path) -> Path:
    """Returns the interpreter of an environment with all requirements. Raises CalledProcessError."""
    folder = root / VENV_FOLDER
    python, installed = folder / "bin" / "python", folder / "installed.txt"
    if not python.exists():
        venv.create(folder, with_pip=True)
    required = requirements_text(root)
    if not installed.exists() or installed.read_text(encoding="utf-8") != required:
        command = [str(python), "-m", "pip", "-q", "--disable-pip-version-check", "install", "-r", REQUIREMENTS]
        subprocess.run(command, cwd=root, check=True)
        installed.write_text(required, encoding="utf-8")
    return python


def main(arguments: list[str]) -> int:
    if sys.version_info < (3, 11):  # noqa: UP036 (older versions get a message)
        print("tests: Python 3.11 or later is needed", file=sys.stderr)
        return 2
    try:
        python = set_up(ROOT)
    except subprocess.CalledProcessError as error:
        print(f"tests: could not set up {ROOT / VENV_FOLDER}: {error}", file=sys.stderr)
        return 2
    environ = {
        **os.environ,
        "PATH": f"{python.parent}{os.pathsep}{os.environ.get('PATH', '')}",
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    for check in CHECKS:
        pytest_arguments = arguments if check[0] == "pytest" else []
        code = subprocess.run([python, "-m", *check, *pytest_arguments], cwd=ROOT, env=environ, check=False).returncode
        if code:
            return code
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
