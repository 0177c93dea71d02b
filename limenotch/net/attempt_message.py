"""The message that an attempt sends to its endpoint."""

from __future__ import annotations

from time import monotonic

from . import http1
from .request import Attempt


def encode_request(attempt: Attempt) -> bytes:
    """Encodes the request, with the remaining time budget as `X-Budget` in microseconds.

    Of a request with a streamed body it encodes the head and the buffered part of the body.
    """
    message: http1.Message = attempt.request.payload
    left_us = max(int(min(attempt.deadline - monotonic(), attempt.request.budget_left_s) * 1e6), 1)
    headers = [pair for pair in message.end_to_end() if pair[0].lower() != b"x-budget"]
    headers.append((b"X-Budget", b"%du" % left_us))
    if message.rest is None:
        return http1.write_request(message.method, message.target, headers, message.body)
    body = message.body if message.length is not None else http1.chunk(message.body)
    return http1.request_head(message.method, message.target, headers, message.length) + body
