"""A response that brings JSON documents one after another, each of interest as it comes: the directory's watch."""

from __future__ import annotations

import re

from ..http1 import MAX_BODY_BYTES, MalformedError, Message, ResponseParser, _Body

MOST = 64 * MAX_BODY_BYTES  # bytes of one document: a list of some ten thousand providers
# Of strings alone (RFC 8259, section 7), which can't go over the end of a line; both in time linear in its length.
ESCAPE, STRING = re.compile(rb"\\."), re.compile(rb'"[^"]*"')
OPENS, CLOSES = (b"{", b"["), (b"}", b"]")


def depth_of(line: bytes) -> int | None:
    """How many objects and lists `line` opens more than it closes; None if it breaks off in a string."""
    plain = ESCAPE.sub(b"", line)
    if plain.count(b'"') % 2:
        return None
    bare = STRING.sub(b"", plain)
    return sum(map(bare.count, OPENS)) - sum(map(bare.count, CLOSES))


class JsonDocuments:
    """Puts documents together from bytes cut anywhere. One may take a line or, indented, any number of them."""

    def __init__(self) -> None:
        self._rest = bytearray()  # a line whose end is yet to come
        self._lines: list[bytes] = []  # of a document whose end is yet to come
        self._depth = self._size = 0
        self.lines = 0  # that have come, empty ones counted

    @property
    def begun(self) -> int:
        """Bytes of a document whose end is yet to come, empty lines not counted."""
        return self._size + len(self._rest.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """The documents that `data` completes, sound or not. Raises MalformedError if one has no end."""
        self._rest += data
        *lines, rest = self._rest.split(b"\n")
        self._rest, found = rest, list[bytes]()
        self.lines += len(lines)
        for line in lines:
            self._add(bytes(line), found)
        # The last one's line need not end, or what it tells would wait for the next one.
        if rest.endswith(b"}"):
            depth = depth_of(bytes(rest))
            if depth is not None and self._depth + depth <= 0:
                self._rest = bytearray()
                self._add(bytes(rest), found)
        if self.begun > MOST:
            raise MalformedError(413, "document too long")
        return found

    def _add(self, line: bytes, found: list[bytes]) -> None:
        if not line.strip():
            return
        depth = depth_of(line)
        self._lines.append(line)
        self._size, self._depth = self._size + len(line), self._depth + (depth or 0)
        if depth is None or self._depth <= 0:  # what breaks off in a string is no JSON, and hides nothing further
            found.append(b"\n".join(self._lines))
            self._lines, self._size, self._depth = [], 0, 0


class ChunkStream:
    """The response: its head first, then the documents of its body."""

    def __init__(self) -> None:
        self._parser = ResponseParser(MOST)  # a list may come as one chunk, or with its length
        self._body: _Body | None = None
        self._documents = JsonDocuments()
        self.head: Message | None = None

    def feed(self, data: bytes) -> list[bytes]:
        """The documents that `data` completes."""
        parser = self._parser
        parser.feed(data)
        while self.head is None:
            head = parser._head()
            if head is None:
                return []
            if head.status >= 200:  # else interim: the response is yet to come
                self.head, self._body = head, parser._framing(head)
        assert self._body is not None
        self._body.size = 0  # a stream has no length to limit; its documents have
        self._body.take(parser.buffer)
        found = self._documents.feed(b"".join(self._body.parts))
        self._body.parts.clear()
        return found

    @property
    def begun(self) -> int:
        """Bytes of a document whose end is yet to come."""
        return self._documents.begun

    @property
    def lines(self) -> int:
        """Lines that have come, empty ones counted."""
        return self._documents.lines

    @property
    def done(self) -> bool:
        return self._body is not None and self._body.done
