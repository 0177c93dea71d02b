"""Fake messages and components: a component records its events, and its handler is set by the test."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from limenotch.fleet.interfaces import Message, MessageReceived

EventHandler = Callable[[float, Any], list[Any]]


class Probe(Message, frozen=True, tag="mb.probe"):
    number: int
    about: str = ""


class Line(Message, frozen=True, tag="ag.line"):
    text: str


class Block(Message, frozen=True, tag="ag.block"):
    data: bytes


ALL_MESSAGES: tuple[type[Message], ...] = (Probe, Line, Block)


class FakeComponent:
    def __init__(self, answer: EventHandler = lambda now, event: []) -> None:
        self.handler = answer
        self.events: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        self.events.append(event)
        return self.handler(now, event)

    @property
    def messages(self) -> list[Message]:
        return [event.message for event in self.events if isinstance(event, MessageReceived)]


class FakeAddressBook:
    def __init__(self, known: dict[str, tuple[str, int]]) -> None:
        self.addresses = known

    def address_of(self, name: str) -> tuple[str, int] | None:
        return self.addresses.get(name)
