"""Frames between sidecars: encoding and decoding, with a version and a keyed digest.

A frame is 16 bytes of keyed BLAKE2b (RFC 7693) over all that follows, one byte of version, and a msgpack array
`[group, sender, message]`. A message is an array whose first element is its tag. Faulty frames are counted by fault;
decoding never raises. On a stream each frame is preceded by its length, 4 bytes, big-endian.

The digest excludes senders without the key. It does not encrypt, and anybody can replay a frame: components must
tolerate that, as they tolerate a network that duplicates.

During a rolling upgrade old and new programs communicate: each accepts a range of versions and writes the oldest of
them, fields added at the end are skipped by programs that don't know them, and messages of an unknown tag are dropped.
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

DIGEST_BYTES = 16
LENGTH_PREFIX_BYTES = 4  # before a frame on a stream
MIN_VERSION, MAX_VERSION = 1, 1  # versions that this program accepts
MAX_FRAME_BYTES = 1024 * 1024
MAX_NAME_LENGTH = 64  # characters of a sender's or a group's name
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # BLAKE2b takes no longer key


class FrameFault(Enum):
    """Why a frame was dropped; in the order of the checks."""

    TOO_LONG = "too long"
    SHORT = "short"
    DIGEST = "digest"
    VERSION = "version"
    MALFORMED = "malformed"
    GROUP = "group"
    KIND = "unknown kind"


class Hello(Message, frozen=True, tag="wire.hello"):
    """The first message of a stream: which process sends on it, and where that process listens."""

    process_epoch: int
    address: Address


def tag_of(message: Message | type[Message]) -> str:
    """The tag of a message, as in the frame."""
    return str(message.__struct_config__.tag)


class _Envelope(Struct, frozen=True, array_like=True):
    group: Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    sender: Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    message: msgspec.Raw


class FrameCodec:
    """Encodes and decodes frames of one key, one group and the given types of messages. Counts faulty frames."""

    def __init__(
        self,
        key: bytes,
        group: str,
        messages: Sequence[type[Message]],
        versions: tuple[int, int] = (MIN_VERSION, MAX_VERSION),
    ) -> None:
        """Raises ValueError on a key, a name or versions out of bounds, and on two types with one tag."""
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(f"key: expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, not {len(key)}")
        self.group = _checked_name(group)
        self._min_version, self._max_version = versions
        if not 0 <= self._min_version <= self._max_version <= 255:
            raise ValueError(f"versions: expected a range within 0 and 255, not {versions}")
        types: list[type[Message]] = [Hello, *messages]
        self._tags = {tag_of(kind) for kind in types}
        if len(self._tags) != len(types):
            raise ValueError("two types of messages with one tag")
        self._keyed = blake2b(key=key, digest_size=DIGEST_BYTES)
        self._version = bytes([self._min_version])
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode_envelope: Any = msgspec.msgpack.Decoder(_Envelope).decode
        self._decode_message: Any = msgspec.msgpack.Decoder(Union[tuple(types)]).decode
        self.faults = dict.fromkeys(FrameFault, 0)

    def encode(self, sender: str, message: Message) -> bytes:
        """A frame of any length: the carrier checks its own limit. Raises ValueError on a name out of bounds."""
        body = self._version + self._encode((self.group, _checked_name(sender), message))
        return self._digest(body) + body

    def decode(self, frame: bytes, max_bytes: int = MAX_FRAME_BYTES) -> tuple[str, Message] | FrameFault:
        """The sender and the message, or the fault for which the frame is dropped; faults are counted."""
        decoded = self._decode(frame, max_bytes)
        if isinstance(decoded, FrameFault):
            self.count(decoded)
        return decoded

    def count(self, fault: FrameFault) -> None:
        """Count a fault; carriers call this for what they drop before a frame is complete."""
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
        except (msgspec.DecodeError, RecursionError):  # invalid UTF-8 is a DecodeError too
            return FrameFault.MALFORMED
        try:
            message: Message = self._decode_message(envelope.message)
        except (msgspec.DecodeError, RecursionError):
            return self._fault_of(envelope.message)
        return envelope.sender, message

    def _fault_of(self, message: msgspec.Raw) -> FrameFault:
        """The fault of a message that does not decode: a type of a newer program, or malformed."""
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
        raise ValueError(f"name: expected 1 to {MAX_NAME_LENGTH} characters, not {name!r}")
    return name


def with_length(frame: bytes) -> bytes:
    """The frame with its length before it, as sent on a stream."""
    return len(frame).to_bytes(LENGTH_PREFIX_BYTES, "big") + frame


class FrameReader:
    """Splits the bytes of a stream into frames. Buffers one incomplete frame at most."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        """`max_frame_bytes` may be changed later: it is low until the peer has shown that it has the key."""
        self.max_frame_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Append bytes received on the stream."""
        self._buffer += data

    def next_frame(self) -> bytes | FrameFault | None:
        """The next complete frame, None if there is none yet. After a fault the stream can't be read further."""
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
