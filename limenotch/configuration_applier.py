"""Puts the rules that a fleet has agreed on in force at this sidecar: settings, ejections, discovery, and their lease.

The rules component says what is in force and until when; here that becomes calls to the program's components. A version
is put in force completely or not at all, as a reloaded file is; a version that this program can't read ends the lease
at once.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, Protocol

from . import logs
from .config import Config, ConfigError, initial_document, with_document

log = logs.get(__name__)

# The end, in ms, of a lease that is already over.
NEVER = -math.inf
# The divisor of the slow-start allowance of a sidecar that gets no share of it.
NO_SHARE = math.inf
Document = Mapping[str, Any]


class ConfigurationTarget(Protocol):
    """What the rules configure."""

    def apply_config(self, config: Config) -> None:
        """Use these settings, permissions and discovery address from now on."""

    def set_ejected(self, name: str, ejected: bool, at_ms: float) -> None:
        """An endpoint is ejected, or was readmitted at `at_ms` of Unix time."""

    def set_lease(self, until_ms: float, slow_start_divisor: float, reject_without_lease: bool) -> None:
        """Until when the rules are in force, by the host's monotonic clock in ms.

        `slow_start_divisor`: the allowance of endpoints in slow start is divided by it. `reject_without_lease`: whether
        all requests are rejected from then on, rather than handled in restricted mode.
        """


class ConfigurationApplier:
    """Keeps what is in force of the agreed rules."""

    def __init__(self, file_config: Config, target: ConfigurationTarget) -> None:
        """`file_config` is the configuration of this sidecar's own file."""
        self._file_config = file_config
        self._target = target
        self._rejects_without_lease = False  # rather than handling requests in restricted mode
        self._document: Document | None = None  # the one put in force last
        self._ejected: dict[str, float] = {}  # by the rules, and when, in ms of Unix time
        self.version = 0
        self._latency_objectives = _latency_objectives(file_config)

    def latency_objective_ms(self, class_name: str) -> float:
        """The latency objective of a class by the rules in force; infinite for a class that they don't name."""
        return self._latency_objectives.get(class_name, math.inf)

    def initial_document(self) -> dict[str, Any]:
        """The rules before any were agreed on: those of this file. The files of a group must agree in these."""
        return initial_document(self._file_config)

    def check(self, document: Document) -> str | None:
        """What is wrong with a complete document, naming its key; None if it can be put in force here."""
        try:
            with_document(self._file_config, document)
        except ConfigError as error:
            return str(error)
        return None

    def start_without_lease(self, reject_all: bool) -> None:
        """At the start nothing is agreed on yet: the file's own rules are in force in restricted mode.

        `reject_all`: now and whenever a lease ends, all requests are rejected.
        """
        self._rejects_without_lease = reject_all
        self._target.set_lease(NEVER, NO_SHARE, reject_all)

    def put_in_force(self, document: Document, until_ms: float, divisor: int, version: int) -> None:
        """Put `document` in force until then, by the host's monotonic clock.

        `divisor`: the allowance of endpoints in slow start is divided by it; 0: this sidecar gets no share of it.
        """
        if not self._apply(document, version):
            self._target.set_lease(NEVER, NO_SHARE, True)
            return
        self._target.set_lease(until_ms, float(divisor) if divisor > 0 else NO_SHARE, self._rejects_without_lease)

    def restrict(self, document: Document, reject_all: bool, version: int) -> None:
        """There is no lease: restricted mode under `document`, or with `reject_all` all requests are rejected."""
        if not self._apply(document, version):
            reject_all = True
        self._target.set_lease(NEVER, NO_SHARE, reject_all)

    def file_reloaded(self, file_config: Config) -> None:
        """The file was reloaded: this sidecar's own settings follow it, what was agreed on does not."""
        self._file_config = file_config
        document = self._document
        self._document = None
        if document is not None:
            self._apply(document, self.version)

    def _apply(self, document: Document, version: int) -> bool:
        """Whether this program can read the document, which is then in force."""
        if document is self._document:
            return True
        try:
            config = with_document(self._file_config, document)
        except ConfigError as error:
            # A rule of a newer program. A restriction must take effect, so this sidecar rejects everything rather than
            # allow too much.
            log.error("rules: not readable by this program; rejecting all requests", version=version, error=str(error))
            return False
        previous = self._document
        self._document = document
        self.version = version
        self._latency_objectives = _latency_objectives(config)
        self._apply_ejections(document.get("bans") or {})  # first: no requests to these under the new settings
        if previous is None or _without_ejections(previous) != _without_ejections(document):
            self._target.apply_config(config)
        return True

    def _apply_ejections(self, entries: Mapping[str, Any]) -> None:
        ejected = {name: float(entry.get("at_ms", 0.0)) for name, entry in entries.items() if entry["out"]}
        for name in sorted(ejected.keys() - self._ejected.keys()):
            self._target.set_ejected(name, True, 0.0)
        for name in sorted(self._ejected.keys() - ejected.keys()):
            entry = entries.get(name)
            self._target.set_ejected(name, False, float(entry.get("at_ms", 0.0)) if entry is not None else 0.0)
        self._ejected = ejected


def _without_ejections(document: Document) -> dict[str, Any]:
    return {key: value for key, value in document.items() if key != "bans"}


def _latency_objectives(config: Config) -> dict[str, float]:
    """By traffic class, in ms."""
    return {cls.name: cls.latency_objective_ms for cls in config.settings.classes}
