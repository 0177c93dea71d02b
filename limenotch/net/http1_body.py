"""Bodies of HTTP/1.1 messages as their bytes arrive (RFC 9112, 6 and 7), and the error of what is no message."""

from __future__ import annotations

import re

MAX_HEAD_BYTES = 16 * 1024  # of a start line with its headers; also of the trailers
MAX_BODY_BYTES = 64 * 1024  # of a request that is taken complete, unless its parser is given another limit
MAX_CHUNK_LINE_BYTES = 1024  # of a chunk's size line
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?")


class MalformedError(Exception):
    """Bytes that are no valid message within the limits; `status` is that of a server's response to them."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Body:
    """A body's bytes as they arrive: of a known length, chunked, or all up to the connection's end (`length` None)."""

    def __init__(self, chunked: bool, length: int | None, limit: int = MAX_BODY_BYTES) -> None:
        self.chunked = chunked
        self.length = length
        self.limit = limit  # bytes
        self.parts: list[bytes] = []
        self.size = 0  # bytes received
        self.left = 0 if chunked else length  # bytes of the body or of the present chunk
        self.state = "size" if chunked else "data"  # of a chunked body also "mark" (a chunk's end) and "trailer"
        self.done = not chunked and length == 0
        self.trailers = 0  # bytes

    def take(self, buffer: bytearray) -> None:
        """Take the body's bytes from the front of the buffer. Raises MalformedError."""
        while not self.done:
            if self.state == "data":
                if not self._take_data(buffer):
                    return
                continue
            end = buffer.find(b"\r\n")
            if end < 0:
                if len(buffer) > MAX_CHUNK_LINE_BYTES:
                    raise MalformedError(400, "chunk line too long")
                return
            line = bytes(buffer[:end])
            del buffer[: end + 2]
            self._take_line(line)

    def _take_data(self, buffer: bytearray) -> bool:
        """Take bytes of the body or of the present chunk; return whether that is complete."""
        piece = bytes(buffer) if self.left is None else bytes(buffer[: self.left])
        del buffer[: len(piece)]
        self.size += len(piece)
        if self.size > self.limit:
            raise MalformedError(413, "body too large")
        self.parts.append(piece)
        if self.left is None:
            return False
        self.left -= len(piece)
        if self.left:
            return False
        self.done = not self.chunked
        self.state = "mark"
        return True

    def _take_line(self, line: bytes) -> None:
        """Interpret a line of the chunked coding (RFC 9112, 7.1)."""
        if self.state == "mark":
            if line:
                raise MalformedError(400, "chunk without its end")
            self.state = "size"
        elif self.state == "size":
            match = CHUNK_SIZE.fullmatch(line)
            if match is None:
                raise MalformedError(400, "bad chunk size")
            self.left = int(match[1], 16)
            if self.size + self.left > self.limit:
                raise MalformedError(413, "body too large")
            self.state = "data" if self.left else "trailer"
        else:
            self.trailers += len(line)
            if self.trailers > MAX_HEAD_BYTES:
                raise MalformedError(431, "trailers too large")
            self.done = not line
