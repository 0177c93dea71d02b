"""The parsers: the same messages in whatever pieces their bytes arrive, and MalformedError for invalid bytes."""

from __future__ import annotations

import contextlib
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limenotch.net import http1
from limenotch.net.discovery import json_stream
from limenotch.net.http1 import MalformedError, Message, RequestParser, ResponseParser

BODIES = st.binary(max_size=300)
VALUES = st.text("abcXYZ019 =,;-", max_size=30).map(lambda text: text.strip().encode())
NAMES = st.sampled_from([b"X-Call-Id", b"Accept", b"x-caller", b"Idempotency-Key"])
HEADERS = st.lists(st.tuples(NAMES, VALUES), max_size=6)
CUTS = st.lists(st.integers(0, 2000), max_size=12)


def encode_chunked(body: bytes) -> bytes:
    """The body in chunks of 7 bytes with an extension, and with a trailer."""
    pieces = [body[start : start + 7] for start in range(0, len(body), 7)]
    return b"".join(b"%x;n=1\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\nX-Last: 1\r\n\r\n"


def parse_pieces(parser: RequestParser | ResponseParser, wire: bytes, cuts: list[int]) -> list[Message]:
    """The messages that the parser returns for `wire`, cut into pieces."""
    parsed = []
    edges = [0, *sorted(cut % (len(wire) + 1) for cut in cuts), len(wire)]
    for start, end in zip(edges, edges[1:], strict=False):
        parser.feed(wire[start:end])
        while (message := parser.take()) is not None:
            parsed.append(message)
    return parsed


@given(st.lists(st.tuples(HEADERS, BODIES, st.booleans()), min_size=1, max_size=3), CUTS)
def test_requests_are_parsed_in_pieces_of_any_size(
    messages: list[tuple[http1.Headers, bytes, bool]], cuts: list[int]
) -> None:
    wire = b""
    for headers, body, in_chunks in messages:
        if in_chunks:
            chunked_headers = [*headers, (b"Transfer-Encoding", b"chunked")]
            wire += http1.write_request(b"GET", b"/api?a=%20", chunked_headers) + encode_chunked(body)
        else:
            wire += http1.write_request(b"POST", b"/api?a=%20", headers, body)
    parser = RequestParser()
    requests = parse_pieces(parser, wire, cuts)
    assert [(m.end_to_end(), m.body) for m in requests] == [(h, b) for h, b, _ in messages]
    assert all(m.target == b"/api?a=%20" for m in requests) and parser.idle


@given(st.sampled_from([200, 500, 503, 504]), HEADERS, BODIES, st.booleans(), CUTS)
def test_responses_are_parsed_in_pieces_of_any_size(
    status: int, headers: http1.Headers, body: bytes, in_chunks: bool, cuts: list[int]
) -> None:
    if in_chunks:
        head = b"HTTP/1.1 %d \r\nTransfer-Encoding: chunked\r\n\r\n" % status
        wire = head + encode_chunked(body)
    else:
        wire = http1.write_response(status, headers, body)
    (response,) = parse_pieces(ResponseParser(), b"HTTP/1.1 100 Continue\r\n\r\n" + wire, cuts)
    assert (response.status, response.body, response.keep_alive) == (status, body, True)


@given(BODIES, st.integers(1, 400))
def test_a_truncated_body_is_not_a_response(body: bytes, missing: int) -> None:
    # A response that the end of its connection leaves incomplete must count as a reset, not as a 200.
    wire = http1.write_response(200, [], body + b"!")
    parser = ResponseParser()
    parser.feed(wire[: max(len(wire) - missing, 0)])
    assert parser.take() is None and parser.end() is None


@pytest.mark.parametrize(("size", "valid"), [(400_000, True), (http1.MAX_RESPONSE_BYTES + 1, False)])
def test_large_responses_are_accepted_up_to_a_limit(size: int, valid: bool) -> None:
    # Responses of 128 to 400 KB were once rejected as malformed, in each of the four attempts of a request.
    parser = ResponseParser()
    parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"a" * size)
    if valid:
        message = parser.take()
        assert message is not None and len(message.body) == size
    else:
        with pytest.raises(MalformedError):
            parser.take()


def test_the_end_of_the_connection_completes_a_body_without_length() -> None:
    parser = ResponseParser()
    parser.feed(b"HTTP/1.0 200 OK\r\n\r\nall")
    assert parser.take() is None
    message = parser.end()
    assert message is not None and message.body == b"all" and not message.keep_alive


