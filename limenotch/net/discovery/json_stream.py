"""Parser of discovery's watch: a response whose body is a sequence of JSON documents, each returned once complete."""

from __future__ import annotations

import re

from ..http1 import MAX_BODY_BYTES, MalformedError, Message, ResponseParser
from ..http1_body import Body

# Bytes of one document: a list of some ten thousand endpoints.
MAX_DOCUMENT_BYTES = 64 * MAX_BODY_BYTES
# Strings (RFC 8259, section 7) can't span lines; both patterns take time linear in the length of the line.
ESCAPE = re.compile(rb"\\.")
STRING = re.compile(rb'"[^"]*"')
OPENING = (b"{", b"[")
CLOSING = (b"}", b"]")


def nesting_change(line: bytes) -> int | None:
    """How many objects and arrays `line` opens more than it closes; None if it ends within a string."""
    without_escapes = ESCAPE.sub(b"", line)
    if without_escapes.count(b'"') % 2:
        return None
    without_strings = STRING.sub(b"", without_escapes)
    return sum(map(without_strings.count, OPENING)) - sum(map(without_strings.count, CLOSING))


class JsonDocumentParser:
    """Splits a sequence of bytes, received in pieces of any size, into documents.

    A document takes one line or, indented, several.
    """

    def __init__(self, max_bytes: int = MAX_DOCUMENT_BYTES) -> None:
        """Starts at the beginning of a body. `max_bytes`: of one document."""
        self._max_bytes = max_bytes
        self.lines_received = 0  # empty ones included
        self._incomplete_line = bytearray()
        self._lines: list[bytes] = []  # lines of the incomplete document
        self._lines_bytes = 0
        self._depth = 0  # objects and arrays that are open after these lines

    @property
    def pending_bytes(self) -> int:
        """The size of the incomplete document in bytes, empty lines not counted."""
        return self._lines_bytes + len(self._incomplete_line.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """The documents that `data` completes, whether they are valid JSON or not.

        Raises MalformedError if a document is too long.
        """
        self._incomplete_line += data
        *lines, incomplete_line = self._incomplete_line.split(b"\n")
        self._incomplete_line = incomplete_line
        self.lines_received += len(lines)
        documents = list[bytes]()
        for line in lines:
            self._add(bytes(line), documents)
        # The last line of a document counts without its line end: the server may send that only with the next document.
        if incomplete_line.endswith(b"}"):
            change = nesting_change(bytes(incomplete_line))
            if change is not None and self._depth + change <= 0:
                self._incomplete_line = bytearray()
                self._add(bytes(incomplete_line), documents)
        if self.pending_bytes > self._max_bytes:
            raise MalformedError(413, f"document of over {self._max_bytes} bytes, more than memory allows")
        return documents

    def _add(self, line: bytes, documents: list[bytes]) -> None:
        """Appends the line to the incomplete document, and the document to `documents` once it is complete."""
        if not line.strip():
            return
        change = nesting_change(line)
        self._lines.append(line)
        self._lines_bytes += len(line)
        self._depth += change or 0
        # A line that ends within a string is not JSON: ending the document there keeps the next documents readable.
        if change is None or self._depth <= 0:
            documents.append(b"\n".join(self._lines))
            self._lines = []
            self._lines_bytes = 0
            self._depth = 0


class JsonStreamResponse:
    """Parses a response: its head first, then the documents of its body."""

    def __init__(self, max_document_bytes: int = MAX_DOCUMENT_BYTES) -> None:
        """Starts at the beginning of a response."""
        self.head: Message | None = None
        self.has_more = False
        self._parser = ResponseParser(max_document_bytes)  # a list may be one chunk, or have a Content-Length
        self._body: Body | None = None
        self._documents = JsonDocumentParser(max_document_bytes)

    def feed(self, data: bytes) -> list[bytes]:
        """The documents that `data` completes. Raises MalformedError if it is not HTTP or a document is too long."""
        documents = self.feed_part(data)
        while self.has_more:
            documents += self.feed_part()
        return documents

    def feed_part(self, data: bytes = b"") -> list[bytes]:
        """The same for a limited number of chunks. While `has_more`, another call, without data, decodes the next."""
        parser = self._parser
        parser.feed(data)
        while self.head is None:
            head = parser._head()
            if head is None:
                return []
            if head.status >= 200:  # else interim (RFC 9110, section 15.2): the final response follows
                self.head = head
                self._body = parser._framing(head)
        assert self._body is not None
        self._body.received_bytes = 0  # the length of the whole stream is not limited, that of each document is
        self.has_more = self._body.decode(parser.buffer)
        return self._documents.feed(self._body.take())

    @property
    def pending_bytes(self) -> int:
        """The size of the incomplete document in bytes."""
        return self._documents.pending_bytes

    @property
    def lines_received(self) -> int:
        """The number of lines received, empty ones included."""
        return self._documents.lines_received

    @property
    def complete(self) -> bool:
        """Whether the body has ended."""
        return self._body is not None and self._body.done
