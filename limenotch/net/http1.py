"""HTTP/1.1 messages: incremental parsers and writers. Bytes in, messages out; no sockets here."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

MAX_HEAD = 16 * 1024
MAX_BODY = 64 * 1024  # of a message that is taken whole, unless its parser is given another
MAX_ANSWER = 1024 * 1024  # the same of a response
MAX_LONG = 40 * 1024 * 1024  # of a body that is passed on in pieces
MAX_LINE = 1024  # of a chunk's size line

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
TARGET = re.compile(rb"[!-~\x80-\xff]+")
CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
STATUS = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: [^\x00-\x08\x0a-\x1f\x7f]*)?")
SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?")

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
# Of one connection only, or written anew by whoever frames the message.
HOP_BY_HOP = frozenset(
    b"connection content-length expect keep-alive proxy-connection te trailer transfer-encoding upgrade".split()
)

# Not twice, even where both say the same: what reads the message next may take the other.
ONCE = frozenset((b"content-length", b"transfer-encoding", b"host"))

Headers = list[tuple[bytes, bytes]]


class MalformedError(Exception):
    """Bytes that are no message within the limits; `status` is what a server answers to them."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request (method, target) or a response (status), whole."""

    headers: Headers
    fields: dict[bytes, bytes]  # by lower-case name; of repeated ones the last
    method: bytes = b""
    target: bytes = b""
    status: int = 0
    minor: int = 1
    body: bytes = b""  # the whole, or of a long one what was held
    length: int | None = 0  # of the body; None: known by its end only
    rest: Any = None  # of a long body: where the pieces after `body` come from

    @property
    def keep_alive(self) -> bool:
        options = self.fields.get(b"connection", b"").lower()
        return b"close" not in options and (self.minor == 1 or b"keep-alive" in options)

    def end_to_end(self) -> Headers:
        """The headers that concern more than one connection."""
        named = self.fields.get(b"connection", b"").lower()
        dropped = HOP_BY_HOP.union(name.strip() for name in named.split(b",")) if named else HOP_BY_HOP
        return [pair for pair in self.headers if pair[0].lower() not in dropped]


class _Body:
    """A body's bytes as they come: of a known length, chunked, or all until the end (`length` None)."""

    def __init__(self, chunked: bool, length: int | None, most: int = MAX_BODY) -> None:
        self.chunked, self.length, self.most = chunked, length, most
        self.parts: list[bytes] = []
        self.size = 0
        self.left = 0 if chunked else length  # of the body or of the present chunk
        self.state = "size" if chunked else "data"
        self.done = not chunked and length == 0
        self.trailers = 0

    def take(self, buffer: bytearray) -> None:
        while not self.done:
            if self.state == "data":
                piece = bytes(buffer) if self.left is None else bytes(buffer[: self.left])
                del buffer[: len(piece)]
                self.size += len(piece)
                if self.size > self.most:
                    raise MalformedError(413, "body too large")
                self.parts.append(piece)
                if self.left is None:
                    return
                self.left -= len(piece)
                if self.left:
                    return
                self.done = not self.chunked
                self.state = "mark"
                continue
            end = buffer.find(b"\r\n")
            if end < 0:
                if len(buffer) > MAX_LINE:
                    raise MalformedError(400, "chunk line too long")
                return
            line = bytes(buffer[:end])
            del buffer[: end + 2]
            self._line(line)

    def _line(self, line: bytes) -> None:
        if self.state == "mark":
            if line:
                raise MalformedError(400, "chunk without its end")
            self.state = "size"
        elif self.state == "size":
            match = SIZE.fullmatch(line)
            if match is None:
                raise MalformedError(400, "bad chunk size")
            self.left = int(match[1], 16)
            if self.size + self.left > self.most:
                raise MalformedError(413, "body too large")
            self.state = "data" if self.left else "trailer"
        else:
            self.trailers += len(line)
            if self.trailers > MAX_HEAD:
                raise MalformedError(431, "trailers too large")
            self.done = not line