@given(
    st.lists(
        st.sampled_from(
            [
                b"GET / HTTP/1.1\r\n",
                b"HTTP/1.1 200 OK\r\n",
                b"\r\n",
                b": ",
                b"a" * 90,
                b"Transfer-Encoding: chunked\r\n",
                b"Content-Length: 9\r\n",
                b"\xff\x00",
                b"ffffffff\r\n",
            ]
        )
        | st.binary(max_size=40),
        max_size=30,
    )
)
def test_invalid_bytes_are_malformed_or_incomplete(pieces: list[bytes]) -> None:
    for parser in (RequestParser(), ResponseParser()):
        try:
            parse_pieces(parser, b"".join(pieces), [])
        except MalformedError as error:
            assert error.status in (400, 413, 431)
    with contextlib.suppress(MalformedError):
        json_stream.JsonStreamResponse().feed(b"".join(pieces))


@pytest.mark.parametrize(
    ("wire", "status"),
    [
        (b"GET / HTTP/1.1\r\nX: " + b"a" * http1.MAX_HEAD_BYTES, 431),
        (b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n", 413),
        (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", 400),
        (b"\x16\x03\x01", 400),
        (b"GET / HTTP/2.0\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX : 1\r\n\r\n", 400),
        (b"GET /a b HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nhost: a\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX: a\rb\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX: a\nY: b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX: a\r\n Y: folded\r\n\r\n", 400),
        (b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\na\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;\nx\r\na\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", 400),
    ],
)
def test_requests_over_a_limit_or_with_invalid_framing_are_rejected(wire: bytes, status: int) -> None:
    with pytest.raises(MalformedError) as caught:
        parse_pieces(RequestParser(), wire, [])
    assert caught.value.status == status


@pytest.mark.parametrize("report", [b"X-Load-Report: \x00\x01", b"X-Load-Report", b"X-Load-Report : util=1"])
def test_a_malformed_load_report_is_ignored(report: bytes) -> None:
    parser = ResponseParser()
    parser.feed(b"HTTP/1.1 200 OK\r\n%b\r\nContent-Length: 1\r\n\r\na" % report)
    message = parser.take()
    assert message is not None and message.body == b"a" and b"x-load-report" not in message.fields


@pytest.mark.parametrize("start", [b"ICY 200 OK", b"\xff\x00", b"HTTP/2", b"\r\nHTTQ"])
def test_what_is_not_http_is_rejected_by_its_first_bytes(start: bytes) -> None:
    # The end of a head may never come, and waiting for it would use up the time that is left for a retry.
    parser = ResponseParser()
    parser.feed(start)
    with pytest.raises(MalformedError):
        parser.take()


def test_a_header_with_many_spaces_is_parsed_quickly() -> None:
    # With a pattern of quadratic time, 16 KB of spaces took a second.
    parser = RequestParser()
    parser.feed(b"GET / HTTP/1.1\r\nX: a" + b" " * 16000 + b"b\r\n\r\n")
    assert parser.take() is not None


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    parser = RequestParser()
    parser.feed(b"GET / HTTP/1.1\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\nTE: x\r\nAccept: a\r\n\r\n")
    message = parser.take()
    assert message is not None and message.end_to_end() == [(b"Accept", b"a")] and not message.keep_alive


JSON_VALUES = st.recursive(
    st.integers() | st.text('ab{}[]"\\\n', max_size=6),
    lambda values: st.lists(values, max_size=3) | st.dictionaries(st.text('a}"\\', max_size=3), values, max_size=3),
    max_leaves=6,
)


@given(
    st.lists(
        st.tuples(
            st.dictionaries(st.text("a{", max_size=3), JSON_VALUES, max_size=4),
            st.sampled_from([None, 0, 2]),
            st.sampled_from([b"\n", b"\r\n\n"]),
        ),
        max_size=5,
    ),
    CUTS,
)
def test_documents_are_parsed_in_any_layout_and_in_pieces_of_any_size(
    documents: list[tuple[dict[str, Any], int | None, bytes]], cuts: list[int]
) -> None:
    body = b"".join(json.dumps(document, indent=indent).encode() + end for document, indent, end in documents)
    wire = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encode_chunked(body)
    stream, parsed = json_stream.JsonStreamResponse(), []
    edges = [0, *sorted(cut % (len(wire) + 1) for cut in cuts), len(wire)]
    for start, end in zip(edges, edges[1:], strict=False):
        parsed += stream.feed(wire[start:end])
    assert [json.loads(text) for text in parsed] == [document for document, _, _ in documents]
    assert stream.complete and not stream.pending_bytes


def test_documents_after_a_malformed_one_are_parsed() -> None:
    stream = json_stream.JsonDocumentParser()
    assert stream.feed(b'not json\n{"a":"{\n}\n') == [b"not json", b'{"a":"{', b"}"]
    assert (
        stream.feed(b'{\n "a": 1}') == [b'{\n "a": 1}'] and stream.pending_bytes == 0
    )  # complete without the end of its line
    with pytest.raises(MalformedError):
        for _ in range(json_stream.MAX_DOCUMENT_BYTES // 1000 + 1):
            stream.feed(b"[" + b" " * 998 + b"1\n")
