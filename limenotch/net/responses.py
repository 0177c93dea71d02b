"""Encodes the final responses of requests as HTTP/1.1 for clients (RFC 9110, RFC 9112)."""

from __future__ import annotations

from . import http1
from .request import FinalResponse, Verdict


def write_final_response(final: FinalResponse, close: bool) -> bytes:
    """Encodes a final response: the endpoint's response with its body unchanged, or the status of a failure.

    With `close` it announces the end of the connection.
    """
    if final.verdict is Verdict.SERVED:
        response: http1.Message = final.payload
        return http1.write_response(200, forwarded_headers(response), response.body, close)
    if final.verdict is Verdict.REJECTED:
        headers: http1.Headers = []
        if final.retry_after_ms > 0:
            headers.append((b"Retry-After", b"%.3f" % (final.retry_after_ms / 1000.0)))
        return http1.write_response(429 if final.quota_exhausted else 503, headers, b"", close)
    return http1.write_response(504 if final.timed_out else 502, [], b"", close)


def forwarded_headers(response: http1.Message) -> http1.Headers:
    """The headers of an endpoint's response that the client gets: end-to-end ones, without the load report."""
    return [header for header in response.end_to_end() if header[0].lower() != b"x-load-report"]
