"""A response that brings its body bit by bit, each bit of interest as it comes: the directory's watch."""

from __future__ import annotations

from .http1 import MAX_BODY, MalformedError, Message, ResponseParser, _Body


class ChunkStream:
    """A response whose chunks are of interest before its end: the head first, then lines as they come."""

    def __init__(self) -> None:
        self._parser = ResponseParser()
        self._body: _Body | None = None
        self._rest = bytearray()
        self.head: Message | None = None

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that `data` completes."""
        parser = self._parser
        parser.feed(data)
        if self.head is None:
            self.head = parser._head()
            if self.head is None:
                return []
            self._body = parser._framing(self.head)
        assert self._body is not None
        self._body.size = 0  # a stream has no length to limit; its lines have
        self._body.take(parser.buffer)
        self._rest += b"".join(self._body.parts)
        self._body.parts.clear()
        *lines, rest = self._rest.split(b"\n")
        self._rest = bytearray(rest)
        if len(rest) > 64 * MAX_BODY:
            raise MalformedError(413, "line too long")
        return [bytes(line) for line in lines]

    @property
    def done(self) -> bool:
        return self._body is not None and self._body.done
