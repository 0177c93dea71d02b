"""Incremental parser of the bodies of HTTP/1.1 messages (RFC 9112, 6 and 7), and the error for malformed messages."""

from __future__ import annotations

import re

MAX_HEAD_BYTES = 16 * 1024  # of a start line with its headers; also of the trailers
MAX_BODY_BYTES = 64 * 1024  # of the body of a request that is buffered completely; a parser may set another limit
MAX_CHUNK_LINE_BYTES = 1024  # of a chunk's size line
MAX_LINES_PER_CALL = 128  # of the chunked coding, decoded in one call: other connections come between
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?")


class MalformedError(Exception):
    """Bytes that are not a valid message within the limits; `status`: with which a server responds to them."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Body:
    """Decodes a body as its bytes arrive.

    It is `chunked`, has a known `length` in bytes or, with `length` None, lasts until the end of the connection.
    """

    def __init__(self, chunked: bool, length: int | None, limit: int = MAX_BODY_BYTES) -> None:
        self.chunked = chunked
        self.length = length
        self.limit = limit  # bytes
        self._decoded = bytearray()  # the content received and not taken yet
        self.received_bytes = 0  # bytes received
        self.missing_bytes = (
            0 if chunked else length
        )  # bytes missing of the body or of the current chunk; None: unknown
        # What is expected next: in a chunked body also "mark" (the line end after a chunk) and "trailer".
        self.state = "size" if chunked else "data"
        self.done = not chunked and length == 0
        self.trailer_bytes = 0  # bytes of trailers received

    def decode(self, buffer: bytearray) -> bool:
        """Decodes the body's bytes at the front of the buffer, and removes them there. Raises MalformedError.

        Returns whether it stopped after MAX_LINES_PER_CALL, so that another call may decode more.
        """
        for _ in range(MAX_LINES_PER_CALL):
            if self.state == "data" and not self.done and not self._decode_data(buffer):
                return False
            if self.done:
                return False
            end = buffer.find(b"\r\n", 0, MAX_CHUNK_LINE_BYTES + 2)
            if end < 0:
                if len(buffer) > MAX_CHUNK_LINE_BYTES:
                    raise MalformedError(400, "chunk line too long")
                return False
            line = bytes(buffer[:end])
            del buffer[: end + 2]
            self._process_line(line)
        return not self.done

    def take(self) -> bytes:
        """The content that was decoded since the last call."""
        content = bytes(self._decoded)
        self._decoded.clear()
        return content

    def _decode_data(self, buffer: bytearray) -> bool:
        """Decodes bytes of the body or of the current chunk; returns whether that is complete."""
        size = len(buffer) if self.missing_bytes is None else min(len(buffer), self.missing_bytes)
        self.received_bytes += size
        if self.received_bytes > self.limit:
            raise MalformedError(413, "body too large")
        with memoryview(buffer) as view:
            self._decoded += view[:size]
        del buffer[:size]
        if self.missing_bytes is None:
            return False
        self.missing_bytes -= size
        if self.missing_bytes:
            return False
        self.done = not self.chunked
        self.state = "mark"
        return True

    def _process_line(self, line: bytes) -> None:
        """Processes a line of the chunked coding (RFC 9112, 7.1)."""
        if self.state == "mark":
            if line:
                raise MalformedError(400, "chunk without its end")
            self.state = "size"
        elif self.state == "size":
            match = CHUNK_SIZE.fullmatch(line)
            if match is None:
                raise MalformedError(400, "bad chunk size")
            self.missing_bytes = int(match[1], 16)
            if self.received_bytes + self.missing_bytes > self.limit:
                raise MalformedError(413, "body too large")
            self.state = "data" if self.missing_bytes else "trailer"
        else:
            self.trailer_bytes += len(line)
            if self.trailer_bytes > MAX_HEAD_BYTES:
                raise MalformedError(431, "trailers too large")
            self.done = not line
