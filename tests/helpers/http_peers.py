"""Providers and consumers of tests: a tier's settings, calls on the wire, answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from itertools import count

from limenotch.net import http1

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
Handler = Callable[[Reader, Writer], Awaitable[None]]
HEADERS = b"Host: s\r\nX-Call-Id: 1\r\nX-Caller: acme\r\nX-Budget: 20000m\r\n"
LOOK = b"GET /api HTTP/1.1\r\nX-Call-Class: look\r\n" + HEADERS + b"\r\n"
DELIVER = b"POST /api HTTP/1.1\r\nX-Call-Class: deliver\r\nIdempotency-Key: k\r\n" + HEADERS
DELIVER += b"Content-Length: 3\r\n\r\ndoc"
SETTINGS = {
    "classes": [
        {"name": "look", "effect": "idempotent", "target_ms": 9000.0, "hard_limit_ms": 20000.0},
        {
            "name": "deliver",
            "effect": "deduplicated",
            "dedup_scope": "zone",
            "window_ms": 9000.0,
            "target_ms": 9000.0,
            "hard_limit_ms": 20000.0,
            "late_worth": 0.5,
        },
    ],
    "tenants": [{"name": "acme", "quota_per_s": 100.0}],
    "permissions": {"cancel": True, "parallel_tries": True, "max_attempts": 2, "connect_timeout_ms": 9000.0},
    "registry_mode": "ask",
}


NEW = count(1)


def renamed(wire: bytes) -> bytes:
    """The same request under an id of its own, as every request of a client has one."""
    return wire.replace(b"X-Call-Id: 1\r\n", b"X-Call-Id: new-%d\r\n" % next(NEW), 1)


def answering(*answers: bytes) -> tuple[Handler, list[http1.Message]]:
    """A provider that answers its requests with these in turn, the last again and again; b"" hangs up."""
    seen: list[http1.Message] = []

    async def handle(reader: Reader, writer: Writer) -> None:
        parser = http1.RequestParser()
        while data := await reader.read(65536):
            parser.feed(data)
            if (request := parser.take()) is not None:
                answer = answers[min(len(seen), len(answers) - 1)]
                seen.append(request)
                writer.write(answer)
                if not answer.endswith(b"!"):  # our whole answers end so
                    break
        writer.close()

    return handle, seen


def whole(status: int, *headers: tuple[bytes, bytes]) -> bytes:
    return http1.write_response(status, list(headers), b"body!")


async def answer_from(reader: Reader, parser: http1.ResponseParser) -> http1.Message:
    """The next answer of a connection, which has to come whole before its end."""
    while (message := parser.take()) is None:
        data = await reader.read(65536)
        assert data, "closed without an answer"
        parser.feed(data)
    return message


async def ask(port: int, wire: bytes) -> http1.Message:
    """One request on a connection of its own, up to the connection's end or a whole answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(wire)
    message = await answer_from(reader, http1.ResponseParser())
    writer.close()
    return message


GET_HEALTH = b"GET /healthcheck HTTP/1.1\r\nHost: o\r\n\r\n"
