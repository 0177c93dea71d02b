"""Frames between sidecars, as bytes: who says what, in which version, under a digest that takes the key to make.

A frame is 16 bytes of keyed BLAKE2b (RFC 7693) over all that follows, one byte of version, and a msgpack array
`[group, sender, message]`; a message is an array whose first element is its kind. What fails is named and counted,
nothing raises. On a stream each frame has its length before it, 4 bytes, the highest first.

The digest keeps out whoever lacks the key. It hides nothing, and a frame heard may be sent again by anyone: parts
must bear that as they bear a network that doubles.

Through a roll, old and new programs talk: each speaks a range of versions and writes the oldest it speaks, fields
added at the end are skipped by those who don't know them, and a kind not known is dropped.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from hashlib import blake2b
from hmac import compare_digest
from typing import Annotated, Any, Union

import msgspec
from msgspec import Meta, Struct

from .interfaces import Address, Message

DIGEST = 16  # bytes
LENGTH = 4  # bytes before a frame on a stream
LEAST, MOST = 1, 1  # versions this program speaks
MOST_FRAME = 1024 * 1024  # bytes
MOST_NAME = 64  # letters of a sender's or a group's name
LEAST_KEY, MOST_KEY = 16, 64  # bytes; more BLAKE2b does not take


class FrameFault(Enum):
    """Why a frame was dropped; in the order in which it is looked at."""

    TOO_LONG = "too long"
    SHORT = "short"
    DIGEST = "digest"
    VERSION = "version"
    MALFORMED = "malformed"
    GROUP = "group"
    KIND = "unknown kind"


class Hello(Message, frozen=True, tag="wire.hello"):
    """The first frame of a stream: which process speaks on it, and where that process itself listens."""

    process_epoch: int
    address: Address


def tag_of(message: Message | type[Message]) -> str:
    """Its kind, as the frame bears it."""
    return str(message.__struct_config__.tag)


class _Head(Struct, frozen=True, array_like=True):
    group: Annotated[str, Meta(min_length=1, max_length=MOST_NAME)]
    sender: Annotated[str, Meta(min_length=1, max_length=MOST_NAME)]
    message: msgspec.Raw


class FrameCodec:
    """Of one key, one group and the kinds of messages known. Counts what it drops, by fault."""

    def __init__(
        self, key: bytes, group: str, messages: Sequence[type[Message]], spoken: tuple[int, int] = (LEAST, MOST)
    ) -> None:
        """Raises ValueError on a key or a name out of bounds, and on two kinds with one tag."""
        if not LEAST_KEY <= len(key) <= MOST_KEY:
            raise ValueError(f"key: expected {LEAST_KEY} to {MOST_KEY} bytes, not {len(key)}")
        self.group = _name(group)
        self._least, self._most = spoken
        if not 0 <= self._least <= self._most <= 255:
            raise ValueError(f"versions: {spoken}")
        kinds: list[type[Message]] = [Hello, *messages]
        self._tags = {tag_of(kind) for kind in kinds}
        if len(self._tags) != len(kinds):
            raise ValueError("two kinds of messages with one tag")
        self._keyed = blake2b(key=key, digest_size=DIGEST)
        self._version = bytes([self._least])
        self._encode = msgspec.msgpack.Encoder().encode
        self._head: Any = msgspec.msgpack.Decoder(_Head).decode
        self._message: Any = msgspec.msgpack.Decoder(Union[tuple(kinds)]).decode
        self.faults = dict.fromkeys(FrameFault, 0)

    def encode(self, sender: str, message: Message) -> bytes:
        """Of any length: what a carrier takes is for it to see. Raises ValueError on a name out of bounds."""
        body = self._version + self._encode((self.group, _name(sender), message))
        return self._digest(body) + body

    def decode(self, frame: bytes, most: int = MOST_FRAME) -> tuple[str, Message] | FrameFault:
        """The sender and what it says, or why that is dropped, which is counted here."""
        found = self._decode(frame, most)
        if isinstance(found, FrameFault):
            self.count(found)
        return found

    def count(self, fault: FrameFault) -> None:
        """Also what carriers drop before there is a whole frame."""
        self.faults[fault] += 1

    def _decode(self, frame: bytes, most: int) -> tuple[str, Message] | FrameFault:
        if len(frame) > most:
            return FrameFault.TOO_LONG
        if len(frame) <= DIGEST:
            return FrameFault.SHORT
        body = frame[DIGEST:]
        if not compare_digest(self._digest(body), frame[:DIGEST]):
            return FrameFault.DIGEST
        if not self._least <= body[0] <= self._most:
            return FrameFault.VERSION
        try:
            head = self._head(body[1:])
            if head.group != self.group:
                return FrameFault.GROUP
        except (msgspec.DecodeError, RecursionError):  # what is no UTF-8 is a DecodeError too
            return FrameFault.MALFORMED
        try:
            message: Message = self._message(head.message)
        except (msgspec.DecodeError, RecursionError):
            return self._why(head.message)
        return head.sender, message

    def _why(self, message: msgspec.Raw) -> FrameFault:
        """Whether what does not decode is a kind of a newer program."""
        try:
            plain = msgspec.msgpack.decode(message)
        except (msgspec.DecodeError, RecursionError, TypeError, ValueError):
            return FrameFault.MALFORMED
        newer = isinstance(plain, list) and plain and isinstance(plain[0], str) and plain[0] not in self._tags
        return FrameFault.KIND if newer else FrameFault.MALFORMED

    def _digest(self, body: bytes) -> bytes:
        digest = self._keyed.copy()
        digest.update(body)
        return digest.digest()


def _name(name: str) -> str:
    if not 0 < len(name) <= MOST_NAME:
        raise ValueError(f"name: expected 1 to {MOST_NAME} letters, not {name!r}")
    return name


def with_length(frame: bytes) -> bytes:
    """As it goes on a stream."""
    return len(frame).to_bytes(LENGTH, "big") + frame


class FrameReader:
    """Cuts what a stream brings into frames. Holds one unfinished frame at most."""

    def __init__(self, most: int = MOST_FRAME) -> None:
        """`most` may be changed under way: little is taken from whoever has not shown that it has the key."""
        self.most = most
        self._held = bytearray()

    def feed(self, data: bytes) -> None:
        """Take bytes that the stream has brought."""
        self._held += data

    def take(self) -> bytes | FrameFault | None:
        """The next whole frame, None if there is none yet. After a fault no further frame can be found."""
        if len(self._held) < LENGTH:
            return None
        length = int.from_bytes(self._held[:LENGTH], "big")
        if length > self.most:
            return FrameFault.TOO_LONG
        if length <= DIGEST:
            return FrameFault.SHORT
        if len(self._held) < LENGTH + length:
            return None
        frame = bytes(self._held[LENGTH : LENGTH + length])
        del self._held[: LENGTH + length]
        return frame
