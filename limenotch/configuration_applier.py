"""What many sidecars have agreed on, put in force at this one: settings, bans, the directory, and the lease on it all.

The rules layer says what is in force and until when; here that becomes what the program's parts are told. A version is
put in force whole or not at all, as a file read again is; one that this program can't read ends the lease at once.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, Protocol

from . import logs
from .config import Config, ConfigError, agreed, common

log = logs.get(__name__)

NEVER = -math.inf  # a lease that has run out
Document = Mapping[str, Any]


class ConfigurationTarget(Protocol):
    """What of the program follows the rules."""

    def adopt(self, config: Config) -> None:
        """Settings, permissions and the directory's address, for what comes from now on."""

    def ban(self, name: str, out: bool, at_ms: float) -> None:
        """A provider is out, or back since `at_ms` of Unix time."""

    def lease(self, until_ms: float, cold_parts: float, refusing: bool) -> None:
        """Until when the rules hold, by the host's monotonic clock in ms."""


class ConfigurationApplier:
    """Owns what is in force of the agreed rules. `held` is the configuration of this sidecar's own file."""

    def __init__(self, held: Config, parts: ConfigurationTarget) -> None:
        self._held, self._parts = held, parts
        self._refusing = False  # without a lease no call is taken, rather than taken under the narrow rules
        self._document: Document | None = None  # as put in force last
        self._out: dict[str, float] = {}  # banned by the rules, and when they were
        self.version = 0
        self._aims = _aims(held)

    def aim_ms(self, class_name: str) -> float:
        """Of the rules in force; what they don't name has none."""
        return self._aims.get(class_name, math.inf)

    def first(self) -> dict[str, Any]:
        """The rules before any were agreed on: this file's. A group's files must agree in these."""
        return common(self._held)

    def check(self, document: Document) -> str | None:
        """What is wrong with a whole document, naming its key; None if it can be put in force here."""
        try:
            agreed(self._held, document)
        except ConfigError as error:
            return str(error)
        return None

    def alone(self, refuse: bool) -> None:
        """At the start: nothing is agreed on with anybody yet, so the file's own rules are held narrowly.

        `refuse`: now and whenever a lease runs out, no call is taken at all.
        """
        self._refusing = refuse
        self._parts.lease(NEVER, math.inf, refuse)

    def in_force(self, document: Document, until_ms: float, parts: int, version: int) -> None:
        """Act on `document` until then. `parts` 0: no part of what cold providers may be sent."""
        if not self._put(document, version):
            self._parts.lease(NEVER, math.inf, True)
            return
        self._parts.lease(until_ms, float(parts) if parts > 0 else math.inf, self._refusing)

    def narrow(self, document: Document, refuse: bool, version: int) -> None:
        """No lease: the narrow rules, or none at all."""
        if not self._put(document, version):
            refuse = True
        self._parts.lease(NEVER, math.inf, refuse)

    def renewed(self, held: Config) -> None:
        """The file was read again: what is this sidecar's own follows it, what was agreed on does not."""
        self._held = held
        document, self._document = self._document, None
        if document is not None:
            self._put(document, self.version)

    def _put(self, document: Document, version: int) -> bool:
        if document is self._document:
            return True
        try:
            new = agreed(self._held, document)
        except ConfigError as error:
            # A newer program's rule. What narrows must act: so this sidecar does nothing rather than too much.
            log.error("rules: not to be read by this program", version=version, error=str(error))
            return False
        before, self._document, self.version = self._document, document, version
        self._aims = _aims(new)
        self._bans(document.get("bans") or {})  # first: what is out gets nothing under the new settings
        if before is None or _without_bans(before) != _without_bans(document):
            self._parts.adopt(new)
        return True

    def _bans(self, bans: Mapping[str, Any]) -> None:
        out = {name: float(ban.get("at_ms", 0.0)) for name, ban in bans.items() if ban["out"]}
        for name in sorted(out.keys() - self._out.keys()):
            self._parts.ban(name, True, 0.0)
        for name in sorted(self._out.keys() - out.keys()):
            back = bans.get(name)
            self._parts.ban(name, False, float(back.get("at_ms", 0.0)) if back is not None else 0.0)
        self._out = out


def _without_bans(document: Document) -> dict[str, Any]:
    return {key: value for key, value in document.items() if key != "bans"}


def _aims(config: Config) -> dict[str, float]:
    return {cls.name: cls.latency_objective_ms for cls in config.settings.classes}
