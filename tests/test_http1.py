"""The parsers: the same messages however they are cut, and no crash on garbage."""

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


def chunked(body: bytes) -> bytes:
    pieces = [body[at : at + 7] for at in range(0, len(body), 7)]
    return b"".join(b"%x;n=1\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\nX-Last: 1\r\n\r\n"


def fed(parser: RequestParser | ResponseParser, wire: bytes, cuts: list[int]) -> list[Message]:
    found = []
    edges = [0, *sorted(cut % (len(wire) + 1) for cut in cuts), len(wire)]
    for start, end in zip(edges, edges[1:], strict=False):
        parser.feed(wire[start:end])
        while (message := parser.take()) is not None:
            found.append(message)
    return found


@given(st.lists(st.tuples(HEADERS, BODIES, st.booleans()), min_size=1, max_size=3), CUTS)
def test_requests_however_cut(messages: list[tuple[http1.Headers, bytes, bool]], cuts: list[int]) -> None:
    wire = b""
    for headers, body, in_chunks in messages:
        if in_chunks:
            coded = [*headers, (b"Transfer-Encoding", b"chunked")]
            wire += http1.write_request(b"GET", b"/api?a=%20", coded) + chunked(body)
        else:
            wire += http1.write_request(b"POST", b"/api?a=%20", headers, body)
    parser = RequestParser()
    found = fed(parser, wire, cuts)
    assert [(m.end_to_end(), m.body) for m in found] == [(h, b) for h, b, _ in messages]
    assert all(m.target == b"/api?a=%20" for m in found) and parser.idle


@given(st.sampled_from([200, 500, 503, 504]), HEADERS, BODIES, st.booleans(), CUTS)
def test_responses_however_cut(
    status: int, headers: http1.Headers, body: bytes, in_chunks: bool, cuts: list[int]
) -> None:
    if in_chunks:
        head = b"HTTP/1.1 %d \r\nTransfer-Encoding: chunked\r\n\r\n" % status
        wire = head + chunked(body)
    else:
        wire = http1.write_response(status, headers, body)
    (found,) = fed(ResponseParser(), b"HTTP/1.1 100 Continue\r\n\r\n" + wire, cuts)
    assert (found.status, found.body, found.keep_alive) == (status, body, True)


@given(BODIES, st.integers(1, 400))
def test_a_body_cut_off_is_no_response(body: bytes, less: int) -> None:
    # Guards the outcome reset: what an ended connection leaves unfinished must not pass for a 200.
    wire = http1.write_response(200, [], body + b"!")
    parser = ResponseParser()
    parser.feed(wire[: max(len(wire) - less, 0)])
    assert parser.take() is None and parser.end() is None


@pytest.mark.parametrize(("size", "ends"), [(400_000, True), (http1.MAX_RESPONSE_BYTES + 1, False)])
def test_large_answers_are_taken_up_to_a_bound(size: int, ends: bool) -> None:
    # Guards answers of 128 to 400 KB, each of which once counted as spoilt, four times a call.
    parser = ResponseParser()
    parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"a" * size)
    if ends:
        message = parser.take()
        assert message is not None and len(message.body) == size
    else:
        with pytest.raises(MalformedError):
            parser.take()


def test_a_body_that_the_end_completes() -> None:
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
def test_garbage_is_malformed_or_waited_on(pieces: list[bytes]) -> None:
    for parser in (RequestParser(), ResponseParser()):
        try:
            fed(parser, b"".join(pieces), [])
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
def test_limits_and_framing(wire: bytes, status: int) -> None:
    with pytest.raises(MalformedError) as caught:
        fed(RequestParser(), wire, [])
    assert caught.value.status == status


@pytest.mark.parametrize("report", [b"X-Load-Report: \x00\x01", b"X-Load-Report", b"X-Load-Report : util=1"])
def test_a_spoilt_load_report_does_not_spoil_its_answer(report: bytes) -> None:
    parser = ResponseParser()
    parser.feed(b"HTTP/1.1 200 OK\r\n%b\r\nContent-Length: 1\r\n\r\na" % report)
    message = parser.take()
    assert message is not None and message.body == b"a" and b"x-load-report" not in message.fields


@pytest.mark.parametrize("noise", [b"ICY 200 OK", b"\xff\x00", b"HTTP/2", b"\r\nHTTQ"])
def test_noise_is_known_by_its_first_bytes(noise: bytes) -> None:
    # Guards the time left: its end, or what the parser takes for one, may never come.
    parser = ResponseParser()
    parser.feed(noise)
    with pytest.raises(MalformedError):
        parser.take()


def test_a_long_run_of_blanks_is_no_work() -> None:
    # Guards against patterns that go over a value once for each of its blanks: 16 KB then took a second.
    parser = RequestParser()
    parser.feed(b"GET / HTTP/1.1\r\nX: a" + b" " * 16000 + b"b\r\n\r\n")
    assert parser.take() is not None


def test_hop_by_hop_headers_stay_behind() -> None:
    parser = RequestParser()
    parser.feed(b"GET / HTTP/1.1\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\nTE: x\r\nAccept: a\r\n\r\n")
    message = parser.take()
    assert message is not None and message.end_to_end() == [(b"Accept", b"a")] and not message.keep_alive


LISTED = st.recursive(
    st.integers() | st.text('ab{}[]"\\\n', max_size=6),
    lambda values: st.lists(values, max_size=3) | st.dictionaries(st.text('a}"\\', max_size=3), values, max_size=3),
    max_leaves=6,
)


@given(
    st.lists(
        st.tuples(
            st.dictionaries(st.text("a{", max_size=3), LISTED, max_size=4),
            st.sampled_from([None, 0, 2]),
            st.sampled_from([b"\n", b"\r\n\n"]),
        ),
        max_size=5,
    ),
    CUTS,
)
def test_documents_however_laid_out_and_cut(
    told: list[tuple[dict[str, Any], int | None, bytes]], cuts: list[int]
) -> None:
    body = b"".join(json.dumps(one, indent=indent).encode() + end for one, indent, end in told)
    wire = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body)
    stream, found = json_stream.JsonStreamResponse(), []
    edges = [0, *sorted(cut % (len(wire) + 1) for cut in cuts), len(wire)]
    for start, end in zip(edges, edges[1:], strict=False):
        found += stream.feed(wire[start:end])
    assert [json.loads(one) for one in found] == [one for one, _, _ in told]
    assert stream.complete and not stream.pending_bytes


def test_documents_that_are_spoilt_hide_no_later_one() -> None:
    stream = json_stream.JsonDocumentParser()
    assert stream.feed(b'not json\n{"a":"{\n}\n') == [b"not json", b'{"a":"{', b"}"]
    assert (
        stream.feed(b'{\n "a": 1}') == [b'{\n "a": 1}'] and stream.pending_bytes == 0
    )  # at once, with no end of its line
    with pytest.raises(MalformedError):
        for _ in range(json_stream.MAX_DOCUMENT_BYTES // 1000 + 1):
            stream.feed(b"[" + b" " * 998 + b"1\n")
