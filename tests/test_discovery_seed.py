"""Each process draws its own backoffs for discovery, even if all processes have the same seed."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import pytest

from limenotch import app, config, wiring

from .helpers.http_peers import SETTINGS


class StoppedError(Exception):
    """Ends the start of a process once its client of discovery is created."""


def first_random_number(monkeypatch: pytest.MonkeyPatch, **changes: Any) -> float:
    """The first random number for the backoffs of a process with this configuration."""
    drawn: list[float] = []

    def create_client(*arguments: Any) -> None:
        drawn.extend(argument.random() for argument in arguments if isinstance(argument, Random))
        raise StoppedError

    monkeypatch.setattr(wiring, "DiscoveryClient", create_client)
    raw = {"name": "n1", "listen": "127.0.0.1:5000", "discovery": "127.0.0.1:1", "seed": "1f", "settings": SETTINGS}
    with pytest.raises(StoppedError):
        asyncio.run(app.serve(config.parse({**raw, **changes}, {})))
    (first,) = drawn
    return first


def test_backoffs_depend_on_seed_name_and_address(monkeypatch: pytest.MonkeyPatch) -> None:
    # Sidecars that query in step congest a discovery that has returned, and the last ones get their list too late.
    same = first_random_number(monkeypatch)
    assert first_random_number(monkeypatch) == same
    changes: list[dict[str, Any]] = [{"name": "n2"}, {"seed": "20"}, {"listen": "127.0.0.1:5001"}]
    assert len({same, *(first_random_number(monkeypatch, **change) for change in changes)}) == 4
