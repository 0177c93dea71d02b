"""Loads decision modules: the installed one, one with another text of one of its files, or one of a git revision.

A variant is a complete package with its own name beside the installed one. So several variants can be loaded in one
process, and none uses another's types.
"""

from __future__ import annotations

import importlib
import io
import os
import shutil
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Callable
from functools import cache
from hashlib import sha256
from pathlib import Path
from types import ModuleType
from typing import Any, Protocol

import limenotch.balancing

from ..toml import FaultError

PACKAGE = Path(limenotch.balancing.__file__).parent
DEFAULT_FILE = "balancer.py"


class DecisionModule(Protocol):
    """The decision module's public interface: `handle` takes an event and returns actions in order."""

    def handle(self, now_ms: float, event: Any) -> list[Any]: ...


class Policy:
    """A loaded decision module: its types, events and actions, and its constructor."""

    def __init__(self, name: str, package: ModuleType) -> None:
        self.name = name
        self.types: Any = importlib.import_module(f"{package.__name__}.types")
        self.events: Any = importlib.import_module(f"{package.__name__}.events")
        self.actions: Any = importlib.import_module(f"{package.__name__}.actions")
        self.read_settings: Callable[[dict[str, Any]], Any] = importlib.import_module(
            f"{package.__name__}.settings"
        ).read_settings
        self._create: Callable[[Any, int], DecisionModule] = package.Balancer

    def instance(self, settings: dict[str, Any], seed: int) -> DecisionModule:
        """Creates an instance from settings in the platform's JSON form."""
        return self._create(self.read_settings(settings), seed)


_loaded: dict[str, Policy] = {}


def _folder() -> Path:
    folder = Path(tempfile.gettempdir()) / f"limenotch-policies-{os.getuid()}"
    folder.mkdir(mode=0o700, exist_ok=True)
    return folder


def _install(files: dict[str, bytes], name: str) -> Policy:
    """Installs the files as a package named by their digest, so the same text is loaded once."""
    digest = sha256(b"".join(key.encode() + b"\0" + files[key] + b"\0" for key in sorted(files))).hexdigest()[:16]
    package = f"limenotch_policy_{digest}"
    if package not in sys.modules:
        folder = Path(tempfile.mkdtemp(dir=_folder()))
        try:
            package_folder = folder / package
            package_folder.mkdir()
            for key, data in files.items():
                (package_folder / key).write_bytes(data)
            sys.path.insert(0, str(folder))
            try:
                importlib.invalidate_caches()
                module = importlib.import_module(package)
                for module_name in ("types", "events", "actions", "settings"):
                    importlib.import_module(f"{package}.{module_name}")
            except Exception as error:  # a variant's code may raise anything
                raise FaultError(f"policy {name}: {type(error).__name__}: {error}") from error
            finally:
                sys.path.remove(str(folder))
        finally:
            shutil.rmtree(folder, ignore_errors=True)
    else:
        module = sys.modules[package]
    return Policy(name, module)


def _read_installed() -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in PACKAGE.glob("*.py")}


def _read_revision(revision: str) -> dict[str, bytes]:
    """The files of the package in a git revision of this repository."""
    command = ["git", "-C", str(PACKAGE.parent), "archive", revision, PACKAGE.name]
    try:
        done = subprocess.run(command, capture_output=True, check=False, timeout=60)
    except OSError as error:
        raise FaultError(f"policy git:{revision}: git: {error.strerror}") from None
    if done.returncode:
        raise FaultError(f"policy git:{revision}: {done.stderr.decode(errors='replace').strip()}")
    files: dict[str, bytes] = {}
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as tar:
        for member in tar:
            data = tar.extractfile(member) if member.isfile() else None
            if data is not None and member.name.endswith(".py"):
                files[Path(member.name).name] = data.read()
    return files


@cache
def sources(spec: str) -> dict[str, bytes]:
    """The files of a variant: `installed`, `git:REVISION`, or the path of one of its files. Raises FaultError.

    Such a file replaces the installed file of its name, or else `balancer.py`. The files are read once per process, so
    a digest always belongs to the text that was loaded.
    """
    if spec == "installed":
        return _read_installed()
    if spec.startswith("git:"):
        return _read_revision(spec.removeprefix("git:"))
    try:
        files, path = _read_installed(), Path(spec)
        return {**files, path.name if path.name in files else DEFAULT_FILE: path.read_bytes()}
    except OSError as error:
        raise FaultError(f"policy {spec}: {error.strerror}") from None


def load(spec: str) -> Policy:
    """Loads a variant, once per process. Raises FaultError."""
    if spec not in _loaded:
        if spec == "installed":
            _loaded[spec] = Policy(spec, limenotch.balancing)
        else:
            _loaded[spec] = _install(sources(spec), spec)
    return _loaded[spec]


def digest(spec: str) -> str:
    """The digest of a variant's text, which results carry."""
    files = sources(spec)
    return sha256(b"".join(key.encode() + b"\0" + files[key] for key in sorted(files))).hexdigest()[:12]
