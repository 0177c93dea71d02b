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

DIGEST_BYTES = 16  # bytes
LENGTH_PREFIX_BYTES = 4  # bytes before a frame on a stream
MIN_VERSION, MAX_VERSION = 1, 1  # versions this program speaks
MAX_FRAME_BYTES = 1024 * 1024  # bytes
MAX_NAME_LENGTH = 64  # letters of a sender's or a group's name
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # bytes; more BLAKE2b does not take


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


class _Envelope(Struct, frozen=True, array_like=True):
    group: Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    sender: Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    message: msgspec.Raw


class FrameCodec:
    """Of one key, one group and the kinds of messages known. Counts what it drops, by fault."""

    def __init__(
        self,
        key: bytes,
        group: str,
        messages: Sequence[type[Message]],
        versions: tuple[int, int] = (MIN_VERSION, MAX_VERSION),
    ) -> None:
        """Raises ValueError on a key or a name out of bounds, and on two kinds with one tag."""
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(f"key: expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, not {len(key)}")
        self.group = _checked_name(group)
        self._min_version, self._max_version = versions
        if not 0 <= self._min_version <= self._max_version <= 255:
            raise ValueError(f"versions: {versions}")
        types: list[type[Message]] = [Hello, *messages]
        self._tags = {tag_of(kind) for kind in types}
        if len(self._tags) != len(types):
            raise ValueError("two kinds of messages with one tag")
        self._keyed = blake2b(key=key, digest_size=DIGEST_BYTES)
        self._version = bytes([self._min_version])
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode_envelope: Any = msgspec.msgpack.Decoder(_Envelope).decode
        self._decode_message: Any = msgspec.msgpack.Decoder(Union[tuple(types)]).decode
        self.faults = dict.fromkeys(FrameFault, 0)

    def encode(self, sender: str, message: Message) -> bytes:
        """Of any length: what a carrier takes is for it to see. Raises ValueError on a name out of bounds."""
        body = self._version + self._encode((self.group, _checked_name(sender), message))
        return self._digest(body) + body

    def decode(self, frame: bytes, max_bytes: int = MAX_FRAME_BYTES) -> tuple[str, Message] | FrameFault:
        """The sender and what it says, or why that is dropped, which is counted here."""
        decoded = self._decode(frame, max_bytes)
        if isinstance(decoded, FrameFault):
            self.count(decoded)
        return decoded

    def count(self, fault: FrameFault) -> None:
        """Also what carriers drop before there is a whole frame."""
        self.faults[fault] += 1

    def _decode(self, frame: bytes, max_bytes: int) -> tuple[str, Message] | FrameFault:
        if len(frame) > max_bytes:
            return FrameFault.TOO_LONG
        if len(frame) <= DIGEST_BYTES:
            return FrameFault.SHORT
        body = frame[DIGEST_BYTES:]
        if not compare_digest(self._digest(body), frame[:DIGEST_BYTES]):
            return FrameFault.DIGEST
        if not self._min_version <= body[0] <= self._max_version:
            return FrameFault.VERSION
        try:
            envelope = self._decode_envelope(body[1:])
            if envelope.group != self.group:
                return FrameFault.GROUP
        except (msgspec.DecodeError, RecursionError):  # what is no UTF-8 is a DecodeError too
            return FrameFault.MALFORMED
        try:
            message: Message = self._decode_message(envelope.message)
        except (msgspec.DecodeError, RecursionError):
            return self._fault_of(envelope.message)
        return envelope.sender, message

    def _fault_of(self, message: msgspec.Raw) -> FrameFault:
        """Whether what does not decode is a kind of a newer program."""
        try:
            decoded = msgspec.msgpack.decode(message)
        except (msgspec.DecodeError, RecursionError, TypeError, ValueError):
            return FrameFault.MALFORMED
        is_newer_kind = (
            isinstance(decoded, list) and decoded and isinstance(decoded[0], str) and decoded[0] not in self._tags
        )
        return FrameFault.KIND if is_newer_kind else FrameFault.MALFORMED

    def _digest(self, body: bytes) -> bytes:
        digest = self._keyed.copy()
        digest.update(body)
        return digest.digest()


def _checked_name(name: str) -> str:
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        raise ValueError(f"name: expected 1 to {MAX_NAME_LENGTH} letters, not {name!r}")
    return name


def with_length(frame: bytes) -> bytes:
    """As it goes on a stream."""
    return len(frame).to_bytes(LENGTH_PREFIX_BYTES, "big") + frame


class FrameReader:
    """Cuts what a stream brings into frames. Holds one unfinished frame at most."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        """`most` may be changed under way: little is taken from whoever has not shown that it has the key."""
        self.max_frame_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Take bytes that the stream has brought."""
        self._buffer += data

    def next_frame(self) -> bytes | FrameFault | None:
        """The next whole frame, None if there is none yet. After a fault no further frame can be found."""
        if len(self._buffer) < LENGTH_PREFIX_BYTES:
            return None
        length = int.from_bytes(self._buffer[:LENGTH_PREFIX_BYTES], "big")
        if length > self.max_frame_bytes:
            return FrameFault.TOO_LONG
        if length <= DIGEST_BYTES:
            return FrameFault.SHORT
        if len(self._buffer) < LENGTH_PREFIX_BYTES + length:
            return None
        frame = bytes(self._buffer[LENGTH_PREFIX_BYTES : LENGTH_PREFIX_BYTES + length])
        del self._buffer[: LENGTH_PREFIX_BYTES + length]
        return frame