class _Parser:
    """Feed it bytes as they come and take messages as they become whole."""

    MOST = MAX_BODY

    def __init__(self, most: int | None = None) -> None:
        """`most`: of a body, in bytes."""
        self.most = self.MOST if most is None else most
        self.buffer = bytearray()
        self._message: Message | None = None
        self._body = _Body(False, 0)
        self._seen = 0

    @property
    def idle(self) -> bool:
        """Between messages, with nothing left over."""
        return not self.buffer and self._message is None

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def take(self) -> Message | None:
        """The next whole message, if it is there."""
        if self._message is None and self.head() is None:
            return None
        self._body.take(self.buffer)
        return self._whole() if self._body.done else None

    def head(self) -> Message | None:
        """The next message, as soon as its head is there; its body comes by `pieces`."""
        if self._message is None:
            message = self._head()
            if message is not None:
                self._body = self._framing(message)
                message.length = self._body.length
                self._message = message
        return self._message

    def pieces(self) -> bytes:
        """What has come of the body since it was asked for last."""
        self._body.take(self.buffer)
        piece = b"".join(self._body.parts)
        self._body.parts.clear()
        return piece

    @property
    def complete(self) -> bool:
        """The body of the message under way has come whole."""
        return self._message is not None and self._body.done

    def next(self) -> None:
        """Done with a complete message."""
        self._message = None

    def _whole(self) -> Message | None:
        message, self._message = self._message, None
        if message is not None:
            message.body = b"".join(self._body.parts)
            message.length = len(message.body)
        return message

    def _head(self) -> Message | None:
        while self.buffer.startswith(b"\r\n"):
            del self.buffer[:2]
        if self.buffer != b"\r" and not self._plausible(bytes(self.buffer[:16])):  # its end may never come
            raise MalformedError(400, "no message of HTTP/1")
        end = self.buffer.find(b"\r\n\r\n", max(self._seen - 3, 0))
        if end < 0:
            self._seen = len(self.buffer)
            if self._seen > MAX_HEAD:
                raise MalformedError(431, "headers too large")
            return None
        if end > MAX_HEAD:
            raise MalformedError(431, "headers too large")
        first, *lines = bytes(self.buffer[:end]).split(b"\r\n")
        del self.buffer[: end + 4]
        self._seen = 0
        headers: Headers = []
        fields: dict[bytes, bytes] = {}
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon or not TOKEN.fullmatch(name) or CONTROL.search(value):
                if self._spare(name):
                    continue
                raise MalformedError(400, "bad header line")
            value = value.strip(b" \t")
            key = name.lower()
            if key in fields and key in ONCE:
                raise MalformedError(400, f"repeated {key.decode('latin-1')}")
            headers.append((name, value))
            fields[key] = value
        message = Message(headers, fields)
        self._first(first, message)
        return message

    def _plausible(self, start: bytes) -> bool:
        """Whether a message may begin like this; `start` may be cut short."""
        raise NotImplementedError

    def _spare(self, name: bytes) -> bool:
        """Whether a malformed header of this name is only left out."""
        return False

    def _first(self, line: bytes, message: Message) -> None:
        raise NotImplementedError

    def _framing(self, message: Message) -> _Body:
        raise NotImplementedError

    def _length(self, message: Message, default: int | None) -> _Body:
        """By the rules that requests and responses share."""
        coding, length = message.fields.get(b"transfer-encoding"), message.fields.get(b"content-length")
        if coding is not None:
            if length is not None or coding.lower() != b"chunked":
                raise MalformedError(400, "framing not understood")
            return _Body(True, None, self.most)
        if length is None:
            return _Body(False, default, self.most)
        if not length.isdigit() or len(length) > 15:
            raise MalformedError(400, "bad Content-Length")
        if int(length) > self.most:
            raise MalformedError(413, "body too large")
        return _Body(False, int(length), self.most)


