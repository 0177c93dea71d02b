"""HTTP clients and endpoints for tests: settings of a tier, encoded requests and responses."""

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


NEW_IDS = count(1)


def with_new_id(wire: bytes) -> bytes:
    """The same request with a new id: every request of a client has its own."""
    return wire.replace(b"X-Call-Id: 1\r\n", b"X-Call-Id: new-%d\r\n" % next(NEW_IDS), 1)


def replying(*responses: bytes) -> tuple[Handler, list[http1.Message]]:
    """An endpoint handler that sends these responses in turn and repeats the last, and the requests it received.

    A response that doesn't end in `!`, such as b"", is followed by a close.
    """
    requests: list[http1.Message] = []

    async def handle(reader: Reader, writer: Writer) -> None:
        parser = http1.RequestParser()
        while data := await reader.read(65536):
            parser.feed(data)
            if (request := parser.take()) is not None:
                response = responses[min(len(requests), len(responses) - 1)]
                requests.append(request)
                writer.write(response)
                if not response.endswith(b"!"):  # the body of reply() ends so
                    break
        writer.close()

    return handle, requests


def reply(status: int, *headers: tuple[bytes, bytes]) -> bytes:
    return http1.write_response(status, list(headers), b"body!")


async def read_response(reader: Reader, parser: http1.ResponseParser) -> http1.Message:
    """Reads the next response, which has to be complete before the connection ends."""
    while (message := parser.take()) is None:
        data = await reader.read(65536)
        assert data, "connection closed without a response"
        parser.feed(data)
    return message


async def fetch(port: int, wire: bytes) -> http1.Message:
    """Sends one request on a connection of its own and returns the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(wire)
    message = await read_response(reader, http1.ResponseParser())
    writer.close()
    return message


GET_HEALTH = b"GET /healthcheck HTTP/1.1\r\nHost: o\r\n\r\n"
