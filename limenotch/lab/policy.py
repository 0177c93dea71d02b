"""Decision modules to play: the one installed, another text of one of its files, or a git revision's.

A variant is a whole package beside the installed one, under a name of its own, so that several can be loaded in
one process and none sees another's types.
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
FILE = "balancer.py"


class Decider(Protocol):
    """The decision module's public interface: an event in, actions out, in order."""

    def handle(self, now_ms: float, event: Any) -> list[Any]: ...


class Policy:
    """A loaded decision module: its types, events and actions, and how to make an instance."""

    def __init__(self, name: str, package: ModuleType) -> None:
        self.name = name
        self.types: Any = importlib.import_module(f"{package.__name__}.types")
        self.events: Any = importlib.import_module(f"{package.__name__}.events")
        self.actions: Any = importlib.import_module(f"{package.__name__}.actions")
        self.read_settings: Callable[[dict[str, Any]], Any] = importlib.import_module(
            f"{package.__name__}.settings"
        ).read_settings
        self._make: Callable[[Any, int], Decider] = package.Balancer

    def instance(self, settings: dict[str, Any], seed: int) -> Decider:
        return self._make(self.read_settings(settings), seed)


_loaded: dict[str, Policy] = {}


def _folder() -> Path:
    folder = Path(tempfile.gettempdir()) / f"limenotch-policies-{os.getuid()}"
    folder.mkdir(mode=0o700, exist_ok=True)
    return folder


def _install(files: dict[str, bytes], name: str) -> Policy:
    """As a package of its own, named by what it holds: the same text is loaded once."""
    digest = sha256(b"".join(key.encode() + b"\0" + files[key] + b"\0" for key in sorted(files))).hexdigest()[:16]
    package = f"limenotch_policy_{digest}"
    if package not in sys.modules:
        folder = Path(tempfile.mkdtemp(dir=_folder()))
        try:
            inner = folder / package
            inner.mkdir()
            for key, data in files.items():
                (inner / key).write_bytes(data)
            sys.path.insert(0, str(folder))
            try:
                importlib.invalidate_caches()
                module = importlib.import_module(package)
                for part in ("types", "events", "actions", "settings"):
                    importlib.import_module(f"{package}.{part}")
            except Exception as error:  # a variant's text may do anything
                raise FaultError(f"policy {name}: {type(error).__name__}: {error}") from error
            finally:
                sys.path.remove(str(folder))
        finally:
            shutil.rmtree(folder, ignore_errors=True)
    else:
        module = sys.modules[package]
    return Policy(name, module)


def _installed() -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in PACKAGE.glob("*.py")}


def _of_revision(revision: str) -> dict[str, bytes]:
    """The package as a git revision of this repository has it."""
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

    Such a file takes the place of the one of its name, or else of `balancer.py`.
    Read once a process, so that a digest is always of the text that was loaded.
    """
    if spec == "installed":
        return _installed()
    if spec.startswith("git:"):
        return _of_revision(spec.removeprefix("git:"))
    try:
        files, path = _installed(), Path(spec)
        return {**files, path.name if path.name in files else FILE: path.read_bytes()}
    except OSError as error:
        raise FaultError(f"policy {spec}: {error.strerror}") from None


def load(spec: str) -> Policy:
    """Raises FaultError. Loaded once a process."""
    if spec not in _loaded:
        if spec == "installed":
            _loaded[spec] = Policy(spec, limenotch.balancing)
        else:
            _loaded[spec] = _install(sources(spec), spec)
    return _loaded[spec]


def digest(spec: str) -> str:
    """Of a variant's text, so that a result says what it was made with."""
    files = sources(spec)
    return sha256(b"".join(key.encode() + b"\0" + files[key] for key in sorted(files))).hexdigest()[:12]
