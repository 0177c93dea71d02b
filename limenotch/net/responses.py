"""Final answers of calls as HTTP/1.1 words them to a client."""

from __future__ import annotations

from . import http1
from .request import FinalResponse, Verdict


def write_final_response(final: FinalResponse, close: bool) -> bytes:
    """A final answer as this protocol words it; a provider's 200 goes on with its body unchanged."""
    if final.verdict is Verdict.SERVED:
        response: http1.Message = final.payload
        return http1.write_response(200, forwarded_headers(response), response.body, close)
    if final.verdict is Verdict.REJECTED:
        advice: http1.Headers = []
        if final.retry_after_ms > 0:
            advice.append((b"Retry-After", b"%.3f" % (final.retry_after_ms / 1000.0)))
        return http1.write_response(429 if final.quota_exhausted else 503, advice, b"", close)
    return http1.write_response(504 if final.timed_out else 502, [], b"", close)


def forwarded_headers(response: http1.Message) -> http1.Headers:
    return [pair for pair in response.end_to_end() if pair[0].lower() != b"x-load-report"]
