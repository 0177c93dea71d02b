"""Each process draws its own waits for discovery, also where the system gives all of them the same random numbers."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import pytest

from limenotch import app, config, wiring

from .helpers.http_peers import SETTINGS


class StoppedError(Exception):
    """Far enough."""


def draw(monkeypatch: pytest.MonkeyPatch, **changes: Any) -> float:
    """The first number that the waits of a process of this configuration are drawn by."""
    drawn: list[float] = []

    def directory(*arguments: Any) -> None:
        drawn.extend(one.random() for one in arguments if isinstance(one, Random))
        raise StoppedError

    monkeypatch.setattr(wiring, "DiscoveryClient", directory)
    raw = {"name": "n1", "listen": "127.0.0.1:5000", "discovery": "127.0.0.1:1", "seed": "1f", "settings": SETTINGS}
    with pytest.raises(StoppedError):
        asyncio.run(app.serve(config.parse({**raw, **changes}, {})))
    (first,) = drawn
    return first


def test_waits_follow_from_seed_name_and_address(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards a discovery that comes back: callers in step jam it, and the last have their list too late.
    same = draw(monkeypatch)
    assert draw(monkeypatch) == same
    changes: list[dict[str, Any]] = [{"name": "n2"}, {"seed": "20"}, {"listen": "127.0.0.1:5001"}]
    assert len({same, *(draw(monkeypatch, **change) for change in changes)}) == 4
