"""Toy messages and parts: what they were told is kept, what they answer is set."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from limenotch.fleet.interfaces import Message, MessageReceived

Answer = Callable[[float, Any], list[Any]]


class Probe(Message, frozen=True, tag="mb.probe"):
    number: int
    about: str = ""


class Line(Message, frozen=True, tag="ag.line"):
    text: str


class Block(Message, frozen=True, tag="ag.block"):
    data: bytes


ALL: tuple[type[Message], ...] = (Probe, Line, Block)


class Toy:
    def __init__(self, answer: Answer = lambda now, event: []) -> None:
        self.answer = answer
        self.told: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        self.told.append(event)
        return self.answer(now, event)

    @property
    def heard(self) -> list[Message]:
        return [event.message for event in self.told if isinstance(event, MessageReceived)]


class Book:
    def __init__(self, known: dict[str, tuple[str, int]]) -> None:
        self.known = known

    def address_of(self, name: str) -> tuple[str, int] | None:
        return self.known.get(name)
