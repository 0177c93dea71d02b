"""Incremental parsers and writers of HTTP/1.1 messages (RFC 9110, RFC 9112), without I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from .http1_body import MAX_BODY_BYTES as MAX_BODY_BYTES
from .http1_body import MAX_HEAD_BYTES as MAX_HEAD_BYTES
from .http1_body import Body
from .http1_body import MalformedError as MalformedError

MAX_RESPONSE_BYTES = 1024 * 1024  # of the body of a response that is buffered completely; a parser may set another
MAX_STREAMED_BODY_BYTES = 40 * 1024 * 1024  # of a body that is forwarded in pieces
MAX_LENGTH_DIGITS = 15  # of Content-Length
START_BYTES = 16  # of a message, which are checked before its head is complete
MAX_EMPTY_LINES = 16  # before a message; one is to be ignored (RFC 9112, 2.2)
MAX_INTERIM_RESPONSES = 64  # before a final response
MAX_FIELDS = 128  # of a head
FIELD_BYTES = 400  # that a parsed header field takes beside its text: two strings, a pair, and its place in a table

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")  # RFC 9110, 5.6.2
TARGET = re.compile(rb"[!-~\x80-\xff]+")
CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: [^\x00-\x08\x0a-\x1f\x7f]*)?")

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
# Headers that apply to one connection only (RFC 9110, 7.6.1), or are written anew with the framing of the message.
HOP_BY_HOP = frozenset(
    b"connection content-length expect keep-alive proxy-connection te trailer transfer-encoding upgrade".split()
)

# Rejected if repeated, even with equal values: the next recipient may use another one of the repeated fields.
UNREPEATABLE_FIELDS = frozenset((b"content-length", b"transfer-encoding", b"host"))

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Message:
    """A request (`method`, `target`) or a response (`status`)."""

    headers: Headers
    fields: dict[bytes, bytes]  # values by lower-case name; of a repeated field the last one
    method: bytes = b""
    target: bytes = b""
    status: int = 0
    minor: int = 1  # the minor version of HTTP/1
    body: bytes = b""  # complete, or the part of a long body that was buffered
    length: int | None = 0  # of the body in bytes; None: known only at its end
    rest: Any = None  # the pipe of a streamed body, with the pieces that follow `body`
    text_bytes: int = 0  # of the head as it was received

    @property
    def head_bytes(self) -> int:
        """The memory that the parsed head takes, in bytes."""
        return self.text_bytes + FIELD_BYTES * len(self.headers)

    def drop_content(self) -> None:
        """Drops headers and body, as the message is not needed any more: others may refer to it for longer."""
        self.headers = []
        self.fields = {}
        self.body = b""

    @property
    def keep_alive(self) -> bool:
        """Whether its sender keeps the connection open (RFC 9112, 9.3)."""
        options = self.fields.get(b"connection", b"").lower()
        return b"close" not in options and (self.minor == 1 or b"keep-alive" in options)

    def end_to_end(self) -> Headers:
        """The headers that are forwarded (RFC 9110, 7.6.1)."""
        connection_options = self.fields.get(b"connection", b"").lower()
        dropped = HOP_BY_HOP
        if connection_options:
            dropped = HOP_BY_HOP.union(name.strip() for name in connection_options.split(b","))
        return [header for header in self.headers if header[0].lower() not in dropped]


class _Parser:
    """Incremental parser: `feed` takes bytes as they arrive, `take` returns messages as they become complete.

    A message with a long body can be read in pieces instead: by `head`, `pieces` until `complete`, and `next`.
    """

    DEFAULT_MAX_BODY_BYTES = MAX_BODY_BYTES

    def __init__(self, max_body_bytes: int | None = None) -> None:
        self.max_body_bytes = self.DEFAULT_MAX_BODY_BYTES if max_body_bytes is None else max_body_bytes
        self.buffer = bytearray()
        self.has_more = False  # whether bytes of the body that have arrived are not decoded yet
        self._message: Message | None = None
        self._body = Body(False, 0)
        self._searched_bytes = 0  # at the front of the buffer, which do not contain the end of a head
        self._empty_lines = 0  # before the next message

    @property
    def idle(self) -> bool:
        """Whether the parser is between messages and its buffer is empty."""
        return not self.buffer and self._message is None

    def feed(self, data: bytes) -> None:
        """Appends bytes that have arrived."""
        self.buffer += data

    def take(self) -> Message | None:
        """The next message if it is complete, else None. Raises MalformedError."""
        if self._message is None and self.head() is None:
            return None
        while self._body.decode(self.buffer):
            pass
        return self._complete_message() if self._body.done else None

    def head(self) -> Message | None:
        """The next message, without its body, if its head is complete, else None. Raises MalformedError."""
        if self._message is None:
            message = self._head()
            if message is not None:
                self._body = self._framing(message)
                message.length = self._body.length
                self._message = message
        return self._message

    def pieces(self) -> bytes:
        """The bytes of the body that have arrived since the last call. Raises MalformedError.

        One call decodes a limited number of chunks; `has_more` tells whether others have arrived.
        """
        self.has_more = self._body.decode(self.buffer)
        return self._body.take()

    @property
    def complete(self) -> bool:
        """Whether the body of the current message is complete."""
        return self._message is not None and self._body.done

    def next(self) -> None:
        """Moves on to the next message, after a complete one."""
        self._message = None

    def _complete_message(self) -> Message | None:
        message = self._message
        self._message = None
        if message is not None:
            message.body = self._body.take()
            message.length = len(message.body)
        return message

    def _head(self) -> Message | None:
        self._skip_empty_lines()
        # Checked before the head is complete, as its end may never come.
        if self.buffer != b"\r" and not self._may_start(bytes(self.buffer[:START_BYTES])):
            raise MalformedError(400, "no message of HTTP/1")
        end = self.buffer.find(b"\r\n\r\n", max(self._searched_bytes - 3, 0))
        if end < 0:
            self._searched_bytes = len(self.buffer)
            if self._searched_bytes > MAX_HEAD_BYTES:
                raise MalformedError(431, "headers too large")
            return None
        if end > MAX_HEAD_BYTES:
            raise MalformedError(431, "headers too large")
        if self.buffer.count(b"\r\n", 0, end) > MAX_FIELDS:
            raise MalformedError(431, "too many header fields")
        first, *lines = bytes(self.buffer[:end]).split(b"\r\n")
        del self.buffer[: end + 4]
        self._searched_bytes = 0
        self._empty_lines = 0
        message = self._parse_headers(lines)
        message.text_bytes = end
        self._parse_start_line(first, message)
        return message

    def _skip_empty_lines(self) -> None:
        while self.buffer.startswith(b"\r\n"):
            self._empty_lines += 1
            if self._empty_lines > MAX_EMPTY_LINES:
                raise MalformedError(400, "too many empty lines before a message")
            del self.buffer[:2]

    def _parse_headers(self, lines: list[bytes]) -> Message:
        headers: Headers = []
        fields: dict[bytes, bytes] = {}
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon or not TOKEN.fullmatch(name) or CONTROL.search(value):
                if self._ignores_malformed(name):
                    continue
                raise MalformedError(400, "bad header line")
            value = value.strip(b" \t")
            key = name.lower()
            if key in fields and key in UNREPEATABLE_FIELDS:
                raise MalformedError(400, f"repeated {key.decode('latin-1')}")
            headers.append((name, value))
            fields[key] = value
        return Message(headers, fields)

    def _may_start(self, start: bytes) -> bool:
        """Whether a message may begin with these bytes; `start` may be incomplete."""
        raise NotImplementedError

    def _ignores_malformed(self, name: bytes) -> bool:
        """Whether a malformed header with this name is ignored; otherwise the message is rejected."""
        return False

    def _parse_start_line(self, line: bytes, message: Message) -> None:
        raise NotImplementedError

    def _framing(self, message: Message) -> Body:
        raise NotImplementedError

    def _shared_framing(self, message: Message, default: int | None) -> Body:
        """The framing by the rules that requests and responses share (RFC 9112, 6.3).

        `default`: the length of the body without a header field that defines it; None: up to the connection's end.
        """
        coding = message.fields.get(b"transfer-encoding")
        length = message.fields.get(b"content-length")
        if coding is not None:
            if length is not None or coding.lower() != b"chunked":
                raise MalformedError(400, "framing not understood")
            return Body(True, None, self.max_body_bytes)
        if length is None:
            return Body(False, default, self.max_body_bytes)
        if not length.isdigit() or len(length) > MAX_LENGTH_DIGITS:
            raise MalformedError(400, "bad Content-Length")
        if int(length) > self.max_body_bytes:
            raise MalformedError(413, "body too large")
        return Body(False, int(length), self.max_body_bytes)


class RequestParser(_Parser):
    """Parses the requests of one connection."""

    def _may_start(self, start: bytes) -> bool:
        return not start or TOKEN.fullmatch(start.partition(b" ")[0]) is not None

    @property
    def expects_continue(self) -> bool:
        """Whether the client of the current request waits for 100 (Continue) before its body (RFC 9110, 10.1.1)."""
        message = self._message
        return message is not None and message.fields.get(b"expect", b"").lower() == b"100-continue"

    def _parse_start_line(self, line: bytes, message: Message) -> None:
        parts = line.split(b" ")
        if len(parts) != 3 or not TOKEN.fullmatch(parts[0]) or not TARGET.fullmatch(parts[1]):
            raise MalformedError(400, "bad request line")
        if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise MalformedError(400, "not HTTP/1.1")
        message.method = parts[0]
        message.target = parts[1]
        message.minor = int(parts[2][-1:])

    def _framing(self, message: Message) -> Body:
        # The field has no defined meaning in HTTP/1.0 (RFC 9112, 6.1).
        if message.minor == 0 and b"transfer-encoding" in message.fields:
            raise MalformedError(400, "chunks in HTTP/1.0")
        return self._shared_framing(message, 0)


class ResponseParser(_Parser):
    """Parses the responses of one connection; interim ones (1xx) are skipped."""

    DEFAULT_MAX_BODY_BYTES = MAX_RESPONSE_BYTES

    def __init__(self, max_body_bytes: int | None = None) -> None:
        """`max_body_bytes`: the longest body that is accepted."""
        super().__init__(max_body_bytes)
        self.interim_responses = 0  # skipped before the next final response

    def _may_start(self, start: bytes) -> bool:
        return b"HTTP/1.".startswith(start[:7])

    def _ignores_malformed(self, name: bytes) -> bool:
        # A load report is used for load balancing only: the response is valid without it.
        return name.strip().lower() == b"x-load-report"

    def head(self) -> Message | None:
        """The next final response, without its body, if its head is complete, else None. Raises MalformedError."""
        message = super().head()
        while message is not None and 100 <= message.status < 200:
            self.next()
            self.interim_responses += 1
            if self.interim_responses > MAX_INTERIM_RESPONSES:
                raise MalformedError(502, "too many interim responses")
            message = super().head()
        if message is not None:
            self.interim_responses = 0
        return message

    def end(self) -> Message | None:
        """The response that the end of the connection completes; None if there is none."""
        return self._complete_message() if self._message is not None and self.ends_with_connection else None

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body of the current response lasts until the end of the connection."""
        return not self._body.chunked and self._body.length is None

    def _parse_start_line(self, line: bytes, message: Message) -> None:
        match = STATUS_LINE.fullmatch(line)
        if match is None:
            raise MalformedError(400, "bad status line")
        message.minor = int(match[1])
        message.status = int(match[2])

    def _framing(self, message: Message) -> Body:
        if message.status < 200 or message.status in (204, 304):
            return Body(False, 0)
        return self._shared_framing(message, None)


CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def _header_lines(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    return b"".join(name + b": " + value + b"\r\n" for name, value in headers)


def write_request(method: bytes, target: bytes, headers: Headers, body: bytes = b"") -> bytes:
    """A complete request; `headers` must not contain those of its framing, which are added."""
    length = b"Content-Length: %d\r\n" % len(body) if body or method not in (b"GET", b"HEAD") else b""
    return b"%b %b HTTP/1.1\r\n%b%b\r\n%b" % (method, target, _header_lines(headers), length, body)


def request_head(method: bytes, target: bytes, headers: Headers, length: int | None) -> bytes:
    """The head of a request whose body follows in pieces; with `length` (bytes) None these are sent as chunks."""
    return b"%b %b HTTP/1.1\r\n%b%b\r\n" % (method, target, _header_lines(headers), _framing_header(length))


def response_head(status: int, headers: Headers, length: int | None, close: bool, minor: int = 1) -> bytes:
    """The head of a response whose body follows in pieces, as in `request_head`.

    For a client of HTTP/1.0 (`minor` 0) a body without a `length` lasts until the end of the connection.
    """
    framing_header = b"" if length is None and minor == 0 else _framing_header(length)
    connection_header = b"Connection: close\r\n" if close else b""
    return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n" % (
        status,
        REASONS.get(status, b""),
        _header_lines(headers),
        framing_header,
        connection_header,
    )


def _framing_header(length: int | None) -> bytes:
    return b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length


def chunk(piece: bytes) -> bytes:
    """Encodes `piece` as one chunk of the chunked coding (RFC 9112, 7.1)."""
    return b"%x\r\n%b\r\n" % (len(piece), piece)


LAST_CHUNK = b"0\r\n\r\n"


def write_response(status: int, headers: Headers, body: bytes = b"", close: bool = False) -> bytes:
    """A complete response; `headers` must not contain those of its framing, which are added.

    With `close` it announces the end of the connection.
    """
    reason = REASONS.get(status, b"")
    connection_header = b"Connection: close\r\n" if close else b""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        reason,
        _header_lines(headers),
        len(body),
        connection_header,
        body,
    )