class RequestParser(_Parser):
    def _plausible(self, start: bytes) -> bool:
        return not start or TOKEN.fullmatch(start.partition(b" ")[0]) is not None

    @property
    def asked(self) -> bool:
        """A request's head is there and its sender waits for a word before it sends the body."""
        message = self._message
        return message is not None and message.fields.get(b"expect", b"").lower() == b"100-continue"

    def _first(self, line: bytes, message: Message) -> None:
        parts = line.split(b" ")
        if len(parts) != 3 or not TOKEN.fullmatch(parts[0]) or not TARGET.fullmatch(parts[1]):
            raise MalformedError(400, "bad request line")
        if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise MalformedError(400, "not HTTP/1.1")
        message.method, message.target, message.minor = parts[0], parts[1], parts[2][-1] - 48

    def _framing(self, message: Message) -> _Body:
        if message.minor == 0 and b"transfer-encoding" in message.fields:  # what it means there is anybody's guess
            raise MalformedError(400, "chunks in HTTP/1.0")
        return self._length(message, 0)


class ResponseParser(_Parser):
    MOST = MAX_ANSWER

    def _plausible(self, start: bytes) -> bool:
        return b"HTTP/1.".startswith(start[:7])

    def _spare(self, name: bytes) -> bool:
        # A load report serves only the balancing: one that can't be read must not cost the answer.
        return name.strip().lower() == b"x-load-report"

    def take(self) -> Message | None:
        message = super().take()
        while message is not None and 100 <= message.status < 200:  # interim: the response is yet to come
            message = super().take()
        return message

    def head(self) -> Message | None:
        message = super().head()
        while message is not None and 100 <= message.status < 200:
            self.next()
            message = super().head()
        return message

    def end(self) -> Message | None:
        """The connection ended: the response that only this end completes, if one was under way."""
        return self._whole() if self._message is not None and self.endless else None

    @property
    def endless(self) -> bool:
        return not self._body.chunked and self._body.length is None

    def _first(self, line: bytes, message: Message) -> None:
        match = STATUS.fullmatch(line)
        if match is None:
            raise MalformedError(400, "bad status line")
        message.minor, message.status = int(match[1]), int(match[2])

    def _framing(self, message: Message) -> _Body:
        if message.status < 200 or message.status in (204, 304):
            return _Body(False, 0)
        return self._length(message, None)


CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def _lines(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    return b"".join(name + b": " + value + b"\r\n" for name, value in headers)


def write_request(method: bytes, target: bytes, headers: Headers, body: bytes = b"") -> bytes:
    length = b"Content-Length: %d\r\n" % len(body) if body or method not in (b"GET", b"HEAD") else b""
    return b"%b %b HTTP/1.1\r\n%b%b\r\n%b" % (method, target, _lines(headers), length, body)


def request_head(method: bytes, target: bytes, headers: Headers, length: int | None) -> bytes:
    """Of a request whose body follows in pieces; without a length they go as chunks."""
    return b"%b %b HTTP/1.1\r\n%b%b\r\n" % (method, target, _lines(headers), _frame(length))


def response_head(status: int, headers: Headers, length: int | None, close: bool, minor: int = 1) -> bytes:
    """The same of a response; to a reader of HTTP/1.0 the end of the connection is the end of the body."""
    frame = b"" if length is None and minor == 0 else _frame(length)
    last = b"Connection: close\r\n" if close else b""
    return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n" % (status, REASONS.get(status, b""), _lines(headers), frame, last)


def _frame(length: int | None) -> bytes:
    return b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length


def chunk(piece: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(piece), piece)


LAST_CHUNK = b"0\r\n\r\n"


def write_response(status: int, headers: Headers, body: bytes = b"", close: bool = False) -> bytes:
    reason = REASONS.get(status, b"")
    last = b"Connection: close\r\n" if close else b""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        reason,
        _lines(headers),
        len(body),
        last,
        body,
    )
